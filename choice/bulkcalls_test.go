package choice

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestLargeMessagesCountAsCalls guards against calls that nobody has counted: messages too large to share a call are sent
// like those of a kind without bulk calls. Each takes a place in the in-flight limit, the slow start budget, the rate limit
// and the retry queue.
func TestLargeMessagesCountAsCalls(t *testing.T) {
	for _, fleet := range []bool{false, true} {
		run := func(bulkMax, maxBulkBytes int) []string {
			set := loadSettings(fleet)
			set.Kinds[1].BulkMax, set.MaxBulkBytes = bulkMax, maxBulkBytes
			host := &loadHost{t: t}
			host.start(set)
			host.listEndpoints()
			host.offerLoad(0, loadSpan)
			host.runUntil(loadSpan + 30*Second)
			return host.trace
		}
		const smallest = 100 // bytes; see loadHost.offerLoad
		single, large := run(1, 0), run(3, 2*smallest-1)
		if i := firstDifference(single, large); i >= 0 {
			t.Errorf("fleet %v, line %d of %d: without bulk calls %q, with large messages %q", fleet, i, len(single),
				single[i:min(len(single), i+1)], large[i:min(len(large), i+1)])
		}
		if bulk := run(3, 0); firstDifference(single, bulk) < 0 {
			t.Errorf("fleet %v: bulk calls make no difference", fleet)
		}
	}
}

// sharingHost is a fakeHost that checks how the messages of a turn are divided among calls.
type sharingHost struct {
	*fakeHost
	t     *rapid.T
	bytes map[CallID][]int // BulkBytes of the messages of each call
	order []CallID         // calls of this turn
}

// Attempt checks that a call which several messages share is within its limits, and that no call is opened for a message
// which fits into another one.
func (h *sharingHost) Attempt(id MessageID, to EndpointID, in CallID, timeOut Time) {
	set, size := h.sender.settings, int(h.sender.messages[id].BulkBytes)
	fits := func(call CallID) bool {
		sum := size
		for _, other := range h.bytes[call] {
			sum += other
		}
		return len(h.bytes[call]) < set.Kinds[1].BulkMax && sum <= set.MaxBulkBytes
	}
	if len(h.bytes[in]) > 0 && !fits(in) {
		h.t.Errorf("message of %d bytes joins a call of %v bytes", size, h.bytes[in])
	}
	if len(h.bytes[in]) == 0 {
		for _, earlier := range h.order {
			if fits(earlier) {
				h.t.Errorf("a call is opened for a message of %d bytes, which fits into one of %v bytes", size, h.bytes[earlier])
			}
		}
		h.order = append(h.order, in)
	}
	h.bytes[in] = append(h.bytes[in], size)
	h.fakeHost.Attempt(id, to, in, timeOut)
}

// TestBulkCallsHoldWhatFits draws sizes of messages. Each message is sent once, in calls that are within MaxBulkBytes and
// BulkMax and that are not split without need, and the messages of a key one after another in the order accepted.
func TestBulkCallsHoldWhatFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := testSettings()
		set.InFlightLimit, set.MaxBulkBytes = rapid.IntRange(1, 8).Draw(t, "in-flight limit"), 1000
		set.Kinds[1].BulkMax = rapid.IntRange(2, 10).Draw(t, "bulk max")
		fake := &fakeHost{attempts: map[MessageID]int{}, mute: true}
		host := &sharingHost{fakeHost: fake, t: t, bytes: map[CallID][]int{}}
		fake.sender = NewSender(host, "s", 7, set)
		fake.update(Entry{Endpoint: "c", Destination: 2, Kind: 1, Rating: 1000})
		const ordered = ClassNo(3)
		sent := map[OrderKey][]int{} // numbers of the messages sent, by key
		sizes := rapid.SliceOfN(rapid.OneOf(rapid.IntRange(1, 100), rapid.IntRange(1, 1500)), 1, 40).Draw(t, "sizes")
		keys := map[MessageID]OrderKey{}
		numbers := map[MessageID]int{}
		for i, size := range sizes {
			id := MessageID(fmt.Sprint("m", i))
			numbers[id], keys[id] = i, OrderKey(rapid.IntRange(-1, 5).Draw(t, "key"))
			fake.sender.Accept(Message{ID: id, Class: ordered, Key: keys[id], Destination: 2, Deadline: 6 * Second, BulkBytes: int32(size)})
		}
		for range sizes {
			host.order = nil
			fake.sender.TurnEnd()
			for id, key := range keys {
				if fake.attempts[id] == 1 {
					fake.attempts[id]++ // it is answered only once
					sent[key] = append(sent[key], numbers[id])
					fake.sender.AttemptEnded(Outcome{Message: id, Endpoint: "c", Result: Done, Final: true})
				}
			}
		}
		total := 0
		for key, order := range sent {
			total += len(order)
			for i := 1; i < len(order) && key != NoKey; i++ {
				if order[i] < order[i-1] {
					t.Errorf("messages of key %d sent in the order %v", key, order)
				}
			}
		}
		if total != len(sizes) || len(fake.sender.messages) > 0 {
			t.Errorf("%d of %d messages sent, %d still open", total, len(sizes), len(fake.sender.messages))
		}
	})
}

// A message that fits into no open call waits while no call may be opened. Smaller ones behind it in the queue join the open
// call, and a call that a large message opens does not close the one before to them.
func ExampleSender_largeMessages() {
	for _, limit := range []int{1, 2} {
		set := testSettings()
		set.InFlightLimit, set.MaxBulkBytes = limit, 100
		host := startSender(set)
		for i, size := range []int{10, 101, 30, 70, 40} { // the newest is sent first
			host.sender.Accept(Message{ID: MessageID(fmt.Sprint(size, " bytes")), Key: NoKey, Destination: 2,
				Deadline: 6*Second + Time(i), BulkBytes: int32(size)})
		}
		host.sender.TurnEnd()
		for _, call := range host.sender.calls {
			fmt.Println("call with", call.messages, "messages,", call.bytes, "bytes")
		}
	}
	// Output:
	// 0.0     attempt 40 bytes to c
	// 0.0     attempt 30 bytes to c
	// 0.0     attempt 10 bytes to c
	// call with 3 messages, 80 bytes
	// 0.0     attempt 40 bytes to c
	// 0.0     attempt 70 bytes to c
	// 0.0     attempt 30 bytes to c
	// 0.0     attempt 10 bytes to c
	// call with 3 messages, 80 bytes
	// call with 1 messages, 70 bytes
}

// Messages of a call that the endpoint could not take are sent one by one afterwards, even if their retries are due together.
func ExampleSender_formRefused() {
	for _, refused := range []bool{false, true} {
		host := startSender(testSettings()).accept(0, 2, "p", "q")
		for _, id := range []MessageID{"p", "q"} {
			host.sender.AttemptEnded(Outcome{Message: id, Endpoint: "c", Result: NotRun, FormRefused: refused})
		}
		host.sender.pauseRoute(host.endpoint("c"), Second, false)
		host.advance(2 * Second)
		fmt.Println("calls:", len(host.sender.calls))
	}
	// Output:
	// 0.0     attempt q to c
	// 0.0     attempt p to c
	// 1100.0  attempt q to c
	// 1100.0  attempt p to c
	// calls: 1
	// 0.0     attempt q to c
	// 0.0     attempt p to c
	// 1100.0  attempt q to c
	// 1100.0  attempt p to c
	// calls: 2
}
