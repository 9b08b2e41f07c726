package recall

import (
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/popularity/count"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

const (
	// MaxAge is the age beyond which learned state is not used: the destination's endpoint may have moved since, and the
	// prior of package choice is as good.
	MaxAge = 10 * time.Minute
	// ageHalfLife is the age at which learned latencies count for half as many answers as new ones.
	ageHalfLife = 2 * time.Minute
	// maxAnswers is the number of answers for which learned latencies count at most. Package choice weights each new answer
	// by one over the number of answers seen. With 4 answers seen, the first new answer moves the mean by a fifth, and after
	// two half-lives by half.
	maxAnswers = 4.0
	// maxAnswersElsewhere replaces maxAnswers for latencies that were learned in another zone, whose calls took another
	// network path.
	maxAnswersElsewhere = 1.0
	// limitMaxAge is the age beyond which a limit is not used. Endpoints report their limit with each answer, so it is learned
	// again with the first one. An outdated limit may be too high, which overloads the endpoint, or too low, which slows the
	// sender down without need.
	limitMaxAge = 30 * time.Second
)

// Discount returns the learned state that a process in zone here should apply, and false if it should apply none. Latencies
// count for fewer answers the older they are, a limit is used only up to limitMaxAge, and a wait is reduced by the age. The
// progress of an endpoint's slow start is not part of the state: its first calls are subject to the slow start of package
// choice.
func Discount(l EndpointState, here view.Zone) (clusterapi.LearnedEndpoint, bool) {
	if !valid(l) || l.Age > MaxAge {
		return clusterapi.LearnedEndpoint{}, false
	}
	state := choice.LearnedState{Wait: max(0, l.Wait-choice.Time(l.Age/(100*time.Microsecond)))}
	if l.Seen > 0 && l.Mean > 0 && l.Past > 0 {
		state.Mean, state.Dev, state.Past = l.Mean, l.Dev, l.Past
		state.Seen = min(l.Seen, maxAnswers) * count.Decay(l.Age, ageHalfLife)
		if l.Zone != here {
			state.Seen = min(state.Seen, maxAnswersElsewhere)
		}
	}
	if l.Age <= limitMaxAge {
		state.Limit = l.Limit
	}
	return clusterapi.LearnedEndpoint{Endpoint: l.Endpoint, LearnedState: state, Age: l.Age}, state != choice.LearnedState{}
}

// FromSender converts learned state of a sender in a zone to the form that is sent between processes.
func FromSender(l clusterapi.LearnedEndpoint, zone view.Zone) EndpointState {
	state := l.LearnedState
	return EndpointState{
		Endpoint: l.Endpoint,
		Mean:     state.Mean,
		Dev:      state.Dev,
		Past:     state.Past,
		Seen:     state.Seen,
		Limit:    state.Limit,
		Wait:     state.Wait,
		Age:      l.Age,
		Zone:     zone,
	}
}
