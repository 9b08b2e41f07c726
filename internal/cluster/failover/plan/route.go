package plan

import (
	"math"
	"slices"
	"time"

	"flaxcove/internal/cluster/failover/weigh"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

const (
	never     = view.Now(math.MinInt64 / 4)
	mostTurns = 8                       // remembered; the hold is at its longest by then
	lastsFor  = 1500 * time.Millisecond // too full, or weak: so long before anything moves over it
	raise     = 0.25                    // the most that near takes back at once where it had not room
)

// route is where one zone's messages to one destination stand. A phase of "" is steady: all near.
type route struct {
	phase                  Phase
	step                   int
	near                   float64    // what is to go near, by the phase
	turns                  []view.Now // to away, or to less
	turned, stepped        view.Now
	downAt, wellAt, wellBy view.Now // since when near is bad; well without a break, and last seen so; never if not
	coldAt                 view.Now
	overAt                 view.Now
	outage                 time.Duration
	rev, outRev            int // of what the machine wants, and of what is in force
	out                    Route
	shared                 view.Now
}

func newRoute() *route {
	return &route{near: 1, turned: never, stepped: never, downAt: never, wellAt: never, wellBy: never, coldAt: never,
		overAt: never, shared: never}
}

// hold is how long near must be well before a return: a part of how long it was away, doubled for each turn of late.
func (r *route) hold(s Settings, now view.Now) time.Duration {
	r.turns = slices.DeleteFunc(r.turns, func(t view.Now) bool { return now-t > s.TurnsFor })
	hold := max(s.Calm, min(s.MostCalm, time.Duration(s.OutagePart*float64(r.outage))))
	for range max(0, len(r.turns)-1) {
		hold = min(2*hold, s.LongestCalm)
	}
	return min(hold, s.LongestCalm)
}

func (r *route) to(phase Phase, near float64) { r.phase, r.near, r.rev = phase, near, r.rev+1 }

func (r *route) turn(now view.Now) {
	r.turned = now
	if len(r.turns) < mostTurns {
		r.turns = append(r.turns, now)
	}
}

// see takes in how near is seen; what is unknown changes nothing.
func (r *route) see(now view.Now, state weigh.State) {
	switch state {
	case weigh.Well:
		if r.wellAt == never {
			r.wellAt = now
			if r.downAt != never {
				r.outage = now - r.downAt
			}
		}
		r.wellBy = now
	case weigh.Bad, weigh.Weak:
		r.wellAt = never
	}
}

// advance moves a route on by what is seen of its home; news tells that something was judged since the last time.
func (p *Planner) advance(now view.Now, k key, r *route, home []view.Zone) {
	state := p.homeState(k, home)
	r.see(now, state)
	switch r.phase {
	case "", Over:
		if state == weigh.Bad && now-r.turned >= p.set.Calm {
			r.away(now, p.test(k))
			return
		}
		if state != weigh.Bad {
			p.fit(now, k, r, home)
		}
	case Away:
		hold := r.hold(p.set, now)
		well := r.wellAt != never && now-r.wellAt >= hold
		blind := r.wellAt == never && state == weigh.Unknown && now-max(r.turned, p.lastBad[k]) >= max(hold, p.set.Blind)
		if now-r.turned >= hold && (well || blind) && p.onBeat(now) {
			p.beatAt = now
			r.turned, r.stepped, r.step, r.coldAt = now, now, 0, r.wellAt
			if blind {
				r.coldAt = now
			}
			r.to(Returning, p.stepped(now, k, r, home))
		}
	case Returning:
		p.climb(now, k, r, home, state)
	}
	if state == weigh.Bad {
		p.lastBad[k] = now
	}
}

func (r *route) away(now view.Now, test float64) {
	r.turn(now)
	r.downAt, r.wellAt = now, never
	r.to(Away, test)
}

// climb takes the next step of a return once the last has gone well for a while, or goes back.
func (p *Planner) climb(now view.Now, k key, r *route, home []view.Zone, state weigh.State) {
	switch {
	case state == weigh.Bad && now-r.turned >= p.set.Calm,
		state == weigh.Weak && now-max(r.wellBy, r.stepped) > 2*p.set.StepFor:
		r.away(now, p.test(k))
		return
	case now-r.stepped < p.set.StepFor || !p.onBeat(now):
		return
	case r.wellAt == never || r.wellBy <= r.stepped:
		if state != weigh.Unknown || now-r.stepped < p.set.Blind {
			return
		}
	}
	p.beatAt = now
	last := len(p.set.Steps) - 1
	r.stepped, r.step = now, min(r.step+1, last)
	near := p.stepped(now, k, r, home)
	switch {
	case r.step == last && near >= 1:
		r.to("", 1)
	case near > r.near:
		r.to(Returning, near)
	}
}

// stepped is the share of a step, held to what cold endpoints may take from all senders together. Half of what fells
// them is kept clear.
func (p *Planner) stepped(now view.Now, k key, r *route, home []view.Zone) float64 {
	share := p.set.Steps[r.step]
	can, handed := 0.0, 0.0
	for _, z := range home {
		pl := p.places[healthreport.Locality{Destination: k.d, Zone: z}]
		if pl == nil {
			return share
		}
		some, known := pl.can(p.set, now)
		if !known {
			return share
		}
		can, handed = can+some, max(handed, p.homed[pl.Locality])
	}
	if handed <= 0 {
		return share
	}
	warm := 1.0
	if p.set.SlowStart > 0 && r.coldAt != never {
		warm = min(1, p.set.SlowStartFrom+(1-p.set.SlowStartFrom)*float64(now-r.coldAt)/float64(p.set.SlowStart))
	}
	return min(share, can*warm*min(1, p.set.FallMultiple/2)/handed)
}

// onBeat lets all returns take their steps at the same moments, so that a zone with a hundred destinations that comes
// back makes a plan for each step and not for each destination.
func (p *Planner) onBeat(now view.Now) bool { return now == p.beatAt || now-p.beatAt >= p.set.StepFor }

// test is the part that keeps trying near while it is bad: without it nobody would ever see it well again.
func (p *Planner) test(k key) float64 {
	return min(max(p.set.TestRate/max(nearNothing, p.rate(k)), p.set.LeastTest), p.set.MostTest)
}

// homeState joins the states of a home: bad only where all of it is. A place that nobody called lately is as well as
// all others that the zone calls there: where calls are few they come back with the rest.
func (p *Planner) homeState(k key, home []view.Zone) weigh.State {
	var states [weigh.Bad + 1]int
	for _, z := range home {
		state, _ := p.state(k.d, z, k.from)
		if state == weigh.Unknown && p.wellZones[[2]view.Zone{k.from, z}] {
			state = weigh.Well
		}
		states[state]++
	}
	switch {
	case states[weigh.Bad] == len(home):
		return weigh.Bad
	case states[weigh.Well] > 0:
		return weigh.Well
	case states[weigh.Weak] > 0:
		return weigh.Weak
	}
	return weigh.Unknown
}

// fit sends on what near has no room for, once that has lasted, and takes it back little by little.
func (p *Planner) fit(now view.Now, k key, r *route, home []view.Zone) {
	want := p.fits(now, k, home)
	if want > 1-p.set.Coarse {
		want = 1
	}
	switch {
	case want > r.near-p.set.Coarse && want < r.near+p.set.Coarse && want < 1 || want == r.near:
		r.overAt = never
	case want < r.near:
		if r.overAt == never {
			r.overAt = now
		}
		if now-r.overAt >= lastsFor && now-r.turned >= p.set.Calm {
			r.turn(now)
			r.overAt = never
			r.to(Over, want)
		}
	case now-r.turned >= r.hold(p.set, now) && now-r.stepped >= p.set.Calm:
		r.stepped, r.overAt = now, never
		if near := min(want, r.near+raise); near < 1 {
			r.to(Over, near)
		} else {
			r.to("", 1)
		}
	}
}

// fits is the part of what is handed in that near can do, where it is seen to be weak or full; 1 else.
func (p *Planner) fits(now view.Now, k key, home []view.Zone) float64 {
	can, handed, short := 0.0, 0.0, false
	for _, z := range home {
		pl := p.places[healthreport.Locality{Destination: k.d, Zone: z}]
		if pl == nil {
			return 1
		}
		some, known := pl.can(p.set, now)
		if !known {
			return 1
		}
		state, part := p.state(k.d, z, k.from)
		short = short || state == weigh.Weak || now < pl.fullUntil
		if state == weigh.Weak {
			some *= part
		}
		can, handed = can+some, handed+p.homed[pl.Locality]
	}
	if !short || handed <= 0 {
		return 1
	}
	return min(1, can/handed)
}
