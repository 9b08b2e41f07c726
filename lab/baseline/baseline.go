// Package baseline holds policies that the laboratory compares the project's own with.
//
// They act through choice.Host like package choice and keep the same rules: one end for each message, no repeat that could
// have its effect twice, draining, Retry-After, order. Beyond that they are simple on purpose. One of them, all_seen, sees
// the true state of the world and shows what can be reached. Code that serves must not import this package.
package baseline

import (
	"math/rand/v2"

	"flaxcove/choice"
	"flaxcove/lab/sim"
	"flaxcove/lab/world"
)

// Kinds are the policies by name, each with a description.
var Kinds = map[string]string{
	"choice": "the project's own decisions",
	oneTry:   "each notice is sent once, in order of arrival",
	fixed:    "retries after one second, always",
	backoff:  "capped doubling waits with full jitter, no tiers, no lane",
	least:    "least outstanding of two endpoints, retries within a budget of a tenth of first sends",
	allSeen:  "sees the true state of all endpoints; a bound, not a policy",
}

// Names of the baselines that decide something of their own.
const (
	oneTry  = "one_try"
	fixed   = "fixed"
	backoff = "backoff"
	least   = "least"
	allSeen = "all_seen"
)

// Named returns the policy of a name, or nil if there is none.
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
	for _, l := range set.Classes {
		p.shortest = min(p.shortest, l.LatencyObjective)
	}
	return p
}

const (
	fixedWait     = choice.Second
	budgetPerSend = 0.1 // what a first attempt adds to the retry budget; a retry takes 1
	maxBudget     = 20
	maxDoublings  = 10 // of the backoff
	slowShare     = 4  // the bound has at most one in this many of the in-flight limit at slow endpoints
	windowMargin  = choice.Second / 10
)

// maxTurnDoublings bounds the backoff of all_seen: one tick, doubled with each attempt.
const maxTurnDoublings = 6

// policy implements all baselines; kind says which.
type policy struct {
	host         choice.Host
	settings     choice.Settings
	kind         string
	world        *world.World
	rng          *rand.Rand
	shortest     choice.Time
	budget       float64
	inFlight     int
	slowInFlight int // of them at slow endpoints, for all_seen
	timerNo      choice.TimerID

	messages     map[choice.MessageID]*message // emptied as messages end
	timers       map[choice.TimerID]func()     // emptied as each fires
	endpoints    map[choice.EndpointID]*endpoint
	destinations map[choice.DestinationID]*destination
	keyQueues    map[choice.OrderKey]*keyQueue
	queue        []*message // in order of arrival
}

// message is a message that has not ended.
type message struct {
	choice.Message
	attempts int
	sentTo   *endpoint
	sentAt   choice.Time
	queued   bool
	keyQueue *keyQueue
	rank     float64
	slow     bool
}

// keyQueue holds the messages of an ordering key; only the first may be sent.
type keyQueue struct {
	key         choice.OrderKey
	messages    []*message
	pausedUntil choice.Time
}

// destination is a destination.
type destination struct {
	endpoints    []*endpoint
	blockedUntil choice.Time
}

// endpoint is an endpoint.
type endpoint struct {
	choice.Entry
	destination  *destination
	blockedUntil choice.Time
	calls        int // messages in flight; which of them share a call is not known here

	waiting float64 // until it would answer, as all_seen sees it
}
