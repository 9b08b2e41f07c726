package choice

import (
	"fmt"
	"math"
	"slices"
)

// calls plays seconds of steady calls at one endpoint of a sender; result says how each ends. It tells how many left.
func steadyCalls(host *fakeHost, a callLoad, seconds int, result func(i int) (Result, Time)) (sent int) {
	for i := range a.rate * seconds {
		host.advance(Second / Time(a.rate))
		id := MessageID(fmt.Sprint(a.name, i))
		before := host.attempts[id]
		host.accept(2, a.to, id) // single-use, so that nothing but what is played here is sent
		if host.attempts[id] > before {
			sent++
			r, wait := result(i)
			host.end(r, wait, a.endpoint, id)
		}
	}
	return sent
}

type callLoad struct {
	name     string
	rate     int
	to       DestinationID
	endpoint EndpointID
}

// A told wait that comes anew halts the route and is enough: the pace stays what it was. Told again at once it counts.
func ExampleSender_firstRetryAfter() {
	host := startSender(testSettings())
	host.mute = true
	host.accept(0, 1, "p").end(Done, 0, "a", "p").advance(3 * Second)
	route := host.sender.destinations[1].route
	rejectAfter := func(id MessageID) {
		host.accept(0, 1, id).end(Full, 200*Millisecond, "a", id)
		fmt.Println("halted for", (route.pausedUntil-host.clock)/Millisecond, "ms, unpaced", route.limiter.rate >= unlimitedRate)
		host.advance(500 * Millisecond)
	}
	host.sender.endpoints["a"].concurrencyLimit = 8
	rejectAfter("q")
	rejectAfter("r")
	// Output:
	// halted for 222 ms, unpaced true
	// halted for 215 ms, unpaced false
}

// Of a thousand calls a second some fail in a row by chance, and no endpoint is ejected for that; a crash still is
// told within a few calls.
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

// One bad machine of two: what it refuses is its own. The route keeps its pace, and the machine ranks last.
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

// A destination whose calls all fail gets first sends and few retries on top: slots' worth, and a trickle.
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
		host.sender.endpoints["a"].ejected, host.sender.endpoints["a"].consecutiveFailures = false, 0 // what would end it all sooner is left out
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

// A destination that takes nothing may hold most of the room, never all: others are still taken on.
func ExampleSender_backlogOfOneDestination() {
	set := testSettings()
	set.InFlightLimit = 0 // nothing leaves
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

// An endpoint that answered nothing lately holds no more calls than an unknown one, until it answers.
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

// A pace that was halved wrongly is back in seconds at any rate; few calls show little room, and take longest.
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
