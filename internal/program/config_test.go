package program

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sedgespread/internal/protocol"
	"sedgespread/internal/routing"

	"github.com/sirupsen/logrus"
)

const validConfig = `{"name":"n","seed":"8c1f","limits":{"cores":1,"memory_mb":64,"sockets":256},"discovery":"h:1",
"known":{"generation":3,"reset":true,"instances":[{"instanceId":"a","hostPort":"h:2","lifecycle":"SERVING","startedAtMs":5}]},
"settings":{"classes":[{"name":"r","effect":"repeatable","aimUs":5000,"giveUpUs":90000}],"extra":{"readLevel":["loose"]}}}`

// FuzzConfig guards against accepting unusable configuration files, and against panics on malformed
// ones.
func FuzzConfig(f *testing.F) {
	f.Add(validConfig)
	for _, change := range [][2]string{{`"8c1f"`, `-1`}, {`64`, `1e99`}, {`[{"name"`, `[[{"name"`}, {`90000`, `99999999999999999999`},
		{`"SERVING"`, `null`}, {`5}`, `-5}`}, {`["loose"]`, `[["loose"]]`}, {`"effect"`, `"Effect"`}, {`5000`, `0`}} {
		f.Add(strings.Replace(validConfig, change[0], change[1], 1))
	}
	log := logrus.New()
	log.SetOutput(new(strings.Builder))
	f.Fuzz(func(t *testing.T, text string) {
		config, err := parseConfig([]byte(text))
		if err != nil {
			require.NotContains(t, err.Error(), "\n", "errors are one line")
			return
		}
		require.Positive(t, config.MemoryMB)
		require.Positive(t, config.ConnectTimeout)
		require.Positive(t, config.WatchTimeout)
		require.True(t, json.Valid([]byte(text)))
		router, err := routing.New(config.Settings, config.Seed, config.KnownTargets, log)
		if err == nil {
			router.ApplyList(protocol.Targets{IsFull: true})
			require.Positive(t, router.MaxTimeLeft())
		}
	})
}
