package routes

import (
	"cmp"
	"slices"
	"time"

	"flaxcove/choice"
)

// OverrideID names one override for good.
type OverrideID string

// OverrideKind is what an override does.
type OverrideKind int

// In the order in which they win: what is out of service stays out whatever is made sticky to it.
const (
	Out    OverrideKind = iota // its endpoint takes nothing
	Pin                        // what it covers goes to these endpoints and no others
	Weight                     // its endpoint has this weight
)

func (k OverrideKind) String() string { return [...]string{"out", "pin", "weight"}[k] }

// Override is set by an operator for a time.
type Override struct {
	ID          OverrideID
	Kind        OverrideKind
	Destination choice.DestinationID
	Class       string              // of a pin; "" for all
	Endpoints   []choice.EndpointID // one of an out or a weight
	Weight      float64
	By, Why     string
	SetAt       time.Time     // wall time
	Lasts       time.Duration // from SetAt
}

// Standing is an override that has not lapsed, with what is left of it.
type Standing struct {
	Override
	lapses time.Duration // on the process's own clock
}

// Overrides are those of one sender. Its clock is the process's own, which does not step; wall time counts only for what
// was set in an earlier process.
type Overrides struct {
	standing []Standing // sorted by who wins
}

// Add takes one on that is set or, at a start, read back. Wall is the time now by the wall; elapsed that of the process's
// clock. It tells whether the override still holds. A wall clock that stepped back lengthens none beyond what it was set
// for, and one that stepped forth ends none that this process has seen set.
func (o *Overrides) Add(v Override, wall time.Time, elapsed time.Duration) bool {
	left := min(v.Lasts, v.SetAt.Add(v.Lasts).Sub(wall))
	o.Clear(v.ID)
	if left <= 0 {
		return false
	}
	o.standing = append(o.standing, Standing{v, elapsed + left})
	slices.SortFunc(o.standing, func(a, b Standing) int { return wins(&a.Override, &b.Override) })
	return true
}

// wins orders overrides: by kind, then the narrower before the wider, then the later before the earlier, then by id.
func wins(a, b *Override) int {
	narrow := func(v *Override) int {
		if v.Class != "" {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(narrow(a), narrow(b)), b.SetAt.Compare(a.SetAt), cmp.Compare(a.ID, b.ID))
}

// Clear takes one away before its time and tells whether it was there.
func (o *Overrides) Clear(id OverrideID) bool {
	before := len(o.standing)
	o.standing = slices.DeleteFunc(o.standing, func(s Standing) bool { return s.ID == id })
	return len(o.standing) < before
}

// Lapse takes away what is over and tells what that was, and when the next one is; ok is false where none is left.
func (o *Overrides) Lapse(elapsed time.Duration) (over []Override, next time.Duration, ok bool) {
	o.standing = slices.DeleteFunc(o.standing, func(s Standing) bool {
		if s.lapses <= elapsed {
			over = append(over, s.Override)
		}
		return s.lapses <= elapsed
	})
	for _, s := range o.standing {
		if !ok || s.lapses < next {
			next, ok = s.lapses, true
		}
	}
	return over, next, ok
}

// Shown is a standing override as it is shown: what is left of it and which one it yields to, "" for none.
type Shown struct {
	Override
	Left     time.Duration
	YieldsTo OverrideID
}

// Show lists what stands, winners first.
func (o *Overrides) Show(elapsed time.Duration) (all []Shown) {
	for i, s := range o.standing {
		shown := Shown{Override: s.Override, Left: s.lapses - elapsed}
		for j := range i {
			if yields(&s.Override, &o.standing[j].Override) {
				shown.YieldsTo = o.standing[j].ID
				break
			}
		}
		all = append(all, shown)
	}
	return all
}

// yields tells whether an override does nothing while another, which wins over it, stands.
func yields(loser, winner *Override) bool {
	if loser.Destination != winner.Destination {
		return false
	}
	gone := func(id choice.EndpointID) bool { return slices.Contains(winner.Endpoints, id) }
	switch {
	case winner.Kind == Out && loser.Kind == Pin:
		return len(loser.Endpoints) == 1 && gone(loser.Endpoints[0])
	case winner.Kind == Pin && loser.Kind == Pin:
		return winner.Class == loser.Class // a wider one still holds for other classes
	case winner.Kind == Pin:
		return loser.Kind == Weight && winner.Class == "" && !gone(loser.Endpoints[0])
	}
	return gone(loser.Endpoints[0])
}
