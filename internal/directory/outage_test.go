package directory

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// These tests make discovery unreachable in every known way, one after another, and measure from the moment at which it
// can be reached again to the one at which its list is received. Calls that are open at that moment stay as they are, and
// later ones connect late, after a second.

// fault is what a call meets while discovery is out of reach.
type fault struct {
	name  string
	fails error // of the dial, at once; nil where the script is played
	plays script
}

func refusing(errno syscall.Errno) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
}

// overbooked answers at once and says that it cannot serve.
var overbooked = script{pieces: []piece{{0, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"}}, ends: true}

func faults() []fault {
	half := chunk(list(2)[:30])
	trickle := []piece{{0, answerHead}}
	for _, letter := range list(2)[:40] {
		trickle = append(trickle, piece{500 * time.Millisecond, chunk(string(letter))})
	}
	return []fault{
		{name: "refused", fails: refusing(syscall.ECONNREFUSED)},
		{name: "503", plays: overbooked},
		{name: "head only", plays: script{pieces: []piece{{0, answerHead}}}},
		{name: "half a message", plays: script{pieces: []piece{{0, answerHead}, {2400 * time.Millisecond, half}}}},
		{name: "trickle", plays: script{pieces: trickle}},
		{name: "silence after a list", plays: script{pieces: []piece{{0, answerHead + chunk(list(1))}}}},
		{name: "end in the middle", plays: script{pieces: []piece{{0, answerHead}, {2400 * time.Millisecond, half}, {time.Second, chunk(" ")}}, ends: true}},
		{name: "late dial", plays: script{up: 1500 * time.Millisecond, pieces: []piece{{0, answerHead + chunk(list(1))}}}},
		{name: "dial that hangs", plays: dead},
	}
}

// outage plays faults, one for each call and the last one again and again, until discovery can be reached.
type outage struct {
	mu     sync.Mutex
	faults []fault
	calls  int
	more   int           // how many calls meet the last fault again before the moment is drawn
	within time.Duration // from there to the moment
	reach  time.Time     // the moment; zero until it is drawn
}

func (o *outage) dial(ctx context.Context, _ string) (net.Conn, error) {
	o.mu.Lock()
	now, f := time.Now(), o.faults[min(o.calls, len(o.faults)-1)]
	back := !o.reach.IsZero() && !now.Before(o.reach)
	if o.reach.IsZero() && o.calls == len(o.faults)-1+o.more {
		o.reach = now.Add(o.within)
	}
	o.calls++
	o.mu.Unlock()
	switch {
	case back:
		f = fault{plays: healthy(9)}
		f.plays.up = time.Second
	case f.fails != nil:
		return nil, f.fails
	}
	return (&standIn{scripts: []script{f.plays}}).dial(ctx, "")
}

// recoveryTime runs a watch into the outage and returns how long after the moment of return the list of that time was
// received. It gives up after five minutes.
func (o *outage) recoveryTime(senders int, jitter func(time.Duration) time.Duration) time.Duration {
	heard, stop, done := make(chan time.Time, 1), make(chan struct{}), make(chan struct{})
	w := &watcher{addr: "discovery:1", timing: defaultTiming(senders), dial: o.dial, jitter: jitter, onFailure: func(error) {},
		onList: func(l List) {
			if l.Version == 9 {
				heard <- time.Now()
			}
		}}
	go func() {
		w.run(stop)
		close(done)
	}()
	limit, at := time.After(5*time.Minute), time.Time{}
	select {
	case at = <-heard:
	case <-limit:
		at = time.Now()
	}
	close(stop)
	<-done
	return at.Sub(o.reach)
}

// sequences are all of up to so many faults.
func sequences(most int) (all [][]fault) {
	last := [][]fault{nil}
	for range most {
		var longer [][]fault
		for _, before := range last {
			for _, f := range faults() {
				longer = append(longer, append(before[:len(before):len(before)], f))
			}
		}
		all, last = append(all, longer...), longer
	}
	return all
}

// longestRecoveries plays all sequences, in batches that share a clock, with moments of return that are drawn and ones that come
// just too late for a call. It returns the longest recovery time for each kind of last fault.
func longestRecoveries(t *testing.T, senders, faults int) map[string]time.Duration {
	const batch = 1
	random := rand.New(rand.NewPCG(3, uint64(senders)))
	longest, all := map[string]time.Duration{}, sequences(faults)
	for len(all) > 0 {
		some := all[:min(batch, len(all))]
		all = all[len(some):]
		synctest.Test(t, func(t *testing.T) {
			var mu sync.Mutex
			var each sync.WaitGroup
			for i, s := range some {
				o, seed := &outage{faults: s, more: random.IntN(3), within: time.Millisecond}, random.Uint64()
				jitter := func(most time.Duration) time.Duration { return most }
				if i%2 > 0 {
					draw := rand.New(rand.NewPCG(seed, 1))
					jitter = func(most time.Duration) time.Duration { return time.Duration(draw.Int64N(int64(most))) }
					o.within += time.Duration(random.Int64N(int64(8 * time.Second)))
				}
				each.Go(func() {
					took, last := o.recoveryTime(senders, jitter), s[len(s)-1].name
					mu.Lock()
					longest[last] = max(longest[last], took)
					mu.Unlock()
				})
			}
			each.Wait()
			time.Sleep(time.Hour) // for the stand-ins
		})
	}
	return longest
}

// singleThreaded has the goroutines of a test run one at a time: with Go 1.26 the race detector ends a process in which
// several threads fire many timers of one synctest clock (a crash in its own code, on any text).
func singleThreaded(t *testing.T) {
	before := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(before) })
}

// Whatever calls have met, up to four faults in a row, the list is received within six seconds of the moment at which
// discovery can be reached; except after an error status to a large fleet, whose calls are spread as far as that fleet
// needs. -short plays two faults in a row.
func TestOutage(t *testing.T) {
	for senders, faults := range map[int]int{1: 3, 24: 3, 80: 3, 300: 4} {
		if testing.Short() {
			faults = 2
		}
		w := defaultTiming(senders)
		for last, took := range longestRecoveries(t, senders, faults) {
			bound := 6 * time.Second
			if last == "503" && senders > 24 {
				bound = w.maxWait(9) + time.Second
			}
			t.Logf("%3d senders, %-20s %v", senders, last, took)
			if took > bound {
				t.Errorf("%d senders: heard %v after discovery could be reached again, last %s", senders, took, last)
			}
		}
	}
}

// A dial that fails for want of descriptors counts as a failed call: it is repeated inside the bound.
func TestNoDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL} {
			o := &outage{faults: []fault{{fails: refusing(errno)}}, more: 20, within: time.Millisecond}
			took := o.recoveryTime(300, func(most time.Duration) time.Duration { return most })
			if o.calls != 22 || took > 6*time.Second {
				t.Errorf("%v: %d calls, heard after %v", errno, o.calls, took)
			}
		}
		time.Sleep(time.Hour)
	})
}

// A call that was slow up to its first list is a watch like any other from then on: half a message ends it, and what is
// missed is received within six seconds of the last sign of life.
func TestSlowThenHalf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := script{pieces: []piece{{0, answerHead}, {3 * time.Second, chunk(list(1))}, {2 * time.Second, chunk(list(2)[:30])}}}
		d := &standIn{scripts: []script{overbooked, slow, healthy(9)}}
		all, _ := watched(1, time.Minute, d)
		if last := all[len(all)-1]; last.version != 9 || all[0].version != 1 || last.at-all[0].at > 6*time.Second {
			t.Errorf("heard %v, calls at %v", all, d.calls)
		}
	})
}
