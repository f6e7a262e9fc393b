package program_test

import (
	"encoding/json"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// rewriteConfig changes a driver's configuration file.
func rewriteConfig(t *testing.T, env map[string]string, change func(file map[string]any)) {
	text, err := os.ReadFile(env["GW_CONFIG"])
	require.NoError(t, err)
	file := map[string]any{}
	require.NoError(t, json.Unmarshal(text, &file))
	change(file)
	text, err = json.Marshal(file)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(env["GW_CONFIG"], text, 0o600))
}

// Guards against a driver that exits, loses RPCs or keeps an old list on a reload, also with a
// truncated file, several signals, and signals during shutdown.
func TestReload(t *testing.T) {
	primary, other := newFakeMember(t, "p", "leader"), newFakeMember(t, "r", "follower")
	old, next := newFakeDiscovery(t, primary, other), newFakeDiscovery(t, primary, other)
	env := writeConfig(t, old, nil)
	cmd, stderr := driverCommand(t, env)
	require.NoError(t, cmd.Start())
	client := (&testDriver{address: env["GW_LISTEN"]}).connect(t)
	require.Equal(t, "empty", client.ask(t, ""))
	waitForLog := func(text string, count int) {
		eventually(t, text, func() bool { return strings.Count(stderr.String(), text) == count })
	}
	hup := func() { require.NoError(t, cmd.Process.Signal(syscall.SIGHUP)) }

	original, err := os.ReadFile(env["GW_CONFIG"])
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(env["GW_CONFIG"], original[:len(original)/2], 0o600))
	hup()
	waitForLog("reload failed; the old configuration stays in effect", 1)
	require.NoError(t, os.WriteFile(env["GW_CONFIG"], original, 0o600))
	rewriteConfig(t, env, func(file map[string]any) { file["limits"].(map[string]any)["sockets"] = "many" })
	hup()
	waitForLog(`limits.sockets=\"many\"`, 1)
	require.Equal(t, "from p", client.ask(t, statement("write", 1000)))

	require.NoError(t, os.WriteFile(env["GW_CONFIG"], original, 0o600))
	next.setLifecycle(other, "DRAINING", false)
	primary.setBehavior("silent")
	client.send(statement("write", 600))
	rewriteConfig(t, env, func(file map[string]any) {
		file["discovery"] = strings.TrimPrefix(next.URL, "http://")
		file["settings"].(map[string]any)["fleetSize"] = 2
	})
	hup()
	waitForLog("needs_restart=settings", 1)
	eventually(t, "the new discovery address is watched", func() bool { return next.calls() == 2 })
	require.Equal(t, "08007", client.readReply(t), "the pending attempt is not retried")
	primary.setBehavior("")
	before := len(other.statements())
	for range 20 {
		require.Equal(t, "from p", client.ask(t, statement("read", 1000)), "member r drains")
	}
	require.Len(t, other.statements(), before)
	require.NotContains(t, stderr.String(), "discovery call failed")

	next.setLifecycle(nil, "", true)
	waitForLog("discovery call failed", 1)
	rewriteConfig(t, env, func(file map[string]any) { file["discovery"] = strings.TrimPrefix(old.URL, "http://") })
	asked := old.calls()
	hup()
	eventually(t, "discovery is called although no task was following", func() bool { return old.calls() > asked })
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	for range 5 {
		hup()
	}
	require.Equal(t, "end", client.readReply(t))
	require.NoError(t, cmd.Wait(), stderr.String())
}
