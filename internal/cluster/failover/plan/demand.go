package plan

import (
	"time"

	"flaxcove/internal/cluster/failover/assess"
	"flaxcove/internal/cluster/view"
)

const (
	demandHalfLife       = 20 * time.Second
	divertedHalfLife     = 3 * time.Minute // while a route is diverted its demand can't be seen from the calls done
	demandIncreaseWeight = 0.3             // of a new, higher demand in the moving average
	maxRefusedFraction   = 0.25            // of the calls done: more rejected calls don't count as demand, as they are retries
	minDemand            = minRate / 10
)

// demand is how many calls a second the clients of a zone hand in for a destination.
type demand struct {
	rate      float64
	updatedAt view.Uptime
}

// updateDemands takes as a zone's demand what it sent and had answered, over all places of a destination: which of them
// the calls went to does not matter.
func (p *Planner) updateDemands(now view.Uptime, places []assess.PlaceHealth) {
	answered, sent := map[routeKey]float64{}, map[routeKey]float64{}
	for _, place := range places {
		for _, seen := range place.ByZone {
			k := routeKey{place.Destination, seen.From}
			answered[k] += seen.Done + min(seen.Refused, maxRefusedFraction*seen.Done)
			sent[k] += seen.Sent
		}
	}
	for k, d := range p.demands {
		p.updateDemand(now, k, d, answered[k])
	}
	for k, rate := range answered {
		if rate == 0 { // to a new leader during an outage, the calls tried are all there is to go by
			rate = sent[k]
		}
		if p.demands[k] == nil && rate > minDemand && len(p.demands) < maxPlaces {
			p.demands[k] = &demand{rate, now}
		}
	}
}

// updateDemand follows a higher rate by a moving average, and lets a lower one decay.
func (p *Planner) updateDemand(now view.Uptime, k routeKey, d *demand, answered float64) {
	if answered >= d.rate {
		d.rate, d.updatedAt = d.rate+demandIncreaseWeight*(answered-d.rate), now
		return
	}
	halfLife := demandHalfLife
	if r := p.routes[k]; r != nil && r.phase != steady {
		halfLife = divertedHalfLife
	}
	d.rate, d.updatedAt = max(answered, d.rate*decay(now-d.updatedAt, halfLife)), now
	if d.rate < minDemand {
		delete(p.demands, k)
	}
}

// updateHomeDemand spreads each zone's demand evenly over its home.
func (p *Planner) updateHomeDemand() {
	clear(p.homeDemand)
	for k, d := range p.demands {
		home := p.tiersFor(k).home
		for _, z := range home {
			p.homeDemand[k.placeIn(z)] += d.rate / float64(len(home))
		}
	}
}

// demand is in calls a second.
func (p *Planner) demand(k routeKey) float64 {
	if d := p.demands[k]; d != nil {
		return d.rate
	}
	return 0
}
