package recall

import (
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/popularity/count"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

const (
	// MaxAge: older lessons are not used; a destination's endpoint may have moved, and the prior of package choice is as
	// good.
	MaxAge = 10 * time.Minute
	// ageHalfLife and maxAnswers: package choice weighs each new answer by one over those seen. A lesson that counts as
	// four answers has the first new answer move the mean by a fifth, and one of two half-lives by half.
	ageHalfLife = 2 * time.Minute
	maxAnswers  = 4.0
	// maxAnswersElsewhere is what a lesson learned in another zone counts for at most: its calls took another way.
	maxAnswersElsewhere = 1.0
	// limitMaxAge: a limit is reported by the endpoint and renewed with each answer. An old one may be too high, which does
	// harm, or too low, which holds a sender back for nothing; either is learned anew with the first answer.
	limitMaxAge = 30 * time.Second
)

// Discount is what of a lesson is applied at a process in zone here; false for nothing. Times count for less the older
// they are, a limit only while it is fresh, and a wait for what is left of it. How warm an endpoint is is not passed
// on: its first calls go by package choice's slow start.
func Discount(l Lesson, here view.Zone) (clusterapi.LearnedEndpoint, bool) {
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

// FromSender turns what a sender handed over into a lesson for the summary.
func FromSender(l clusterapi.LearnedEndpoint, zone view.Zone) Lesson {
	state := l.LearnedState
	return Lesson{
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
