package directory

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// silentAgent simulates the agent of a pushed list. It connects every call at once. Before silentAt it answers with a list
// of version 1, from then on it sends nothing, and at returnsAt it sends a list of version 9 on every open call.
type silentAgent struct {
	silentAt, returnsAt time.Time
	headAtOnce          bool // calls get the head of their answer also while the agent is silent
	closesAtReturn      bool // the agent closes calls from before its return in place of an answer
	open, mostOpen      atomic.Int32
}

func (a *silentAgent) dial(context.Context, string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	a.mostOpen.Store(max(a.mostOpen.Load(), a.open.Add(1)))
	go func() {
		a.serve(theirs)
		a.open.Add(-1)
	}()
	return ours, nil
}

// serve answers one call, until the watch closes its connection.
func (a *silentAgent) serve(conn net.Conn) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	closed := make(chan struct{})
	go func() {
		conn.Read(make([]byte, 1)) // fails when the watch closes the connection
		close(closed)
	}()
	head, first := answerHead, ""
	if time.Now().Before(a.silentAt) {
		first = chunk(list(1))
	}
	if first != "" || a.headAtOnce {
		io.WriteString(conn, head+first)
		head = ""
	}
	select {
	case <-closed:
		return
	case <-time.After(time.Until(a.returnsAt)):
	}
	if a.closesAtReturn && head == "" {
		return
	}
	io.WriteString(conn, head+chunk(list(9)))
	<-closed
}

// returnTime runs a watch at the agent and returns the time from the agent's return until the list of version 9 is received.
func (a *silentAgent) returnTime(t timing, jitter func(time.Duration) time.Duration) time.Duration {
	received, stop, done := make(chan time.Time, 1), make(chan struct{}), make(chan struct{})
	w := &watcher{addr: "agent:1", timing: t, dial: a.dial, jitter: jitter,
		callbacks: onListOnly(func(l List) {
			if l.Version == 9 {
				received <- time.Now()
			}
		})}
	go func() {
		w.run(stop)
		close(done)
	}()
	at := <-received
	close(stop)
	<-done
	return at.Sub(a.returnsAt)
}

// TestListAtReturnOfSilentAgent guards against messages that go to an endpoint that is gone after an outage of discovery:
// what an agent has counts as notified at its return, so a call has to be open then, however long the agent was silent. At
// most three calls are open at a time.
func TestListAtReturnOfSilentAgent(t *testing.T) {
	singleThreaded(t)
	// A call to an endpoint that is gone may leave 500 ms after the notification, and a sender may be held up for 150 ms.
	const bound = 350 * time.Millisecond
	for _, senders := range []int{1, 20, 300} {
		for _, headAtOnce := range []bool{false, true} {
			late, longest, played, mostOpen := 0, time.Duration(0), 0, int32(0)
			synctest.Test(t, func(t *testing.T) {
				for outage := 250 * time.Millisecond; outage < 45*time.Second; outage += 250 * time.Millisecond {
					draw := rand.New(rand.NewPCG(uint64(outage), uint64(senders)))
					now := time.Now()
					a := &silentAgent{silentAt: now.Add(time.Millisecond), returnsAt: now.Add(outage), headAtOnce: headAtOnce}
					took := a.returnTime(defaultTiming(senders), func(most time.Duration) time.Duration { return time.Duration(draw.Int64N(int64(most))) })
					if played++; took > bound {
						late++
					}
					longest, mostOpen = max(longest, took), max(mostOpen, a.mostOpen.Load())
				}
			})
			if late > 0 {
				t.Errorf("%d senders, head at once %v: in %d of %d outages the list was received more than %v after the return, %v at most",
					senders, headAtOnce, late, played, bound, longest)
			}
			if mostOpen > 1+maxStalled {
				t.Errorf("%d senders, head at once %v: %d calls open at a time", senders, headAtOnce, mostOpen)
			}
			t.Logf("%d senders, head at once %v: list received %v after the return at most, %d calls open at most", senders, headAtOnce, longest, mostOpen)
		}
	}
}

// TestListAfterClosedWatch guards against messages that go to an endpoint that is gone because the watch was closed just
// before the change: what an agent has counts as notified although no watch is open.
func TestListAfterClosedWatch(t *testing.T) {
	singleThreaded(t)
	// A call may leave within the grace and 50 ms, and a sender may be held up for 150 ms.
	const heldUp, slack = 150 * time.Millisecond, 50 * time.Millisecond
	for _, grace := range []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
		longest := time.Duration(0)
		synctest.Test(t, func(t *testing.T) {
			for seed := range uint64(100) {
				draw, now := rand.New(rand.NewPCG(seed, 1)), time.Now()
				closedAt := now.Add(time.Second)
				a := &silentAgent{silentAt: closedAt, returnsAt: closedAt, closesAtReturn: true}
				took := a.returnTime(defaultTiming(20).withDrainGrace(grace), func(most time.Duration) time.Duration { return time.Duration(draw.Int64N(int64(most))) })
				longest = max(longest, took)
			}
		})
		if bound := grace + slack - heldUp; longest > bound {
			t.Errorf("grace %v: list received up to %v after the watch was closed, want at most %v", grace, longest, bound)
		}
	}
}
