package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sedgespread/internal/admin"
	"sedgespread/internal/cells"
	"sedgespread/internal/emulator"
	"sedgespread/internal/emulator/sockets"
	"sedgespread/internal/membership"
)

// run runs the program and gives what it prints and whether it went well.
func run(t *testing.T, program string, args ...string) (string, bool) {
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()
	out, err := exec.CommandContext(ctx, program, args...).CombinedOutput()
	return strings.TrimSpace(string(out)), err == nil
}

func eventually(t *testing.T, what string, ok func() bool) {
	for begun := time.Now(); !ok(); time.Sleep(5 * time.Millisecond) {
		require.Less(t, time.Since(begun), 10*time.Second, what)
	}
}

// The commands against a running instance, and an operator's file that is read again.
func TestCommands(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "sedgespread")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	fleet, err := sockets.Start(emulator.Config{Groups: 2, Members: 2, Cores: 2, QueueLimit: 10, ServiceTime: int64(time.Millisecond), ServiceSigma: 0.1,
		ReplicaLag: int64(5 * time.Millisecond), FillLag: int64(5 * time.Millisecond), Seed: 1})
	require.NoError(t, err)
	defer fleet.Stop()
	at, err := sockets.FreeAddresses(2)
	require.NoError(t, err)
	text := func(more string) string {
		return fmt.Sprintf(`admin { listen: %q }
cells {
  cell { name: "one" group: 1 capacity: 100 hall: "milan" }
  cell { name: "two" group: 2 capacity: 100 hall: "turin" weight: 0 }
  tenancy { others: "rest" own: USER rule { prefix: "club/" tenant: "club" } }
  %s
  budget { rpcs: 50 call_outs: 50 lend: 0.5 }
  coordination { at: %q here: true journal: %q lease_ms: 500 hold_ms: 2000 held: 10 fill_hook: %q }
}
`, at[0], more, at[1], filepath.Join(dir, "journal"), fleet.FillHookURL())
	}
	methods := []sockets.Method{{Name: "write", Effect: "once", ReadLevel: "update", SoftDeadline: time.Second, Timeout: 2 * time.Second, Utility: 1}}
	drivers, err := fleet.NewDrivers(program, dir, 1, methods, func(int) string { return text("") })
	require.NoError(t, err)
	orders := filepath.Join(dir, "n0.textproto")
	rewrite := func(text string) { require.NoError(t, os.WriteFile(orders, []byte(text), 0o600)) }

	said, good := run(t, program, "check", orders)
	require.True(t, good, said)
	require.Contains(t, said, "2 cells")
	rewrite(text(`tenant { name: "x" cell: "three" }`))
	said, good = run(t, program, "check", orders)
	require.False(t, good)
	require.Equal(t, `sedgespread: `+orders+`:6: cells.tenant[0].cell: there is no cell "three"`, said)
	require.ErrorContains(t, drivers[0].Start(context.Background()), said, "serve says the same and ends")
	rewrite(text(""))
	d := drivers[0]
	require.NoError(t, d.Start(context.Background()), d.Log())
	defer d.Kill()
	cellsDo := func(args ...string) (string, bool) {
		return run(t, program, append([]string{"cells", "--admin", at[0]}, args...)...)
	}
	clients := fleet.NewClients()
	defer clients.Close()
	write := func() sockets.Outcome {
		return clients.Call(context.Background(), d.Address, sockets.RPC{Method: "write", Key: "club/1", Write: true, Group: 9, Timeout: 2 * time.Second}).Outcome
	}
	require.Equal(t, sockets.Served, write())

	said, good = cellsDo("--json", "list")
	require.True(t, good, said)
	var figures cells.Stats
	require.NoError(t, json.Unmarshal([]byte(said), &figures))
	require.Len(t, figures.Cells, 2)
	require.Equal(t, cells.Tenant("club"), figures.HeaviestTenants[0].Tenant)
	said, _ = cellsDo("list")
	require.Contains(t, said, "one")
	said, _ = cellsDo("show", "club", "--key", "club/1")
	require.Contains(t, said, "one (hashed)")
	eventually(t, "the coordinator hears of loads", func() bool {
		var p admin.Plan
		err := admin.NewCellsClient(at[0]).Call(context.Background(), "plan", admin.Query{MaxMoves: -1}, &p)
		return err == nil && len(p.Tenants) > 0
	})
	said, good = cellsDo("plan", "--explain")
	require.True(t, good, said)
	require.Contains(t, said, "club")
	said, good = cellsDo("move", "club", "--to", "three")
	require.False(t, good)
	require.Equal(t, `sedgespread: there is no cell "three"`, said)
	said, good = cellsDo("abort", "club")
	require.False(t, good)
	require.Contains(t, said, "is not being moved")
	said, good = cellsDo("move", "club", "--to", "two")
	require.True(t, good, said)
	eventually(t, "the move is done", func() bool {
		var s membership.CoordinatorState
		err := admin.NewCellsClient(at[0]).Call(context.Background(), "moves", admin.Query{}, &s)
		return err == nil && len(s.Entries) == 1 && s.Entries[0].Stage == cells.StageIdle && s.Entries[0].Cell == "two"
	})
	require.Equal(t, sockets.Served, write())
	said, _ = cellsDo("show", "club")
	require.Contains(t, said, "two (moved)")

	hup := func() { require.NoError(t, d.Reload()) }
	for _, c := range []struct{ text, says string }{
		{strings.Replace(text(""), `weight: 0`, `weight: 2`, 1), `its weight was 0`},
		{strings.Replace(text(""), `  cell { name: "two" group: 2 capacity: 100 hall: "turin" weight: 0 }`, "", 1), `it still has club`},
		{strings.Replace(text(""), `lend: 0.5`, `lend: 0.25`, 1), `need a restart`},
		{strings.Replace(text(""), `rpcs: 50`, `rpcs: many`, 1), `n0.textproto:7: cells.budget.rpcs`},
	} {
		rewrite(c.text)
		hup()
		eventually(t, c.says, func() bool { return strings.Contains(d.Log(), c.says) })
	}
	require.Equal(t, sockets.Served, write())
	rewrite(text(`cell { name: "three" group: 3 weight: 0 } tenant { name: "club" weight: 2 }`))
	hup()
	eventually(t, "a cell more", func() bool { said, _ := cellsDo("list"); return strings.Contains(said, "three") })
	require.NoError(t, d.Signal(syscall.SIGTERM))
	eventually(t, "it leaves", func() bool { return !d.IsRunning() })
	said, good = run(t, program, "version")
	require.True(t, good)
	require.Contains(t, said, "sedgespread ")
	said, good = run(t, program, "--help")
	require.True(t, good)
	require.Contains(t, said, "emulate demo")
}
