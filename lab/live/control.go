package live

// This file owns what a caller may do to a run while it lasts. It must never be reached from a goroutine but the world's, Post apart.

import (
	"os"
	"time"

	"flaxcove/choice"
	"flaxcove/lab/world"
)

// RunControl is what a caller that plays faults of its own has of a run. It belongs to the world's goroutine; Post reaches
// it from any other.
type RunControl struct{ e *engine }

// Now is the world's time.
func (h *RunControl) Now() choice.Time { return h.e.w.Now() }

// After has the world's goroutine call do once so much time is over.
func (h *RunControl) After(in choice.Time, do func()) { h.e.w.After(in, do) }

// Post hands the world's goroutine something to do, from any other.
func (h *RunControl) Post(do func()) { h.e.post(do) }

// World is what is outside.
func (h *RunControl) World() *world.World { return h.e.w }

// Addr is where programs find a sender.
func (h *RunControl) Addr(s world.SenderNo) string { return h.e.senderAddr(s) }

// Act does to a process what a fault of the world would: Kill, Start, Term, Pause, Continue.
func (h *RunControl) Act(on world.SenderNo, what world.Act) { h.e.Act(on, what) }

// Alive tells whether its process runs, stopped or not.
func (h *RunControl) Alive(s world.SenderNo) bool { return h.e.senders[s].alive() }

// EraseState takes all that a dead process has kept; what it owed is lost, and no rule is asked about that.
func (h *RunControl) EraseState(s world.SenderNo) error {
	p := h.e.senders[s]
	if err := os.RemoveAll(p.state); err != nil {
		return err
	}
	return os.MkdirAll(p.state, 0o755)
}

// Fail voids the run with a reason.
func (h *RunControl) Fail(why string) {
	if h.e.failure == "" {
		h.e.failure = why
	}
}

// Since is how long the run has lasted by the machine's clock.
func (h *RunControl) Since() time.Duration { return time.Since(h.e.startedAt) }
