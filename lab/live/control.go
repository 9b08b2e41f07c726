package live

// This file lets a caller of Run control the run. All methods but Post must be called on the world's goroutine.

import (
	"os"
	"time"

	"flaxcove/choice"
	"flaxcove/lab/world"
)

// RunControl lets a caller of Run act on the run, for instance to play faults of its own. Its methods must be called on the
// world's goroutine, except Post.
type RunControl struct{ e *engine }

// Now returns the current time of the world.
func (h *RunControl) Now() choice.Time { return h.e.w.Now() }

// After calls do on the world's goroutine after a delay.
func (h *RunControl) After(in choice.Time, do func()) { h.e.w.After(in, do) }

// Post calls do on the world's goroutine. It may be called from any goroutine.
func (h *RunControl) Post(do func()) { h.e.post(do) }

// World returns the world of the run.
func (h *RunControl) World() *world.World { return h.e.w }

// Addr returns the address at which a sender serves clients.
func (h *RunControl) Addr(s world.SenderNo) string { return h.e.senderAddr(s) }

// Act performs an action on a sender's process as a fault of the world would: Kill, Start, Term, Pause or Continue.
func (h *RunControl) Act(on world.SenderNo, what world.Action) { h.e.Act(on, what) }

// Alive reports whether a sender's process exists, paused or not.
func (h *RunControl) Alive(s world.SenderNo) bool { return h.e.senders[s].alive() }

// EraseState empties the state folder of a sender, whose process must have ended. The messages that the sender had accepted
// are lost.
func (h *RunControl) EraseState(s world.SenderNo) error {
	p := h.e.senders[s]
	if err := os.RemoveAll(p.state); err != nil {
		return err
	}
	return os.MkdirAll(p.state, 0o755)
}

// Fail makes the run fail with a reason and end. It does nothing if the run has failed before.
func (h *RunControl) Fail(why string) {
	if h.e.failure == "" {
		h.e.failure = why
	}
}

// Since returns the real time since the world began.
func (h *RunControl) Since() time.Duration { return time.Since(h.e.startedAt) }
