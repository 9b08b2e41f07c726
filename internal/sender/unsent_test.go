package sender

import (
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"

	"flaxcove/choice"
)

const drainedA = `{"version":2,"full":false,"servers":[{"id":"a","addr":"127.0.0.1:1","zone":"z","kind":"one","cell":1,"state":"draining","weight":100}]}`
const backA = `{"version":3,"full":false,"servers":[{"id":"a","addr":"127.0.0.1:1","zone":"z","kind":"one","cell":1,"state":"up","weight":100}]}`

// A call that is not sent once its connection is up, for what has become known meanwhile, says nothing of its endpoint.
// Reported as a failed connection, one such call had an endpoint ejected that had sent nothing for 2 s.
func TestUnsentCallReportsNothingOfItsEndpoint(t *testing.T) {
	hasFresh := func(_ *testing.T, r *harness) bool {
		r.submit("OUT.ADD 00 fresh c=order,d=20000,dest=1 x")
		m := r.s.pending["fresh"]
		return m != nil && m.attempts == 1
	}
	for _, of := range []struct {
		name  string
		comes func(*harness)
		// takes tells whether its endpoint takes calls again, as many as before.
		takes func(*testing.T, *harness) bool
	}{
		{"told to wait", func(r *harness) {
			r.submit("OUT.ADD 00 refused c=order,d=20000,dest=1 x").endpointAnswers(answerFull)
		}, func(t *testing.T, r *harness) bool {
			r.advanceWritten(t, 600*time.Millisecond)
			return r.s.pending["refused"].attempts == 2 && r.s.pending["id"].attempts == 2
		}},
		{"drained", func(r *harness) { r.updateList(drainedA) }, func(t *testing.T, r *harness) bool { r.updateList(backA); return hasFresh(t, r) }},
		{"moved", func(r *harness) { r.updateList(movedA) }, hasFresh},
		{"its time over while the process stood still", func(r *harness) { r.clock += 30 * time.Second }, hasFresh},
	} {
		t.Run(of.name, func(t *testing.T) {
			conn, _ := connPair(t, false)
			r := start(t.TempDir(), 100)
			r.submit("OUT.ADD 00 id c=order,d=20000,dest=1 x")
			c, m := r.calls[0], r.s.pending["id"]
			of.comes(r)
			r.connectionUp(c, conn)
			if !c.done || c.link != nil || m.MayRun || m.inFlight != nil {
				t.Fatalf("over %v, left %v, may have run %v, out %v", c.done, c.link != nil, m.MayRun, m.inFlight != nil)
			}
			if all := r.s.counts.outcomes; all[choice.ConnectFailed] != 0 || all[choice.Moot] != 1 {
				t.Errorf("outcomes %v", all)
			}
			if !of.takes(t, r) {
				t.Error("its endpoint is set aside")
			}
		})
	}
}

// advanceWritten lets time pass in steps, each once all calls before it are written: writers read the harness's clock.
func (r *harness) advanceWritten(t *testing.T, after time.Duration) {
	t.Helper()
	for end := r.clock + after; r.clock < end; {
		r.advance(5 * time.Millisecond)
		r.runUntil(t, "what left is written", func() bool {
			for _, m := range r.s.pending {
				if m.inFlight != nil && m.inFlight.link != nil && m.inFlight.link.writing {
					return false
				}
			}
			return true
		})
	}
}

// Where the process can't open one more connection its calls wait, each as one attempt: none counts against its endpoint, and
// the attempts of a message are not used up in the fraction of a second that the shortage lasts.
func TestNoCapacityForAConnection(t *testing.T) {
	short := func(err error) func(*harness) { // the dial fails for want of something of this process
		return func(r *harness) {
			r.s.dial = func(c *call) { r.s.onDialed(c, nil, fmt.Errorf("dial: %w", os.NewSyscallError("socket", err))) }
		}
	}
	for name, sets := range map[string]func(*harness){
		"links":       func(r *harness) { r.s.maxLinks = 0 },
		"descriptors": short(syscall.EMFILE),
		"ports":       short(syscall.EADDRNOTAVAIL),
	} {
		for _, ends := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, ends %v", name, ends), func(t *testing.T) {
				r := start(t.TempDir(), 100)
				dial, most, dials := r.s.dial, r.s.maxLinks, 0
				sets(r)
				failing := r.s.dial
				r.s.dial = func(c *call) { dials++; failing(c) }
				r.submit("OUT.ADD 00 id c=order,d=20000,dest=1 x")
				m := r.s.pending["id"]
				r.advance(time.Second)
				if m.attempts != 1 || m.inFlight == nil || r.s.openLinks != 0 || dials > int(time.Second/capacityRecheck)+2 {
					t.Fatalf("tries %d, out %v, open %d, dials %d", m.attempts, m.inFlight != nil, r.s.openLinks, dials)
				}
				if ends {
					r.s.dial, r.s.maxLinks = dial, most
					r.advance(capacityRecheck + 10*time.Millisecond)
					if len(r.calls) != 1 || m.attempts != 1 || r.s.openLinks != 1 {
						t.Errorf("calls %d, tries %d, open %d", len(r.calls), m.attempts, r.s.openLinks)
					}
				} else {
					r.advance(20 * time.Second)
					// It is shed, as one that has certainly not run, with fewer attempts than it may have.
					if m.ending.kind == endNone || m.MayRun || m.attempts > r.s.cfg.Settings.MaxAttempts {
						t.Errorf("ends %v, may have run %v, tries %d", m.ending.kind, m.MayRun, m.attempts)
					}
				}
				if all := r.s.counts.outcomes; all[choice.ConnectFailed] != 0 {
					t.Errorf("outcomes %v", all)
				}
			})
		}
	}
}
