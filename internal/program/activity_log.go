package program

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sedgespread/internal/transport"
)

const (
	// activityLogInterval is the least time between two lines of a kind on what clients do to this driver.
	activityLogInterval = time.Second
	// notableEventDelay is how late an event has to be handled for a line in the log.
	notableEventDelay = 50 * time.Millisecond
	// notablePacedWait is how long clients have to wait in sum for a line in the log.
	notablePacedWait = 100 * time.Millisecond
)

// closeCounts counts the client connections that this driver closed, by reason.
type closeCounts struct {
	mu     sync.Mutex
	counts map[transport.CloseReason]int
}

// count counts a connection that has closed. Ends that the client chose, and those of a shutdown, are routine.
func (c *closeCounts) count(reason transport.CloseReason) {
	switch reason {
	case transport.ClosedByPeer, transport.ResetByPeer, transport.Truncated, transport.ShutDown:
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[transport.CloseReason]int{}
	}
	c.counts[reason]++
}

// take returns the counts since the last call.
func (c *closeCounts) take() map[transport.CloseReason]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.counts
	c.counts = nil
	return counts
}

// logActivity logs what clients do to this driver, at most one line of a kind in each activityLogInterval, until
// the context ends.
func (p *Program) logActivity(ctx context.Context) {
	tick := time.NewTicker(activityLogInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.logShortage()
			p.logCloses()
			p.logEventDelay()
			p.logPacedClients()
		}
	}
}

// logShortage logs what was not taken for want of memory.
func (p *Program) logShortage() {
	queries, answers := p.inputs.TakeShortage(), p.pools.answers.TakeShortage()
	if queries.Refused > 0 || answers > 0 {
		p.log.WithFields(logrus.Fields{"queries_refused": queries.Refused, "messages_dropped": queries.Dropped,
			"answers_cut": answers}).Warn("short of memory")
	}
}

// logCloses logs the client connections that this driver has closed, by reason.
func (p *Program) logCloses() {
	fields := logrus.Fields{}
	for reason, count := range p.closes.take() {
		fields[strings.ReplaceAll(reason.String(), " ", "_")] = count
	}
	if len(fields) > 0 {
		p.log.WithFields(fields).Info("closed client connections")
	}
}

// logPacedClients logs how long clients at full speed were kept waiting, added up over their connections.
func (p *Program) logPacedClients() {
	if waited := p.inputs.TakePacedWait(); waited >= notablePacedWait {
		p.log.WithField("waited_ms", waited.Milliseconds()).Warn("clients at full speed are slowed down")
	}
}

// logEventDelay logs for how long this process did not get to what was due.
func (p *Program) logEventDelay() {
	if delay := p.router.TakeMaxTimerDelay(); delay >= notableEventDelay {
		p.log.WithField("delay_ms", delay.Milliseconds()).Warn("events are handled late")
	}
}
