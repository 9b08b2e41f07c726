// Package referee judges a run by what happened in the world.
//
// It checks the rules and computes the figures of service. Its only input is the world's ledger, never a sender's log or
// counters. It must not depend on the engine that played the run, read a clock, or depend on the order of a map. The state
// of a message is dropped once it is judged, so that memory is bounded in a long run.
//
// Events of the same instant count in the order in which they left their cause: an answer that left before its call was
// abandoned is a delivery; a +OK that left before the process was killed is binding; a call that left at the moment when
// its endpoint's drain was announced is in time, since the grace period has just begun.
package referee

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"flaxcove/choice"
	"flaxcove/lab/world"
)

// Time is choice.Time, counted from the start of the run.
type Time = choice.Time

// Rule is one of the six rules, or the rule that a message goes to its own partner only.
type Rule string

const (
	Lost      Rule = "lost"    // no end in time, two different ends, or an attempt after the end
	Twice     Rule = "twice"   // an effect may have come twice that must not, or two attempts were in flight at once
	Drains    Rule = "drains"  // a call went to an endpoint that drains or is gone
	Returns   Rule = "returns" // an endpoint fell over in slow start by the load of senders that had seen it fail
	Order     Rule = "order"
	Waits     Rule = "waits"
	Elsewhere Rule = "elsewhere" // a message went to another partner than its own
)

// Rules are all rules, in the order of reports.
var Rules = []Rule{Lost, Twice, Drains, Returns, Order, Waits, Elsewhere}

// maxViolationsListed is how many violations of each rule the verdict describes.
const maxViolationsListed = 20

// Violation is one violation of a rule.
type Violation struct {
	Rule   Rule    `json:"rule"`
	At     float64 `json:"at_s"`
	Sender int     `json:"sender"`
	What   string  `json:"what"`
}

// Referee judges a run; it implements world.Ledger.
type Referee struct {
	spec  *world.Spec
	clock func() Time
	slack Time // how much later than in truth the engine may report an event

	messages        map[*world.HandIn]*message // emptied as each is judged
	due             dues
	keyQueues       map[orderKey][]*message // emptied likewise
	keyRestUntil    map[orderKey]Time
	stages          map[senderView]announcedStage // by sender and endpoint; those that drain or are gone
	retryAfterUntil map[senderView]Time           // until, by sender and route; emptied as each ends
	retryAfterSince map[senderView]Time           // when the Retry-After arrived
	requests        map[*world.Request]*requestState
	requestsByClass [][]*world.Request // by class, in order of time; each is dropped lateDeliveryPeriod after its deadline
	senders         []senderState
	calls           map[*world.Call]*callState // emptied as calls are resolved

	v             Verdict
	seconds       []Second
	delivery      []*hdrhistogram.Histogram // by class, in tenths of a millisecond
	acceptLatency *hdrhistogram.Histogram
	bySecond      []*hdrhistogram.Histogram
	returns       map[*world.Endpoint]*Return
}

// New creates a referee; clock is the world's. Slack is how much later than in truth the engine may report what a sender
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

// violated counts a violation, and describes the first ones of each rule.
func (r *Referee) violated(rule Rule, s world.SenderNo, format string, args ...any) {
	r.v.Rules[rule]++
	if r.v.Rules[rule] <= maxViolationsListed {
		what := fmt.Sprintf(format, args...)
		r.v.Violations = append(r.v.Violations, Violation{Rule: rule, At: sec(r.clock()), Sender: int(s), What: what})
	}
}
