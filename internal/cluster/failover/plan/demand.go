package plan

import (
	"time"

	"flaxcove/internal/cluster/failover/assess"
	"flaxcove/internal/cluster/view"
)

const (
	demandHalfLife       = 20 * time.Second
	divertedHalfLife     = 3 * time.Minute // replaces demandHalfLife while a route is diverted, as the calls answered then do not show the demand
	demandIncreaseWeight = 0.3             // weight of a higher demand in the moving average
	maxRejectedFraction  = 0.25            // rejected calls count as demand up to this fraction of the calls done; further ones are retries
	minDemand            = minRate / 10    // calls per second; a lower demand is dropped
)

// demand is the rate of calls from one zone to one destination.
type demand struct {
	rate      float64 // calls per second
	updatedAt view.Uptime
}

// updateDemands derives the demand of each zone for each destination from the calls that were answered, summed over the
// destination's localities, since it does not matter which of them received the calls.
func (p *Planner) updateDemands(now view.Uptime, localities []assess.LocalityHealth) {
	answered, sent := map[routeKey]float64{}, map[routeKey]float64{}
	for _, locality := range localities {
		for _, seen := range locality.ByZone {
			k := routeKey{locality.Destination, seen.From}
			answered[k] += seen.Done + min(seen.Rejected, maxRejectedFraction*seen.Done)
			sent[k] += seen.Sent
		}
	}
	for k, d := range p.demands {
		p.updateDemand(now, k, d, answered[k])
	}
	for k, rate := range answered {
		if rate == 0 { // a new leader that starts during an outage knows only the calls sent
			rate = sent[k]
		}
		if p.demands[k] == nil && rate > minDemand && len(p.demands) < maxLocalities {
			p.demands[k] = &demand{rate, now}
		}
	}
}

// updateDemand approaches a higher rate by a moving average and a lower rate by exponential decay. It deletes a demand
// that falls below minDemand.
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

// updateHomeDemand recomputes homeDemand: each zone's demand is divided evenly among its home zones.
func (p *Planner) updateHomeDemand() {
	clear(p.homeDemand)
	for k, d := range p.demands {
		home := p.tiersFor(k).home
		for _, z := range home {
			p.homeDemand[k.localityIn(z)] += d.rate / float64(len(home))
		}
	}
}

// demand returns the demand for a route in calls per second, 0 if unknown.
func (p *Planner) demand(k routeKey) float64 {
	if d := p.demands[k]; d != nil {
		return d.rate
	}
	return 0
}
