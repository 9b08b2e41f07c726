package recall

import (
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/popularity/count"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/together"
)

const (
	// MostAge: of older lessons nothing is taken; a partner may have moved, and the module's prior is as good.
	MostAge = 10 * time.Minute
	// trustHalf and mostSeen: the module weighs each new answer by one over those seen, so a lesson that counts as four
	// has the first answer move the mean by a fifth, and one of two half lives by half.
	trustHalf = 2 * time.Minute
	mostSeen  = 4.0
	// elsewhere is what a lesson learnt in another zone counts for at most: its calls took another way.
	elsewhere = 1.0
	// limitFor: a limit is the partner's word, renewed with each answer. An old one that was high is good news that is
	// not trusted, an old low one holds a sender down for nothing: both are asked anew with the first answer.
	limitFor = 30 * time.Second
)

// Trust is what of a lesson is taught at a process in a zone; false for nothing. Times are kept, and count for less the
// older they are; a limit only while it is fresh; a wait is what is left of it. Nothing is told of how warm an endpoint
// is: the first calls go by the module's own lane.
func Trust(l Lesson, here view.Zone) (together.Lesson, bool) {
	if !sound(l) || l.Age > MostAge {
		return together.Lesson{}, false
	}
	k := choice.LearnedState{Wait: max(0, l.Wait-choice.Time(l.Age/(100*time.Microsecond)))}
	if l.Seen > 0 && l.Mean > 0 && l.Past > 0 {
		k.Mean, k.Dev, k.Past = l.Mean, l.Dev, l.Past
		k.Seen = min(l.Seen, mostSeen) * count.Decay(l.Age, trustHalf)
		if l.Zone != here {
			k.Seen = min(k.Seen, elsewhere)
		}
	}
	if l.Age <= limitFor {
		k.Limit = l.Limit
	}
	return together.Lesson{Endpoint: l.Endpoint, LearnedState: k, Age: l.Age}, k != choice.LearnedState{}
}

// Of is a lesson as a sender handed it over, on its way to the summary.
func Of(l together.Lesson, zone view.Zone) Lesson {
	k := l.LearnedState
	return Lesson{Endpoint: l.Endpoint, Mean: k.Mean, Dev: k.Dev, Past: k.Past, Seen: k.Seen, Limit: k.Limit, Wait: k.Wait,
		Age: l.Age, Zone: zone}
}
