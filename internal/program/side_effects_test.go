package program_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a driver that opens Unix sockets, starts child processes or leaves files open or
// behind, which some platforms forbid.
func TestNothingElseIsOpened(t *testing.T) {
	primary := newFakeMember(t, "p", "leader")
	env := writeConfig(t, newFakeDiscovery(t, primary), nil)
	folder := t.TempDir()
	env["TMPDIR"], env["HOME"] = folder, folder
	cmd, _ := driverCommand(t, env)
	cmd.Dir = folder
	require.NoError(t, cmd.Start())
	require.Equal(t, "from p", (&testDriver{address: env["GW_LISTEN"]}).connect(t).ask(t, statement("write", 1000)))
	procDir := fmt.Sprintf("/proc/%d/", cmd.Process.Pid)
	unix, err := os.ReadFile(procDir + "net/unix")
	require.NoError(t, err)
	open, err := filepath.Glob(procDir + "fd/*")
	require.NoError(t, err)
	sockets := 0
	for _, path := range open {
		target, err := os.Readlink(path)
		if err != nil {
			continue // already closed
		}
		inode, isSocket := strings.CutPrefix(target, "socket:[")
		if isSocket {
			sockets++
			require.NotContains(t, string(unix), " "+strings.TrimSuffix(inode, "]")+" ")
			require.NotContains(t, string(unix), " "+strings.TrimSuffix(inode, "]")+"\n")
			continue
		}
		isSpecial := strings.HasPrefix(target, "/dev/") || strings.HasPrefix(target, "pipe:") || strings.HasPrefix(target, "anon_inode:")
		require.True(t, isSpecial || strings.HasPrefix(target, "/sys/fs/cgroup/"), target)
	}
	require.GreaterOrEqual(t, sockets, 3, "listener, discovery and a member")
	children, err := filepath.Glob(procDir + "task/*/children")
	require.NoError(t, err)
	for _, path := range children {
		text, err := os.ReadFile(path)
		require.True(t, err != nil || len(text) == 0, "children: %s", text)
	}
	left, err := os.ReadDir(folder)
	require.NoError(t, err)
	require.Empty(t, left)
}
