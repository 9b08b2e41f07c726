// Package baseline implements simple policies with which the lab compares the project's own decisions.
//
// Like package choice they act through choice.Host, and they follow the same rules: a message has exactly one end, an attempt
// whose effect could be repeated is not made, and draining, Retry-After and ordering keys are respected. Beyond that they are
// simple on purpose. One of them, all_seen, sees the true state of the simulated environment; its result is an upper bound for
// the others. The sender must not import this package.
package baseline

import (
	"math/rand/v2"

	"flaxcove/choice"
	"flaxcove/lab/sim"
	"flaxcove/lab/world"
)

// Descriptions describes each policy, by name.
var Descriptions = map[string]string{
	"choice": "the project's own decisions",
	oneTry:   "attempts each message once, in order of arrival",
	fixed:    "always retries after one second",
	backoff:  "retries with capped exponential backoff and full jitter, without priorities",
	least:    "picks the less loaded of two random endpoints, with a retry budget of a tenth of the first attempts",
	allSeen:  "sees the true state of all endpoints; an upper bound, not a realistic policy",
}

// The names of the policies of this package.
const (
	oneTry  = "one_try"
	fixed   = "fixed"
	backoff = "backoff"
	least   = "least"
	allSeen = "all_seen"
)

// Named returns the constructor of the policy with a name, or nil if there is none.
func Named(name string) sim.NewPolicy {
	switch name {
	case "choice":
		return sim.ChoicePolicy
	case oneTry, fixed, backoff, least, allSeen:
		return func(h choice.Host, id choice.SenderID, seed int64, set choice.Settings, w *world.World) sim.Policy {
			return newPolicy(name, h, seed, set, w)
		}
	}
	return nil
}

// newPolicy returns the baseline with a name. The policy all_seen reads the state of w.
func newPolicy(name string, h choice.Host, seed int64, set choice.Settings, w *world.World) *policy {
	p := &policy{
		host:         h,
		settings:     set,
		kind:         name,
		world:        w,
		rng:          rand.New(rand.NewPCG(uint64(seed), 0xba5e)),
		shortest:     choice.Time(1 << 40),
		messages:     map[choice.MessageID]*message{},
		timers:       map[choice.TimerID]func(){},
		endpoints:    map[choice.EndpointID]*endpoint{},
		destinations: map[choice.DestinationID]*destination{},
		keyQueues:    map[choice.OrderKey]*keyQueue{},
	}
	for _, class := range set.Classes {
		p.shortest = min(p.shortest, class.LatencyObjective)
	}
	return p
}

const (
	fixedWait     = choice.Second      // the wait of the policy fixed
	budgetPerSend = 0.1                // added to the retry budget by each first attempt; a retry takes 1
	maxBudget     = 20                 // limit of the retry budget
	maxDoublings  = 10                 // limit of the doublings of the backoff
	slowShare     = 4                  // all_seen has at most 1/slowShare of the in-flight limit at slow endpoints
	windowMargin  = choice.Second / 10 // time by which a repeat must arrive before the end of the idempotency window
)

// maxTurnDoublings bounds the backoff of all_seen, which is one turn, doubled with each attempt.
const maxTurnDoublings = 6

// policy implements all baselines.
type policy struct {
	host         choice.Host
	settings     choice.Settings
	kind         string       // name of the baseline
	world        *world.World // read by all_seen only
	rng          *rand.Rand
	shortest     choice.Time // shortest latency objective of all classes
	budget       float64     // retry budget, for the policy least
	inFlight     int         // attempts in flight
	slowInFlight int         // attempts in flight at slow endpoints, for all_seen
	timerNo      choice.TimerID
	callNo       choice.CallID
	turn         int // number of the current turn

	messages     map[choice.MessageID]*message // an entry is deleted when its message ends
	timers       map[choice.TimerID]func()     // an entry is deleted when its timer fires
	endpoints    map[choice.EndpointID]*endpoint
	destinations map[choice.DestinationID]*destination
	keyQueues    map[choice.OrderKey]*keyQueue
	queue        []*message // messages that may be sent, in order of arrival
}

// message is a pending message.
type message struct {
	choice.Message
	attempts int
	sentTo   *endpoint // endpoint of the attempt in flight; nil if there is none
	sentAt   choice.Time
	queued   bool      // the message is in policy.queue
	keyQueue *keyQueue // nil if the message is not ordered
	rank     float64   // value per time in flight, for all_seen
	slow     bool      // the attempt in flight counts in slowInFlight
}

// keyQueue holds the pending messages of an ordering key in order. Only the first may be sent.
type keyQueue struct {
	key         choice.OrderKey
	messages    []*message
	pausedUntil choice.Time // no first attempt before this time
}

// destination holds the endpoints of a destination.
type destination struct {
	endpoints    []*endpoint
	blockedUntil choice.Time // end of a Retry-After that applies to the whole destination
}

// bulkCall is a call to an endpoint while further messages may join it.
type bulkCall struct {
	id       choice.CallID
	turn     int
	messages int
}

// endpoint holds the state of an endpoint.
type endpoint struct {
	choice.Entry
	destination  *destination
	blockedUntil choice.Time // end of a Retry-After that applies to this endpoint only
	calls        int         // messages in flight; several may share a bulk call
	turnCall     bulkCall    // the latest call, which other messages of the same turn may join

	waiting float64 // time until the endpoint would answer a call, in tenths of a millisecond; set by all_seen
}
