package program

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// shortageLogInterval is the least time between two lines on a lack of memory.
const shortageLogInterval = time.Second

// logShortage logs what was not taken for want of memory, until the context ends.
func (p *Program) logShortage(ctx context.Context) {
	tick := time.NewTicker(shortageLogInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			queries, answers := p.inputs.TakeShortage(), p.pools.answers.TakeShortage()
			if queries.Refused > 0 || answers > 0 {
				p.log.WithFields(logrus.Fields{"queries_refused": queries.Refused, "messages_dropped": queries.Dropped,
					"answers_cut": answers}).Warn("short of memory")
			}
		}
	}
}
