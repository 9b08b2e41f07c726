package choice

import (
	"fmt"
	"math"
)

// notesSettings returns settings of a fleet whose senders exchange notes.
func notesSettings() Settings {
	set := testSettings()
	set.Senders, set.Probing, set.Notes, set.ConnIdle = 80, false, true, 10*Second
	return set
}

// A sender that hits a used-up limit pauses the route and sends a note. A sender that receives the note pauses the
// route as well, and continues with other destinations. A malformed note and a note about an unknown endpoint are
// ignored.
func ExampleSender_ReceiveNote() {
	host := startSender(notesSettings()).accept(0, 1, "p")
	host.sender.AttemptEnded(Outcome{Message: "p", Endpoint: "a", Result: Rejected, Report: Report{Known: true, Limit: 8}})
	host.accept(0, 1, "q").advance(1600 * Millisecond)
	fmt.Println("receiver of a note")
	host = startSender(notesSettings())
	for _, note := range [][]byte{{}, {1}, {1, 2}, {1, 2, 3}, {1, 2, 3, 4}, encodeNote("c", noteUnit)} {
		host.sender.ReceiveNote(note)
	}
	host.accept(0, 2, "r").accept(0, 1, "s").advance(1600 * Millisecond)
	// Output:
	// 0.0     attempt p to a
	// 0.0     note 43be01
	// 700.0   attempt q to a
	// 700.0   attempt p to a
	// receiver of a note
	// 0.0     attempt s to a
	// 700.0   attempt r to c
}

// A sender whose connection finds no room sends a note, at most once in two seconds. A sender that receives the note
// closes its idle connection to the endpoint.
func ExampleSender_ReceiveNote_connectionTableFull() {
	host := startSender(notesSettings()).accept(0, 1, "p", "q").end(ConnectFailed, 0, "a", "p", "q")
	host = startSender(notesSettings()).accept(0, 1, "r").end(Done, 0, "a", "r")
	host.printCloseIdle = true
	host.sender.ReceiveNote(encodeNote("a", 0))
	host.sender.ReceiveNote(encodeNote("a", 0))
	// Output:
	// 0.0     attempt q to a
	// 0.0     attempt p to a
	// 0.0     note 43be00
	// 0.0     attempt r to a
	// 0.0     close a
}

// In a fleet with notes, the successful calls of a kind pay for the retries there. Without successful calls, the budget
// of the kind is used up whatever the number of its destinations.
func ExampleSender_retryBudgetOfKind() {
	host := startSender(notesSettings())
	host.mute = true
	host.update(Entry{Endpoint: "e", Destination: 3}, Entry{Endpoint: "f", Destination: 4})
	host.accept(0, 1, "p").accept(0, 3, "q").accept(0, 4, "r")
	for i, id := range []MessageID{"p", "q", "r"} {
		host.end(Errored, 0, EndpointID("aef"[i:i+1]), id)
	}
	host.advance(400 * Millisecond)
	fmt.Println("attempts:", host.attempts["p"]+host.attempts["q"]+host.attempts["r"])
	// Output:
	// attempts: 5
}

// An endpoint that joins a destination during an outage starts as ejected. It is tried like one in slow start, and does
// not receive all waiting messages at once.
func ExampleSender_replacedInOutage() {
	set := testSettings()
	set.Senders, set.Probing = 80, false
	host := startSender(set).advance(3*Second).accept(0, 1, "p").end(ConnectFailed, 0, "a", "p").accept(0, 1, "q", "r")
	host.update(Entry{Endpoint: "a", Destination: 1, Stage: Gone}, Entry{Endpoint: "new", Destination: 1, Rating: 10})
	host.advance(100 * Millisecond)
	host.update(Entry{Endpoint: "newer", Destination: 1, Rating: 10})
	host.advance(100 * Millisecond)
	fmt.Println(host.endpoint("new").ejected, host.endpoint("newer").ejected)
	// Output:
	// 3000.0  attempt p to a
	// true true
}

// An endpoint that joins a destination in slow start shares that slow start, with a budget at a random level. All
// senders learn of the endpoint at the same moment, and budgets that started empty would also become full at the same
// moment.
func ExampleSender_replacedInSlowStart() {
	set := testSettings()
	set.Senders, set.Probing = 80, false
	host := startSender(set).advance(3*Second).accept(0, 1, "p").end(ConnectFailed, 0, "a", "p")
	a := host.endpoint("a")
	host.advance(2 * Second)
	host.sender.readmit(a, host.clock)
	host.update(Entry{Endpoint: "new", Destination: 1, Rating: 10}, Entry{Endpoint: "a", Destination: 1, Stage: Draining})
	ep := host.endpoint("new")
	fmt.Println("ejected:", ep.ejected, "in the same slow start:", ep.slowStartAt == a.slowStartAt, "budget:", math.Round(100*ep.slowStart.tokens)/100)
	host.accept(0, 1, "q", "r", "s")
	// Output:
	// 3000.0  attempt p to a
	// ejected: false in the same slow start: true budget: 0.22
}

// In a large fleet, a call to an endpoint without calls has the time-out of its kind, not one based on the assumed call
// time. With the latter, many unanswered calls would occupy the in-flight limit for as long as a message lives.
func ExampleSender_callTimesOfKind() {
	for _, senders := range []int{80, 2} {
		set := notesSettings()
		set.Senders = senders
		host := startSender(set)
		host.mute = true
		host.update(Entry{Endpoint: "e", Destination: 3})
		for i := range 40 {
			id := MessageID(fmt.Sprint(i))
			host.accept(0, 1, id).end(Done, 0, "a", id)
		}
		host.accept(0, 3, "first")
		fmt.Println(senders, "senders:", seconds(host.sender.attemptTimeout(host.sender.messages["first"], host.endpoint("e"))), "s")
	}
	// Output:
	// 80 senders: 1 s
	// 2 senders: 5.5 s
}
