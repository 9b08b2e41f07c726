package choice

import "slices"

const (
	// smallFleetSize is the largest number of senders at which each relies on its own calls alone and may send probes.
	// A sender of a larger fleet sees too few calls of an endpoint for that, and simultaneous calls of all senders
	// would overload it.
	smallFleetSize = 8
	// tickInterval is the time between two ticks. A tick refreshes the destinations that have changed.
	tickInterval = 50 * Millisecond
	// rateWindow is the window of rate meters. A sender of a large fleet has few events of its own, so meters that need
	// several of its own events multiply the window by the number of senders. The load meters of a large fleet use
	// fleetLoadWindow.
	rateWindow      = 2 * Second
	fleetLoadWindow = 5 * Second
	// recentSuccessSpan is the time for which an endpoint or route counts as working after a successful call.
	recentSuccessSpan = 2 * Second
	// minOverloadWindow is the shortest window in which slow start counts calls.
	minOverloadWindow = Second
	// roughRatingShare is the share of a rough rating that is trusted, as the rating may be half too high.
	roughRatingShare = 1 / 1.5
	// quotaBurst is the number of seconds' worth of an account's quota that may arrive at once.
	quotaBurst = 30.0
	// assumedCallShare is the assumed call time before any was measured, as a share of the shortest latency objective.
	assumedCallShare = 0.5

	// recentWeight and longTermWeight are the weights of a new value in recent and long-term exponential means.
	recentWeight   = 0.125
	longTermWeight = 0.02
)

// tickTimer is the timer of the tick. All other timers belong to messages.
const tickTimer TimerID = 0

// Sender makes the decisions of one sender. It has one method for each event; the host calls TurnEnd after each batch
// of events.
type Sender struct {
	host     Host
	settings Settings
	random   randomSource
	now      Time // time of the latest event, on the host's clock

	// The next fields are derived from the settings by applySettings.

	fleetSize          float64 // number of senders
	turnInterval       Time    // shortest time between two turns
	maxValue           float64 // highest value of a class
	probing            bool    // this sender sends health probes
	exchangesNotes     bool    // this sender sends notes to the others
	maxRejectedRetries int     // most calls in flight that retry rejected messages of one destination
	loadWindow         Time    // window of the load meters of routes
	overloadWindow     float64 // window in which slow start counts calls, in seconds
	ratingShare        float64 // this sender's trusted share of a rating
	retryBase          Time    // ceiling of the first backoff
	retryCap           Time    // highest ceiling of a backoff
	assumedCallTime    float64 // call time if none was measured, in tenths of a millisecond

	// The next fields are learned from the outcomes at all endpoints.

	kinds            []*kind // by KindNo
	reusedResetShare float64 // recent share of calls over reused connections that were reset

	accountQuotas []tokenBucket // by AccountNo
	timers        messageTimers
	turnNumber    int

	heldBySlowStart int64 // see HeldBySlowStart

	lastCall CallID

	messages           map[MessageID]*message         // open messages
	keyQueues          map[OrderKey]*keyQueue         // of keys that have messages or are paused
	destinations       map[DestinationID]*destination // those with endpoints or messages; dropped by the tick
	endpoints          map[EndpointID]*endpoint       // those listed or still needed; dropped by the tick
	endpointsByHash    map[endpointHash]*endpoint     // the same endpoints, by their hash in notes
	queuedDestinations []*destination                 // those with queued messages, longest queued first
	dirty              []*destination                 // those that the next tick refreshes
	calls              []*call                        // calls in flight, at most the in-flight limit
}

// NewSender returns a new Sender that acts through the host and has no endpoints yet. Its random draws depend on its id
// and the seed.
func NewSender(h Host, id SenderID, seed int64, set Settings) *Sender {
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
	h.SetTimer(tickInterval, tickTimer)
	return s
}

// Configure replaces all settings between two turns. Open messages, calls in flight and learned state are kept. The
// lists in the settings may only grow.
func (s *Sender) Configure(set Settings) {
	s.now = s.host.Now()
	oldFees, oldCallTime := s.settings.RouteFees, s.assumedCallTime
	s.applySettings(set)
	if oldCallTime != s.assumedCallTime || !slices.Equal(oldFees, set.RouteFees) {
		s.rerankAll(oldCallTime)
	}
	s.endExhausted()
}

// rerankAll makes the next tick rank all endpoints again, and replaces the old assumed call time by the new one.
func (s *Sender) rerankAll(oldCallTime float64) {
	for _, ep := range selectSorted(s.endpoints, func(*endpoint) bool { return true }) {
		s.markDirty(ep.destination)
		if ep.samples == 0 && ep.longTermMean == oldCallTime {
			ep.callTimes = assumedCallTimes(s.assumedCallTime)
		}
	}
}

// endExhausted ends the messages that wait for a retry and may not have one any more.
func (s *Sender) endExhausted() {
	mustEnd := func(msg *message) bool {
		return msg.inFlight == nil && msg.attempted() && s.exhausted(msg)
	}
	for _, msg := range selectSorted(s.messages, mustEnd) {
		s.endUndelivered(msg)
	}
}

// applySettings derives fields from the settings. The state of existing kinds and accounts is kept.
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
	s.ratingShare = trustedRatingShare(set.Rating) / s.fleetSize

	shortest := float64(shortestObjective(set.Classes))
	s.retryBase = max(1, Time(retryBaseShare*shortest))
	s.retryCap = max(1, Time(retryCapShare*shortest))
	s.assumedCallTime = max(1, assumedCallShare*shortest)

	for i, k := range set.Kinds {
		if i == len(s.kinds) {
			s.kinds = append(s.kinds, &kind{usualRetryAfter: defaultLimitWait, retryBudget: s.newRetryBudget()})
		}
		s.kinds[i].Kind = k
	}
	for _, quota := range set.Quotas[len(s.accountQuotas):] {
		burst := quotaBurst * quota / s.fleetSize
		s.accountQuotas = append(s.accountQuotas, tokenBucket{tokens: burst, updatedAt: s.now})
	}
}

// trustedRatingShare returns the share of a rating that capacity estimates rely on.
func trustedRatingShare(rating Rating) float64 {
	switch rating {
	case RatingRough:
		return roughRatingShare
	case RatingExact:
		return 1
	default:
		return 0
	}
}
