package membership

import (
	"context"
	"time"
)

// changeSignal lets those know who wait for something new. The lock of whoever has it guards it.
type changeSignal struct{ channel chan struct{} }

func newChangeSignal() changeSignal { return changeSignal{make(chan struct{})} }

func (s *changeSignal) broadcast() {
	close(s.channel)
	s.channel = make(chan struct{})
}

// waitForChange waits until what was taken from a bell rings, or a wait is over. The lock is not held.
func waitForChange(ctx context.Context, changed <-chan struct{}, timeout time.Duration) error {
	timer := time.NewTimer(min(timeout, maxWait))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	case <-changed:
	}
	return nil
}
