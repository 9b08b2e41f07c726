package sender

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"flaxcove/internal/sender/clusterapi"
)

// purge orders a purge and prints what was found, once it is answered.
func (h *harness) purge(age time.Duration, seq uint64, m clusterapi.Match) *harness {
	h.s.Orders().Purge([]clusterapi.Purge{{Seq: seq, Match: m, Age: age}}, func(applied uint64, found []clusterapi.Found) {
		fmt.Printf("applied %d: %+v\n", applied, found)
	})
	return h.runNext()
}

// A message that waits for its call's connection, for the in-flight limit or for an endpoint ends at once, and a bulk call
// goes on for its other messages. What the purge does not match, or was accepted after it, is not touched.
func Example_purgeNotBegun() {
	h := start("", 100)
	h.joinCluster(Joining{})
	h.submit("OUT.ADD 0 o1 c=order,d=20000,dest=2 x", "OUT.ADD 0 s1 c=status,d=6000,dest=2 x",
		"OUT.ADD 0 nobody c=order,d=20000,dest=9 x")
	h.submit("OUT.ADD 0 later c=order,d=20000,dest=9 x")
	h.purge(7*time.Millisecond, 3, clusterapi.Match{Class: "order"}).advance(5 * time.Millisecond)
	c := h.calls[0]
	h.purge(0, 4, clusterapi.Match{Class: "status"}).advance(5 * time.Millisecond)
	fmt.Println("the call is over:", c.done, "timers:", len(h.s.timers))
	h.purge(time.Hour, 5, clusterapi.Match{}).advance(5 * time.Millisecond).printPending()
	os.RemoveAll(h.dir)
	// Output:
	// call b: POST /inbox/bulk
	//    o1
	//    s1
	// client: +OK
	// client: +OK
	// client: +OK
	// call b: POST /inbox/bulk
	//    o1
	//    s1
	// client: +OK
	// applied 3: [{NotBegun:2 MayRun:0 Delivered:0 LearnedState:0}]
	// platform: {"message":"o1","outcome":"given_up"}
	// {"message":"nobody","outcome":"given_up"}
	// call b: POST /inbox
	//    s1
	// applied 4: [{NotBegun:1 MayRun:0 Delivered:0 LearnedState:0}]
	// platform: {"message":"s1","outcome":"given_up"}
	// the call is over: true timers: 3
	// applied 5: [{NotBegun:0 MayRun:0 Delivered:0 LearnedState:0}]
	// owed: 1 to the platform: 0
}

// In each state a message ends once: at once where no call of it is in flight, else with the call, as its answer says. It is
// never sent again, not after a kill either, and what was found is reported.
func TestPurgeFindsMessage(t *testing.T) {
	stdout := os.Stdout
	os.Stdout, _ = os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	defer func() { os.Stdout = stdout }()
	for _, c := range []struct {
		stands, before, after string
		dest                  int
		found                 clusterapi.Found
		reported              string
	}{
		{stands: "waits for an endpoint", dest: 9, found: clusterapi.Found{NotBegun: 1}, reported: "given_up"},
		{stands: "waits for its connection", found: clusterapi.Found{NotBegun: 1}, reported: "given_up"},
		{stands: "waits after a refusal", before: answerFull, found: clusterapi.Found{NotBegun: 1}, reported: "given_up"},
		{stands: "waits after an error", before: answerError, found: clusterapi.Found{MayRun: 1}, reported: "given_up"},
		{stands: "out, then done", after: answerOK, found: clusterapi.Found{MayRun: 1}},
		{stands: "out, then refused", after: answerFull, found: clusterapi.Found{MayRun: 1}, reported: "given_up"},
		{stands: "out, then an error", after: answerError, found: clusterapi.Found{MayRun: 1}, reported: "given_up"},
		{stands: "out, then killed", after: "kill", found: clusterapi.Found{MayRun: 1}, reported: "given_up"},
		{stands: "done", before: answerOK, found: clusterapi.Found{Delivered: 1}},
	} {
		posted := ""
		watch := func(h *harness) *harness {
			h.joinCluster(Joining{})
			h.s.postToPlatform = func(_ string, body []byte) (int, error) {
				posted += string(body)
				return 204, nil
			}
			return h
		}
		h := watch(start(t.TempDir(), 100))
		h.submit(fmt.Sprintf("OUT.ADD 0 id c=status,d=6000,dest=%d x", max(1, c.dest)))
		if c.before != "" {
			h.endpointAnswers(c.before)
		} else if c.after != "" {
			h.calls[0].link = &link{sender: h.s, endpoint: h.calls[0].endpoint}
		}
		var found []clusterapi.Found
		h.s.Orders().Purge([]clusterapi.Purge{{Seq: 1, Match: clusterapi.Match{KeyPrefix: "0"}}},
			func(_ uint64, f []clusterapi.Found) { found = f })
		h.runNext().advance(5 * time.Millisecond)
		if c.after == "kill" {
			h = watch(start(h.dir, 100))
		} else if c.after != "" {
			h.endpointAnswers(c.after)
		}
		h.advance(7 * time.Second)
		for _, out := range h.calls {
			if !out.done && !out.probe {
				t.Errorf("%s: sent again", c.stands)
			}
		}
		if len(found) != 1 || found[0] != c.found || strings.Count(posted, "message") > 1 || !strings.Contains(posted, c.reported) ||
			(posted == "") != (c.reported == "") || len(h.s.pending)+len(start(h.dir, 100).s.pending) > 0 {
			t.Errorf("%s: found %+v, reported %q, owed %d", c.stands, found, posted, len(h.s.pending))
		}
	}
}

// The messages of an ordering key end behind the first one, whose call is in flight; one that comes after the purge is sent.
// A second purge that matches the same messages counts none a second time.
func Example_purgeOrderedKey() {
	dir, _ := os.MkdirTemp("", "sender")
	h := startWith(testConfigWith(dir, oldSettings, oldList))
	h.joinCluster(Joining{})
	h.submit("OUT.ADD k head c=change,d=20000,dest=1 x", "OUT.ADD k next c=change,d=20000,dest=1 x",
		"OUT.ADD other o c=change,d=20000,dest=1 x")
	for _, c := range h.calls {
		c.link = &link{sender: h.s, endpoint: c.endpoint}
	}
	h.purge(0, 1, clusterapi.Match{Key: "k"}).purge(0, 2, clusterapi.Match{Class: "change"}).advance(5 * time.Millisecond)
	h.submit("OUT.ADD k new c=change,d=20000,dest=1 x")
	for len(h.calls) > 0 {
		h.endpointAnswers(answerOK)
	}
	h.advance(5 * time.Millisecond).printPending()
	os.RemoveAll(dir)
	// Output:
	// call a: POST /inbox
	//    o
	// call a: POST /inbox
	//    head
	// client: +OK
	// client: +OK
	// client: +OK
	// applied 2: [{NotBegun:1 MayRun:1 Delivered:0 LearnedState:0}]
	// applied 2: [{NotBegun:0 MayRun:1 Delivered:0 LearnedState:0}]
	// platform: {"message":"next","outcome":"given_up"}
	// call a: POST /inbox
	//    o
	// call a: POST /inbox
	//    head
	// call a: POST /inbox
	//    o
	// call a: POST /inbox
	//    head
	// client: +OK
	// call a: POST /inbox
	//    new
	// owed: 1 to the platform: 0
}

// A purge that comes between a submission and the end of its turn: the client gets the answer itself, nothing is reported to
// the platform, and nothing is on record.
func Example_purgeCrossesHandIn() {
	h := start("", 100)
	h.joinCluster(Joining{})
	c := newClient()
	h.handle(c, "OUT.ADD 0 id c=order,d=20000,dest=1 x")
	h.purge(0, 1, clusterapi.Match{Key: "0"}).advance(5 * time.Millisecond).printPending()
	fmt.Printf("client: %q, calls: %d\n", c.output, len(h.calls))
	start(h.dir, 100).printPending()
	os.RemoveAll(h.dir)
	// Output:
	// applied 1: [{NotBegun:1 MayRun:0 Delivered:0 LearnedState:0}]
	// owed: 0 to the platform: 0
	// client: "-ERR given up\r\n", calls: 0
	// owed: 0 to the platform: 0
}

// A process that is killed between the effect of a purge and its acknowledgement answers it again as it was, applies it to
// nothing that came later, and reports to the platform what it has not reported. When a message was accepted is known after
// the kill; of an older record it is not, and counts as long ago.
func Example_purgeRestart() {
	h := start("", 100)
	h.joinCluster(Joining{})
	h.platformUp = false
	h.submit("OUT.ADD 0 old c=order,d=20000,dest=9 x")
	h.purge(0, 7, clusterapi.Match{Class: "order"}).advance(100 * time.Millisecond)
	h.submit("OUT.ADD 0 new c=order,d=900000,dest=9 x")
	takenAt := h.s.pending["new"].acceptedAt
	again := func(at time.Duration) {
		fmt.Println("killed")
		h = startAt(testConfig(h.dir, 100), at)
		h.joinCluster(Joining{})
	}
	rewrite := func() {
		h.s.accepted = withoutEnded(h.s.accepted)
		h.s.journal.Rewrite(h.s.records)
	}
	again(2 * time.Minute)
	fmt.Println("applied:", h.s.Orders().Applied(), "taken on then:", h.s.pending["new"].acceptedAt == takenAt)
	h.purge(0, 7, clusterapi.Match{Class: "order"}).advance(5 * time.Millisecond).printPending()
	rewrite()
	again(2 * time.Minute)
	h.purge(time.Minute, 8, clusterapi.Match{Class: "order"}).advance(5 * time.Millisecond).printPending()
	again(time.Minute)
	fmt.Println("the wall clock was put back:", h.s.pending["new"].acceptedAt == h.s.Now())
	h.s.pending["new"].acceptedAt = 0
	rewrite()
	again(2 * time.Minute)
	h.purge(time.Hour, 9, clusterapi.Match{Class: "order"}).advance(5 * time.Millisecond).printPending()
	os.RemoveAll(h.dir)
	// Output:
	// client: +OK
	// applied 7: [{NotBegun:1 MayRun:0 Delivered:0 LearnedState:0}]
	// client: +OK
	// killed
	// applied: 7 taken on then: true
	// applied 7: [{NotBegun:1 MayRun:0 Delivered:0 LearnedState:0}]
	// platform: {"message":"old","outcome":"given_up"}
	// owed: 1 to the platform: 0
	// killed
	// applied 8: [{NotBegun:0 MayRun:0 Delivered:0 LearnedState:0}]
	// owed: 1 to the platform: 0
	// killed
	// the wall clock was put back: true
	// killed
	// applied 9: [{NotBegun:1 MayRun:0 Delivered:0 LearnedState:0}]
	// platform: {"message":"new","outcome":"given_up"}
	// owed: 0 to the platform: 0
}

// Ten thousand purges are applied over many turns, in order, none of which takes long; the journal stays within its
// bound, and the last ones are still answered as they were after a restart.
func TestManyPurges(t *testing.T) {
	stdout := os.Stdout
	os.Stdout, _ = os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	defer func() { os.Stdout = stdout }()
	const many = 10_000
	h := start(t.TempDir(), 1000)
	h.joinCluster(Joining{})
	for i := range 100 {
		h.submit(fmt.Sprintf("OUT.ADD key-%d n%d c=order,d=20000,dest=9 x", i*100, i))
	}
	var all []clusterapi.Purge
	for i := range many {
		all = append(all, clusterapi.Purge{Seq: uint64(i + 1), Match: clusterapi.Match{Key: fmt.Sprintf("key-%d", i)}})
	}
	ask := func(all []clusterapi.Purge) (found []clusterapi.Found, turns int) {
		h.s.Orders().Purge(all, func(_ uint64, f []clusterapi.Found) { found = f })
		for h.runNext(); found == nil; turns++ {
			if h.advance(5 * time.Millisecond); turns > many {
				t.Fatal("never answered")
			}
		}
		return found, turns
	}
	found, turns := ask(all)
	for i, f := range found {
		if want := (clusterapi.Found{NotBegun: map[bool]int{true: 1}[i%100 == 0]}); f != want {
			t.Fatalf("purge %d found %+v", i, f)
		}
	}
	if turns < many/purgesPerTurn || len(h.s.past) > maxRememberedPurges {
		t.Errorf("%d turns, %d kept", turns, len(h.s.past))
	}
	if size, limit := h.s.journal.Size(), h.s.journal.Limit(); size > limit {
		t.Errorf("the journal holds %d of %d bytes", size, limit)
	}
	h = start(h.dir, 1000)
	h.joinCluster(Joining{})
	if got := h.s.Orders().Applied(); got != many {
		t.Fatalf("applied %d after a restart", got)
	}
	if again, _ := ask(all[many-maxRememberedPurges:]); again[many-100-(many-maxRememberedPurges)].NotBegun != 1 {
		t.Errorf("answered again otherwise: %+v", again)
	}
}
