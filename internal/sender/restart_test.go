package sender

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/journal"
)

// After a kill all accepted messages are pending: an idempotent one is sent again, and a non-idempotent one with an attempt in
// flight, which may have run, is given up and never sent. Once ended, none comes back at a third start.
func Example_restart() {
	r := start("", 100).submit("OUT.ADD 00 st c=status,d=6000,dest=1 x", "OUT.ADD 00 or c=order,d=20000,dest=1 x")
	fmt.Println("killed")
	r = start(r.dir, 100).printPending().advance(5 * time.Millisecond).endpointAnswers(answerOK).printPending()
	r.advance(5 * time.Millisecond)
	fmt.Println("killed")
	start(r.dir, 100).printPending().advance(time.Second)
	os.RemoveAll(r.dir)
	// Output:
	// call a: POST /inbox
	//    or
	// call a: POST /inbox
	//    st
	// client: +OK
	// client: +OK
	// killed
	// owed: 2 to the platform: 1
	// platform: {"message":"or","outcome":"given_up"}
	// call a: POST /inbox
	//    st
	// owed: 0 to the platform: 0
	// killed
	// owed: 0 to the platform: 0
}

// A rejection proves that a non-idempotent message has not run, so after a kill it is sent again. A Retry-After ends with a
// restart.
func Example_restartAfterRefusal() {
	r := start("", 100).submit("OUT.ADD 00 or c=order,d=20000,dest=1 x").endpointAnswers(answerFull).advance(5 * time.Millisecond)
	fmt.Println("killed")
	start(r.dir, 100).printPending().advance(5 * time.Millisecond)
	os.RemoveAll(r.dir)
	// Output:
	// call a: POST /inbox
	//    or
	// client: +OK
	// killed
	// owed: 1 to the platform: 0
	// call a: POST /inbox
	//    or
}

// An ending is to be reported until the platform has answered, through a kill too, and so is that of a message whose time ran
// out meanwhile.
func Example_platformSilent() {
	r := start("", 100)
	r.platformUp = false
	r.submit("OUT.ADD 00 or c=order,d=20000,dest=1 x", "OUT.ADD 00 late c=status,d=6000,dest=9 x").endpointAnswers("HTTP/1.1 200")
	r.advance(7 * time.Second).printPending()
	fmt.Println("killed")
	start(r.dir, 100).printPending().advance(5 * time.Millisecond).printPending()
	os.RemoveAll(r.dir)
	// Output:
	// call a: POST /inbox
	//    or
	// client: +OK
	// client: +OK
	// call a: GET /-/healthy
	// owed: 2 to the platform: 2
	// killed
	// owed: 2 to the platform: 2
	// platform: {"message":"or","outcome":"given_up"}
	// {"message":"late","outcome":"handed_back","retry_in_ms":200}
	// owed: 0 to the platform: 0
}

// A message that ends while the turn's calls begin is not reported to the platform before the next turn has recorded its end:
// after a kill in between it would be sent again, though its client was told to submit it again.
func Example_endedAsItsCallBegins() {
	r := start("", 100)
	r.submit("OUT.ADD 00 or c=order,d=20000,dest=9 x") // nobody serves 9 yet
	r.s.dial = func(c *call) { r.s.endMessage(c.messages[0], ending{kind: endShed}) }
	r.updateList(`{"version":2,"servers":[{"id":"new","addr":"127.0.0.1:3","zone":"z","kind":"one","cell":9,"state":"up"}]}`)
	release, tell := make(chan struct{}), r.s.postToPlatform // the post has a goroutine of its own: what it prints comes last
	r.s.postToPlatform = func(addr string, body []byte) (int, error) { <-release; return tell(addr, body) }
	for range 2 {
		r.clock += 5 * time.Millisecond
		r.s.turn()
		fmt.Println("to the platform:", len(r.s.endings), "posting:", r.s.posting)
	}
	close(release)
	(<-r.s.inbox)()
	os.RemoveAll(r.dir)
	// Output:
	// client: +OK
	// to the platform: 1 posting: false
	// to the platform: 1 posting: true
	// platform: {"message":"or","outcome":"handed_back"}
}

// The journal stays within its share of the disk, messages that do not fit are rejected, and it is read back completely.
func Example_journalFull() {
	r := start("", 1000)
	body := strings.Repeat("x", 20000)
	for i := range 4 {
		for j := range 3 {
			r.submit(fmt.Sprintf("OUT.ADD 00 n%d-%d c=order,d=900000,dest=9 %s", i, j, body))
		}
		for id, m := range r.s.pending {
			if i < 3 && id != "n0-0" {
				r.s.closeMessage(m)
			}
		}
	}
	info, _ := os.Stat(r.dir + "/notices.log")
	fmt.Println("under the limit:", info.Size() < 250000, "rewritten:", r.s.counts.rewritings > 0)
	start(r.dir, 1000).printPending()
	os.RemoveAll(r.dir)
	// Output:
	// client: +OK
	// client: +OK
	// client: +OK
	// client: +OK
	// client: +OK
	// client: +OK
	// client: +OK
	// client: +OK
	// client: +OK
	// client: +OK
	// client: +OK
	// client: +OK
	// under the limit: true rewritten: true
	// owed: 4 to the platform: 0
}

// An id that is submitted again after its end is answered +OK, through a kill too, and a non-idempotent message never runs
// again.
func Example_endedID() {
	const text = "OUT.ADD 00 or c=order,d=20000,dest=1 x"
	r := start("", 100).submit(text).endpointAnswers(answerOK).submit(text).printPending()
	fmt.Println("killed")
	start(r.dir, 100).submit(text).printPending()
	os.RemoveAll(r.dir)
	for i := range 3 * maxRememberedEnded {
		r.s.rememberEnded(choice.MessageID(fmt.Sprint(i)))
	}
	_, oldest := r.s.admission.recentlyEnded[choice.MessageID(fmt.Sprint(2*maxRememberedEnded))]
	fmt.Println(len(r.s.admission.recentlyEnded) == maxRememberedEnded, oldest)
	// Output:
	// call a: POST /inbox
	//    or
	// client: +OK
	// client: +OK
	// owed: 0 to the platform: 0
	// killed
	// client: +OK
	// owed: 0 to the platform: 0
	// true true
}

// FuzzReplay: no record crashes a start, and what is pending after it can be written and read again.
func FuzzReplay(f *testing.F) {
	m := &message{key: "0", className: "order"}
	m.ID, m.Deadline = "id", 9e13
	f.Add(m.acceptedRecord(), attemptRecord("id", 5, 0, "z"))
	f.Add(m.acceptedRecord(), endRecord(m.ID, ending{kind: endFailed}))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		dir := t.TempDir()
		j, _, err := journal.Open(dir, 1<<20, func([]byte) {})
		if err != nil || len(first) == 0 || len(second) == 0 || len(first)+len(second) > 1<<16 {
			return
		}
		j.Add(first)
		j.Add(second)
		j.Close()
		a := start(dir, 100)
		if a.s == nil {
			return // of a class that the settings do not name
		}
		owed := len(a.s.pending)
		a.s.journal.Rewrite(func(add func([]byte)) {
			for _, m := range a.s.accepted {
				m.records(add)
			}
		})
		if b := start(dir, 100); len(b.s.pending) != owed {
			t.Fatalf("%d owed, then %d", owed, len(b.s.pending))
		}
	})
}
