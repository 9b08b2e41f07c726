package referee

// This file keeps what endpoints and senders go through: stages and Retry-After that reached a sender, outages and
// returns, faults, and the times in which a sender could not act. It must not blame a sender for an update that did not
// reach it.

import (
	"flaxcove/choice"
	"flaxcove/lab/world"
)

const (
	blameShare = 2.0 / 3 // senders are blamed if this share of the load came from those that had seen the endpoint fail
	maxLoads   = 200     // how many seconds of a return the verdict lists
)

// senderState says whether a sender can act.
type senderState struct {
	up   bool
	upAt Time // when it began to serve, or became available again
	away int  // number of faults that keep it from acting
}

// StageAnnounced receives that an endpoint's stage was announced to a sender.
func (r *Referee) StageAnnounced(s world.SenderNo, e *world.Endpoint, stage choice.Stage) {
	at := senderView{s, int(e.No)}
	if stage == choice.Ready {
		delete(r.stages, at)
	} else if t, known := r.stages[at]; !known || t.stage == choice.Ready {
		r.stages[at] = announcedStage{stage, r.clock()}
	}
}

// RetryAfterReceived receives that a refusal with a Retry-After reached a sender.
func (r *Referee) RetryAfterReceived(s world.SenderNo, e *world.Endpoint, until Time) {
	at := senderView{s, routeNo(e)}
	if now := r.clock(); until > r.retryAfterUntil[at] {
		if r.retryAfterUntil[at] <= now {
			r.retryAfterSince[at] = now
		}
		r.retryAfterUntil[at] = until
	}
}

// Outage receives that an endpoint went down, or came back.
func (r *Referee) Outage(e *world.Endpoint, down bool) {
	if down {
		r.v.Outages++
		return
	}
	if r.returns[e] == nil {
		r.returns[e] = &Return{Endpoint: string(e.ID), Bound: e.Bound()}
	}
	r.returns[e].Times++
	r.returns[e].At = append(r.returns[e].At, sec(r.clock()))
}

// Returning receives the load on an endpoint in slow start, and the load above which it falls over.
func (r *Referee) Returning(e *world.Endpoint, load, bound float64) {
	ret := r.returns[e]
	if ret == nil {
		return
	}
	ret.Most = max(ret.Most, load/bound)
	if len(ret.Loads) >= maxLoads {
		return
	}
	second := int(r.clock() / choice.Second)
	if last := len(ret.Loads) - 1; last >= 0 && int(ret.Loads[last][0]) == second {
		ret.Loads[last][1] = max(ret.Loads[last][1], load/bound)
		return
	}
	ret.Loads = append(ret.Loads, [2]float64{float64(second), load / bound})
}

// PushedOver receives that an endpoint fell over in slow start, and the share of its load from senders that had seen it fail.
func (r *Referee) PushedOver(e *world.Endpoint, knowing float64) {
	r.v.PushedOver++
	if knowing >= blameShare {
		r.violated(Returns, -1, "%s was pushed over when it returned, %.0f%% of the load from senders that had seen it fail", e.ID, 100*knowing)
	}
}

// Fault receives that a fault begins or ends.
func (r *Referee) Fault(t *world.Fault, on bool, parts int) {
	now := sec(r.clock())
	if on {
		r.v.Faults = append(r.v.Faults, Span{Kind: t.Kind, From: now, To: r.spec.Seconds, Parts: parts, no: t})
		return
	}
	for i := range r.v.Faults {
		if r.v.Faults[i].no == t {
			r.v.Faults[i].To = now
		}
	}
}

// Sender receives that a sender's process serves, or no longer does.
func (r *Referee) Sender(s world.SenderNo, up bool) {
	r.judgeDue()
	r.senders[s].up, r.senders[s].upAt = up, r.clock()
	if !up {
		r.forgetAnnouncements(s)
	}
}

// forgetAnnouncements drops what a process knew of waits and stages; the next incarnation learns them anew.
func (r *Referee) forgetAnnouncements(s world.SenderNo) {
	for at := range r.retryAfterUntil {
		if at.sender == s {
			delete(r.retryAfterUntil, at)
			delete(r.retryAfterSince, at)
		}
	}
	for at := range r.stages {
		if at.sender == s {
			delete(r.stages, at)
		}
	}
}

// Unavailable receives that a sender's process is paused or isolated, or no longer is.
func (r *Referee) Unavailable(s world.SenderNo, away bool) {
	r.judgeDue()
	if away {
		r.senders[s].away++
		return
	}
	r.senders[s].away--
	r.senders[s].upAt = r.clock()
}
