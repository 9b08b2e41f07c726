package choice

import (
	"fmt"
	"math"
	"slices"
)

// steadyCalls plays seconds of a steady load of calls on one endpoint, and returns how many were sent. result says how
// each ends.
func steadyCalls(host *fakeHost, a callLoad, seconds int, result func(i int) (Result, Time)) (sent int) {
	for i := range a.rate * seconds {
		host.advance(Second / Time(a.rate))
		id := MessageID(fmt.Sprint(a.name, i))
		before := host.attempts[id]
		host.accept(2, a.to, id) // non-idempotent, so that there are no retries
		if host.attempts[id] > before {
			sent++
			r, wait := result(i)
			host.end(r, wait, a.endpoint, id)
		}
	}
	return sent
}

// callLoad is a load of calls: the prefix of their ids, how many a second, and where they go.
type callLoad struct {
	name     string
	rate     int
	to       DestinationID
	endpoint EndpointID
}

// A first Retry-After pauses the route and is enough: the rate stays what it was. Another one that follows at once cuts
// it.
func ExampleSender_firstRetryAfter() {
	host := startSender(testSettings())
	host.mute = true
	host.accept(0, 1, "p").end(Done, 0, "a", "p").advance(3 * Second)
	route := host.sender.destinations[1].route
	rejectAfter := func(id MessageID) {
		host.accept(0, 1, id).end(Full, 200*Millisecond, "a", id)
		fmt.Println("paused for", (route.pausedUntil-host.clock)/Millisecond, "ms, unlimited", route.limiter.rate >= unlimitedRate)
		host.advance(500 * Millisecond)
	}
	host.sender.endpoints["a"].concurrencyLimit = 8
	rejectAfter("q")
	rejectAfter("r")
	// Output:
	// paused for 222 ms, unlimited true
	// paused for 215 ms, unlimited false
}

// Of a thousand calls a second some fail in a row by chance, and no endpoint is ejected for that. A crash is still
// noticed within a few calls.
func ExampleSender_failuresByChance() {
	for _, rate := range []int{2, 100, 1000} {
		host := startSender(testSettings())
		host.mute = true
		luck := newRandomSource("luck", 1)
		well := steadyCalls(host, callLoad{"n", rate, 1, "a"}, 20, func(int) (Result, Time) {
			if luck.fraction("fails") < 0.06 {
				return Errored, 0
			}
			return Done, 0
		})
		crash := steadyCalls(host, callLoad{"c", rate, 1, "a"}, 2, func(int) (Result, Time) { return ConnectFailed, 0 })
		fmt.Printf("%d a second: %.0f%% sent, then %d calls into a crash\n", rate, 5*float64(well)/float64(rate), crash)
	}
	// Output:
	// 2 a second: 100% sent, then 2 calls into a crash
	// 100 a second: 100% sent, then 5 calls into a crash
	// 1000 a second: 100% sent, then 7 calls into a crash
}

// Of two endpoints one rejects much, which is its own affair: the route keeps its rate, and that endpoint ranks last.
func ExampleSender_rejectingEndpoint() {
	set := testSettings()
	set.Kinds[0].BundleMax = 1
	host := startSender(set)
	host.mute = true
	host.sender.ListNews([]Entry{{Endpoint: "b", Destination: 1, Rating: 10}}, false)
	a, b := host.sender.endpoints["a"], host.sender.endpoints["b"]
	route, low := a.route, unlimitedRate
	to := map[EndpointID]int{}
	for i := range 2000 {
		host.advance(10 * Millisecond)
		id := MessageID(fmt.Sprint(i))
		host.accept(0, 1, id)
		for _, ep := range []*endpoint{a, b} {
			if msg := host.sender.messages[id]; msg != nil && msg.inFlight != nil && msg.inFlight.endpoint == ep {
				to[ep.id]++
				if ep == b && i%2 == 0 {
					host.end(Full, 0, "b", id)
				} else {
					host.end(Done, 0, ep.id, id)
				}
			}
		}
		low = min(low, route.limiter.rate)
	}
	host.sender.refreshDestination(host.sender.destinations[1])
	fmt.Println("well:", to["a"] > 10*to["b"], "ranked first:", host.sender.destinations[1].ranked[0].id, "pace kept:", low >= 90)
	// Output:
	// well: true ranked first: a pace kept: true
}

// A destination whose calls all fail gets first attempts and few retries on top: as many as the in-flight limit, and a
// trickle.
func ExampleSender_retryBudget() {
	set := testSettings()
	set.InFlightLimit = 4
	host := startSender(set)
	host.mute = true
	dest := host.sender.destinations[1]
	firsts, retries, last := 0, 0, map[MessageID]int{}
	for i := range 600 {
		host.advance(20 * Millisecond)
		host.accept(0, 1, MessageID(fmt.Sprint(i)))
		host.sender.endpoints["a"].ejected, host.sender.endpoints["a"].consecutiveFailures = false, 0 // otherwise an ejection would end it sooner
		var ids []string
		for id, msg := range host.sender.messages {
			if msg.inFlight != nil {
				ids = append(ids, string(id))
			}
		}
		slices.Sort(ids)
		for _, id := range ids {
			n := MessageID(id)
			if last[n] != host.attempts[n] {
				firsts, retries = firsts+countIf(host.attempts[n] == 1), retries+countIf(host.attempts[n] > 1)
			}
			last[n] = host.attempts[n]
			host.end(Errored, 0, "a", n)
			last[n] = host.attempts[n]
		}
	}
	most := float64(set.InFlightLimit) + 12/seconds(host.sender.retryCap) + 1
	fmt.Println("retries within the budget:", float64(retries) <= most, "left", math.Floor(dest.retryBudget.tokens) <= float64(set.InFlightLimit), firsts > 0)
	// Output:
	// retries within the budget: true left true true
}

// A destination that takes nothing may fill most of the backlog and never all: messages for others are still accepted.
func ExampleSender_backlogOfOneDestination() {
	set := testSettings()
	set.InFlightLimit = 0 // nothing is sent
	host := startSender(set)
	host.mute = true
	for i := range 400 {
		host.accept(0, 9, MessageID(fmt.Sprint("stuck", i)))
	}
	stuck := len(host.sender.messages)
	for i := range 10 {
		host.accept(0, 1, MessageID(fmt.Sprint("other", i)))
	}
	fmt.Println("stuck ones held:", stuck, "of", set.MaxOpen, "others held:", host.sender.destinations[1].openMessages)
	// Output:
	// stuck ones held: 93 of 100 others held: 10
}

// An endpoint that has done no call lately gets no more calls at once than an unknown one, until it answers.
func ExampleSender_idleConcurrency() {
	host := startSender(testSettings())
	host.sender.endpoints["a"].concurrencyLimit = 8
	host.accept(0, 1, "p").end(Done, 0, "a", "p").advance(3*Second).accept(0, 1, "q", "r", "s", "t")
	host.advance(100*Millisecond).end(Done, 0, "a", "t")
	// Output:
	// 0.0     attempt p to a
	// 3000.0  attempt t to a
	// 3000.0  attempt s to a
	// 3100.0  attempt r to a
	// 3100.0  attempt q to a
}

// A rate that was halved wrongly recovers in seconds, whatever it is; few calls show little capacity, and take longest.
func ExampleSender_rateRecovers() {
	for _, rate := range []int{1, 100, 5000} {
		host := startSender(testSettings())
		route := host.sender.destinations[1].route
		route.limiter.rate, route.limiter.tokens, route.judgedAt = float64(rate)/2, 0, 0
		now := Time(0)
		for route.limiter.rate < float64(rate) {
			now += Second / Time(2*rate)
			if route.ready(now) {
				route.limiter.tokens--
				route.answered++
			}
		}
		fmt.Printf("%d a second: back after %.0f s\n", rate, seconds(now))
	}
	// Output:
	// 1 a second: back after 13 s
	// 100 a second: back after 8 s
	// 5000 a second: back after 8 s
}
