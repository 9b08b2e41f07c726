// Package baseline holds policies that the laboratory compares the project's own with.
//
// They decide through choice.Host as choice does, keep the rules that a sender can keep without judgement (one final
// answer, no repeat of what may have run, drains, waits, order), and are simple on purpose. One of them sees the
// world's true state and stands for what is within reach. None may ever be imported by what serves.
package baseline

import (
	"math/rand/v2"

	"flaxcove/choice"
	"flaxcove/lab/sim"
	"flaxcove/lab/world"
)

// Kinds are the policies by name, with what each is.
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

// Named is the policy of that name, nil if there is none.
func Named(name string) sim.NewPolicy {
	switch name {
	case "choice":
		return sim.ChoicePolicy
	case oneTry, fixed, backoff, least, allSeen:
		return func(h choice.Host, id choice.SenderID, seed int64, set choice.Settings, w *world.World) sim.Policy {
			return newPlain(name, h, seed, set, w)
		}
	}
	return nil
}

func newPlain(name string, h choice.Host, seed int64, set choice.Settings, w *world.World) *plain {
	p := &plain{
		h:        h,
		set:      set,
		kind:     name,
		w:        w,
		rng:      rand.New(rand.NewPCG(uint64(seed), 0xba5e)),
		shortest: choice.Time(1 << 40),
		held:     map[choice.MessageID]*message{},
		timers:   map[choice.TimerID]func(){},
		ends:     map[choice.EndpointID]*end{},
		dests:    map[choice.DestinationID]*dest{},
		lines:    map[choice.OrderKey]*line{},
	}
	for _, l := range set.Classes {
		p.shortest = min(p.shortest, l.LatencyObjective)
	}
	return p
}

const (
	fixedWait     = choice.Second
	budgetPart    = 0.1 // of a first send, that a retry takes a whole one of
	budgetMost    = 20
	longestDouble = 10 // doublings of a wait
	slowPart      = 4  // one in so many of the calls in flight may be at slow endpoints
	windowMargin  = choice.Second / 10
)

// Waits of the bound: a turn, doubled with each try.
const longestTurnDouble = 6

// plain is all baselines: one that decides as its kind says.
type plain struct {
	h        choice.Host
	set      choice.Settings
	kind     string
	w        *world.World
	rng      *rand.Rand
	shortest choice.Time
	budget   float64
	out      int
	slow     int // of them at slow endpoints
	timerNo  choice.TimerID

	held   map[choice.MessageID]*message // emptied as messages end
	timers map[choice.TimerID]func()     // emptied as each fires
	ends   map[choice.EndpointID]*end
	dests  map[choice.DestinationID]*dest
	lines  map[choice.OrderKey]*line
	queue  []*message // in order of arrival
}

// message is one that is held.
type message struct {
	choice.Message
	tries  int
	out    *end
	sentAt choice.Time
	queued bool
	line   *line
	rank   float64
	slow   bool
}

// line is the messages of an ordering key, the first to go first.
type line struct {
	key      choice.OrderKey
	messages []*message
	rest     choice.Time
}

// dest is a destination.
type dest struct {
	ends []*end
	halt choice.Time
}

// end is an endpoint.
type end struct {
	choice.Entry
	d     *dest
	halt  choice.Time
	calls int // messages out: what shares a call is not known here

	waiting float64 // as the bound sees it
}
