package leadercall

// This file is how the goroutines of a part notify each other: that there is work, that the part's state has changed,
// and that the process is ready.

import (
	"context"
	"sync"
	"time"
)

// Signals are the notifications of one part. NewSignals makes them.
type Signals struct {
	mu      sync.Locker
	wakeups chan struct{}
	ready   chan struct{}
	changed chan struct{} // closed at the next change of state, then replaced; guarded by mu
}

// NewSignals returns signals for the part that mu guards.
func NewSignals(mu sync.Locker) *Signals {
	return &Signals{mu: mu, wakeups: make(chan struct{}, 1), ready: make(chan struct{}), changed: make(chan struct{})}
}

// Wake makes the part's loop run at once. It never blocks.
func (s *Signals) Wake() {
	select {
	case s.wakeups <- struct{}{}:
	default:
	}
}

// Wakeups is what the loop receives from.
func (s *Signals) Wakeups() <-chan struct{} { return s.wakeups }

// NotifyChange notifies all who wait for a change of state, and wakes the loop. The lock is held.
func (s *Signals) NotifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
	s.Wake()
}

// Changed returns a channel that is closed at the next change of state. The lock is held when it is called, but not
// while its result is waited on.
func (s *Signals) Changed() <-chan struct{} { return s.changed }

// MarkReady closes Ready. It may be called more than once.
func (s *Signals) MarkReady() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.ready:
	default:
		close(s.ready)
	}
}

// Ready is closed once the process may start work.
func (s *Signals) Ready() <-chan struct{} { return s.ready }

// WaitUntil waits until settled returns true, for timeout at most, or until ctx ends or done is closed. The lock is held
// when it is called, when it calls settled and when it returns, but not while it waits.
func (s *Signals) WaitUntil(ctx context.Context, done <-chan struct{}, timeout time.Duration, settled func() bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for waiting := true; waiting && !settled(); {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		case <-done:
			waiting = false
		}
		s.mu.Lock()
	}
}
