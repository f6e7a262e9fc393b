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

// refusalTimeout is how long a voter may take to be refused, in ticks of the council: it asks the others once a tick, and
// begins without the last of them after twice an election's ten.
const refusalTimeout = 100 * tickMs * time.Millisecond

// runOldDisks lets, in each round, a voter that does not lead come back with its disk as it was a version before. It has to be
// refused, the others have to go on without it, and with its own disk again it has to catch up.
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
		if err := restartAfter(ctx, driver, driver.RestoreDisk); err != nil {
			return err
		}
		c.result.OldDisks++
		if !c.isRefused(ctx, voter) {
			c.result.OldDisksAccepted++
			c.result.Violations = append(c.result.Violations, emulator.Violation{Rule: emulator.RuleOldDisk,
				Detail: "voter " + driver.Name + " began with a disk older than what it had told"})
		}
		if err := c.closeVersion(ctx, n+2); err != nil {
			return err
		}
		if err := restartAfter(ctx, driver, driver.RestoreNewestDisk); err != nil {
			return err
		}
	}
	return nil
}

// restartAfter starts a driver with another disk.
func restartAfter(ctx context.Context, d *sockets.Driver, replaceDisk func() error) error {
	d.Kill()
	if err := replaceDisk(); err != nil {
		return err
	}
	return d.Start(ctx)
}

// isRefused tells whether a voter says in time that its disk is old.
func (c *versionsRun) isRefused(ctx context.Context, voter int) bool {
	for start := time.Now(); time.Since(start) < refusalTimeout && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		s, err := membership.Dial(c.addresses[voter]).Council(ctx)
		if err == nil && strings.Contains(s.RefusalReason, "is older than what it had told") {
			return true
		}
	}
	return false
}
