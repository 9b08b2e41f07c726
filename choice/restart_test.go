package choice

import "fmt"

// Messages of an earlier incarnation that had no attempt are not shed if the backlog is full; the new message itself
// is. After an attempt they are treated like any other message.
func ExampleSender_earlierIncarnation() {
	set := testSettings()
	set.MaxOpen, set.InFlightLimit = 20, 0 // nothing is sent
	host := startSender(set)
	for i := range 25 {
		id := MessageID(fmt.Sprint("old", i))
		host.sender.Accept(Message{ID: id, Key: NoKey, Destination: 2, Deadline: host.clock + 3*Second, AcceptedLifetime: 6 * Second})
	}
	host.accept(2, 1, "new")
	fmt.Println("open:", len(host.sender.messages))
	for _, msg := range host.sender.messages {
		msg.attempts = 1
	}
	host.mute = true
	host.accept(2, 1, "new")
	fmt.Println("open:", len(host.sender.messages))
	// Output:
	// 0.0     shed new
	// open: 25
	// open: 25
}

// At most a quarter of the time that a message had when it was accepted is reserved for a call, even if that was less
// than its class's deadline. Otherwise, a restarted sender, which knows no call times, would shed the message without
// an attempt and with half of its time left.
func ExampleSender_shortDeadline() {
	host := startSender(testSettings())
	for _, span := range []Time{0, 600 * Millisecond} {
		host.sender.Accept(Message{ID: "old", Class: 2, Key: NoKey, Destination: 1, Deadline: host.clock + 300*Millisecond, AcceptedLifetime: span})
		host.sender.TurnEnd()
	}
	// Output:
	// 0.0     shed old
	// 0.0     attempt old to a
}

// Messages that an earlier incarnation may have sent: a non-idempotent one fails, a keyed one is sent again within its
// repeat window and zone, and an idempotent one is sent again at once. An order key pauses first, since its call may
// still be running.
func Example_earlierIncarnation() {
	host := startSender(testSettings())
	for i, id := range []MessageID{"idempotent", "keyed", "non-idempotent"} {
		host.sender.Accept(Message{ID: id, Class: ClassNo(i), Destination: 1, Deadline: 6 * Second, MayRun: true})
	}
	host.sender.Accept(Message{ID: "window over", Class: 1, Destination: 1, Deadline: 6 * Second, MayRun: true, RanAt: -3 * Second})
	host.sender.Accept(Message{ID: "in order", Class: 3, Key: 5, Destination: 1, Deadline: 6 * Second, MayRun: true})
	host.sender.Accept(Message{ID: "next of key", Class: 3, Key: 5, Destination: 1, Deadline: 6 * Second})
	host.sender.TurnEnd()
	host.end(Done, 0, "a", "idempotent", "keyed").advance(Second).end(Done, 0, "a", "in order")
	// Output:
	// 0.0     fail non-idempotent
	// 0.0     fail window over
	// 0.0     attempt keyed to a
	// 0.0     attempt idempotent to a
	// 1000.0  attempt in order to a
	// 1000.0  attempt next of key to a
}
