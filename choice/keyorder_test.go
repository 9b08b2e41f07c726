package choice

import "fmt"

// orderedSettings returns testSettings with class 1 keyed within a zone, and class 2 non-idempotent and ordered by key.
func orderedSettings() Settings {
	set := testSettings()
	set.KeyPause = 300 * Millisecond
	set.Classes[1].ZoneGroup, set.Classes[2].Ordered = true, true
	return set
}

// acceptKeyed passes a message with an order key to the sender and does not end the turn.
func (h *fakeHost) acceptKeyed(id MessageID, class ClassNo, key OrderKey, to DestinationID) *fakeHost {
	deadline := h.clock + h.sender.settings.Classes[class].Deadline
	h.sender.Accept(Message{ID: id, Class: class, Key: key, Destination: to, Deadline: deadline})
	return h
}

// Whatever happens to the first message of a key, the next one is sent after it: at once if no call can still be
// running, and after a pause if one may. A rejected message keeps its place. A message is answered in the turn that
// decides its end.
func ExampleSender_headOfKey() {
	for _, end := range []struct {
		name   string
		result Result
	}{{"done", Done}, {"rejected", Rejected}, {"error", Errored}, {"time-out", TimedOut}, {"reset", Reset}, {"cancelled", Cancelled}} {
		host := startSender(orderedSettings())
		host.acceptKeyed("head", 2, 7, 2).acceptKeyed("next", 2, 7, 2).acceptKeyed("last", 2, 7, 2).sender.TurnEnd()
		fmt.Println(end.name)
		host.clock += 10 * Millisecond
		host.end(end.result, 0, "c", "head").advance(500 * Millisecond)
	}
	fmt.Println("withdrawn while waiting, then while in flight")
	host := startSender(orderedSettings())
	host.acceptKeyed("head", 2, 7, 2).sender.TurnEnd()
	host.acceptKeyed("waits", 2, 7, 2).acceptKeyed("next", 2, 7, 2).sender.Withdraw("waits")
	host.sender.Withdraw("head")
	host.advance(10*Millisecond).end(Done, 0, "c", "head")
	// Output:
	// 0.0     attempt head to c
	// done
	// 10.0    attempt next to c
	// 0.0     attempt head to c
	// rejected
	// 25.0    attempt head to c
	// 0.0     attempt head to c
	// error
	// 10.0    fail head
	// 10.0    attempt next to c
	// 0.0     attempt head to c
	// time-out
	// 10.0    fail head
	// 310.0   attempt next to c
	// 0.0     attempt head to c
	// reset
	// 10.0    fail head
	// 310.0   attempt next to c
	// 0.0     attempt head to c
	// cancelled
	// 10.0    fail head
	// 310.0   attempt next to c
	// withdrawn while waiting, then while in flight
	// 0.0     attempt head to c
	// 10.0    attempt next to c
}

// A first message that can't be sent in time is shed after its last possible attempt, which lets the next one of its
// key be sent at once. A message submitted again joins the key queue at its end.
func ExampleSender_headPastDeadline() {
	host := startSender(orderedSettings())
	host.update(Entry{Endpoint: "c", Destination: 2, Kind: 1, Stage: Draining})
	host.acceptKeyed("head", 3, 7, 2).sender.TurnEnd()
	host.advance(2*Second).acceptKeyed("next", 3, 7, 1).acceptKeyed("again", 3, 7, 1).sender.TurnEnd()
	host.advance(4*Second).end(Done, 0, "a", "next")
	// Output:
	// 5490.1  shed head
	// 5490.1  attempt next to a
	// 6000.0  attempt again to a
}

// The first messages of several keys, here from two ordered classes, share a bulk call. Two messages of one key never
// do, whatever their classes.
func ExampleSender_keysInABulkCall() {
	host := startSender(orderedSettings())
	host.acceptKeyed("a1", 2, 7, 2).acceptKeyed("b1", 3, 8, 2).acceptKeyed("a2", 3, 7, 2).acceptKeyed("b2", 2, 8, 2).sender.TurnEnd()
	fmt.Println(len(host.sender.calls), "call")
	host.end(Done, 0, "c", "a1", "b1")
	// Output:
	// 0.0     attempt a1 to c
	// 0.0     attempt b1 to c
	// 1 call
	// 0.0     attempt b2 to c
	// 0.0     attempt a2 to c
}

// The order of a key applies across destinations as well.
func ExampleSender_keyOverDestinations() {
	host := startSender(orderedSettings())
	host.acceptKeyed("here", 2, 7, 1).acceptKeyed("there", 2, 7, 2).sender.TurnEnd()
	host.advance(10*Millisecond).end(Done, 0, "a", "here")
	// Output:
	// 0.0     attempt here to a
	// 10.0    attempt there to c
}

// A keyed message that may have run in a zone whose endpoint drains is not sent to another zone, even if an endpoint is
// free there. It fails when its repeat window ends.
func ExampleSender_zoneDrained() {
	set := orderedSettings()
	set.Probing = false
	host := startSender(set)
	host.update(Entry{Endpoint: "far", Destination: 1, Zone: 1, Rating: 10})
	host.accept(1, 1, "keyed").advance(10*Millisecond).end(Errored, 0, "a", "keyed")
	host.update(Entry{Endpoint: "a", Destination: 1, Stage: Draining})
	host.accept(0, 1, "other").advance(6 * Second)
	// Output:
	// 0.0     attempt keyed to a
	// 10.0    attempt other to far
	// 2995.1  fail keyed
}
