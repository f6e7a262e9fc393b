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

// refusedWithin is how long a voter may take to be refused, in ticks of the council: it asks the others once a tick, and
// begins without the last of them after twice an election's ten.
const refusedWithin = 100 * tickMs * time.Millisecond

// oldDisks lets, in each round, a voter that does not lead come back with its disk as it was a version before. It has to be
// refused, the others have to go on without it, and with its own disk again it has to catch up.
func (c *changing) oldDisks(ctx context.Context) error {
	for n := 1; n <= 3*c.MinClosed; n += 3 {
		if err := c.closes(ctx, n); err != nil {
			return err
		}
		v := (c.leading() + 1) % c.Voters
		d := c.n.Drivers[v]
		d.Disk = filepath.Join(c.n.dir, driverName(v)+".council")
		if err := d.CopyDisk(); err != nil {
			return err
		}
		if err := c.closes(ctx, n+1); err != nil {
			return err
		}
		if err := startsOver(ctx, d, d.RestoreDisk); err != nil {
			return err
		}
		c.result.OldDisks++
		if !c.refused(ctx, v) {
			c.result.AcceptedOldDisks++
			c.result.Violations = append(c.result.Violations, emulator.Violation{Rule: emulator.RuleOldDisk,
				Detail: "voter " + d.Name + " began with a disk older than what it had told"})
		}
		if err := c.closes(ctx, n+2); err != nil {
			return err
		}
		if err := startsOver(ctx, d, d.RestoreNewestDisk); err != nil {
			return err
		}
	}
	return nil
}

// startsOver starts a driver with another disk.
func startsOver(ctx context.Context, d *sockets.Driver, change func() error) error {
	d.Kill()
	if err := change(); err != nil {
		return err
	}
	return d.Start(ctx)
}

// refused tells whether a voter says in time that its disk is old.
func (c *changing) refused(ctx context.Context, v int) bool {
	for begun := time.Now(); time.Since(begun) < refusedWithin && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		s, err := membership.NewClient(c.at[v]).Council(ctx)
		if err == nil && strings.Contains(s.RefusalReason, "is older than what it had told") {
			return true
		}
	}
	return false
}
