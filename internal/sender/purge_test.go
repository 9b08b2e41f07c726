package sender

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"flaxcove/internal/sender/clusterapi"
)

// purge orders a purge and prints the result once it is answered. It handles the order, but runs no turn.
func (h *harness) purge(age time.Duration, seq uint64, m clusterapi.Match) *harness {
	h.s.Orders().Purge([]clusterapi.Purge{{Seq: seq, Match: m, Age: age}}, func(applied uint64, found []clusterapi.PurgeResult) {
		fmt.Printf("applied %d: %+v\n", applied, found)
	})
	return h.runNext()
}

// A purge ends a message at once if the message waits for its call's connection, for the in-flight limit or for an endpoint.
// A bulk call continues with its other messages. Messages that the purge does not match, or that were accepted after it,
// stay pending.
func Example_purgeNotBegun() {
	h := start("", 100)
	h.joinCluster(JoinOptions{})
	h.submit("OUT.ADD 0 o1 c=order,d=20000,dest=2 x", "OUT.ADD 0 s1 c=status,d=6000,dest=2 x",
		"OUT.ADD 0 nobody c=order,d=20000,dest=9 x")
	h.submit("OUT.ADD 0 later c=order,d=20000,dest=9 x")
	h.purge(7*time.Millisecond, 3, clusterapi.Match{Class: "order"}).advance(5 * time.Millisecond)
	c := h.calls[0]
	h.purge(0, 4, clusterapi.Match{Class: "status"}).advance(5 * time.Millisecond)
	fmt.Println("call done:", c.done, "timers:", len(h.s.timers))
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
	// call done: true timers: 3
	// applied 5: [{NotBegun:0 MayRun:0 Delivered:0 LearnedState:0}]
	// owed: 1 to the platform: 0
}

// TestPurgeFindsMessage checks that a purge ends a message exactly once in each state: at once if no call is in flight,
// otherwise with the call, as its answer says. The message is never sent again, not even after a kill, and the purge's
// result counts it.
func TestPurgeFindsMessage(t *testing.T) {
	stdout := os.Stdout
	os.Stdout, _ = os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	defer func() { os.Stdout = stdout }()
	for _, c := range []struct {
		state         string
		before, after string // the answer to the call before the purge, or after it; "kill" for a kill instead
		dest          int
		found         clusterapi.PurgeResult
		reported      string // the outcome reported to the platform, if any
	}{
		{state: "waits for an endpoint", dest: 9, found: clusterapi.PurgeResult{NotBegun: 1}, reported: "given_up"},
		{state: "waits for its connection", found: clusterapi.PurgeResult{NotBegun: 1}, reported: "given_up"},
		{state: "waits after a rejection", before: answerFull, found: clusterapi.PurgeResult{NotBegun: 1}, reported: "given_up"},
		{state: "waits after an error", before: answerError, found: clusterapi.PurgeResult{MayRun: 1}, reported: "given_up"},
		{state: "in flight, then delivered", after: answerOK, found: clusterapi.PurgeResult{MayRun: 1}},
		{state: "in flight, then rejected", after: answerFull, found: clusterapi.PurgeResult{MayRun: 1}, reported: "given_up"},
		{state: "in flight, then an error", after: answerError, found: clusterapi.PurgeResult{MayRun: 1}, reported: "given_up"},
		{state: "in flight, then killed", after: "kill", found: clusterapi.PurgeResult{MayRun: 1}, reported: "given_up"},
		{state: "delivered", before: answerOK, found: clusterapi.PurgeResult{Delivered: 1}},
	} {
		posted := ""
		recordPosts := func(h *harness) *harness {
			h.joinCluster(JoinOptions{})
			h.s.postToPlatform = func(_ string, body []byte) (int, error) {
				posted += string(body)
				return 204, nil
			}
			return h
		}
		h := recordPosts(start(t.TempDir(), 100))
		h.submit(fmt.Sprintf("OUT.ADD 0 id c=status,d=6000,dest=%d x", max(1, c.dest)))
		if c.before != "" {
			h.endpointAnswers(c.before)
		} else if c.after != "" {
			h.calls[0].link = &link{sender: h.s, endpoint: h.calls[0].endpoint}
		}
		var found []clusterapi.PurgeResult
		h.s.Orders().Purge([]clusterapi.Purge{{Seq: 1, Match: clusterapi.Match{KeyPrefix: "0"}}},
			func(_ uint64, f []clusterapi.PurgeResult) { found = f })
		h.runNext().advance(5 * time.Millisecond)
		if c.after == "kill" {
			h = recordPosts(start(h.dir, 100))
		} else if c.after != "" {
			h.endpointAnswers(c.after)
		}
		h.advance(7 * time.Second)
		for _, out := range h.calls {
			if !out.done && !out.probe {
				t.Errorf("%s: the message is sent again", c.state)
			}
		}
		if len(found) != 1 || found[0] != c.found || strings.Count(posted, "message") > 1 || !strings.Contains(posted, c.reported) ||
			(posted == "") != (c.reported == "") || len(h.s.pending)+len(start(h.dir, 100).s.pending) > 0 {
			t.Errorf("%s: found %+v, reported %q, %d messages pending", c.state, found, posted, len(h.s.pending))
		}
	}
}

// A purge of an ordering key ends the waiting messages at once, while the first one ends with its call in flight. A message
// submitted after the purge is sent. A second purge that matches the same messages does not count them again.
func Example_purgeOrderedKey() {
	dir, _ := os.MkdirTemp("", "sender")
	h := startWith(testConfigWith(dir, oldSettings, oldList))
	h.joinCluster(JoinOptions{})
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

// A purge arrives between a submission and the end of its turn. The client's answer says that the message has failed, so
// nothing is reported to the platform and nothing is recorded.
func Example_purgeBeforeAnswer() {
	h := start("", 100)
	h.joinCluster(JoinOptions{})
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

// A process is killed after a purge has taken effect and before the cluster has got its answer. The next process answers the
// purge in the same way, does not apply it to later messages, and reports the ends that were not reported yet. The times of
// acceptance are known after the kill, except from older records, which count as accepted long ago.
func Example_purgeRestart() {
	h := start("", 100)
	h.joinCluster(JoinOptions{})
	h.platformUp = false
	h.submit("OUT.ADD 0 old c=order,d=20000,dest=9 x")
	h.purge(0, 7, clusterapi.Match{Class: "order"}).advance(100 * time.Millisecond)
	h.submit("OUT.ADD 0 new c=order,d=900000,dest=9 x")
	acceptedAt := h.s.pending["new"].acceptedAt
	restart := func(at time.Duration) {
		fmt.Println("killed")
		h = startAt(testConfig(h.dir, 100), at)
		h.joinCluster(JoinOptions{})
	}
	rewrite := func() {
		h.s.accepted = withoutEnded(h.s.accepted)
		h.s.rewriteJournal()
	}
	restart(2 * time.Minute)
	fmt.Println("applied:", h.s.Orders().LastAppliedSeq(), "same time of acceptance:", h.s.pending["new"].acceptedAt == acceptedAt)
	h.purge(0, 7, clusterapi.Match{Class: "order"}).advance(5 * time.Millisecond).printPending()
	rewrite()
	restart(2 * time.Minute)
	h.purge(time.Minute, 8, clusterapi.Match{Class: "order"}).advance(5 * time.Millisecond).printPending()
	restart(time.Minute)
	fmt.Println("the wall clock was put back:", h.s.pending["new"].acceptedAt == h.s.Now())
	h.s.pending["new"].acceptedAt = 0
	rewrite()
	restart(2 * time.Minute)
	h.purge(time.Hour, 9, clusterapi.Match{Class: "order"}).advance(5 * time.Millisecond).printPending()
	os.RemoveAll(h.dir)
	// Output:
	// client: +OK
	// applied 7: [{NotBegun:1 MayRun:0 Delivered:0 LearnedState:0}]
	// client: +OK
	// killed
	// applied: 7 same time of acceptance: true
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

// TestManyPurges checks that ten thousand purges are applied in order over many turns, so that no turn takes long, that the
// journal stays within its limit, and that the last purges get the same answer after a restart.
func TestManyPurges(t *testing.T) {
	stdout := os.Stdout
	os.Stdout, _ = os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	defer func() { os.Stdout = stdout }()
	const purges = 10_000
	h := start(t.TempDir(), 1000)
	h.joinCluster(JoinOptions{})
	for i := range 100 {
		h.submit(fmt.Sprintf("OUT.ADD key-%d n%d c=order,d=20000,dest=9 x", i*100, i))
	}
	var all []clusterapi.Purge
	for i := range purges {
		all = append(all, clusterapi.Purge{Seq: uint64(i + 1), Match: clusterapi.Match{Key: fmt.Sprintf("key-%d", i)}})
	}
	purge := func(all []clusterapi.Purge) (found []clusterapi.PurgeResult, turns int) {
		h.s.Orders().Purge(all, func(_ uint64, f []clusterapi.PurgeResult) { found = f })
		for h.runNext(); found == nil; turns++ {
			if h.advance(5 * time.Millisecond); turns > purges {
				t.Fatalf("the purges are not answered after %d turns", turns)
			}
		}
		return found, turns
	}
	found, turns := purge(all)
	for i, f := range found {
		if want := (clusterapi.PurgeResult{NotBegun: map[bool]int{true: 1}[i%100 == 0]}); f != want {
			t.Fatalf("purge %d found %+v", i, f)
		}
	}
	if turns < purges/purgesPerTurn || len(h.s.lastApplied) > maxRememberedPurges {
		t.Errorf("the purges took %d turns, and %d are remembered", turns, len(h.s.lastApplied))
	}
	if size, limit := h.s.journal.Size(), h.s.journal.Limit(); size > limit {
		t.Errorf("the journal has %d of at most %d bytes", size, limit)
	}
	h = start(h.dir, 1000)
	h.joinCluster(JoinOptions{})
	if got := h.s.Orders().LastAppliedSeq(); got != purges {
		t.Fatalf("after a restart the last applied purge is %d, want %d", got, purges)
	}
	if again, _ := purge(all[purges-maxRememberedPurges:]); again[purges-100-(purges-maxRememberedPurges)].NotBegun != 1 {
		t.Errorf("the last purges, given again after a restart, found %+v", again)
	}
}
