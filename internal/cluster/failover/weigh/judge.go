package weigh

import (
	"cmp"
	"slices"

	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

// Pair is a place as one zone sees it. Rates are calls a second.
type Pair struct {
	From                view.Zone
	State               State
	Part                float64 // of its calls that are answered, where Weak
	Sent, Done, Refused float64
}

// Standing is what is known of a place in common.
type Standing struct {
	healthreport.Locality
	State     State // for a zone that has seen nothing of it
	Part      float64
	Limit     float64 // calls a second of all senders; 0 where none was told
	Rating    float64
	Endpoints int
	Done      float64 // calls a second, of all zones
	Refused   float64
	Witnesses []view.Name // of Bad
	Pairs     []Pair      // by From; only zones that sent there
}

// For is the place's state as it counts for what a zone sends: what that zone sees itself, else what is known.
func (s Standing) For(from view.Zone) (State, float64) {
	for _, p := range s.Pairs {
		if p.From == from && p.State != Unknown {
			return p.State, p.Part
		}
	}
	return s.State, s.Part
}

// half stands for the part that a place can do of which that is not known: one zone is answered and its own is not, or
// a few calls failed and none was answered.
const half = 0.5

type pool struct{ failures, successes float64 }

// Judge weighs the reports of all zones, one for each zone and place, into standings by place, sorted. A place is bad
// for all only if two zones say so and none is answered there, or if all witnesses of its own zone do and none is
// answered; where one zone fails and others are answered it is the link, and that zone's traffic alone is meant.
func Judge(reports []Report, b Bounds) []Standing {
	reports = slices.Clone(reports)
	slices.SortStableFunc(reports, func(x, y Report) int {
		return cmp.Or(Order(x.Locality, y.Locality), cmp.Compare(x.From, y.From))
	})
	pools := pooled(reports, b)
	var all []Standing
	for i := 0; i < len(reports); {
		j := i
		for j < len(reports) && reports[j].Locality == reports[i].Locality {
			j++
		}
		if s, ok := stand(reports[i:j], pools, b); ok {
			all = append(all, s)
		}
		i = j
	}
	settle(all, reports, b)
	return all
}

// pooled sums what a zone sees of all places in another: a place with few calls falls with the rest of its zone, so
// that one fall makes one plan and not one for each destination as its calls come.
func pooled(reports []Report, b Bounds) map[[2]view.Zone]pool {
	pools := map[[2]view.Zone]pool{}
	for _, r := range reports {
		if r.Age <= b.MaxAge {
			key := [2]view.Zone{r.From, r.Zone}
			p := pools[key]
			pools[key] = pool{p.failures + r.Failures, p.successes + r.Successes}
		}
	}
	return pools
}

func stand(reports []Report, pools map[[2]view.Zone]pool, b Bounds) (Standing, bool) {
	s := Standing{Locality: reports[0].Locality, Part: 1}
	known := false
	for _, r := range reports {
		if r.Age < 0 || r.Age > b.IdleAge {
			continue
		}
		known = true
		s.Limit, s.Rating, s.Endpoints = max(s.Limit, r.Limit), max(s.Rating, r.Rating), max(s.Endpoints, r.Endpoints)
		if r.Age > b.MaxAge || r.Idle() {
			continue
		}
		p := Pair{From: r.From, Sent: r.Sent, Done: r.Done, Refused: r.Refused}
		p.State, p.Part = seen(r, pools[[2]view.Zone{r.From, r.Zone}], b)
		s.Done, s.Refused = s.Done+r.Done, s.Refused+r.Refused
		s.Pairs = append(s.Pairs, p)
	}
	return s, known
}

// seen is one zone's word: by two witnesses or by all of its own that sent there, and beyond luck.
func seen(r Report, p pool, b Bounds) (State, float64) {
	state, part := b.state(r.Failures, r.Successes)
	agreed := r.Bad >= 2 && r.Bad > r.Well || r.Bad > 0 && r.Well == 0
	switch {
	case state == Bad && !agreed:
		return Weak, max(0.1, r.Successes/max(1, r.Failures+r.Successes)) // some fail wholly, others not
	case state != Bad && r.Bad > 0:
		// Its zone falls as a whole, of which this is one place.
		if whole, _ := b.state(p.failures, p.successes); whole == Bad {
			return Bad, 0
		}
	case state == Weak && r.Bad == 1 && r.Well > 0:
		return Well, 1 // one sender's trouble
	}
	return state, part
}

// settle finds what holds for zones that have seen nothing of a place. A zone that sees places of two zones or more
// fail and none answer, where others are answered, is cut off itself: its word counts for nobody else.
func settle(all []Standing, reports []Report, b Bounds) {
	away := cutOff(all)
	for i := range all {
		s := &all[i]
		bad, well, weak, own, part := 0, 0, 0, false, 1.0
		for _, p := range s.Pairs {
			switch {
			case p.State == Bad && !away[p.From]:
				bad, own = bad+1, own || p.From == s.Zone
			case p.State == Well:
				well++
			case p.State == Weak:
				weak, part = weak+1, min(part, p.Part)
			}
		}
		switch {
		case well == 0 && weak == 0 && (bad >= 2 || own):
			s.State, s.Part, s.Witnesses = Bad, 0, named(reports, s.Locality, b)
		case weak > 0 && well == 0 || own:
			s.State, s.Part = Weak, min(part, half)
			if weak > 0 {
				s.Part = part
			}
		case well > 0:
			s.State = Well
		}
	}
}

func cutOff(all []Standing) map[view.Zone]bool {
	zones, well, alone := map[view.Zone]map[view.Zone]bool{}, map[view.Zone]bool{}, map[view.Zone]bool{}
	for _, s := range all {
		answered := slices.ContainsFunc(s.Pairs, func(p Pair) bool { return p.State == Well })
		for _, p := range s.Pairs {
			well[p.From] = well[p.From] || p.State == Well || p.State == Weak
			if p.State == Bad {
				if zones[p.From] == nil {
					zones[p.From] = map[view.Zone]bool{}
				}
				zones[p.From][s.Zone] = true
				alone[p.From] = alone[p.From] || answered
			}
		}
	}
	away := map[view.Zone]bool{}
	for from, of := range zones {
		if len(of) >= 2 && !well[from] && alone[from] {
			away[from] = true
		}
	}
	return away
}

// named tells who saw it; reports are sorted by place.
func named(reports []Report, place healthreport.Locality, b Bounds) []view.Name {
	var names []view.Name
	i, _ := slices.BinarySearchFunc(reports, place, func(r Report, p healthreport.Locality) int { return Order(r.Locality, p) })
	for ; i < len(reports) && reports[i].Locality == place; i++ {
		if r := reports[i]; r.Bad > 0 && r.Age <= b.MaxAge && len(names) < 2*b.Named {
			names = append(names, r.By...)
		}
	}
	return names
}
