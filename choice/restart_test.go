package choice

import "fmt"

// Messages that an earlier incarnation accepted and nobody has attempted stay where the backlog is full: the new one is
// shed itself. Once attempted they are like any other.
func ExampleSender_earlierIncarnation() {
	set := testSettings()
	set.MaxOpen, set.InFlightLimit = 20, 0 // nothing is sent
	host := startSender(set)
	for i := range 25 {
		id := MessageID(fmt.Sprint("old", i))
		host.sender.Taken(Message{ID: id, Key: NoKey, Destination: 2, Deadline: host.clock + 3*Second, Span: 6 * Second})
	}
	host.accept(2, 1, "new")
	fmt.Println("held:", len(host.sender.messages))
	for _, msg := range host.sender.messages {
		msg.attempts = 1
	}
	host.mute = true
	host.accept(2, 1, "new")
	fmt.Println("held:", len(host.sender.messages))
	// Output:
	// 0.0     shed new
	// held: 25
	// held: 25
}

// At most a quarter of the time with which a message was accepted is reserved for a call, also where that time was less
// than its class has: a restarted sender, which knows no call times, would otherwise hand it back untried with half of
// its time left.
func ExampleSender_shortDeadline() {
	host := startSender(testSettings())
	for _, span := range []Time{0, 600 * Millisecond} {
		host.sender.Taken(Message{ID: "old", Class: 2, Key: NoKey, Destination: 1, Deadline: host.clock + 300*Millisecond, Span: span})
		host.sender.TurnEnd()
	}
	// Output:
	// 0.0     shed old
	// 0.0     attempt old to a
}

// What an earlier incarnation of the sender may have sent: a non-idempotent message fails, a keyed one is sent again
// within its window and zone, an idempotent one at once. An order key pauses first, since its call may still be
// running.
func Example_earlierIncarnation() {
	host := startSender(testSettings())
	for i, id := range []MessageID{"replayable", "tokened", "single-use"} {
		host.sender.Taken(Message{ID: id, Class: ClassNo(i), Destination: 1, Deadline: 6 * Second, MayRun: true})
	}
	host.sender.Taken(Message{ID: "out of its window", Class: 1, Destination: 1, Deadline: 6 * Second, MayRun: true, RanAt: -3 * Second})
	host.sender.Taken(Message{ID: "in order", Class: 3, Key: 5, Destination: 1, Deadline: 6 * Second, MayRun: true})
	host.sender.Taken(Message{ID: "next of its key", Class: 3, Key: 5, Destination: 1, Deadline: 6 * Second})
	host.sender.TurnEnd()
	host.end(Done, 0, "a", "replayable", "tokened").advance(Second).end(Done, 0, "a", "in order")
	// Output:
	// 0.0     fail single-use
	// 0.0     fail out of its window
	// 0.0     attempt tokened to a
	// 0.0     attempt replayable to a
	// 1000.0  attempt in order to a
	// 1000.0  attempt next of its key to a
}
