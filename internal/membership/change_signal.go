package membership

import (
	"context"
	"time"
)

// changeSignal wakes all goroutines that wait for a change. It is guarded by its owner's lock.
type changeSignal struct{ channel chan struct{} }

func newChangeSignal() changeSignal { return changeSignal{make(chan struct{})} }

func (s *changeSignal) broadcast() {
	close(s.channel)
	s.channel = make(chan struct{})
}

// waitForChange waits for the channel of a changeSignal to close, up to a timeout. The lock must not
// be held.
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
