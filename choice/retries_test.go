package choice

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// If one call may be in flight, first attempts are sent before the retry that was due earlier, the newest one first.
func ExampleSender_firstAttemptsFirst() {
	set := testSettings()
	set.InFlightLimit = 1
	host := startSender(set).accept(0, 1, "old").end(Errored, 0, "a", "old").accept(2, 2, "holds")
	host.advance(300*Millisecond).accept(0, 1, "x", "y").end(Done, 0, "c", "holds").end(Done, 0, "a", "y")
	host.end(Done, 0, "a", "x")
	// Output:
	// 0.0     attempt old to a
	// 0.0     attempt holds to c
	// 300.0   attempt y to a
	// 300.0   attempt x to a
	// 300.0   attempt old to a
}

// Backoffs are random, below ceilings that double up to a cap. The first ceiling is a quarter of a second.
func ExampleSender_jitter() {
	host := startSender(testSettings())
	host.mute = true
	for attempt := 1; attempt <= 4; attempt++ {
		longest, shortest := Time(0), Time(1<<60)
		for i := range 40 {
			msg := &message{Message: Message{ID: MessageID(fmt.Sprint(i))}, attempts: attempt,
				destination: host.destination(1)}
			msg.Deadline = 60 * Second
			host.sender.scheduleRetry(msg)
			longest, shortest = max(longest, msg.retryAt), min(shortest, msg.retryAt)
		}
		fmt.Println("attempt", attempt, "from", shortest, "to", longest)
	}
	// Output:
	// attempt 1 from 4 to 2490
	// attempt 2 from 121 to 4615
	// attempt 3 from 129 to 9625
	// attempt 4 from 16 to 19705
}

// Retries of rejected messages use at most a quarter of the in-flight limit. Here, two are sent, and the third when one
// of them is done.
func ExampleSender_rejectedRetries() {
	host := startSender(testSettings())
	host.endpoint("a").concurrencyLimit = 8
	host.accept(0, 1, "p", "q", "r").end(Rejected, 0, "a", "p", "q", "r")
	host.advance(2*Second).end(Done, 0, "a", "p").advance(2 * Second)
	// Output:
	// 0.0     attempt r to a
	// 0.0     attempt q to a
	// 0.0     attempt p to a
	// 51.6    attempt r to a
	// 86.4    attempt p to a
	// 2000.0  attempt q to a
}

// A non-idempotent message fails after a time-out and is retried after a rejection. A keyed message is retried only
// within its repeat window.
func ExampleSender_repeats() {
	host := startSender(testSettings()).accept(2, 1, "once").end(Rejected, 0, "a", "once").advance(Second)
	host.end(TimedOut, 0, "a", "once").accept(1, 2, "token").end(TimedOut, 0, "c", "token").advance(Second)
	host.advance(2500*Millisecond).end(TimedOut, 0, "c", "token")
	// Output:
	// 0.0     attempt once to a
	// 73.8    attempt once to a
	// 1000.0  fail once
	// 1000.0  attempt token to c
	// 1157.9  attempt token to c
	// 3450.0  probe c
	// 4500.0  fail token
}

// A message that can't be sent in time is shed when its last possible attempt has passed, since it never ran.
func ExampleSender_deadline() {
	startSender(testSettings()).accept(0, 9, "nowhere").advance(7 * Second)
	// Output:
	// 5490.1  shed nowhere
}

// In a large fleet, two failures on a route without recent successful calls eject all endpoints of the route, and each
// rejection halves the rate. Otherwise, many senders that try one endpoint after another, or retry again and again,
// would cause a retry storm.
func ExampleSender_retryStorm() {
	set := testSettings()
	set.Senders = 50
	host := startSender(set).advance(3 * Second)
	host.update(Entry{Endpoint: "b", Destination: 1}, Entry{Endpoint: "b2", Destination: 1})
	host.advance(50*Millisecond).accept(0, 1, "p").end(ConnectFailed, 0, "a", "p").advance(300 * Millisecond)
	host.end(ConnectFailed, 0, "b", "p")
	fmt.Println("ejected:", host.endpoint("a").ejected, host.endpoint("b").ejected, host.endpoint("b2").ejected)
	host.accept(0, 2, "q")
	for range 2 {
		host.end(Rejected, 0, "c", "q").advance(4 * Second)
		fmt.Printf("rate: %.3f\n", host.destination(2).route.limiter.rate)
	}
	// Output:
	// 3050.0  attempt p to a
	// 3075.7  attempt p to b
	// ejected: true true true
	// 3350.0  attempt q to c
	// rate: 0.182
	// 8540.1  shed p
	// 8840.1  shed q
	// rate: 0.196
}

// TestRepeatEnd checks that MaySend and RepeatableUntil agree on the last moment for a repeat. The host calls MaySend
// before it writes an attempt.
func TestRepeatEnd(t *testing.T) {
	host := startSender(testSettings())
	host.mute = true
	host.accept(0, 1, "repeatable").accept(1, 1, "keyed")
	for _, id := range []MessageID{"repeatable", "keyed", "unknown"} {
		if end := host.sender.RepeatableUntil(id); end != forever {
			t.Errorf("RepeatableUntil(%q) = %d before any outcome, want no bound", id, end)
		}
	}
	host.advance(100*Millisecond).end(Errored, 0, "a", "repeatable", "keyed")
	if end := host.sender.RepeatableUntil("repeatable"); end != forever {
		t.Errorf("RepeatableUntil of an idempotent message = %d, want no bound", end)
	}
	end := host.sender.RepeatableUntil("keyed")
	if want := 3*Second - 5*Millisecond; end != want { // its call was sent at 0
		t.Fatalf("RepeatableUntil of the keyed message = %d, want %d", end, want)
	}
	for at, open := range map[Time]bool{end: true, end + 1: false} {
		host.clock = at
		if host.sender.MaySend("a", "keyed") != open {
			t.Errorf("Open at %d = %v, want %v", at, !open, open)
		}
	}
}

// A destination whose calls all fail receives first attempts and only a few retries: as many as the in-flight limit,
// and a trickle.
func ExampleSender_retryBudget() {
	set := testSettings()
	set.InFlightLimit = 4
	host := startSender(set)
	host.mute = true
	dest := host.destination(1)
	firsts, retries, last := 0, 0, map[MessageID]int{}
	for i := range 600 {
		host.advance(20 * Millisecond)
		host.accept(0, 1, MessageID(fmt.Sprint(i)))
		host.endpoint("a").ejected = false // otherwise an ejection would reduce the retries
		host.endpoint("a").consecutiveFailures = 0
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
	left := math.Floor(dest.retryBudget.tokens)
	fmt.Println("retries within the budget:", float64(retries) <= most, "tokens within the limit:", left <= float64(set.InFlightLimit), "first attempts:", firsts > 0)
	// Output:
	// retries within the budget: true tokens within the limit: true first attempts: true
}
