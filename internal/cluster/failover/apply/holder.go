package apply

import (
	"time"

	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/view"
)

// lowerEpochAfter is how long after a plan lapsed one of a lower epoch is taken: a consensus group that lost all its
// disks starts anew at 1, and no message is in flight for so long, as none older than its hold is taken.
const lowerEpochAfter = time.Minute

// Announcement is how a plan travels: its leader had it in force Age ago. Without the plan itself it is a renewal.
type Announcement struct {
	Epoch view.Epoch    `json:"epoch"`
	Term  uint64        `json:"term"` // of the council's leader
	Age   time.Duration `json:"age"`
	Plan  *plan.Plan    `json:"plan,omitempty"`
}

// Holder holds the plan in force at one process. It counts by the process's own clock from when it received the plan,
// less the age that travelled with it. It is not for two goroutines at once.
type Holder struct {
	current     *plan.Plan
	term        uint64
	confirmedAt view.Uptime // when its leader last had it in force, on this clock
	expiresAt   view.Uptime
}

// Receive takes a received plan or renewal; changed reports whether another plan is in force now. A lower epoch, an
// earlier leader's term or a plan that is too old is ignored, in whatever order they arrive.
func (h *Holder) Receive(now view.Uptime, in Announcement) (changed bool, err error) {
	if in.Age < 0 {
		return false, nil
	}
	if in.Plan == nil {
		if h.current != nil && in.Epoch == h.current.Epoch && in.Term >= h.term {
			h.renew(now, in)
		}
		return false, nil
	}
	if err := in.Plan.Check(); err != nil {
		return false, err
	}
	switch {
	case in.Age >= in.Plan.Hold || in.Plan.Epoch != in.Epoch:
		return false, nil
	case h.current != nil && in.Epoch <= h.current.Epoch && now < h.expiresAt+lowerEpochAfter:
		if in.Epoch == h.current.Epoch && in.Term >= h.term {
			h.renew(now, in)
		}
		return false, nil
	}
	h.current, h.term, h.confirmedAt, h.expiresAt = in.Plan, in.Term, now-in.Age, now-in.Age+in.Plan.Hold
	return true, nil
}

func (h *Holder) renew(now view.Uptime, in Announcement) {
	h.term = in.Term
	h.confirmedAt = max(h.confirmedAt, now-in.Age)
	h.expiresAt = max(h.expiresAt, now-in.Age+h.current.Hold)
}

// Plan returns the plan in force, and until when by this clock; nil if none is.
func (h *Holder) Plan(now view.Uptime) (*plan.Plan, view.Uptime) {
	if h.current == nil || now >= h.expiresAt {
		return nil, 0
	}
	return h.current, h.expiresAt
}

// Epoch returns the last epoch received, whether lapsed or not.
func (h *Holder) Epoch() view.Epoch {
	if h.current == nil {
		return 0
	}
	return h.current.Epoch
}

// Announce returns what to pass on now; false if no plan is in force.
func (h *Holder) Announce(now view.Uptime, withPlan bool) (Announcement, bool) {
	p, _ := h.Plan(now)
	if p == nil {
		return Announcement{}, false
	}
	out := Announcement{Epoch: p.Epoch, Term: h.term, Age: now - h.confirmedAt}
	if withPlan {
		out.Plan = p
	}
	return out, true
}
