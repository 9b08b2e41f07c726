package sender

import (
	"fmt"
	"os"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/sender/clusterapi"
)

// fakeCluster is a clusterapi.Cluster that records its calls, and a routing plan that closes one zone.
type fakeCluster struct {
	last       clusterapi.Digest      // the last digest received
	closedZone choice.ZoneNo          // a zone to which no message may be sent; -1 for none
	requested  []choice.DestinationID // the destinations passed to RequestLearnedState
}

func (c *fakeCluster) ReportDigest(d clusterapi.Digest) { c.last = d }
func (c *fakeCluster) RequestLearnedState(d choice.DestinationID) {
	c.requested = append(c.requested, d)
}
func (c *fakeCluster) RoutingPlan() clusterapi.RoutingPlan { return c }
func (c *fakeCluster) Allowed(_ choice.MessageID, _ choice.DestinationID, zone choice.ZoneNo) bool {
	return zone != c.closedZone
}

// fakeLearnedStore is a learnedStore that records its calls.
type fakeLearnedStore struct {
	mustStay choice.DestinationID // the one destination that must not be evicted
	replaced []string             // endpoint and new state of each call of ReplaceLearnedState
}

func (m *fakeLearnedStore) ReplaceLearnedState(id choice.EndpointID, l *choice.LearnedState) {
	m.replaced = append(m.replaced, fmt.Sprint(id, " ", l))
}
func (m *fakeLearnedStore) LearnedCalls(d choice.DestinationID) (float64, bool) {
	return 7, d == m.mustStay
}

// joinCluster joins the sender to a fakeCluster.
func (h *harness) joinCluster(j JoinOptions) *fakeCluster {
	c := &fakeCluster{closedZone: -1}
	h.s.Join(c, j)
	return c
}

// runNext waits for the next event in the sender's inbox and handles it. It carries out the orders given before.
func (h *harness) runNext() *harness {
	(<-h.s.inbox)()
	return h
}

// While the gate holds attempts back, messages are accepted and answered, but not sent. Attempts begin when the gate's
// channel is closed or its time has passed.
func Example_gate() {
	for _, opens := range []bool{true, false} {
		gate := make(chan struct{})
		h := start("", 100)
		h.joinCluster(JoinOptions{Gate: gate, GateTimeout: time.Second})
		h.submit("OUT.ADD 0 id c=status,d=6000,dest=1 x").advance(900 * time.Millisecond)
		if opens {
			close(gate)
			h.runNext()
		}
		fmt.Println("calls:", len(h.calls))
		h.advance(110 * time.Millisecond)
		os.RemoveAll(h.dir)
	}
	// Output:
	// client: +OK
	// calls: 0
	// call a: POST /inbox
	//    id
	// client: +OK
	// calls: 0
	// call a: POST /inbox
	//    id
}

// A change of the routing plan takes effect in the next turn: no message may be sent to a closed zone. An unknown endpoint is
// allowed.
func Example_routingPlan() {
	h := start("", 100)
	c := h.joinCluster(JoinOptions{})
	fmt.Println(h.s.Allowed("id", "a"))
	c.closedZone = h.s.endpoints["a"].zone
	h.advance(5 * time.Millisecond)
	fmt.Println(h.s.Allowed("id", "a"), h.s.Allowed("id", "unknown"))
	os.RemoveAll(h.dir)
	// Output:
	// true
	// false true
}

// A digest counts each call once, however many messages it carries, and each message once, when its client gets +OK. It
// does not count rejected messages or an id that is submitted again. Waiting messages are counted in one row of their
// destination.
func Example_digest() {
	h := start("", 4)
	c := h.joinCluster(JoinOptions{})
	h.advance(500 * time.Millisecond)
	show := func() {
		for _, row := range c.last.Rows {
			fmt.Printf("row %+v\n", row)
		}
		fmt.Println("counts", c.last.Counts, "longest", c.last.Longest)
	}
	show()
	h.submit("OUT.ADD 0 s1 c=status,d=6000,dest=2 x", "OUT.ADD 0 s2 c=status,d=6000,dest=2 x",
		"OUT.ADD 0 w c=order,d=90000,dest=9 x",
		"OUT.ADD 0 w2 c=order,d=20000,dest=9 x", "OUT.ADD 0 over c=order,d=20000,dest=9 x")
	h.endpointAnswers("HTTP/1.1 429 Wait\nRetry-After: 9\nX-Load: x0=0,x1=25\nContent-Length: 0\n\n")
	h.submit("OUT.ADD 0 w c=order,d=90000,dest=9 x")
	h.advance(500 * time.Millisecond)
	show()
	os.RemoveAll(h.dir)
	// Output:
	// row {Destination:1 Kind:0 Zone:z Sent:0 Done:0 Failed:0 Unanswered:0 Rejected:0 Endpoints:1 Limit:0 Rating:100 Waiting:0}
	// row {Destination:2 Kind:1 Zone:z Sent:0 Done:0 Failed:0 Unanswered:0 Rejected:0 Endpoints:1 Limit:0 Rating:100 Waiting:0}
	// counts [] longest 20s
	// call b: POST /inbox/bulk
	//    s2
	//    s1
	// client: +OK
	// client: +OK
	// client: -BUSY 200
	// client: +OK
	// client: -BUSY 200
	// platform: {"message":"s2","outcome":"handed_back","retry_in_ms":2000}
	// {"message":"s1","outcome":"handed_back","retry_in_ms":2000}
	// client: +OK
	// row {Destination:2 Kind:1 Zone:z Sent:1 Done:0 Failed:0 Unanswered:0 Rejected:1 Endpoints:1 Limit:25 Rating:100 Waiting:0}
	// row {Destination:9 Kind:0 Zone: Sent:0 Done:0 Failed:0 Unanswered:0 Rejected:0 Endpoints:0 Limit:0 Rating:0 Waiting:2}
	// counts [{2  2} {9  2}] longest 1m30s
}

// Eviction drops learned state and idle links, unless the destination must stay, or has pending messages or busy links. The
// first message for an evicted destination makes the sender ask the region for learned state. The answer is adopted for
// endpoints without learned state, and its wait is reduced by its age.
func Example_evict() {
	h := start("", 100)
	c, m := h.joinCluster(JoinOptions{}), &fakeLearnedStore{mustStay: 2}
	h.s.learnedStore = m
	h.submit("OUT.ADD 0 id c=status,d=6000,dest=1 x")
	h.clock += 50 * time.Millisecond
	o := h.s.Orders()
	list := func() {
		o.ListHeldState(func(all []clusterapi.HeldState) { fmt.Printf("held %+v\n", all) })
		h.runNext().advance(5 * time.Millisecond)
	}
	evict := func() {
		o.Evict([]choice.DestinationID{1, 2, 9}, func(retained []choice.DestinationID) {
			fmt.Println("kept", retained, "void", m.replaced)
		})
		h.runNext().advance(5 * time.Millisecond)
	}
	evict()
	h.calls[0].endpoint.linkCount-- // the harness has no link that could end
	h.endpointAnswers(answerOK).advance(5 * time.Millisecond)
	o.GetLearnedState([]choice.DestinationID{1}, func(all []clusterapi.LearnedEndpoint) { fmt.Printf("known %+v\n", all) })
	h.runNext().advance(20 * time.Millisecond)
	list()
	evict()
	m.replaced = nil
	h.submit("OUT.ADD 0 again c=status,d=6000,dest=9 x", "OUT.ADD 0 more c=status,d=6000,dest=9 x")
	fmt.Println("woke", c.requested)
	k := choice.LearnedState{Mean: 10, Dev: 1, Past: 10, Seen: 3, Wait: 5 * choice.Second}
	o.AdoptLearnedState([]clusterapi.LearnedEndpoint{{Endpoint: "z", LearnedState: k, Age: 2 * time.Second}, {Endpoint: "a", LearnedState: k},
		{Endpoint: "none", LearnedState: k},
		{Endpoint: "b", LearnedState: choice.LearnedState{Mean: -1}}})
	h.runNext()
	fmt.Println("taught", m.replaced)
	os.RemoveAll(h.dir)
	// Output:
	// call a: POST /inbox
	//    id
	// client: +OK
	// kept [1 2] void [z <nil>]
	// call a: POST /inbox
	//    id
	// known [{Endpoint:a LearnedState:{Mean:550 Dev:3450 Past:550 Seen:1 Limit:0 Wait:0} Age:5ms}]
	// held [{Destination:1 Bytes:1024 Calls:7 InUse:false}]
	// kept [2] void [z <nil> a <nil> z <nil>]
	// client: +OK
	// client: +OK
	// woke [9]
	// taught [z &{10 1 10 3 0 30000}]
}
