package plan

import (
	"math"
	"slices"
	"time"

	"flaxcove/internal/cluster/failover/assess"
	"flaxcove/internal/cluster/view"
)

const (
	neverAt             = view.Uptime(math.MinInt64 / 4)
	maxDiversions       = 8                       // remembered; the return delay is at its longest by then
	overloadPersistence = 1500 * time.Millisecond // how long near is overloaded or degraded before anything moves
	maxShareIncrease    = 0.25                    // the most that near takes back at once after an overload
)

// routeState is where one zone's messages to one destination stand.
type routeState struct {
	phase      Phase
	step       int           // of a return
	nearShare  float64       // that is to go near in this phase
	diversions []view.Uptime // times at which the near share was reduced

	turnedAt, steppedAt view.Uptime // last diversion or begin of a return; last step
	failingSince        view.Uptime // these are neverAt if they don't apply
	healthySince        view.Uptime // without a break
	lastHealthyAt       view.Uptime
	warmingSince        view.Uptime
	overloadedSince     view.Uptime
	outage              time.Duration // how long the last one lasted

	revision          int         // counts changes of phase and near share
	published         Route       // in the plan in force
	publishedRevision int         // that published was made from
	publishedAt       view.Uptime // when it was last seen in force
}

func newRouteState() *routeState {
	return &routeState{nearShare: 1, turnedAt: neverAt, steppedAt: neverAt, failingSince: neverAt, healthySince: neverAt, lastHealthyAt: neverAt, warmingSince: neverAt,
		overloadedSince: neverAt, publishedAt: neverAt}
}

// returnDelay is how long near must be healthy before a return: a fraction of the outage's length, doubled for each
// recent diversion but the last.
func (r *routeState) returnDelay(s Settings, now view.Uptime) time.Duration {
	r.diversions = slices.DeleteFunc(r.diversions, func(t view.Uptime) bool { return now-t > s.DiversionMemory })
	delay := max(s.MinReturnDelay, min(s.MaxOutageDelay, time.Duration(s.OutageFraction*float64(r.outage))))
	for range max(0, len(r.diversions)-1) {
		delay = min(2*delay, s.MaxReturnDelay)
	}
	return min(delay, s.MaxReturnDelay)
}

func (r *routeState) setPhase(phase Phase, near float64) {
	r.phase, r.nearShare, r.revision = phase, near, r.revision+1
}

func (r *routeState) recordDiversion(now view.Uptime) {
	r.turnedAt = now
	if len(r.diversions) < maxDiversions {
		r.diversions = append(r.diversions, now)
	}
}

// observe takes the state that near is seen in; Unknown changes nothing.
func (r *routeState) observe(now view.Uptime, state assess.State) {
	switch state {
	case assess.Healthy:
		if r.healthySince == neverAt {
			r.healthySince = now
			if r.failingSince != neverAt {
				r.outage = now - r.failingSince
			}
		}
		r.lastHealthyAt = now
	case assess.Failing, assess.Degraded:
		r.healthySince = neverAt
	}
}

// advanceRoute moves a route on by the state that its home is seen in.
func (p *Planner) advanceRoute(now view.Uptime, k routeKey, r *routeState, home []view.Zone) {
	state := p.homeState(k, home)
	r.observe(now, state)
	switch r.phase {
	case steady, Overloaded:
		if state == assess.Failing && now-r.turnedAt >= p.settings.MinReturnDelay {
			r.divert(now, p.trialShare(k))
			return
		}
		if state != assess.Failing {
			p.adjustToCapacity(now, k, r, home)
		}
	case Diverted:
		p.beginReturn(now, k, r, home, state)
	case Returning:
		p.continueReturn(now, k, r, home, state)
	}
	if state == assess.Failing {
		p.lastFailing[k] = now
	}
}

// beginReturn takes the first step of a return once near was healthy for the delay, or was not seen at all for long.
func (p *Planner) beginReturn(now view.Uptime, k routeKey, r *routeState, home []view.Zone, state assess.State) {
	delay := r.returnDelay(p.settings, now)
	healthy := r.healthySince != neverAt && now-r.healthySince >= delay
	unseen := r.healthySince == neverAt && state == assess.Unknown &&
		now-max(r.turnedAt, p.lastFailing[k]) >= max(delay, p.settings.UnseenReturnAfter)
	if now-r.turnedAt < delay || !healthy && !unseen || !p.returnsMayStep(now) {
		return
	}
	p.lastStepAt = now
	r.turnedAt, r.steppedAt, r.step, r.warmingSince = now, now, 0, r.healthySince
	if unseen {
		r.warmingSince = now
	}
	r.setPhase(Returning, p.stepShare(now, k, r, home))
}

// divert sends all but trials away from near.
func (r *routeState) divert(now view.Uptime, trialShare float64) {
	r.recordDiversion(now)
	r.failingSince, r.healthySince = now, neverAt
	r.setPhase(Diverted, trialShare)
}

// continueReturn takes the next step of a return once the last went well for StepDuration, or diverts the route again.
func (p *Planner) continueReturn(now view.Uptime, k routeKey, r *routeState, home []view.Zone, state assess.State) {
	switch {
	case state == assess.Failing && now-r.turnedAt >= p.settings.MinReturnDelay,
		state == assess.Degraded && now-max(r.lastHealthyAt, r.steppedAt) > 2*p.settings.StepDuration:
		r.divert(now, p.trialShare(k))
		return
	case now-r.steppedAt < p.settings.StepDuration || !p.returnsMayStep(now):
		return
	case r.healthySince == neverAt || r.lastHealthyAt <= r.steppedAt:
		if state != assess.Unknown || now-r.steppedAt < p.settings.UnseenReturnAfter {
			return
		}
	}
	p.lastStepAt = now
	last := len(p.settings.Steps) - 1
	r.steppedAt, r.step = now, min(r.step+1, last)
	near := p.stepShare(now, k, r, home)
	switch {
	case r.step == last && near >= 1:
		r.setPhase(steady, 1)
	case near > r.nearShare:
		r.setPhase(Returning, near)
	}
}

// stepShare is the near share of a step, limited to what endpoints in slow start can take from all senders together.
// Half of the margin up to the load that makes them fail is kept free.
func (p *Planner) stepShare(now view.Uptime, k routeKey, r *routeState, home []view.Zone) float64 {
	share := p.settings.Steps[r.step]
	capacity, demand := 0.0, 0.0
	for _, z := range home {
		pl := p.places[k.placeIn(z)]
		if pl == nil {
			return share
		}
		zoneCapacity, known := pl.capacity(p.settings, now)
		if !known {
			return share
		}
		capacity, demand = capacity+zoneCapacity, max(demand, p.homeDemand[pl.Locality])
	}
	if demand <= 0 {
		return share
	}
	return min(share, capacity*p.warmedFraction(now, r)*min(1, p.settings.OverloadMultiple/2)/demand)
}

// warmedFraction is the part of its capacity that near has by now in its slow start.
func (p *Planner) warmedFraction(now view.Uptime, r *routeState) float64 {
	s := p.settings
	if s.SlowStart <= 0 || r.warmingSince == neverAt {
		return 1
	}
	return min(1, s.SlowStartFrom+(1-s.SlowStartFrom)*float64(now-r.warmingSince)/float64(s.SlowStart))
}

// returnsMayStep makes all returns take their steps at the same moments, so that a returning zone with a hundred
// destinations makes one plan for each step and not one for each destination.
func (p *Planner) returnsMayStep(now view.Uptime) bool {
	return now == p.lastStepAt || now-p.lastStepAt >= p.settings.StepDuration
}

// trialShare is the share that keeps trying near while it fails; without it nobody would ever see it healthy again.
func (p *Planner) trialShare(k routeKey) float64 {
	return min(max(p.settings.TrialRate/max(minRate, p.demand(k)), p.settings.MinTrialShare), p.settings.MaxTrialShare)
}

// homeState joins the states of a home's zones; it is failing only if all of them are. A place that nobody called
// lately counts as healthy if the other places that the zone calls there are: where calls are few, it returns together
// with the rest.
func (p *Planner) homeState(k routeKey, home []view.Zone) assess.State {
	var states [assess.Failing + 1]int
	for _, z := range home {
		state, _ := p.stateSeenBy(k, z)
		if state == assess.Unknown && p.healthyLinks[link{k.from, z}] {
			state = assess.Healthy
		}
		states[state]++
	}
	switch {
	case states[assess.Failing] == len(home):
		return assess.Failing
	case states[assess.Healthy] > 0:
		return assess.Healthy
	case states[assess.Degraded] > 0:
		return assess.Degraded
	}
	return assess.Unknown
}

// adjustToCapacity diverts what near lacks capacity for once that has lasted a while, and takes it back step by step.
func (p *Planner) adjustToCapacity(now view.Uptime, k routeKey, r *routeState, home []view.Zone) {
	wanted := p.capacityShare(now, k, home)
	if wanted > 1-p.settings.MinShareChange {
		wanted = 1
	}
	switch {
	case wanted == r.nearShare, wanted < 1 &&
		wanted > r.nearShare-p.settings.MinShareChange && wanted < r.nearShare+p.settings.MinShareChange:
		r.overloadedSince = neverAt
	case wanted < r.nearShare:
		if r.overloadedSince == neverAt {
			r.overloadedSince = now
		}
		if now-r.overloadedSince >= overloadPersistence && now-r.turnedAt >= p.settings.MinReturnDelay {
			r.recordDiversion(now)
			r.overloadedSince = neverAt
			r.setPhase(Overloaded, wanted)
		}
	case now-r.turnedAt >= r.returnDelay(p.settings, now) && now-r.steppedAt >= p.settings.MinReturnDelay:
		r.steppedAt, r.overloadedSince = now, neverAt
		if near := min(wanted, r.nearShare+maxShareIncrease); near < 1 {
			r.setPhase(Overloaded, near)
		} else {
			r.setPhase(steady, 1)
		}
	}
}

// capacityShare is the share of the demand that near has capacity for, where it is seen to be degraded or saturated;
// otherwise 1.
func (p *Planner) capacityShare(now view.Uptime, k routeKey, home []view.Zone) float64 {
	capacity, demand, limited := 0.0, 0.0, false
	for _, z := range home {
		pl := p.places[k.placeIn(z)]
		if pl == nil {
			return 1
		}
		zoneCapacity, known := pl.capacity(p.settings, now)
		if !known {
			return 1
		}
		state, successShare := p.stateSeenBy(k, z)
		limited = limited || state == assess.Degraded || now < pl.saturatedUntil
		if state == assess.Degraded {
			zoneCapacity *= successShare
		}
		capacity, demand = capacity+zoneCapacity, demand+p.homeDemand[pl.Locality]
	}
	if !limited || demand <= 0 {
		return 1
	}
	return min(1, capacity/demand)
}
