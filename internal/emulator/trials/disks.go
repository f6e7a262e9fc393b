package trials

import (
	"context"
	"path/filepath"
	"strings"
	"time"

	"sedgespread/internal/emulator"
	"sedgespread/internal/emulator/sockets"
	"sedgespread/internal/membership"
)

// refusalTimeout is the time within which a voter with an outdated disk must be refused. A voter
// queries the others once per tick and starts without the unreachable ones after two election
// timeouts of ten ticks.
const refusalTimeout = 100 * tickMs * time.Millisecond

// runOldDisks restarts, in each round, a voter that is not the leader with its disk of one version
// earlier. The voter must be refused, the others must continue, and with its newest disk it must
// catch up.
func (c *versionsRun) runOldDisks(ctx context.Context) error {
	for n := 1; n <= 3*c.MinClosed; n += 3 {
		if err := c.closeVersion(ctx, n); err != nil {
			return err
		}
		voter := (c.leaderVoter() + 1) % c.Voters
		driver := c.cluster.Drivers[voter]
		driver.Disk = filepath.Join(c.cluster.dir, driverName(voter)+".council")
		if err := driver.CopyDisk(); err != nil {
			return err
		}
		if err := c.closeVersion(ctx, n+1); err != nil {
			return err
		}
		if err := restartWithDisk(ctx, driver, driver.RestoreDisk); err != nil {
			return err
		}
		c.result.OldDisks++
		if !c.isRefused(ctx, voter) {
			c.result.AcceptedOldDisks++
			c.result.Violations = append(c.result.Violations, emulator.Violation{Rule: emulator.RuleOldDisk,
				Detail: "voter " + driver.Name + " started with an outdated disk"})
		}
		if err := c.closeVersion(ctx, n+2); err != nil {
			return err
		}
		if err := restartWithDisk(ctx, driver, driver.RestoreNewestDisk); err != nil {
			return err
		}
	}
	return nil
}

// restartWithDisk kills a driver, replaces its disk and starts it.
func restartWithDisk(ctx context.Context, d *sockets.Driver, replaceDisk func() error) error {
	d.Kill()
	if err := replaceDisk(); err != nil {
		return err
	}
	return d.Start(ctx)
}

// isRefused reports whether a voter reports within refusalTimeout that its disk is outdated.
func (c *versionsRun) isRefused(ctx context.Context, voter int) bool {
	for start := time.Now(); time.Since(start) < refusalTimeout && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		state, err := membership.NewClient(c.addresses[voter]).Council(ctx)
		if err == nil && strings.Contains(state.RefusalReason, "is older than what it had told") {
			return true
		}
	}
	return false
}
