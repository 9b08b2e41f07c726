package routes

import (
	"cmp"
	"slices"
	"time"

	"flaxcove/choice"
)

// OverrideID identifies one override.
type OverrideID string

// OverrideKind is what an override does.
type OverrideKind int

// The kinds, in the order in which they win: an endpoint out of service stays so even if messages are made sticky to it.
const (
	OutOfService OverrideKind = iota // its endpoint gets no messages
	Sticky                           // the messages that it covers go to its endpoints and no others
	FixedWeight                      // its endpoint has the given weight
)

// String is the kind's word in files and output.
func (k OverrideKind) String() string { return [...]string{"out", "pin", "weight"}[k] }

// Override is set by an operator for a time.
type Override struct {
	ID          OverrideID
	Kind        OverrideKind
	Destination choice.DestinationID
	Class       string              // of a sticky override; "" for all
	Endpoints   []choice.EndpointID // exactly one, but for a sticky override
	Weight      float64
	SetBy       string
	Reason      string
	SetAt       time.Time     // wall time
	Lifetime    time.Duration // from SetAt
}

// activeOverride is an override that has not expired.
type activeOverride struct {
	Override
	expires time.Duration // on the process's own clock
}

// Overrides are those of one sender. Their clock is the process's own, which does not step; wall time counts only for
// overrides that were set in an earlier process.
type Overrides struct {
	active []activeOverride // winners first
}

// Add adds an override that is set or, at a start, read back. Wall is the wall time now, elapsed the time on the process's
// clock. It returns false if the override has expired. A wall clock that stepped back extends no override beyond its
// lifetime, and one that stepped forward ends none that was set in this process.
func (o *Overrides) Add(v Override, wall time.Time, elapsed time.Duration) bool {
	left := min(v.Lifetime, v.SetAt.Add(v.Lifetime).Sub(wall))
	o.Clear(v.ID)
	if left <= 0 {
		return false
	}
	o.active = append(o.active, activeOverride{v, elapsed + left})
	slices.SortFunc(o.active, func(a, b activeOverride) int { return compareOverrides(&a.Override, &b.Override) })
	return true
}

// compareOverrides orders overrides, winners first: by kind, then the narrower before the wider, then the later before the
// earlier, then by id.
func compareOverrides(a, b *Override) int {
	breadth := func(v *Override) int {
		if v.Class != "" {
			return 0
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(breadth(a), breadth(b)),
		b.SetAt.Compare(a.SetAt),
		cmp.Compare(a.ID, b.ID),
	)
}

// Clear removes an override before its time and reports whether it was there.
func (o *Overrides) Clear(id OverrideID) bool {
	before := len(o.active)
	o.active = slices.DeleteFunc(o.active, func(v activeOverride) bool { return v.ID == id })
	return len(o.active) < before
}

// Expire removes the overrides that are over and returns them, and when the next one will be; ok is false where none is
// left.
func (o *Overrides) Expire(elapsed time.Duration) (over []Override, next time.Duration, ok bool) {
	o.active = slices.DeleteFunc(o.active, func(v activeOverride) bool {
		if v.expires <= elapsed {
			over = append(over, v.Override)
		}
		return v.expires <= elapsed
	})
	for _, v := range o.active {
		if !ok || v.expires < next {
			next, ok = v.expires, true
		}
	}
	return over, next, ok
}

// OverrideStatus is an active override with what is left of it and the override that it yields to, "" for none.
type OverrideStatus struct {
	Override
	Left         time.Duration
	SupersededBy OverrideID
}

// Status lists the active overrides, winners first.
func (o *Overrides) Status(elapsed time.Duration) (all []OverrideStatus) {
	for i, v := range o.active {
		status := OverrideStatus{Override: v.Override, Left: v.expires - elapsed}
		for j := range i {
			if hasNoEffectBeside(&v.Override, &o.active[j].Override) {
				status.SupersededBy = o.active[j].ID
				break
			}
		}
		all = append(all, status)
	}
	return all
}

// hasNoEffectBeside reports whether an override has no effect while another one, which wins over it, is active.
func hasNoEffectBeside(loser, winner *Override) bool {
	if loser.Destination != winner.Destination {
		return false
	}
	covered := func(id choice.EndpointID) bool { return slices.Contains(winner.Endpoints, id) }
	switch {
	case winner.Kind == OutOfService && loser.Kind == Sticky:
		return len(loser.Endpoints) == 1 && covered(loser.Endpoints[0])
	case winner.Kind == Sticky && loser.Kind == Sticky:
		return winner.Class == loser.Class // a wider one still holds for other classes
	case winner.Kind == Sticky:
		return loser.Kind == FixedWeight && winner.Class == "" && !covered(loser.Endpoints[0])
	}
	return covered(loser.Endpoints[0])
}

// overrideEffect is what the active overrides do to one message.
type overrideEffect struct {
	outOfService []choice.EndpointID
	stickyBy     OverrideID          // "" for none
	stickyTo     []choice.EndpointID // of stickyBy
	weights      map[choice.EndpointID]float64
}

func (o *Overrides) effectOn(m *Message) overrideEffect {
	effect := overrideEffect{weights: map[choice.EndpointID]float64{}}
	for i := range o.active {
		v := &o.active[i].Override
		if v.Destination != m.Destination || v.Class != "" && v.Class != m.Class {
			continue
		}
		switch v.Kind {
		case OutOfService:
			effect.outOfService = append(effect.outOfService, v.Endpoints...)
		case Sticky:
			if effect.stickyBy == "" && !containsAll(effect.outOfService, v.Endpoints) {
				effect.stickyBy, effect.stickyTo = v.ID, v.Endpoints
			}
		case FixedWeight:
			if _, set := effect.weights[v.Endpoints[0]]; !set {
				effect.weights[v.Endpoints[0]] = v.Weight
			}
		}
	}
	return effect
}

// inService reports whether an endpoint is ready and no override has taken it out of service.
func (effect *overrideEffect) inService(e *Endpoint) bool {
	return e.Ready && !slices.Contains(effect.outOfService, e.ID)
}

func containsAll(all, some []choice.EndpointID) bool {
	return !slices.ContainsFunc(some, func(id choice.EndpointID) bool { return !slices.Contains(all, id) })
}
