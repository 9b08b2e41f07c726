package referee

// This file records the events of endpoints and senders: stages and Retry-After that reached a sender, outages and returns,
// faults, and the times in which a sender could not act. A sender must not be blamed for an update that did not reach it.

import (
	"flaxcove/choice"
	"flaxcove/lab/world"
)

const (
	blameShare = 2.0 / 3 // least share of the load from senders that had seen the endpoint fail, at which senders are blamed
	maxLoads   = 200     // most seconds of slow start that the verdict lists for an endpoint
)

// senderState records whether a sender can act.
type senderState struct {
	up          bool // the sender's process serves
	upAt        Time // when the process began to serve, or became available again
	unavailable int  // number of active faults that pause or isolate the process
}

// StageAnnounced records that discovery announced an endpoint's stage to a sender. The time of the first announcement that
// the endpoint drains or is gone is kept until the endpoint is ready again.
func (r *Referee) StageAnnounced(s world.SenderNo, e *world.Endpoint, stage choice.Stage) {
	at := senderView{s, int(e.No)}
	if stage == choice.Ready {
		delete(r.stages, at)
	} else if t, known := r.stages[at]; !known || t.stage == choice.Ready {
		r.stages[at] = announcedStage{stage, r.clock()}
	}
}

// RetryAfterReceived records that a refusal with a Retry-After reached a sender.
func (r *Referee) RetryAfterReceived(s world.SenderNo, e *world.Endpoint, until Time) {
	at := senderView{s, routeNo(e)}
	if now := r.clock(); until > r.retryAfterUntil[at] {
		if r.retryAfterUntil[at] <= now {
			r.retryAfterSince[at] = now
		}
		r.retryAfterUntil[at] = until
	}
}

// Outage records that an endpoint went down, or came back.
func (r *Referee) Outage(e *world.Endpoint, down bool) {
	if down {
		r.verdict.Outages++
		return
	}
	if r.returns[e] == nil {
		r.returns[e] = &Return{Endpoint: string(e.ID), Bound: e.Bound()}
	}
	r.returns[e].Times++
	r.returns[e].At = append(r.returns[e].At, inSeconds(r.clock()))
}

// LoadInSlowStart records the load on an endpoint in slow start, and the load above which the endpoint goes down again.
func (r *Referee) LoadInSlowStart(e *world.Endpoint, load, bound float64) {
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

// OverloadedInSlowStart records that an endpoint in slow start went down again under its load. The parameter knowing is the
// share of that load from senders that had seen the endpoint fail.
func (r *Referee) OverloadedInSlowStart(e *world.Endpoint, knowing float64) {
	r.verdict.PushedOver++
	if knowing >= blameShare {
		r.addViolation(Returns, -1, "%s was pushed over when it returned, %.0f%% of the load from senders that had seen it fail", e.ID, 100*knowing)
	}
}

// Fault records that a fault begins or ends.
func (r *Referee) Fault(t *world.Fault, on bool, parts int) {
	now := inSeconds(r.clock())
	if on {
		r.verdict.Faults = append(r.verdict.Faults, Span{Kind: t.Kind, From: now, To: r.spec.Seconds, Parts: parts, fault: t})
		return
	}
	for i := range r.verdict.Faults {
		if r.verdict.Faults[i].fault == t {
			r.verdict.Faults[i].To = now
		}
	}
}

// Sender records that a sender's process serves, or no longer does.
func (r *Referee) Sender(s world.SenderNo, up bool) {
	r.checkDue()
	r.senders[s].up, r.senders[s].upAt = up, r.clock()
	if !up {
		r.forgetAnnouncements(s)
	}
}

// forgetAnnouncements drops the Retry-After and the stages that reached a process which has ended. The next incarnation does
// not know them.
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

// Unavailable records that a sender's process is paused or isolated, or no longer is.
func (r *Referee) Unavailable(s world.SenderNo, away bool) {
	r.checkDue()
	if away {
		r.senders[s].unavailable++
		return
	}
	r.senders[s].unavailable--
	r.senders[s].upAt = r.clock()
}
