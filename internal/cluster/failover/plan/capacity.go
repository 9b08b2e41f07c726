package plan

import (
	"math"
	"time"

	"flaxcove/internal/cluster/failover/assess"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

const (
	bestHalfLife              = 3 * time.Minute  // half-life of localityState.bestRate
	saturatedRejectedFraction = 0.1              // a locality that rejects a larger fraction of its calls is saturated
	saturatedFor              = 10 * time.Second // how long a locality counts as saturated after the last update with so many rejected calls
	localityTTL               = 10 * time.Minute // how long a locality is kept after its last update
	maxLocalities             = 24000
	minRate                   = 0.05 // calls per second; lower rates are treated as this rate or as none

	unknownCapacity    = 2.0 // calls per second assigned to a locality of unknown capacity, to try it
	unobservedFraction = 0.5 // fraction of a known capacity that is used while a locality got no recent calls
)

// localityState is the last reported health of a locality with the rates that the planner remembers of it.
type localityState struct {
	assess.LocalityHealth
	bestRate, saturatedRate float64     // calls done per second: the maximum, which decays; the rate when last saturated
	saturatedUntil          view.Uptime // the locality counts as saturated until then
	updatedAt               view.Uptime
}

// capacity returns the capacity of the locality in calls per second if all its endpoints work, or false if it is
// unknown.
func (l *localityState) capacity(s Settings, now view.Uptime) (float64, bool) {
	var capacity float64
	switch {
	case l.Limit > 0:
		capacity = l.Limit
	case s.RatingIsRate && l.Rating > 0:
		capacity = l.Rating
	case l.bestRate > minRate:
		capacity = l.bestRate * s.ObservedMultiple
	default:
		return 0, false
	}
	if now < l.saturatedUntil && l.Limit == 0 {
		capacity = min(capacity, max(l.saturatedRate, minRate))
	}
	return capacity, true
}

// update replaces the health of the locality and updates its best and saturated rates.
func (l *localityState) update(now view.Uptime, s assess.LocalityHealth) {
	l.bestRate *= decay(now-l.updatedAt, bestHalfLife)
	l.bestRate = max(l.bestRate, s.Done)
	if sent := s.Done + s.Rejected; s.Rejected > saturatedRejectedFraction*sent && s.Rejected > 1 {
		l.saturatedRate, l.saturatedUntil = s.Done, now+saturatedFor
	}
	// An idle locality keeps its last known limit and rating.
	s.Limit, s.Rating = positiveOr(s.Limit, l.Limit), positiveOr(s.Rating, l.Rating)
	l.LocalityHealth, l.updatedAt = s, now
}

// positiveOr returns v if it is positive, otherwise old.
func positiveOr(v, old float64) float64 {
	if v > 0 {
		return v
	}
	return old
}

// decay returns the factor by which a value with a half-life decays during span.
func decay(span, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, span)) / float64(halfLife))
}

// capacities holds the spare capacity of localities in calls per second.
type capacities map[healthreport.Locality]float64

// spareCapacity returns the capacity of each usable locality that remains after the demand of the zones whose home it
// is.
func (p *Planner) spareCapacity(now view.Uptime) capacities {
	spare := capacities{}
	for at, locality := range p.localities {
		capacity, known := locality.capacity(p.settings, now)
		switch {
		case !locality.listed() || locality.updatedAt != p.assessedAt || locality.State == assess.Failing:
			continue
		case !known:
			spare[at] = unknownCapacity
			continue
		case locality.State == assess.Degraded:
			capacity *= locality.SuccessShare
		case locality.State == assess.Unknown:
			capacity *= unobservedFraction
		}
		spare[at] = capacity * p.settings.CapacityFraction
	}
	for k, demanded := range p.demands {
		home := p.tiersFor(k).home
		for _, z := range home {
			at := k.localityIn(z)
			if remaining, found := spare[at]; found {
				spare[at] = max(0, remaining-p.homeLoadFactor(k, at)*demanded.rate/float64(len(home)))
			}
		}
	}
	return spare
}

// homeLoadFactor returns the factor by which a zone's demand is subtracted from the capacity of its home: 1, or the near
// share if part of the demand is diverted for lack of capacity. While the route is diverted or returning, it is infinite,
// so that no other zone gets capacity there: the home may be in slow start, and needs its capacity for the messages that
// stay or return. It is 1 again while the zone sees its home failing, as the home only has spare capacity if other zones
// get answers.
func (p *Planner) homeLoadFactor(k routeKey, at healthreport.Locality) float64 {
	r := p.routes[k]
	switch {
	case r == nil || r.phase == steady:
		return 1
	case r.phase == Overloaded:
		return r.nearShare
	}
	if state, _ := p.stateSeenBy(k, at.Zone); state == assess.Failing {
		return 1 // only the link fails; the locality serves other zones
	}
	return math.Inf(1)
}
