package program_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// randomName returns a name that no real deployment has.
func randomName(rng *rand.Rand) string {
	text := make([]byte, 3+rng.Intn(12))
	for i := range text {
		text[i] = "abcdefghijklmnopqrstuvwxyz0123456789_-."[rng.Intn(39)]
	}
	return "x" + string(text)
}

// settingsClass is a class of random settings.
type settingsClass struct {
	name, effect, level string
	scope               string
	giveUp              time.Duration
}

// randomSettings returns settings with random classes, tenants, limits and costs, and the classes.
func randomSettings(rng *rand.Rand) (classes []settingsClass, change func(file map[string]any)) {
	effects, levels := []string{"repeatable", "by_key", "once"}, []string{"loose", "recent", "own_writes", "update"}
	var classList, readLevels, maxAges []any
	for i := range 5 + rng.Intn(4) {
		c := settingsClass{name: randomName(rng), level: levels[i%4], effect: "repeatable", scope: []string{"cell", "all"}[rng.Intn(2)], giveUp: time.Duration(600+rng.Intn(900)) * time.Millisecond}
		if c.level == "update" {
			c.effect = effects[(i/4+1)%3]
		}
		classes = append(classes, c)
		classList = append(classList, map[string]any{"name": c.name, "effect": c.effect, "keyScope": c.scope,
			"windowUs": 2_000_000 + rng.Intn(3_000_000), "aimUs": 100_000 + rng.Intn(300_000), "giveUpUs": c.giveUp.Microseconds(),
			"worth": rng.Float64() * 50, "lateWorth": 0.1 + rng.Float64()*0.8, "stream": false})
		readLevels, maxAges = append(readLevels, c.level), append(maxAges, 2_000_000+rng.Intn(1_000_000))
	}
	settings := map[string]any{"classes": classList, "fleetSize": 1 + rng.Intn(40), "discovery": []string{"subscribe", "automatic"}[rng.Intn(2)], "workload": randomName(rng),
		"az": randomName(rng), "azs": []any{randomName(rng), randomName(rng)}, "layers": []any{randomName(rng)}, "flavors": []any{randomName(rng)},
		"extra": map[string]any{"readLevel": readLevels, "maxAgeUs": maxAges, "guards": []string{"none", "reject", "hold"}[rng.Intn(3)],
			"holdsForUs": rng.Intn(300_000), "tokens": "client", randomName(rng): randomName(rng)},
		"limits": map[string]any{"probing": true, "cancelling": rng.Intn(2) == 0, "mostTries": 3 + rng.Intn(9), "openCap": rng.Intn(9999),
			"connectTimeoutUs": 150_000 + rng.Intn(400_000), "keepaliveUs": 8_000_000 + rng.Intn(60_000_000), "multiplex": 1 + rng.Intn(20),
			"retryAfter": rng.Intn(2) == 0, "maxRetryAfterUs": 100_000 + rng.Intn(900_000)},
		"safety": map[string]any{"askEveryUs": 1_000_000 + rng.Intn(30_000_000), "drainGraceUs": 250_000 + rng.Intn(3_000_000),
			"startCapacity": 0.05 + rng.Float64()*0.8, "warmAfterUs": 2_000_000 + rng.Intn(30_000_000), "fallMultiple": 1.2 + rng.Float64()*3,
			"tipAfterUs": 500_000 + rng.Intn(4_000_000), "answerSlackUs": rng.Intn(50_000)},
		"prices":  map[string]any{"probe": rng.Float64(), "waste": rng.Float64(), "discovery": rng.Float64(), "connection": rng.Float64(), randomName(rng): rng.Float64()},
		"tenants": []any{map[string]any{"name": randomName(rng), "share": rng.Float64(), "quotaRps": rng.Intn(500)}}}
	return classes, func(file map[string]any) {
		file["settings"] = settings
		file["limits"] = map[string]any{"cores": 0.1 + rng.Float64(), "memory_mb": 32 + rng.Intn(200), "sockets": 200 + rng.Intn(800)}
	}
}

// statement returns a statement of the class.
func (c *settingsClass) statement(key string, timeout time.Duration) string {
	comment := fmt.Sprintf("/* id=%d,c=%s,d=%d,cluster=1 */", nextID.Add(1), c.name, timeout.Milliseconds())
	if c.level == "update" {
		return fmt.Sprintf(`INSERT INTO kv (name, content) VALUES ('%s', '\x9f03') RETURNING content %s`, key, comment)
	}
	return fmt.Sprintf("SELECT content FROM kv WHERE name = '%s' %s", key, comment)
}

// Guards against behavior that depends on the names, classes, limits or costs of one deployment.
func TestRandomSettings(t *testing.T) {
	for seed := range int64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewSource(seed))
			classes, change := randomSettings(rng)
			primary, replica := newFakeMember(t, randomName(rng), "leader"), newFakeMember(t, randomName(rng), "follower")
			driver := startDriver(t, newFakeDiscovery(t, primary, replica), change)
			client := driver.connect(t)
			for i := range classes {
				class := &classes[i]
				got := client.ask(t, class.statement(randomName(rng), class.giveUp))
				require.Contains(t, []string{"from " + primary.name, "from " + replica.name}, got, "%+v", class)
				if class.level == "update" {
					require.Equal(t, "from "+primary.name, got, "%+v", class)
				}
				require.Equal(t, "42601", client.ask(t, class.statement("k", 2*class.giveUp+time.Millisecond)), "timeout longer than the class allows")
				wrong := *class
				wrong.level = map[bool]string{true: "loose", false: "update"}[class.level == "update"]
				require.Equal(t, "42601", client.ask(t, wrong.statement("k", class.giveUp)), "statement of another kind than the class")
				if class.level != "update" {
					continue
				}
				primary.setBehavior("reset")
				before := len(primary.statements())
				isRetryable := class.effect == "repeatable" || class.effect == "by_key" && class.scope == "all" // at any member
				answer := client.ask(t, class.statement(randomName(rng), 400*time.Millisecond))
				require.True(t, answer == "08007" || isRetryable && answer == "53300", "%s: %+v", answer, class)
				sent := len(primary.statements()) - before
				primary.setBehavior("")
				if class.effect == "once" {
					require.Equal(t, 1, sent, "a non-idempotent write is sent once")
				} else {
					require.Greater(t, sent, 1, "an idempotent write is retried")
				}
				eventually(t, "the member is used again", func() bool {
					return client.ask(t, class.statement(randomName(rng), class.giveUp)) == "from "+primary.name
				})
			}
			require.Equal(t, "42601", client.ask(t, statement("read", 100)), "unknown class")
		})
	}
}
