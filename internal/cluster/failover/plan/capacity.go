package plan

import (
	"math"
	"time"

	"flaxcove/internal/cluster/failover/assess"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

const (
	bestHalfLife      = 3 * time.Minute // of the best rate seen
	saturatedRefusals = 0.1             // fraction of calls rejected above which a place is saturated
	saturatedFor      = 10 * time.Second
	forgetAfter       = 10 * time.Minute // a place that nobody reported for so long
	maxPlaces         = 24000
	minRate           = 0.05 // calls a second

	unknownCapacity = 2.0 // calls a second that a place of which nothing is known is tried with
	unseenFraction  = 0.5 // of the capacity of a place with a known limit that got no calls lately
)

// place is what is remembered of the endpoints of a destination in a zone.
type place struct {
	assess.PlaceHealth
	bestRate, saturatedRate float64 // calls a second: the most done lately; done when it last rejected many
	saturatedUntil          view.Uptime
	seenAt                  view.Uptime
}

// capacity is in calls a second, all being well; false where nothing is known of it.
func (p *place) capacity(s Settings, now view.Uptime) (float64, bool) {
	var capacity float64
	switch {
	case p.Limit > 0:
		capacity = p.Limit
	case s.RatingIsRate && p.Rating > 0:
		capacity = p.Rating
	case p.bestRate > minRate:
		capacity = p.bestRate * s.ObservedMultiple
	default:
		return 0, false
	}
	if now < p.saturatedUntil && p.Limit == 0 {
		capacity = min(capacity, max(p.saturatedRate, minRate))
	}
	return capacity, true
}

// update takes the newest health of the place; the best and the saturated rate outlast it.
func (p *place) update(now view.Uptime, s assess.PlaceHealth) {
	p.bestRate *= decay(now-p.seenAt, bestHalfLife)
	p.bestRate = max(p.bestRate, s.Done)
	if sent := s.Done + s.Refused; s.Refused > saturatedRefusals*sent && s.Refused > 1 {
		p.saturatedRate, p.saturatedUntil = s.Done, now+saturatedFor
	}
	// The limit and the rating of an idle place stay as they were until others are reported.
	s.Limit, s.Rating = positiveOr(s.Limit, p.Limit), positiveOr(s.Rating, p.Rating)
	p.PlaceHealth, p.seenAt = s, now
}

func positiveOr(v, old float64) float64 {
	if v > 0 {
		return v
	}
	return old
}

func decay(span, half time.Duration) float64 {
	return math.Exp2(-float64(max(0, span)) / float64(half))
}

// capacities is the spare capacity of each place in calls a second.
type capacities map[healthreport.Locality]float64

// spareCapacity is what each place can take beyond the demand of the zones whose home it is.
func (p *Planner) spareCapacity(now view.Uptime) capacities {
	spare := capacities{}
	for at, pl := range p.places {
		capacity, known := pl.capacity(p.settings, now)
		switch {
		case !pl.listed() || pl.seenAt != p.assessedAt || pl.State == assess.Failing:
			continue
		case !known:
			spare[at] = unknownCapacity
			continue
		case pl.State == assess.Degraded:
			capacity *= pl.SuccessShare
		case pl.State == assess.Unknown:
			capacity *= unseenFraction
		}
		spare[at] = capacity * p.settings.CapacityFraction
	}
	for k, demanded := range p.demands {
		home := p.tiersFor(k).home
		for _, z := range home {
			at := k.placeIn(z)
			if remaining, found := spare[at]; found {
				spare[at] = max(0, remaining-p.homeLoadFactor(k, at)*demanded.rate/float64(len(home)))
			}
		}
	}
	return spare
}

// homeLoadFactor is the part of a zone's demand for which its home must reserve capacity: all of it, less what was
// diverted for lack of capacity. A home that is failing or returning takes nothing else: it may be in slow start, and
// what stays or returns needs its capacity.
func (p *Planner) homeLoadFactor(k routeKey, at healthreport.Locality) float64 {
	r := p.routes[k]
	switch {
	case r == nil || r.phase == steady:
		return 1
	case r.phase == Overloaded:
		return r.nearShare
	}
	if state, _ := p.stateSeenBy(k, at.Zone); state == assess.Failing {
		return 1 // the link fails; the place serves others
	}
	return math.Inf(1)
}
