package choice

import "container/list"

// This file holds the state of messages, destinations, routes and endpoints. Sender itself is in sender.go.

// message is an open message. It is removed from Sender.messages when it has ended and no attempt of it is in flight.
type message struct {
	Message
	destination *destination

	inFlight     *call     // the call that carries the message, or nil
	lastEndpoint *endpoint // endpoint of the latest attempt with an outcome
	attempts     int
	retryAt      Time // earliest time of the next attempt
	acceptedAt   Time // Deadline minus the deadline of its class; the value of the message decays from here

	queue        *list.List // the queue that holds the message, or nil
	queueElement *list.Element
	keyQueue     *keyQueue // nil if the message has no order
	timers       []TimerID // timers set for the message

	rejected  bool // the latest attempt was rejected
	alone     bool // must not share a call, because the endpoint could not take a call with several messages
	ended     bool // no further attempt follows
	overQuota bool // beyond its account's quota when accepted
}

// keyQueue holds the messages of one order key in the order accepted. It is dropped when it is empty and not paused.
type keyQueue struct {
	messages    []*message
	pausedUntil Time // an attempt may still be running until then
}

// destination is what messages are addressed to. It has one or more endpoints.
type destination struct {
	id     DestinationID
	kind   *kind
	route  *route      // shared by all endpoints, unless the kind has separate routes
	ranked []*endpoint // all endpoints, best first as of the latest refresh

	queues                  []*list.List // by index: dueRetries, rejectedRetries, then first attempts by class
	queued                  int          // number of messages in queues
	openMessages            int          // messages that have not ended, or have ended and are still in flight
	rejectedRetriesInFlight int          // calls in flight that retry a rejected message
	keysPausedUntil         Time         // latest end of a pause of an order key that a message has left

	retryBudget tokenBucket // pays for retries; see Sender.retryBudget
	dirty       bool        // whether Sender.dirty holds the destination
}

// kind is the state that all destinations of one kind share.
type kind struct {
	Kind
	callTimes                    // of all calls to the kind; used for endpoints without calls
	reportsLimits    bool        // answers report limits, so a rejection without a report has another cause
	retryBudget      tokenBucket // pays for retries if senders exchange notes; see Sender.retryBudget
	usualRetryAfter  Time        // recent mean of the Retry-After of limits that are used up
	connectFailShare float64     // recent share of new connections that failed
	refusedShare     float64     // share of calls that working endpoints refuse
}

// route is what rate limits, pauses and outages apply to: a whole destination, or one endpoint if its kind has separate
// routes.
type route struct {
	limiter   tokenBucket // allows the rate of calls of this sender
	sent      rateMeter   // calls sent
	succeeded rateMeter   // successful calls

	rating          float64 // capacity from the endpoint list, in calls a second of all senders
	limit           float64 // latest reported limit, in calls a second of all senders; 0 for none
	peakSuccessRate float64 // highest rate of successful calls

	// The next fields count what happened since adjustRate last adjusted the rate.

	answered, rejected float64
	rateAdjustedAt     Time

	// The next fields are what adjustRate keeps from earlier adjustments.

	peakLoad         float64 // recent peak load, in calls a second
	previousShare    float64 // rejection share at the previous different load
	previousLoad     float64 // that load, in calls a second
	previousAnswered float64 // number of answers that the share is based on
	noiseShare       float64 // rejection share at any load

	pausedUntil Time // no call is sent before this time
	limitHitAt  Time // when a sender of the fleet last hit the limit
	limitPause  Time // basis of the latest pause for the limit; see Sender.applyPeerLimit

	lastSuccess           Time
	consecutiveFailures   int // since the last successful call
	consecutiveRejections int // since the last successful call
}

// endpoint is one address of a destination.
type endpoint struct {
	callTimes
	healthState
	id          EndpointID
	destination *destination
	route       *route
	kind        *kind // of its own list entry
	zone        ZoneNo
	listed      bool // the endpoint list has the endpoint as Ready
	probing     bool // a health probe is in flight

	inFlight         int        // calls in flight
	concurrencyLimit float64    // most calls in flight, adapted by their outcomes
	openCalls        *openCalls // nil until a call has room for further messages
	sent             rateMeter
	slowStart        tokenBucket // limits calls while the endpoint is ejected or in slow start
	cautiousUntil    Time        // until then, or the first successful call, the budget applies; see Entry.Unproven
	heldInTurn       int         // number of the latest turn in which it held a message back, counted from 1

	// The next fields are learned from outcomes. The shares are exponential means over recent calls.

	consecutiveFailures int
	refusedRun          int     // latest calls in a row that were refused
	suspected           bool    // it may be out, but is not ejected for these calls
	refusedSince        Time    // time of the first of them
	rateBeforeRun       float64 // rate limit of the route before them, in calls a second
	usual               usualCalls
	errorShare          float64 // calls that neither succeeded nor were rejected, while not ejected
	rejectedShare       float64
	recentAnswered      float64 // decaying count of calls with an outcome
	recentRejected      float64 // decaying count of rejected calls
	successesNeeded     int     // successful calls needed before non-idempotent messages are sent again
	unansweredAt        Time    // time of the latest call that went unanswered while others were answered
	lastSuccess         Time

	idleConnUntil    Time // an idle connection may exist until then
	connectionNoteAt Time // time of the latest note sent about the endpoint, or received that its connection table was full
}

// healthState says whether an endpoint is ejected or in slow start, and since when.
type healthState struct {
	ejected     bool
	probePassed bool // the latest probe passed, so a trial call may be sent
	lastFailure Time
	ejectedAt   Time
	trialPause  Time // backoff between trials (probes or calls)
	nextTrial   Time

	slowStartAt         Time // beginning of the latest slow start
	previousSlowStartAt Time // beginning of the slow start before the ejection
}

// openCalls are the calls of one turn to an endpoint that further messages of that turn may join.
type openCalls struct {
	turn  int // value of Sender.turnNumber
	calls []*call
}

// call is one call to an endpoint. It carries the messages sent to the endpoint in one turn, exists until all of them
// have their outcomes, and counts as one towards the in-flight limit.
type call struct {
	id       CallID
	endpoint *endpoint
	sentAt   Time
	messages int // number of messages carried
	bytes    int // sum of their Message.BulkBytes
	pending  int // number of messages without an outcome

	rejectedRetry  bool // opened for the retry of a rejected message
	newConnection  bool // no idle connection was known
	outcomeCounted bool // the first informative outcome has been counted
	unanswered     bool // the call has been counted as unanswered
}
