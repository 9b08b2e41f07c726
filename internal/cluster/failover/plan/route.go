package plan

import (
	"math"
	"slices"
	"time"

	"flaxcove/internal/cluster/failover/assess"
	"flaxcove/internal/cluster/view"
)

const (
	neverAt             = view.Uptime(math.MinInt64 / 4) // a time before all others, for events that have not happened
	maxDiversions       = 8                              // number of diversions remembered; with so many the return delay is at its maximum
	overloadPersistence = 1500 * time.Millisecond        // how long near must lack capacity before a route is diverted
	maxShareIncrease    = 0.25                           // maximum increase of the near share at a time after an overload
)

// routeState is the planner's state of the messages from one zone to one destination.
type routeState struct {
	phase      Phase
	step       int           // index into Settings.Steps while Returning
	nearShare  float64       // share that should go near in this phase
	diversions []view.Uptime // times at which the near share was reduced, oldest first

	// The following times are neverAt if the event did not happen or the condition does not apply.
	directionChangedAt, steppedAt view.Uptime   // last diversion or start of a return; last step
	failingSince                  view.Uptime   // start of the last outage
	healthySince                  view.Uptime   // since when near is healthy without interruption
	lastHealthyAt                 view.Uptime   // when near was last seen healthy
	slowStartSince                view.Uptime   // start of the slow start of near in the last return
	overloadedSince               view.Uptime   // since when near lacks capacity for nearShare
	outage                        time.Duration // duration of the last outage

	revision          int         // counts changes of phase and nearShare
	published         Route       // the route in the plan in force; its phase is steady if there is none
	publishedRevision int         // revision that published was made from
	publishedAt       view.Uptime // when published was last confirmed by SetPlanInForce
}

// newRouteState returns the state of a steady route.
func newRouteState() *routeState {
	return &routeState{nearShare: 1, directionChangedAt: neverAt, steppedAt: neverAt, failingSince: neverAt, healthySince: neverAt, lastHealthyAt: neverAt, slowStartSince: neverAt,
		overloadedSince: neverAt, publishedAt: neverAt}
}

// returnDelay returns how long near must be healthy before a return begins: a fraction of the outage's duration, doubled
// for each recent diversion but one, within the limits of the settings.
func (r *routeState) returnDelay(s Settings, now view.Uptime) time.Duration {
	r.diversions = slices.DeleteFunc(r.diversions, func(t view.Uptime) bool { return now-t > s.DiversionWindow })
	delay := max(s.MinReturnDelay, min(s.MaxOutageDelay, time.Duration(s.OutageFraction*float64(r.outage))))
	for range max(0, len(r.diversions)-1) {
		delay = min(2*delay, s.MaxReturnDelay)
	}
	return min(delay, s.MaxReturnDelay)
}

// setPhase sets the phase and the near share and counts the change in revision.
func (r *routeState) setPhase(phase Phase, near float64) {
	r.phase, r.nearShare, r.revision = phase, near, r.revision+1
}

// recordDiversion records that the route is diverted now. It adds the time to diversions, by which returnDelay doubles the
// delay, unless there are maxDiversions already.
func (r *routeState) recordDiversion(now view.Uptime) {
	r.directionChangedAt = now
	if len(r.diversions) < maxDiversions {
		r.diversions = append(r.diversions, now)
	}
}

// observe updates the times of health and the outage by the state of near. Unknown changes nothing.
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

// advanceRoute advances the phase of a route according to the state of its home.
func (p *Planner) advanceRoute(now view.Uptime, k routeKey, r *routeState, home []view.Zone) {
	state := p.homeState(k, home)
	r.observe(now, state)
	switch r.phase {
	case steady, Overloaded:
		if state == assess.Failing && now-r.directionChangedAt >= p.settings.MinReturnDelay {
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

// beginReturn takes the first step of a return if near was healthy for the return delay. It also does so if the state of
// near is unknown and near was not seen failing for Settings.UnobservedReturnAfter.
func (p *Planner) beginReturn(now view.Uptime, k routeKey, r *routeState, home []view.Zone, state assess.State) {
	delay := r.returnDelay(p.settings, now)
	healthy := r.healthySince != neverAt && now-r.healthySince >= delay
	unobserved := r.healthySince == neverAt && state == assess.Unknown &&
		now-max(r.directionChangedAt, p.lastFailing[k]) >= max(delay, p.settings.UnobservedReturnAfter)
	if now-r.directionChangedAt < delay || !healthy && !unobserved || !p.returnsMayStep(now) {
		return
	}
	p.lastStepAt = now
	r.directionChangedAt, r.steppedAt, r.step, r.slowStartSince = now, now, 0, r.healthySince
	if unobserved {
		r.slowStartSince = now
	}
	r.setPhase(Returning, p.stepShare(now, k, r, home))
}

// divert sends all messages except the trial share away from near.
func (r *routeState) divert(now view.Uptime, trialShare float64) {
	r.recordDiversion(now)
	r.failingSince, r.healthySince = now, neverAt
	r.setPhase(Diverted, trialShare)
}

// continueReturn takes the next step of a return once the current step has lasted for Settings.StepDuration and near was
// seen healthy in it, or once near was unobserved for Settings.UnobservedReturnAfter. It diverts the route again if near
// is failing, or degraded for more than twice Settings.StepDuration.
func (p *Planner) continueReturn(now view.Uptime, k routeKey, r *routeState, home []view.Zone, state assess.State) {
	switch {
	case state == assess.Failing && now-r.directionChangedAt >= p.settings.MinReturnDelay,
		state == assess.Degraded && now-max(r.lastHealthyAt, r.steppedAt) > 2*p.settings.StepDuration:
		r.divert(now, p.trialShare(k))
		return
	case now-r.steppedAt < p.settings.StepDuration || !p.returnsMayStep(now):
		return
	case r.healthySince == neverAt || r.lastHealthyAt <= r.steppedAt:
		if state != assess.Unknown || now-r.steppedAt < p.settings.UnobservedReturnAfter {
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

// stepShare returns the near share of the current step, limited to what endpoints in slow start can take from all zones
// whose home they are: half of the load at which they fail (see Settings.OverloadMultiple), but at most their capacity.
func (p *Planner) stepShare(now view.Uptime, k routeKey, r *routeState, home []view.Zone) float64 {
	share := p.settings.Steps[r.step]
	capacity, demand := 0.0, 0.0
	for _, z := range home {
		locality := p.localities[k.localityIn(z)]
		if locality == nil {
			return share
		}
		zoneCapacity, known := locality.capacity(p.settings, now)
		if !known {
			return share
		}
		capacity, demand = capacity+zoneCapacity, max(demand, p.homeDemand[locality.Locality])
	}
	if demand <= 0 {
		return share
	}
	return min(share, capacity*p.slowStartFraction(now, r)*min(1, p.settings.OverloadMultiple/2)/demand)
}

// slowStartFraction returns the fraction of its capacity that near has now, which is below 1 during slow start.
func (p *Planner) slowStartFraction(now view.Uptime, r *routeState) float64 {
	s := p.settings
	if s.SlowStart <= 0 || r.slowStartSince == neverAt {
		return 1
	}
	return min(1, s.SlowStartFrom+(1-s.SlowStartFrom)*float64(now-r.slowStartSince)/float64(s.SlowStart))
}

// returnsMayStep reports whether returning routes may take a step now. All of them take their steps at the same times, so
// that the return of a zone with a hundred destinations needs one plan for each step rather than one for each
// destination.
func (p *Planner) returnsMayStep(now view.Uptime) bool {
	return now == p.lastStepAt || now-p.lastStepAt >= p.settings.StepDuration
}

// trialShare returns the share that goes near while near is failing. Without these calls no sender would notice that near
// is healthy again.
func (p *Planner) trialShare(k routeKey) float64 {
	return min(max(p.settings.TrialRate/max(minRate, p.demand(k)), p.settings.MinTrialShare), p.settings.MaxTrialShare)
}

// homeState combines the states of the home zones, as seen from the sending zone, into one. It is Failing only if all of
// them are. A locality of unknown state counts as healthy if the link to its zone is, so that destinations with few
// calls return together with the others.
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

// adjustToCapacity reduces the near share once near has lacked capacity for overloadPersistence. After the return delay it
// increases the share again as near has capacity, by up to maxShareIncrease at a time.
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
		if now-r.overloadedSince >= overloadPersistence && now-r.directionChangedAt >= p.settings.MinReturnDelay {
			r.recordDiversion(now)
			r.overloadedSince = neverAt
			r.setPhase(Overloaded, wanted)
		}
	case now-r.directionChangedAt >= r.returnDelay(p.settings, now) && now-r.steppedAt >= p.settings.MinReturnDelay:
		r.steppedAt, r.overloadedSince = now, neverAt
		if near := min(wanted, r.nearShare+maxShareIncrease); near < 1 {
			r.setPhase(Overloaded, near)
		} else {
			r.setPhase(steady, 1)
		}
	}
}

// capacityShare returns the share of the demand that near has capacity for. It returns 1 unless a home zone is degraded or
// saturated and the capacity of all home zones is known.
func (p *Planner) capacityShare(now view.Uptime, k routeKey, home []view.Zone) float64 {
	capacity, demand, limited := 0.0, 0.0, false
	for _, z := range home {
		locality := p.localities[k.localityIn(z)]
		if locality == nil {
			return 1
		}
		zoneCapacity, known := locality.capacity(p.settings, now)
		if !known {
			return 1
		}
		state, successShare := p.stateSeenBy(k, z)
		limited = limited || state == assess.Degraded || now < locality.saturatedUntil
		if state == assess.Degraded {
			zoneCapacity *= successShare
		}
		capacity, demand = capacity+zoneCapacity, demand+p.homeDemand[locality.Locality]
	}
	if !limited || demand <= 0 {
		return 1
	}
	return min(1, capacity/demand)
}
