package choice

import "container/list"

// This file holds the types of what a Sender knows of messages, destinations, routes and endpoints. Sender itself is in
// sender.go.

// message is one open message. It leaves Sender.messages once it has ended and no attempt of it is in flight.
type message struct {
	Message
	destination *destination

	inFlight     *call     // the call that carries it, nil while none does
	lastEndpoint *endpoint // of the latest attempt whose outcome is known
	attempts     int
	retryAt      Time // earliest time of the next attempt
	acceptedAt   Time // deadline less its class's deadline: value fades from here

	queue        *list.List // the queue it stands in, nil for none
	queueElement *list.Element
	keyQueue     *keyQueue // nil where its order does not matter
	timers       []TimerID // those that stand for it

	rejected  bool // its latest attempt was rejected (Full)
	ended     bool // no further attempt follows
	overQuota bool // beyond its account's quota when it was accepted
}

// keyQueue holds the messages of one order key in the order accepted. It is dropped once it is empty and not paused.
type keyQueue struct {
	messages    []*message
	pausedUntil Time // an attempt may still be running until then
}

// destination is where messages are addressed to; it has endpoints.
type destination struct {
	id     DestinationID
	kind   *kind
	route  *route      // shared by its endpoints, unless its kind keeps them apart
	ranked []*endpoint // best first, as of the latest refresh

	queues             []*list.List // due retries, rejected ones, then first attempts by class
	queued             int          // messages in these queues
	openMessages       int          // messages not ended, or ended and still in flight
	rejectedRetriesOut int          // calls in flight that retry a rejected message
	keysPausedUntil    Time         // end of the pauses of order keys that have no message left

	retryBudget tokenBucket // pays for retries, see Sender.retryBudget
	dirty       bool        // it is in Sender.dirty
}

// kind is what is known of all destinations of one kind together.
type kind struct {
	Kind
	callTimes                    // of all calls there, for endpoints without any yet
	reportsLimits    bool        // its answers report limits: a rejection without a report is no limit's
	retryBudget      tokenBucket // pays for retries where senders exchange notes, see Sender.retryBudget
	usualWait        Time        // recent mean of the Retry-After of used-up limits
	connectFailShare float64     // recent share of new connections that failed
}

// route is what rate limits, pauses and outages apply to: all of a destination, or one endpoint of a kind that keeps
// them apart.
type route struct {
	limiter   tokenBucket // the rate of calls that this sender allows itself
	sent      rateMeter   // calls
	succeeded rateMeter   // calls done

	rating          float64 // capacity from the endpoint list, calls a second of all senders
	limit           float64 // latest reported limit, calls a second of all senders; 0 for none
	peakSuccessRate float64 // highest rate of calls done

	// What adjustRate has seen since it judged last.

	answered, rejected float64
	judgedAt           Time

	// What adjustRate remembers of earlier judgements.

	peakLoad         float64 // highest load of late, calls a second
	previousShare    float64 // share rejected at the last different load
	previousLoad     float64 // that load, calls a second
	previousAnswered float64 // calls that share was found with
	noiseShare       float64 // share rejected whatever the load

	pausedUntil Time // nothing is sent before
	guessedWait Time // latest pause guessed as no Retry-After came
	limitMetAt  Time // when a sender of the fleet last met the limit
	limitPause  Time // how long the route paused for that

	lastSuccess           Time
	consecutiveFailures   int // since a call was done
	consecutiveRejections int // likewise
}

// endpoint is one address of a destination.
type endpoint struct {
	callTimes
	healthState
	id          EndpointID
	destination *destination
	route       *route
	zone        ZoneNo
	listed      bool // the endpoint list has it as ready
	probing     bool // a health probe is in flight

	inFlight         int     // calls
	concurrencyLimit float64 // most calls in flight, adapted by their outcomes
	bulkCall         *call   // latest call, which takes further messages in its turn
	sent             rateMeter
	slowStart        tokenBucket // bounds what is sent while it is ejected or in slow start

	// Outcomes. The shares are exponential means of the latest calls.

	consecutiveFailures int
	errorShare          float64 // neither done nor rejected, while not ejected
	rejectedShare       float64
	recentAnswered      float64 // fading count of calls with an outcome
	recentRejected      float64 // fading count of those rejected
	successesNeeded     int     // calls to be done before it gets non-idempotent messages again
	unansweredAt        Time    // latest call that stayed without an answer while others were answered
	lastSuccess         Time

	idleConnUntil    Time // an idle connection may be there until then
	connectionNoteAt Time // latest note, sent or received, that it had no place for a further connection
}

// healthState is whether an endpoint is ejected or in slow start, and since when.
type healthState struct {
	ejected     bool
	probePassed bool // the process answers probes: a call may try whether it answers calls
	lastFailure Time
	ejectedAt   Time
	trialPause  Time // backoff between trials (probes or calls)
	nextTrial   Time

	slowStartAt         Time // beginning of the latest slow start
	previousSlowStartAt Time // that of the one before the ejection
}

// call is one call to an endpoint, with the messages sent to it in one turn, until all have their outcomes. It takes
// one of the in-flight limit.
type call struct {
	endpoint *endpoint
	sentAt   Time
	messages int // carried
	pending  int // of these, without an outcome
	turn     int // Sender.turnNumber when it was sent

	rejectedRetry bool // opened for the retry of a rejected message
	newConnection bool // no idle connection was known of
	judged        bool // an outcome has been counted
	unanswered    bool // it was counted as unanswered
}
