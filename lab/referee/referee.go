// Package referee judges a run by what truly happened.
//
// It owns the reading of the six rules and the figures of service. It hears the world's ledger and nothing else: no
// sender's log, counter or word. It must never depend on which engine played the run, look at a clock, or hang on the
// order of a map. What it holds of a message goes once that is judged, so that it can sit through a long run.
//
// Where two things come at one instant, they count in the order in which they left whoever caused them: an answer that
// left before its call was abandoned delivers; a +OK that left before the kill binds; a call that left at the moment at
// which its endpoint's drain was told is in time, since the grace has just begun.
package referee

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"flaxcove/choice"
	"flaxcove/lab/world"
)

// Time is choice.Time, counted from the start of the run.
type Time = choice.Time

// Rule is one of the six, or the one that a message goes to nobody else's partner.
type Rule string

const (
	Lost      Rule = "lost"    // no final answer in time, two of them, or something sent after it
	Twice     Rule = "twice"   // an effect that must not happen again may have, or two attempts were out at once
	Drains    Rule = "drains"  // something new went to an endpoint that drains or is gone
	Returns   Rule = "returns" // a returning endpoint was pushed over by senders that had seen it fail
	Order     Rule = "order"
	Waits     Rule = "waits"
	Elsewhere Rule = "elsewhere" // a message went to another partner than its own
)

// Rules are all, in the order of reports.
var Rules = []Rule{Lost, Twice, Drains, Returns, Order, Waits, Elsewhere}

// maxViolationsListed is how many breaks of each rule are told in full.
const maxViolationsListed = 20

// Violation is one breach of a rule.
type Violation struct {
	Rule   Rule    `json:"rule"`
	At     float64 `json:"at_s"`
	Sender int     `json:"sender"`
	What   string  `json:"what"`
}

// Referee is a world.Ledger.
type Referee struct {
	spec  *world.Spec
	clock func() Time
	slack Time // of sockets against a clock that stands still between events

	messages        map[*world.HandIn]*message // emptied as each is judged
	due             dues
	keyQueues       map[orderKey][]*message // emptied likewise
	keyRestUntil    map[orderKey]Time
	stages          map[senderView]announcedStage // one for each sender and endpoint that was told to drain
	retryAfterUntil map[senderView]Time           // until, by sender and route; emptied as each ends
	retryAfterSince map[senderView]Time           // when it was told
	requests        map[*world.Request]*requestState
	requestsByClass [][]*world.Request // by class, in order of time; each leaves askedFor after its deadline
	senders         []senderState
	calls           map[*world.Call]*callState // emptied as calls are resolved

	v             Verdict
	seconds       []Second
	delivery      []*hdrhistogram.Histogram // by class, in tenths of a millisecond
	acceptLatency *hdrhistogram.Histogram
	bySecond      []*hdrhistogram.Histogram
	returns       map[*world.Endpoint]*Return
}

// New makes a referee; clock is the world's. Slack is how much later than in truth an engine may show what a sender
// does, 0 in simulated time.
func New(spec *world.Spec, clock func() Time, slack Time) *Referee {
	r := &Referee{
		spec:            spec,
		clock:           clock,
		slack:           slack,
		messages:        map[*world.HandIn]*message{},
		keyQueues:       map[orderKey][]*message{},
		keyRestUntil:    map[orderKey]Time{},
		stages:          map[senderView]announcedStage{},
		retryAfterUntil: map[senderView]Time{},
		retryAfterSince: map[senderView]Time{},
		requests:        map[*world.Request]*requestState{},
		calls:           map[*world.Call]*callState{},
		senders:         make([]senderState, spec.Senders),
		seconds:         make([]Second, int(spec.Seconds)+1),
		bySecond:        make([]*hdrhistogram.Histogram, int(spec.Seconds)+1),
		returns:         map[*world.Endpoint]*Return{},
	}
	r.v.Rules = map[Rule]int{}
	r.v.Classes = make([]Class, len(spec.Classes))
	r.requestsByClass = make([][]*world.Request, len(spec.Classes))
	r.acceptLatency = newHistogram()
	for i := range spec.Classes {
		r.v.Classes[i].Name = spec.Classes[i].Name
		r.delivery = append(r.delivery, newHistogram())
	}
	return r
}

// violated counts a breach, and tells the first ones in full.
func (r *Referee) violated(rule Rule, s world.SenderNo, format string, args ...any) {
	r.v.Rules[rule]++
	if r.v.Rules[rule] <= maxViolationsListed {
		what := fmt.Sprintf(format, args...)
		r.v.Violations = append(r.v.Violations, Violation{Rule: rule, At: sec(r.clock()), Sender: int(s), What: what})
	}
}
