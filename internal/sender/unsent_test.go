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
	hasFresh := func(_ *testing.T, h *harness) bool {
		h.submit("OUT.ADD 00 fresh c=order,d=20000,dest=1 x")
		m := h.s.pending["fresh"]
		return m != nil && m.attempts == 1
	}
	for _, of := range []struct {
		name  string
		comes func(*harness)
		// takes tells whether its endpoint takes calls again, as many as before.
		takes func(*testing.T, *harness) bool
	}{
		{"told to wait", func(h *harness) {
			h.submit("OUT.ADD 00 refused c=order,d=20000,dest=1 x").endpointAnswers(answerFull)
		}, func(t *testing.T, h *harness) bool {
			h.advanceWritten(t, 600*time.Millisecond)
			return h.s.pending["refused"].attempts == 2 && h.s.pending["id"].attempts == 2
		}},
		{"drained", func(h *harness) { h.updateList(drainedA) }, func(t *testing.T, h *harness) bool { h.updateList(backA); return hasFresh(t, h) }},
		{"moved", func(h *harness) { h.updateList(movedA) }, hasFresh},
		{"its time over while the process stood still", func(h *harness) { h.clock += 30 * time.Second }, hasFresh},
	} {
		t.Run(of.name, func(t *testing.T) {
			conn, _ := connPair(t, false)
			h := start(t.TempDir(), 100)
			h.submit("OUT.ADD 00 id c=order,d=20000,dest=1 x")
			c, m := h.calls[0], h.s.pending["id"]
			of.comes(h)
			h.connectionUp(c, conn)
			if !c.done || c.link != nil || m.MayRun || m.inFlight != nil {
				t.Fatalf("over %v, left %v, may have run %v, out %v", c.done, c.link != nil, m.MayRun, m.inFlight != nil)
			}
			if all := h.s.counts.outcomes; all[choice.ConnectFailed] != 0 || all[choice.NotRun] != 1 {
				t.Errorf("outcomes %v", all)
			}
			if !of.takes(t, h) {
				t.Error("its endpoint is set aside")
			}
		})
	}
}

// advanceWritten lets time pass in steps, each once all calls before it are written: writers read the harness's clock.
func (h *harness) advanceWritten(t *testing.T, after time.Duration) {
	t.Helper()
	for end := h.clock + after; h.clock < end; {
		h.advance(5 * time.Millisecond)
		h.runUntil(t, "what left is written", func() bool {
			for _, m := range h.s.pending {
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
		return func(h *harness) {
			h.s.dial = func(c *call) { h.s.onDialed(c, nil, fmt.Errorf("dial: %w", os.NewSyscallError("socket", err))) }
		}
	}
	for name, sets := range map[string]func(*harness){
		"links":       func(h *harness) { h.s.maxLinks = 0 },
		"descriptors": short(syscall.EMFILE),
		"ports":       short(syscall.EADDRNOTAVAIL),
	} {
		for _, ends := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, ends %v", name, ends), func(t *testing.T) {
				h := start(t.TempDir(), 100)
				dial, most, dials := h.s.dial, h.s.maxLinks, 0
				sets(h)
				failing := h.s.dial
				h.s.dial = func(c *call) { dials++; failing(c) }
				h.submit("OUT.ADD 00 id c=order,d=20000,dest=1 x")
				m := h.s.pending["id"]
				h.advance(time.Second)
				if m.attempts != 1 || m.inFlight == nil || h.s.openLinks != 0 || dials > int(time.Second/capacityRecheck)+2 {
					t.Fatalf("tries %d, out %v, open %d, dials %d", m.attempts, m.inFlight != nil, h.s.openLinks, dials)
				}
				if ends {
					h.s.dial, h.s.maxLinks = dial, most
					h.advance(capacityRecheck + 10*time.Millisecond)
					if len(h.calls) != 1 || m.attempts != 1 || h.s.openLinks != 1 {
						t.Errorf("calls %d, tries %d, open %d", len(h.calls), m.attempts, h.s.openLinks)
					}
				} else {
					h.advance(20 * time.Second)
					// It is shed, as one that has certainly not run, with fewer attempts than it may have.
					if m.ending.kind == endNone || m.MayRun || m.attempts > h.s.cfg.Settings.MaxAttempts {
						t.Errorf("ends %v, may have run %v, tries %d", m.ending.kind, m.MayRun, m.attempts)
					}
				}
				if all := h.s.counts.outcomes; all[choice.ConnectFailed] != 0 {
					t.Errorf("outcomes %v", all)
				}
			})
		}
	}
}
