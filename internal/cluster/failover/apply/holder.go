package apply

import (
	"time"

	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/view"
)

// lowerEpochDelay is how long after a plan expired a plan of a lower epoch is accepted. A consensus group that lost all
// its disks starts again at epoch 1. The delay is longer than any announcement of the old group can stay valid, as an
// announcement older than the plan's TTL is ignored.
const lowerEpochDelay = time.Minute

// Announcement is the message that carries a plan from process to process. Without Plan it renews the plan of Epoch.
type Announcement struct {
	Epoch view.Epoch    `json:"epoch"`
	Term  uint64        `json:"term"` // the term in which the announcing leader of the consensus group leads
	Age   time.Duration `json:"age"`  // time since that leader had the plan in force
	Plan  *plan.Plan    `json:"plan,omitempty"`
}

// Holder holds the plan in force at one process. Times are on the process's own clock: a plan expires its TTL after the
// leader last had it in force, which is the time of receipt less the Age of the announcement. The zero value holds no
// plan. A Holder is not safe for concurrent use.
type Holder struct {
	current     *plan.Plan
	term        uint64
	confirmedAt view.Uptime // when the leader last had the plan in force
	expiresAt   view.Uptime
}

// Receive handles an announcement and reports whether another plan is in force afterwards. It ignores an announcement that
// is older than the plan's TTL, a renewal by the leader of an earlier term, and a plan of a lower epoch until
// lowerEpochDelay after the current plan expired, so that announcements may arrive in any order. An error means that the
// plan is invalid; the plan in force stays.
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
	case in.Age >= in.Plan.TTL || in.Plan.Epoch != in.Epoch:
		return false, nil
	case h.current != nil && in.Epoch <= h.current.Epoch && now < h.expiresAt+lowerEpochDelay:
		if in.Epoch == h.current.Epoch && in.Term >= h.term {
			h.renew(now, in)
		}
		return false, nil
	}
	h.current, h.term, h.confirmedAt, h.expiresAt = in.Plan, in.Term, now-in.Age, now-in.Age+in.Plan.TTL
	return true, nil
}

func (h *Holder) renew(now view.Uptime, in Announcement) {
	h.term = in.Term
	h.confirmedAt = max(h.confirmedAt, now-in.Age)
	h.expiresAt = max(h.expiresAt, now-in.Age+h.current.TTL)
}

// Plan returns the plan in force and when it expires, or nil if no plan is in force.
func (h *Holder) Plan(now view.Uptime) (*plan.Plan, view.Uptime) {
	if h.current == nil || now >= h.expiresAt {
		return nil, 0
	}
	return h.current, h.expiresAt
}

// Epoch returns the epoch of the last plan received, even if the plan has expired; 0 before the first one.
func (h *Holder) Epoch() view.Epoch {
	if h.current == nil {
		return 0
	}
	return h.current.Epoch
}

// Announce returns the announcement to pass on now, with the plan itself or as a renewal. It returns false if no plan
// is in force.
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
