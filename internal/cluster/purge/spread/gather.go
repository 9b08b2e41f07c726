package spread

// This file is the leader's part: it stands above the root, hands it what the ledger opens, and weighs what came up
// against the seats. Only here may time stand for an answer, and the ledger checks it.

import (
	"cmp"
	"slices"
	"time"

	"flaxcove/internal/cluster/purge/ledger"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/together"
)

// Gather is what the leader knows of acknowledgements. A new leader begins with nothing and asks the root for all. A
// life that leads, does not, and leads again must go on with the Gather it had: the root may not have noticed, and
// counts as told what it answered to the first.
type Gather struct {
	*State
	seats  []ledger.Seat
	roster uint64
	stands map[view.Name]Standing // of all ever heard of here, in place of dead coordinators too
}

// NewGather is for the life that leads.
func NewGather(self view.Life) *Gather {
	s := New(self, "", 0)
	s.top = true
	return &Gather{State: s, stands: map[view.Name]Standing{}}
}

// Seats tells who must acknowledge.
func (g *Gather) Seats(seats []ledger.Seat, roster uint64) {
	g.seats, g.roster = seats, roster
	if len(g.stands) <= ledger.MostSeats {
		return
	}
	kept := make(map[view.Name]Standing, len(seats))
	for _, s := range seats {
		if st, known := g.stands[s.Name]; known {
			kept[s.Name] = st
		}
	}
	g.stands = kept
}

// Opened takes in what the ledger holds after Has, up to upto; ages are of now.
func (g *Gather) Opened(all []together.Purge, upto, floor uint64, horizon time.Duration, now view.Now) {
	g.State.horizon = horizon // the ledger's own; it may shrink
	g.State.FromParent(Down{Base: g.has, Upto: upto, Floor: floor, Horizon: horizon, Orders: all}, now)
}

// Root tells who the root of the tree is.
func (g *Gather) Root(root view.Life, now view.Now) { g.Tree(Above{}, []view.Life{root}, now) }

// FromRoot takes in what the root tells of all.
func (g *Gather) FromRoot(up Up, now view.Now) UpAnswer {
	a := g.FromChild(up, now)
	g.remember()
	return a
}

// RootAnswered takes the root's answer to a message down.
func (g *Gather) RootAnswered(life view.Life, up Up, now view.Now) {
	g.Answered(life, up, now)
	g.remember()
}

// remember keeps what the root told: the next root may not have been told yet.
func (g *Gather) remember() {
	for _, n := range g.names {
		for _, st := range g.children[n].stands {
			was := g.stands[st.Name]
			if st.Incarnation > was.Incarnation || st.Incarnation == was.Incarnation && st.Upto > was.Upto {
				g.stands[st.Name] = st
			}
		}
	}
}

// upto is up to where a seat's own life has applied; 0 while only an earlier one has told.
func (g *Gather) upto(s ledger.Seat) uint64 {
	if st := g.stands[s.Name]; st.Incarnation >= s.Incarnation {
		return st.Upto
	}
	return 0
}

// Closings are the oldest purges that can be closed now, at most that many.
func (g *Gather) Closings(most int, now view.Now) (c ledger.Close, any bool) {
	if len(g.seats) == 0 || g.floor > g.has {
		return c, false
	}
	all := ^uint64(0)
	for _, s := range g.seats {
		all = min(all, g.upto(s))
	}
	last := g.floor - 1
	for last < g.has && last < g.floor-1+uint64(most) {
		i, found := slices.BinarySearchFunc(g.orders, last+1, bySeq)
		if !found || last+1 > all && g.orders[i].age(now) < g.horizon {
			break
		}
		last++
	}
	if last < g.floor {
		return c, false
	}
	found := g.found(g.floor, last)
	c.Roster = g.roster
	for seq := g.floor; seq <= last; seq++ {
		c.Rows = append(c.Rows, g.closing(seq, found[seq]))
	}
	return c, true
}

// found sums rows by purge and name.
func (g *Gather) found(first, last uint64) map[uint64]map[view.Name]together.Found {
	sums := map[uint64]map[view.Name]together.Found{}
	for k, r := range g.rows {
		if k.seq < first || k.seq > last {
			continue
		}
		if sums[k.seq] == nil {
			sums[k.seq] = map[view.Name]together.Found{}
		}
		sums[k.seq][k.name] = Plus(sums[k.seq][k.name], r.found)
	}
	return sums
}

// Plus adds up what was found.
func Plus(a, b together.Found) together.Found {
	return together.Found{NotBegun: a.NotBegun + b.NotBegun, MayRun: a.MayRun + b.MayRun,
		Delivered: a.Delivered + b.Delivered, LearnedState: a.LearnedState + b.LearnedState}
}

func (g *Gather) closing(seq uint64, found map[view.Name]together.Found) ledger.Closing {
	c := ledger.Closing{Seq: seq}
	zones := map[view.Zone]*ledger.ZoneSum{}
	for _, s := range g.seats {
		z := zones[s.Zone]
		if z == nil {
			z = &ledger.ZoneSum{Region: s.Region, Zone: s.Zone}
			zones[s.Zone] = z
		}
		if g.upto(s) >= seq {
			z.Reached++
		} else {
			z.Lapsed++
			if len(c.Names) < ledger.MostNames {
				c.Names = append(c.Names, s.Name)
			}
		}
		z.Found = Plus(z.Found, found[s.Name])
	}
	for _, z := range zones {
		c.Zones = append(c.Zones, *z)
	}
	slices.SortFunc(c.Zones, func(a, b ledger.ZoneSum) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Zone, b.Zone))
	})
	return c
}

// Process is how one seat stands to one purge.
type Process struct {
	Seat         ledger.Seat
	Acknowledged bool
	Found        together.Found
}

// Of is how all seats stand to one open purge, by name.
func (g *Gather) Of(seq uint64) (all []Process) {
	found := g.found(seq, seq)[seq]
	for _, s := range g.seats {
		all = append(all, Process{Seat: s, Acknowledged: g.upto(s) >= seq, Found: found[s.Name]})
	}
	return all
}
