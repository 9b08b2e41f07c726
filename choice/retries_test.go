package choice

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// The one call in flight goes to first attempts, newest first, before the retry that was due earlier.
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

// Backoffs differ by chance, under ceilings that double up to a cap; the first ceiling is a quarter second.
func ExampleSender_jitter() {
	host := startSender(testSettings())
	host.mute = true
	for try := 1; try <= 4; try++ {
		longest, shortest := Time(0), Time(1<<60)
		for i := range 40 {
			msg := &message{Message: Message{ID: MessageID(fmt.Sprint(i))}, attempts: try,
				destination: host.destination(1)}
			msg.Deadline = 60 * Second
			host.sender.scheduleRetry(msg)
			longest, shortest = max(longest, msg.retryAt), min(shortest, msg.retryAt)
		}
		fmt.Println("try", try, "from", shortest, "to", longest)
	}
	// Output:
	// try 1 from 4 to 2490
	// try 2 from 121 to 4615
	// try 3 from 129 to 9625
	// try 4 from 16 to 19705
}

// Rejected messages are retried in a quarter of the in-flight limit: two here, and the third when one is done.
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

// A non-idempotent message fails at a time-out and is retried after a rejection. A keyed one is retried only within its
// repeat window.
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

// A message that no attempt can serve in time is answered at once: it is shed, as none ever ran.
func ExampleSender_deadline() {
	startSender(testSettings()).accept(0, 9, "nowhere").advance(7 * Second)
	// Output:
	// 5490.1  shed nowhere
}

// In a large fleet two failures with nothing done lately eject all endpoints of the route, and each rejection halves
// the rate: many senders that try one endpoint after another, or again and again, are a storm.
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
		fmt.Printf("pace: %.3f\n", host.destination(2).route.limiter.rate)
	}
	// Output:
	// 3050.0  attempt p to a
	// 3075.7  attempt p to b
	// ejected: true true true
	// 3350.0  attempt q to c
	// pace: 0.182
	// 8540.1  shed p
	// 8840.1  shed q
	// pace: 0.196
}

// What the host asks as it writes is what the sender asks as it chooses: the last moment for a repeat.
func TestRepeatEnd(t *testing.T) {
	host := startSender(testSettings())
	host.mute = true
	host.accept(0, 1, "repeatable").accept(1, 1, "keyed")
	for _, id := range []MessageID{"repeatable", "keyed", "unknown"} {
		if end := host.sender.RepeatableUntil(id); end != forever {
			t.Errorf("%s, not sent or still out: %d", id, end)
		}
	}
	host.advance(100*Millisecond).end(Errored, 0, "a", "repeatable", "keyed")
	if end := host.sender.RepeatableUntil("repeatable"); end != forever {
		t.Errorf("one that may simply be repeated: %d", end)
	}
	end := host.sender.RepeatableUntil("keyed")
	if want := 3*Second - 5*Millisecond; end != want { // its call began at 0
		t.Fatalf("it ends at %d, want %d", end, want)
	}
	for at, open := range map[Time]bool{end: true, end + 1: false} {
		host.clock = at
		if host.sender.Open("a", "keyed") != open {
			t.Errorf("open at %d: %v", at, !open)
		}
	}
}

// A destination whose calls all fail gets first attempts and few retries on top: as many as the in-flight limit, and a
// trickle.
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
		host.endpoint("a").ejected = false // otherwise an ejection would end it sooner
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
	fmt.Println("retries within the budget:", float64(retries) <= most, "left", left <= float64(set.InFlightLimit), firsts > 0)
	// Output:
	// retries within the budget: true left true true
}
