package apply

import (
	"time"

	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/view"
)

// forgetAfter is how long after a plan lapsed one of a lower epoch is taken: a council that lost all its disks begins
// anew at 1, and no message is so long on its way, as none older than its hold is taken.
const lowerEpochAfter = time.Minute

// Heard is how a plan travels: as of Age ago its leader had it in force. Without the plan itself it renews one.
type Heard struct {
	Epoch view.Epoch    `json:"epoch"`
	Term  uint64        `json:"term"` // of the council's leader
	Age   time.Duration `json:"age"`
	Plan  *plan.Plan    `json:"plan,omitempty"`
}

// Holder is the plan that counts at one process. It counts by its own clock from when it heard, less the age that
// travelled. Not for two goroutines at once.
type Holder struct {
	current     *plan.Plan
	term        uint64
	confirmedAt view.Now // when its leader last had it in force, on this clock
	expiresAt   view.Now
}

// Hear takes what came; changed tells that another plan counts now. What is of a lower epoch, of an earlier leader or
// too old is left out, in whatever order it comes.
func (h *Holder) Hear(now view.Now, in Heard) (changed bool, err error) {
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

func (h *Holder) renew(now view.Now, in Heard) {
	h.term = in.Term
	h.confirmedAt = max(h.confirmedAt, now-in.Age)
	h.expiresAt = max(h.expiresAt, now-in.Age+h.current.Hold)
}

// Plan is what counts now, and until when by this clock; nil when nothing does.
func (h *Holder) Plan(now view.Now) (*plan.Plan, view.Now) {
	if h.current == nil || now >= h.expiresAt {
		return nil, 0
	}
	return h.current, h.expiresAt
}

// Epoch is the last epoch heard of, lapsed or not.
func (h *Holder) Epoch() view.Epoch {
	if h.current == nil {
		return 0
	}
	return h.current.Epoch
}

// Tell is what to pass on now; false when nothing counts.
func (h *Holder) Tell(now view.Now, withPlan bool) (Heard, bool) {
	p, _ := h.Plan(now)
	if p == nil {
		return Heard{}, false
	}
	out := Heard{Epoch: p.Epoch, Term: h.term, Age: now - h.confirmedAt}
	if withPlan {
		out.Plan = p
	}
	return out, true
}
