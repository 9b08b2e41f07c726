package live

// This file lets a caller control a run. All methods but Post must be called on the world's goroutine.

import (
	"os"
	"time"

	"flaxcove/choice"
	"flaxcove/lab/world"
)

// RunControl lets a caller act on a run, for instance to play faults of its own. It belongs to the world's goroutine; Post
// may be called from any other.
type RunControl struct{ e *engine }

// Now is the current time of the world.
func (h *RunControl) Now() choice.Time { return h.e.w.Now() }

// After calls do on the world's goroutine after a time.
func (h *RunControl) After(in choice.Time, do func()) { h.e.w.After(in, do) }

// Post calls do on the world's goroutine. It may be called from any goroutine.
func (h *RunControl) Post(do func()) { h.e.post(do) }

// World is the world of the run.
func (h *RunControl) World() *world.World { return h.e.w }

// Addr is the address at which a sender serves clients.
func (h *RunControl) Addr(s world.SenderNo) string { return h.e.senderAddr(s) }

// Act does to a sender's process what a fault of the world would: Kill, Start, Term, Pause or Continue.
func (h *RunControl) Act(on world.SenderNo, what world.Act) { h.e.Act(on, what) }

// Alive reports whether a sender's process exists, paused or not.
func (h *RunControl) Alive(s world.SenderNo) bool { return h.e.senders[s].alive() }

// EraseState erases the state folder of a sender whose process has ended. The messages it had accepted are lost.
func (h *RunControl) EraseState(s world.SenderNo) error {
	p := h.e.senders[s]
	if err := os.RemoveAll(p.state); err != nil {
		return err
	}
	return os.MkdirAll(p.state, 0o755)
}

// Fail ends the run with a reason, unless it has failed before.
func (h *RunControl) Fail(why string) {
	if h.e.failure == "" {
		h.e.failure = why
	}
}

// Since is the time since the world began, by the machine's clock.
func (h *RunControl) Since() time.Duration { return time.Since(h.e.startedAt) }
