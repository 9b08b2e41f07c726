package choice

import "iter"

// This file exports and restores which endpoints are ejected or in slow start, so that an outage does not end with a process,
// and reports changes of it to the host.

// Impairment is the state of an endpoint that is ejected or in slow start, as the next incarnation of a sender needs it. Its
// times are relative to the moment at which it was read. Its field names are part of a stored file format.
type Impairment struct {
	// Ejected is set if the endpoint has not answered a call since it was ejected, or since it was suspected to be out: the next
	// incarnation would have to learn the latter anew, and could call the endpoint at its return before it has.
	Ejected bool `json:",omitempty"`
	// SlowStart is the time since slow start began; it is negative if slow start begins later. It has no meaning while the
	// endpoint is ejected.
	SlowStart Time
	// Wait is the remaining time of the route's pause.
	Wait Time `json:",omitempty"`
}

// After returns the impairment as it is after a time in which nothing was heard of the endpoint.
func (i Impairment) After(elapsed Time) Impairment {
	i.SlowStart += elapsed
	i.Wait = max(0, i.Wait-elapsed)
	return i
}

// HealthEvent is a change of an endpoint's health.
type HealthEvent int

const (
	// EndpointEjected means that the endpoint gets no calls but trials.
	EndpointEjected HealthEvent = iota
	// EndpointReadmitted means that the endpoint has answered and gets calls as before: it was not down, or has no slow start.
	EndpointReadmitted
	// SlowStartBegun means that the endpoint gets a limited number of calls for the length of a slow start.
	SlowStartBegun
	// EndpointSuspected means that the endpoint has refused a call and has had no successful one recently, so that it may be out.
	EndpointSuspected
	// EndpointCleared means that a suspected endpoint has had a successful call.
	EndpointCleared
	// ConnectionTableFull means that a refusal was attributed to the endpoint's connection table.
	ConnectionTableFull
)

// HealthReason is why the health of an endpoint changed.
type HealthReason int

const (
	// CallsFailed means that calls failed or stayed unanswered.
	CallsFailed HealthReason = iota
	// CallsRefused means that calls were refused.
	CallsRefused
	// CallSucceeded means that a call was answered.
	CallSucceeded
	// LongRetryAfter means that a Retry-After of an unavailable destination holds calls back until slow start begins.
	LongRetryAfter
	// RestoredState means that an earlier incarnation knew of the outage.
	RestoredState
)

// Impairments returns the endpoints that are ejected, suspected or in slow start, in no particular order.
func (s *Sender) Impairments() iter.Seq2[EndpointID, Impairment] {
	return func(yield func(EndpointID, Impairment) bool) {
		now := s.host.Now()
		for id, ep := range s.endpoints {
			out := ep.ejected || ep.suspected
			if !out && now >= ep.slowStartAt+s.settings.SlowStart {
				continue
			}
			state := Impairment{Ejected: out, Wait: max(0, ep.route.pausedUntil-now)}
			if !out {
				state.SlowStart = now - ep.slowStartAt
			}
			if !yield(id, state) {
				return
			}
		}
	}
}

// restoreImpairment gives a new endpoint the impairment that an earlier incarnation knew of. The return of an ejected endpoint
// may lie in the time between the two, so its slow start counts from now at the earliest.
func (s *Sender) restoreImpairment(ep *endpoint, state Impairment) {
	ep.route.pausedUntil = max(ep.route.pausedUntil, s.now+state.Wait)
	if state.Ejected {
		s.eject(ep, RestoredState)
		return
	}
	s.beginSlowStart(ep, s.now-state.SlowStart)
	if s.impaired(ep) {
		s.host.EndpointChanged(ep.id, SlowStartBegun, RestoredState)
	}
}
