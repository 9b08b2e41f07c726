package plan

import (
	"math"
	"slices"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/failover/weigh"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

// Half-lives and weights of what is remembered: a load is of some seconds, what was done at best is worth minutes.
const (
	bestHalf    = 3 * time.Minute
	demandHalf  = 20 * time.Second
	awayHalf    = 3 * time.Minute // while a route is away what is handed in cannot be seen from what is done
	demandGrow  = 0.3             // weight of a new, higher demand
	fullShare   = 0.1             // refused of all sent: above, a place does all it can
	fullFor     = 10 * time.Second
	refusedPart = 0.25 // of what is done, at most, counts refused calls as demand: they are tried again
	forgetAfter = 10 * time.Minute
	mostPlaces  = 24000
	nearNothing = 0.05 // calls a second
)

// place is what is remembered of the endpoints of a destination in a zone.
type place struct {
	weigh.Standing
	best, full float64 // calls a second done at best lately; done when it refused
	fullUntil  view.Now
	seen       view.Now
}

// can is what it does a second, all well; known is false where nobody ever saw or was told.
func (p *place) can(s Settings, now view.Now) (float64, bool) {
	var all float64
	switch {
	case p.Limit > 0:
		all = p.Limit
	case s.RatingIsRate && p.Rating > 0:
		all = p.Rating
	case p.best > nearNothing:
		all = p.best * s.SeenMultiple
	default:
		return 0, false
	}
	if now < p.fullUntil && p.Limit == 0 {
		all = min(all, max(p.full, nearNothing))
	}
	return all, true
}

// load is how many calls a second a zone hands in for a destination.
type load struct {
	rate float64
	at   view.Now
}

// take keeps a new standing; best and full are remembered beyond it.
func (p *place) take(now view.Now, s weigh.Standing) {
	p.best *= halved(now-p.seen, bestHalf)
	p.best = max(p.best, s.Done)
	if sent := s.Done + s.Refused; s.Refused > fullShare*sent && s.Refused > 1 {
		p.full, p.fullUntil = s.Done, now+fullFor
	}
	// What an idle place told before stays true until it tells something else.
	s.Limit, s.Rating = orOld(s.Limit, p.Limit), orOld(s.Rating, p.Rating)
	p.Standing, p.seen = s, now
}

func orOld(v, old float64) float64 {
	if v > 0 {
		return v
	}
	return old
}

func halved(span, half time.Duration) float64 {
	return math.Exp2(-float64(max(0, span)) / float64(half))
}

// demands sums what each zone sent and had answered, over all places of a destination: where it went says nothing.
func (p *Planner) demands(now view.Now, all []weigh.Standing) {
	sums, sent := map[key]float64{}, map[key]float64{}
	for _, s := range all {
		for _, pair := range s.Pairs {
			k := key{s.Destination, pair.From}
			sums[k] += pair.Done + min(pair.Refused, refusedPart*pair.Done)
			sent[k] += pair.Sent
		}
	}
	for k, l := range p.loads {
		if sums[k] >= l.rate {
			l.rate, l.at = l.rate+demandGrow*(sums[k]-l.rate), now
			continue
		}
		half := demandHalf
		if r := p.routes[k]; r != nil && r.phase != "" {
			half = awayHalf
		}
		l.rate, l.at = max(sums[k], l.rate*halved(now-l.at, half)), now
		if l.rate < nearNothing/10 {
			delete(p.loads, k)
		}
	}
	for k, sum := range sums {
		if sum == 0 { // a leader that is new in an outage: what is tried is all that there is to go by
			sum = sent[k]
		}
		if p.loads[k] == nil && sum > nearNothing/10 && len(p.loads) < mostPlaces {
			p.loads[k] = &load{sum, now}
		}
	}
}

func (p *Planner) rate(k key) float64 {
	if l := p.loads[k]; l != nil {
		return l.rate
	}
	return 0
}

// tiers are where a zone's messages to a destination go while all is well, then what lies around and beyond that.
type tiers struct {
	home   []view.Zone
	beyond [2][]view.Zone
}

// home is worked out once for each list of places and zones: a leader asks for it thousands of times a turn.
func (p *Planner) home(d choice.DestinationID, from view.Zone) ([]view.Zone, [2][]view.Zone) {
	k := key{d, from}
	t, found := p.tiers[k]
	if !found {
		t = p.tiersOf(k)
		p.tiers[k] = t
	}
	return t.home, t.beyond
}

func (p *Planner) tiersOf(k key) (t tiers) {
	region, known := p.regions[k.from]
	for _, z := range p.listed[k.d] {
		switch r, ok := p.regions[z]; {
		case z == k.from:
			t.home = append(t.home, z)
		case known && ok && r == region:
			t.beyond[0] = append(t.beyond[0], z)
		default:
			t.beyond[1] = append(t.beyond[1], z)
		}
	}
	for i := range t.beyond {
		if t.home == nil {
			t.home, t.beyond[i] = t.beyond[i], nil
		}
	}
	return t
}

// relist rebuilds which zones hold endpoints of which destination, where that changed, and forgets what was not seen
// for long.
func (p *Planner) relist(now view.Now) {
	if !p.stale && now-p.listedAt < forgetAfter/10 {
		return
	}
	p.stale, p.listedAt = false, now
	clear(p.listed)
	clear(p.tiers)
	for at, pl := range p.places {
		if now-pl.seen > forgetAfter {
			delete(p.places, at)
			continue
		}
		if pl.listed() {
			p.listed[at.Destination] = append(p.listed[at.Destination], at.Zone)
		}
	}
	for _, zones := range p.listed {
		slices.Sort(zones)
	}
}

func (p *place) listed() bool { return p.Endpoints > 0 || len(p.Pairs) > 0 }

// state is how a zone sees a place now; what nobody judged lately is unknown.
func (p *Planner) state(d choice.DestinationID, z, from view.Zone) (weigh.State, float64) {
	pl := p.places[healthreport.Locality{Destination: d, Zone: z}]
	if pl == nil || pl.seen != p.judgedAt {
		return weigh.Unknown, 1
	}
	return pl.For(from)
}
