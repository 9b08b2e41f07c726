package choice

import "slices"

const (
	// smallFleetSize is the number of senders up to which each judges by its own calls alone, and may probe. A sender of
	// a larger fleet sees too few of an endpoint's calls for that, and what all of them do at one moment overloads it.
	smallFleetSize = 8
	// tickInterval is the time between two ticks, in which changed destinations are looked at.
	tickInterval = 50 * Millisecond
	// rateWindow is the window of rate meters. A sender of a fleet has few events of its own, so where a meter of its
	// own events must hold some, this is multiplied by the number of senders; the load meter of a fleet uses
	// fleetLoadWindow.
	rateWindow      = 2 * Second
	fleetLoadWindow = 5 * Second
	// recentSuccessSpan is how long an endpoint or route counts as working after a call was done there.
	recentSuccessSpan = 2 * Second
	// minOverloadWindow is the shortest window over which slow start counts calls.
	minOverloadWindow = Second
	// roughRatingShare is the part of a rough rating that is relied on: it may be half too high.
	roughRatingShare = 1 / 1.5
	// quotaBurst is how many seconds of an account's quota may come at once.
	quotaBurst = 30.0
	// assumedCallShare is what a call is assumed to take before any was measured, in shortest contract times.
	assumedCallShare = 0.5

	// recentWeight and longTermWeight are the weights of a new value in recent and long-term exponential means.
	recentWeight   = 0.125
	longTermWeight = 0.02
)

// tickTimer is the timer of the tick. All others stand for messages.
const tickTimer TimerID = 0

// Sender makes the decisions of one sender. It has a method for each thing that can happen; the host calls TurnEnd
// after each batch of them.
type Sender struct {
	host     Host
	settings Settings
	random   randomSource
	now      Time // the host's clock at the latest thing that happened

	// Worked out from the settings by applySettings.

	fleetSize          float64 // number of senders
	turnInterval       Time    // shortest time between two turns
	maxValue           float64 // highest value of a class
	probing            bool    // this sender sends health probes
	exchangesNotes     bool    // this sender sends notes to the others
	maxRejectedRetries int     // most calls in flight that retry rejected messages, at one destination
	loadWindow         Time    // window of the load meters of routes
	overloadWindow     float64 // seconds over which slow start counts calls
	ratingShare        float64 // this sender's part of a rating, as far as ratings are relied on
	retryBase          Time    // ceiling of the first backoff
	retryCap           Time    // highest ceiling of a backoff
	assumedCallTime    float64 // what a call takes where none was measured

	// Learned from outcomes, over all endpoints.

	kinds            []*kind // by KindNo
	reusedResetShare float64 // recent share of calls over reused connections that were reset

	accountQuotas []tokenBucket // by AccountNo
	timers        messageTimers
	turnNumber    int

	messages        map[MessageID]*message         // open ones
	keyQueues       map[OrderKey]*keyQueue         // of keys that have messages or are paused
	destinations    map[DestinationID]*destination // those with endpoints or messages; dropped by the tick
	endpoints       map[EndpointID]*endpoint       // those listed or still needed; dropped by the tick
	endpointsByHash map[endpointHash]*endpoint     // the same, by their hash in notes
	withQueued      []*destination                 // those with queued messages, longest waiting first
	dirty           []*destination                 // those the next tick looks at
	calls           []*call                        // in flight; at most one for each of the in-flight limit
}

// Start returns a new Sender that acts through the host, which knows nothing of endpoints yet. Its random draws follow
// from its id and the seed.
func Start(h Host, id SenderID, seed int64, set Settings) *Sender {
	s := &Sender{
		host:            h,
		random:          newRandomSource(id, seed),
		now:             h.Now(),
		timers:          messageTimers{pending: map[TimerID]*message{}},
		messages:        map[MessageID]*message{},
		keyQueues:       map[OrderKey]*keyQueue{},
		destinations:    map[DestinationID]*destination{},
		endpoints:       map[EndpointID]*endpoint{},
		endpointsByHash: map[endpointHash]*endpoint{},
	}
	s.applySettings(set)
	h.Timer(tickInterval, tickTimer)
	return s
}

// Configure replaces all settings, between two turns. What is open, learned or in flight stays; lists may only grow.
func (s *Sender) Configure(set Settings) {
	s.now = s.host.Now()
	oldFees, oldCallTime := s.settings.RouteFees, s.assumedCallTime
	s.applySettings(set)
	if oldCallTime != s.assumedCallTime || !slices.Equal(oldFees, set.RouteFees) {
		s.rerankAll(oldCallTime)
	}
	s.endExhausted()
}

// rerankAll has the next tick rank all endpoints anew, and replaces the old assumed call time by the new one.
func (s *Sender) rerankAll(oldCallTime float64) {
	for _, ep := range selectSorted(s.endpoints, func(*endpoint) bool { return true }) {
		s.markDirty(ep.destination)
		if ep.samples == 0 && ep.longMean == oldCallTime {
			ep.callTimes = guessedTimes(s.assumedCallTime)
		}
	}
}

// endExhausted ends the messages that wait for a retry and may not have one any more.
func (s *Sender) endExhausted() {
	ends := func(msg *message) bool {
		return msg.inFlight == nil && msg.attempted() && s.exhausted(msg)
	}
	for _, msg := range selectSorted(s.messages, ends) {
		s.endUndelivered(msg)
	}
}

// applySettings works out what depends on settings. What is known of existing kinds and accounts stays.
func (s *Sender) applySettings(set Settings) {
	fleet := set.Senders > smallFleetSize
	s.settings = set
	s.fleetSize = float64(set.Senders)
	s.turnInterval = max(1, set.TurnInterval)
	s.maxValue = highestValue(set.Classes)
	s.probing = set.Probing && !fleet
	s.exchangesNotes = set.Notes && fleet
	s.maxRejectedRetries = max(1, set.InFlightLimit/rejectedRetryDivisor)
	s.loadWindow = rateWindow
	if fleet {
		s.loadWindow = fleetLoadWindow
	}
	s.overloadWindow = seconds(max(minOverloadWindow, set.OverloadWindow))
	s.ratingShare = reliedOn(set.Rating) / s.fleetSize

	shortest := float64(shortestContract(set.Classes))
	s.retryBase = max(1, Time(retryBaseShare*shortest))
	s.retryCap = max(1, Time(retryCapShare*shortest))
	s.assumedCallTime = max(1, assumedCallShare*shortest)

	for i, k := range set.Kinds {
		if i == len(s.kinds) {
			s.kinds = append(s.kinds, &kind{usualWait: defaultLimitWait, retryBudget: s.newRetryBudget()})
		}
		s.kinds[i].Kind = k
	}
	for _, quota := range set.Quotas[len(s.accountQuotas):] {
		burst := quotaBurst * quota / s.fleetSize
		s.accountQuotas = append(s.accountQuotas, tokenBucket{tokens: burst, updatedAt: s.now})
	}
}

// reliedOn is the part of a rating that is relied on.
func reliedOn(rating Rating) float64 {
	switch rating {
	case RatingRough:
		return roughRatingShare
	case RatingExact:
		return 1
	default:
		return 0
	}
}
