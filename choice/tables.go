package choice

import "container/list"

// What a Sender knows, as types, and every tuned value.

const (
	firstTrialPause, longestTrialPause = 300 * Millisecond, 2 * Second    // pauses before trials: first, longest
	rateWindow, fleetLoadWindow        = 2 * Second, 5 * Second           // of means of sends
	recentSuccessSpan, fullQueueSpan   = 2 * Second, Second / 2           // done lately; so lately that the queue is full
	longRetryAfter, longestGuessedWait = 2500 * Millisecond, 8 * Second   // told by the shut, above; longest one guessed
	tickInterval, blinkSpan            = 50 * Millisecond, 3 * Second / 2 // between answers, too short for a cold start
	defaultLimitWait                   = 500 * Millisecond                // rest of a used-up route, until waits are told

	retryBaseShare, retryCapShare          = 0.25, 2.0   // retry ceilings, in shortest contract times
	recentWeight, longTermWeight           = 0.125, 0.02 // weights of a new time in the mean, in the past
	timeoutDeviations, finalTimeoutFactor  = 10.0, 4.0   // spreads above the mean; times longer where a time-out is final
	assumedCallShare, initialConcurrency   = 0.5, 2.0    // before any call: its time in contract times; calls out at once
	failuresToEject, chanceEjectionSpan    = 2, 60       // failures in a row, at least; seconds between ejections by chance
	rejectionRun, successesAfterUnanswered = 2, 6        // refusals in a row; calls done before single-use messages go again
	exhaustedShare, toleratedRejections    = 0.3, 0.02   // of an allowance left, explains a refusal; refused, the price of room
	maxNoiseShare, noiseDeviations         = 0.25, 3.0   // share refused whatever the load; deviations that tell it
	sameLoadShare, peakLoadFade            = 0.95, 10.0  // share that still counts as the same; seconds a load is kept
	minFleetRate, unlimitedRate            = 0.6, 1e6    // calls a second: of all senders together; while no limit was met
	rateCutShare, rateGrowth               = 0.5, 0.05   // to which part at least, half beyond a handful; growth a second
	answersToJudge, fewCalls               = 16, 4.0     // under so many, a refusal is a limit's; calls that fell nothing
	slowStartFloor, slowStartShare         = 1.0, 1.2    // calls a cold time where nothing is known; times the part that is
	barredScanLimit, slowStartDeviations   = 16, 2.5     // messages looked at where places are barred; deviations to chance
	smallFleetSize, rejectedRetryDivisor   = 8, 4        // senders up to which each probes at all; slots to one of a lane
	bulkMemberCost, kindRetryCredit        = 0.15, 0.3   // of one more in a call to the cold; retries one done pays, with notes
	feeTimeFactor, overdueFactor           = 20.0, 4.0   // times longer: for a message's worth of fee; than past, till overdue
	reusedResetLimit, keepUseFactor        = 0.05, 30.0  // resets on kept links; own calls due to keep one, a share of failures
	quotaBurst, shedFromShare              = 30.0, 0.85  // seconds of a share at once; of MaxOpen, some are turned away
)

const tickTimer TimerID = 0 // the others stand for messages

// message is one held message; it leaves Sender.held once it is over and nothing of it is out.
type message struct {
	Message
	destination                *destination
	inFlight                   *call
	lastEndpoint               *endpoint
	queue                      *list.List
	queueElement               *list.Element
	keyQueue                   *keyQueue
	attempts                   int
	acceptedAt, retryAt        Time
	rejected, ended, overQuota bool // past its account's share
	timers                     []TimerID
}

// keyQueue holds the messages of one order key in the order taken; dropped when empty and rested.
type keyQueue struct {
	messages    []*message
	pausedUntil Time
}

type destination struct {
	id                                       DestinationID
	kind                                     *kind
	route                                    *route
	ranked                                   []*endpoint
	queues                                   []*list.List // due, lane, then fresh ones, one for each class
	rejectedRetriesOut, queued, openMessages int
	keysPausedUntil                          Time        // of keys whose messages are over
	retryBudget                              tokenBucket // what pays for retries, see budget
	dirty                                    bool        // in Sender.stirred
}

// kind is what is known of all destinations that the list calls alike.
type kind struct {
	Kind
	callTimes                    // of all calls there, for endpoints where none was done yet
	reportsLimits    bool        // its answers tell of limits, so that a refusal without one is no limit's
	retryBudget      tokenBucket // likewise
	usualWait        Time        // what used-up routes usually tell to wait
	connectFailShare float64     // share of late connections that failed
}

// route is what limits, waits and returns count for: a destination, or an endpoint that is a route apart.
type route struct {
	limiter                                                                 tokenBucket
	sent, succeeded                                                         rateMeter // own calls sent, and done
	rating, limit, peakSuccessRate                                          float64
	answered, rejected, peakLoad                                            float64 // since slowDown judged; highest load
	previousShare, previousLoad, previousAnswered, noiseShare               float64 // of the last other load; what stays
	pausedUntil, lastSuccess, judgedAt, guessedWait, limitMetAt, limitPause Time
	consecutiveFailures, consecutiveRejections                              int // failures and refusals since something was done
}

type endpoint struct {
	callTimes
	healthState
	id                                                                          EndpointID
	destination                                                                 *destination
	route                                                                       *route
	zone                                                                        ZoneNo
	inFlight, consecutiveFailures, successesNeeded                              int
	concurrencyLimit, errorShare, rejectedShare, recentAnswered, recentRejected float64 // wrong, bad: shares
	sent                                                                        rateMeter
	connectionNoteAt, lastSuccess, unansweredAt, idleConnUntil                  Time
	listed, probing                                                             bool
	slowStart                                                                   tokenBucket
	bulkCall                                                                    *call
}

// healthState is whether and since when an endpoint is ejected or cold; coldWas is the coldness before.
type healthState struct {
	ejected, probePassed                                                          bool
	lastFailure, ejectedAt, trialPause, nextTrial, slowStartAt, previousSlowStart Time
}

// call is one slot: the messages sent to one endpoint in one turn, until all have their outcomes.
type call struct {
	endpoint                                         *endpoint
	sentAt                                           Time
	messages, pending, turn                          int
	rejectedRetry, judged, unanswered, newConnection bool // fresh: on a new connection
}

// Sender is one sender's decisions: a method for each thing that happens, then TurnEnd; it acts by its Host.
type Sender struct {
	host                                                                                Host
	settings                                                                            Settings
	random                                                                              randomSource
	kinds                                                                               []*kind
	accountQuotas                                                                       []tokenBucket // by account
	maxRejectedRetries, turnNumber                                                      int
	fleetSize, assumedCallTime, maxValue, ratingShare, overloadWindow, reusedResetShare float64 // kept: see learn
	now, retryBase, retryCap, loadWindow, turnInterval                                  Time
	probing, exchangesNotes                                                             bool
	timers                                                                              messageTimers

	messages        map[MessageID]*message         // emptied as messages end
	keyQueues       map[OrderKey]*keyQueue         // emptied when a key has no message and its rest is over
	destinations    map[DestinationID]*destination // emptied by the tick once without endpoints and messages
	endpoints       map[EndpointID]*endpoint       // likewise, once gone and without calls
	endpointsByHash map[endpointHash]*endpoint     // the same, by what stands for them in notes
	withQueued      []*destination                 // those with a queued message, longest waiting first
	dirty           []*destination                 // those the next tick looks at; emptied as they settle
	calls           []*call                        // at most one for each slot
}
