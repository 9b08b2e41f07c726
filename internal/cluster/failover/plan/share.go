package plan

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"flaxcove/internal/cluster/failover/weigh"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

const (
	overFilled  = 1.05 // times the room: so far rates may wander before routes are shared out anew
	unknownRoom = 2.0  // calls a second that a place of which nothing is known is tried with
	unseenPart  = 0.5  // of the room of one that was told a limit but was not sent to lately
	littleRoom  = 0.5  // calls a second that are too few to count as overfilled
)

// rooms is what each place can take beyond what it carries for those whose home it is.
type rooms map[healthreport.Locality]float64

func (p *Planner) rooms(now view.Now) rooms {
	left := rooms{}
	for at, pl := range p.places {
		can, known := pl.can(p.set, now)
		switch {
		case !pl.listed() || pl.seen != p.judgedAt || pl.State == weigh.Bad:
			continue
		case !known:
			left[at] = unknownRoom
			continue
		case pl.State == weigh.Weak:
			can *= pl.Part
		case pl.State == weigh.Unknown:
			can *= unseenPart
		}
		left[at] = can * p.set.RoomPart
	}
	for k, l := range p.loads {
		home, _ := p.home(k.d, k.from)
		for _, z := range home {
			at := healthreport.Locality{Destination: k.d, Zone: z}
			if room, some := left[at]; some {
				left[at] = max(0, room-p.carried(k, at)*l.rate/float64(len(home)))
			}
		}
	}
	return left
}

// carried is how much of what a zone hands in its home must be able to take: all, but for what it has not room for.
// One that comes back is cold and takes nothing else, and whatever may stay or return must find its room.
func (p *Planner) carried(k key, at healthreport.Locality) float64 {
	r := p.routes[k]
	switch {
	case r == nil || r.phase == "":
		return 1
	case r.phase == Over:
		return r.near
	}
	if state, _ := p.state(k.d, at.Zone, k.from); state == weigh.Bad {
		return 1 // its link is bad; the place serves others
	}
	return math.Inf(1)
}

// share works out all routes that are not steady. Those in force are kept to the letter while they still fit, so that
// a rate that wanders makes no plan; changed tells that some are new or gone.
func (p *Planner) share(now view.Now) (routes []Route, changed, urgent bool) {
	if !p.abroad() {
		return nil, false, false
	}
	left := p.rooms(now)
	keys := slices.SortedFunc(maps.Keys(p.routes), key.compare)
	kept, anew := p.keep(now, keys, left)
	routes = make([]Route, 0, len(keys))
	for _, k := range keys {
		if kept[k] {
			p.take(k, p.routes[k].out, left)
			routes = append(routes, p.routes[k].out)
		} else if p.routes[k].out.Phase != "" && p.routes[k].phase == "" {
			changed, urgent = true, true
		}
	}
	made := map[key]*Route{}
	for _, k := range anew {
		r := p.routes[k]
		made[k] = &Route{Destination: k.d, From: k.from, Phase: r.phase, Near: r.near, Step: r.step,
			Turns: len(r.turns), Outage: r.outage}
		if r.phase != Returning {
			made[k].Step = 0
		}
	}
	for tier := range 2 { // all zones' regions before anything goes beyond
		for _, k := range anew {
			_, tiers := p.home(k.d, k.from)
			p.fill(k, made[k], tiers[tier], left)
		}
	}
	for _, k := range anew {
		o := made[k]
		p.finish(k, o)
		if out := p.routes[k].out; !same(*o, out) {
			changed = true
			urgent = urgent || o.Phase != out.Phase || o.Step != out.Step || p.sendsToBad(k, out)
		}
		routes = append(routes, *o)
	}
	slices.SortFunc(routes, func(a, b Route) int { return a.key().compare(b.key()) })
	return routes, changed, urgent
}

// sendsToBad tells whether a route sends to where it is bad.
func (p *Planner) sendsToBad(k key, o Route) bool {
	return slices.ContainsFunc(o.Shares, func(s Share) bool {
		state, _ := p.state(k.d, s.Zone, k.from)
		return s.Part > 0 && state == weigh.Bad
	})
}

// abroad tells whether any route is not steady, or is still so in the plan.
func (p *Planner) abroad() bool {
	for _, r := range p.routes {
		if r.phase != "" || r.out.Phase != "" {
			return true
		}
	}
	return false
}

// keep tells which routes in force stand, and which are to be shared out (anew).
func (p *Planner) keep(now view.Now, keys []key, left rooms) (kept map[key]bool, anew []key) {
	kept = map[key]bool{}
	used := map[healthreport.Locality]float64{}
	for _, k := range keys {
		r := p.routes[k]
		if r.phase == "" {
			continue
		}
		if r.out.Phase != "" && r.rev == r.outRev && p.stands(now, k, r, left) {
			kept[k] = true
			for _, s := range r.out.Shares {
				used[healthreport.Locality{Destination: k.d, Zone: s.Zone}] += s.Part * p.rate(k)
			}
		}
	}
	for _, k := range keys {
		r := p.routes[k]
		if r.phase == "" {
			continue
		}
		for _, s := range r.out.Shares {
			at := healthreport.Locality{Destination: k.d, Zone: s.Zone}
			room, known := left[at] // of what nobody tells, as to a new leader, what is in force stays
			if kept[k] && known && s.Part > 0 && used[at] > room*overFilled+littleRoom {
				kept[k] = false
			}
		}
		if !kept[k] {
			anew = append(anew, k)
		}
	}
	return kept, anew
}

// stands tells whether what is in force can stay: no receiver has failed, and nothing that had to stay could now go.
func (p *Planner) stands(now view.Now, k key, r *route, left rooms) bool {
	if p.sendsToBad(k, r.out) {
		return false
	}
	stays := r.out.Near - r.near
	if r.out.Phase == Free {
		stays = 1
	}
	if stays <= p.set.Coarse || now-r.shared < improveAfter {
		return true
	}
	room, rate := 0.0, p.rate(k)
	_, tiers := p.home(k.d, k.from)
	for _, z := range slices.Concat(tiers[0], tiers[1]) {
		if p.usable(k, z) {
			room += left[healthreport.Locality{Destination: k.d, Zone: z}]
		}
	}
	return room < (1-r.out.Near+p.set.Coarse)*rate || r.out.Phase == Free && room == 0
}

func (p *Planner) usable(k key, z view.Zone) bool {
	state, _ := p.state(k.d, z, k.from)
	return state != weigh.Bad
}

// take takes what a route sends off the rooms.
func (p *Planner) take(k key, o Route, left rooms) {
	for _, s := range o.Shares {
		at := healthreport.Locality{Destination: k.d, Zone: s.Zone}
		left[at] = max(0, left[at]-s.Part*p.rate(k))
	}
}

// fill gives what is still to go to the zones of a tier, by their room.
func (p *Planner) fill(k key, o *Route, zones []view.Zone, left rooms) {
	rest, room := 1-o.Near, 0.0
	for _, s := range o.Shares {
		rest -= s.Part
	}
	zones = slices.DeleteFunc(slices.Clone(zones), func(z view.Zone) bool { return !p.usable(k, z) })
	for _, z := range zones {
		room += left[healthreport.Locality{Destination: k.d, Zone: z}]
	}
	if rest <= 1e-9 || room <= 0 {
		return
	}
	rate := max(nearNothing, p.rate(k))
	part := min(1, room/(rest*rate)) // of the rest, that there is room for
	for _, z := range zones {
		at := healthreport.Locality{Destination: k.d, Zone: z}
		if s := floor(rest * part * left[at] / room); s > 0 && len(o.Shares) < mostShares {
			o.Shares = append(o.Shares, Share{z, s})
			left[at] = max(0, left[at]-s*rate)
		}
	}
}

// finish lets the rest stay near, where package choice sheds it with a time. Where no other zone can do anything
// nothing moves, and all is as without a plan.
func (p *Planner) finish(k key, o *Route) {
	if home, _ := p.home(k.d, k.from); !slices.Equal(home, []view.Zone{k.from}) {
		o.Home = home
	}
	moved := 0.0
	for _, s := range o.Shares {
		moved += s.Part
	}
	if moved == 0 && o.Phase == Away {
		_, tiers := p.home(k.d, k.from)
		if !slices.ContainsFunc(slices.Concat(tiers[0], tiers[1]), func(z view.Zone) bool { return p.usable(k, z) }) {
			o.Phase = Free
		}
	}
	o.Near = math.Round((1-moved)*1e4) / 1e4
}

// same tells whether two routes act alike.
func same(a, b Route) bool {
	return a.Phase == b.Phase && a.Near == b.Near && a.Step == b.Step && slices.Equal(a.Shares, b.Shares)
}

// most leaves out routes of the fewest calls until a plan is small enough to be decided: what is left out goes as if
// all were well, and each process by itself around what it sees fail.
func (p *Planner) most(next *Plan) {
	size := next.Bytes()
	if size <= mostBytes && len(next.Routes) <= MostRoutes {
		return
	}
	n := min(MostRoutes, len(next.Routes)*9/10*mostBytes/size)
	by := slices.Clone(next.Routes)
	slices.SortStableFunc(by, func(a, b Route) int { return cmp.Compare(p.rate(b.key()), p.rate(a.key())) })
	next.Routes = by[:n]
	slices.SortFunc(next.Routes, func(a, b Route) int { return a.key().compare(b.key()) })
}

// floor rounds down to a ten-thousandth: shares must never add up to more than there is.
func floor(v float64) float64 { return math.Floor(v*1e4) / 1e4 }
