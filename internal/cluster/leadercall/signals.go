package leadercall

// This file holds the notifications between the goroutines of a part: there is work, the part's state has changed, and
// the process is ready.

import (
	"context"
	"sync"
	"time"
)

// Signals holds the notifications of one part. NewSignals creates it.
type Signals struct {
	mu      sync.Locker
	wakeups chan struct{}
	ready   chan struct{}
	changed chan struct{} // closed at the next change of state, then replaced; guarded by mu
}

// NewSignals returns the Signals of a part whose state is guarded by mu.
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

// Wakeups returns the channel on which the part's loop receives a value after Wake. Several calls of Wake may give one
// value.
func (s *Signals) Wakeups() <-chan struct{} { return s.wakeups }

// NotifyChange ends all waits for a change of the part's state, and wakes the part's loop. The part's lock is held.
func (s *Signals) NotifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
	s.Wake()
}

// Changed returns a channel that is closed at the next change of the part's state. The part's lock is held during the
// call, and must be released while waiting on the channel.
func (s *Signals) Changed() <-chan struct{} { return s.changed }

// MarkReady closes the channel of Ready. Further calls have no effect. The part's lock must not be held.
func (s *Signals) MarkReady() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.ready:
	default:
		close(s.ready)
	}
}

// Ready returns a channel that is closed once the process may start work.
func (s *Signals) Ready() <-chan struct{} { return s.ready }

// WaitUntil waits until settled returns true, timeout has passed, ctx ends, or done is closed. The part's lock is held
// when WaitUntil is called, calls settled, and returns; it is released while WaitUntil waits.
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
