package routes

import (
	"cmp"
	"slices"
	"time"

	"flaxcove/choice"
)

// OverrideID identifies one override.
type OverrideID string

// OverrideKind says what an override does.
type OverrideKind int

// The kinds of overrides, in order of precedence. OutOfService comes first: an endpoint that is out of service gets no
// messages even if a sticky override names it.
const (
	OutOfService OverrideKind = iota // the endpoint gets no messages
	Sticky                           // the messages go to the override's endpoints and no others
	FixedWeight                      // the endpoint has the override's weight
)

// String returns the word for the kind in files and output.
func (k OverrideKind) String() string { return [...]string{"out", "pin", "weight"}[k] }

// Override is a temporary change of routing at one destination, set by an operator.
type Override struct {
	ID          OverrideID
	Kind        OverrideKind
	Destination choice.DestinationID
	Class       string              // class of the messages that a sticky override applies to; "" for all classes
	Endpoints   []choice.EndpointID // at least one for a sticky override, exactly one for the other kinds
	Weight      float64             // of a FixedWeight override
	SetBy       string              // the operator
	Reason      string
	SetAt       time.Time     // wall-clock time
	Lifetime    time.Duration // from SetAt until the override expires
}

// activeOverride is an override that has not expired.
type activeOverride struct {
	Override
	expires time.Duration // on the monotonic clock of the process
}

// Overrides holds the active overrides of one sender. They expire by the monotonic clock of the process. The wall clock
// is used only for overrides that were set in an earlier process. The zero value is empty and ready to use.
type Overrides struct {
	active []activeOverride // in order of precedence
}

// Add adds an override that was just set or, at the start of a process, read back. It replaces one with the same ID.
// wall is the current wall-clock time, and elapsed the current time on the monotonic clock of the process. Add returns
// false if the override has already expired. If the wall clock steps back, no override lasts longer than its lifetime;
// if it steps forward, no override that was set in this process expires early.
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

// compareOverrides compares the precedence of two overrides and returns a negative number if a takes precedence. The
// order is by kind; then overrides for one class come before those for all classes, later ones before earlier ones, and
// lower IDs before higher ones.
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

// Clear removes an override before it expires and reports whether it was active.
func (o *Overrides) Clear(id OverrideID) bool {
	before := len(o.active)
	o.active = slices.DeleteFunc(o.active, func(v activeOverride) bool { return v.ID == id })
	return len(o.active) < before
}

// Expire removes the overrides that have expired at the time elapsed and returns them, together with the time when the
// next one expires. ok is false if no override is left.
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

// OverrideStatus describes an active override.
type OverrideStatus struct {
	Override
	Left         time.Duration // until the override expires
	SupersededBy OverrideID    // the first override that leaves this one without effect; "" if there is none
}

// Status returns the active overrides in order of precedence. elapsed is the current time on the monotonic clock of the
// process.
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

// hasNoEffectBeside reports whether an override has no effect while winner, which takes precedence over it, is active.
func hasNoEffectBeside(loser, winner *Override) bool {
	if loser.Destination != winner.Destination {
		return false
	}
	covered := func(id choice.EndpointID) bool { return slices.Contains(winner.Endpoints, id) }
	switch {
	case winner.Kind == OutOfService && loser.Kind == Sticky:
		return len(loser.Endpoints) == 1 && covered(loser.Endpoints[0])
	case winner.Kind == Sticky && loser.Kind == Sticky:
		return winner.Class == loser.Class // an override for all classes still has an effect on the other classes
	case winner.Kind == Sticky:
		return loser.Kind == FixedWeight && winner.Class == "" && !covered(loser.Endpoints[0])
	}
	return covered(loser.Endpoints[0])
}

// overrideEffect is the combined effect of the active overrides on one message.
type overrideEffect struct {
	outOfService []choice.EndpointID
	stickyBy     OverrideID          // the sticky override in effect; "" if there is none
	stickyTo     []choice.EndpointID // the endpoints of stickyBy
	weights      map[choice.EndpointID]float64
}

// effectOn returns the effect of the active overrides on a message. A sticky override whose endpoints are all out of
// service has no effect.
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

// inService reports whether an endpoint is ready and no override takes it out of service.
func (effect *overrideEffect) inService(e *Endpoint) bool {
	return e.Ready && !slices.Contains(effect.outOfService, e.ID)
}

// containsAll reports whether all contains every element of some.
func containsAll(all, some []choice.EndpointID) bool {
	return !slices.ContainsFunc(some, func(id choice.EndpointID) bool { return !slices.Contains(all, id) })
}
