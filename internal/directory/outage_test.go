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

// These tests make discovery unreachable in every known way, with several faults in a row. They measure the time from
// when discovery can be reached again until its list is received. Calls that are open at that time keep their fault;
// later calls connect after a second.

// fault is how a call fails while discovery is unreachable.
type fault struct {
	name      string
	dialError error  // returned by the dial immediately; nil if the script is played
	script    script // played if dialError is nil
}

// dialFailure returns the error of a dial that failed with errno.
func dialFailure(errno syscall.Errno) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
}

// overloaded is a script that answers immediately with an error status.
var overloaded = script{pieces: []piece{{0, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"}}, closes: true}

// faults returns every known fault.
func faults() []fault {
	half := chunk(list(2)[:30])
	trickle := []piece{{0, answerHead}}
	for _, letter := range list(2)[:40] {
		trickle = append(trickle, piece{500 * time.Millisecond, chunk(string(letter))})
	}
	return []fault{
		{name: "refused", dialError: dialFailure(syscall.ECONNREFUSED)},
		{name: "503", script: overloaded},
		{name: "head only", script: script{pieces: []piece{{0, answerHead}}}},
		{name: "half a message", script: script{pieces: []piece{{0, answerHead}, {2400 * time.Millisecond, half}}}},
		{name: "trickle", script: script{pieces: trickle}},
		{name: "silence after a list", script: script{pieces: []piece{{0, answerHead + chunk(list(1))}}}},
		{name: "end in the middle", script: script{pieces: []piece{{0, answerHead}, {2400 * time.Millisecond, half}, {time.Second, chunk(" ")}}, closes: true}},
		{name: "late dial", script: script{connectDelay: 1500 * time.Millisecond, pieces: []piece{{0, answerHead + chunk(list(1))}}}},
		{name: "dial that hangs", script: neverConnects},
	}
}

// outage simulates an unreachable discovery. Each call meets the next of the faults, and further calls meet the last
// one, until discovery is reachable again.
type outage struct {
	mu          sync.Mutex
	faults      []fault
	calls       int
	extraCalls  int           // how many further calls meet the last fault before reachableAt is set
	returnDelay time.Duration // from the call that sets reachableAt until then
	reachableAt time.Time     // when discovery is reachable again; zero until it is set
}

// dial connects a call to its fault, or to a healthy script once discovery is reachable again.
func (o *outage) dial(ctx context.Context, _ string) (net.Conn, error) {
	o.mu.Lock()
	now, f := time.Now(), o.faults[min(o.calls, len(o.faults)-1)]
	back := !o.reachableAt.IsZero() && !now.Before(o.reachableAt)
	if o.reachableAt.IsZero() && o.calls == len(o.faults)-1+o.extraCalls {
		o.reachableAt = now.Add(o.returnDelay)
	}
	o.calls++
	o.mu.Unlock()
	switch {
	case back:
		f = fault{script: healthy(9)}
		f.script.connectDelay = time.Second
	case f.dialError != nil:
		return nil, f.dialError
	}
	return (&fakeDiscovery{scripts: []script{f.script}}).dial(ctx, "")
}

// recoveryTime runs a watch during the outage and returns the time from reachableAt until the list of the healthy script
// was received. It gives up after five minutes.
func (o *outage) recoveryTime(senders int, jitter func(time.Duration) time.Duration) time.Duration {
	heard, stop, done := make(chan time.Time, 1), make(chan struct{}), make(chan struct{})
	w := &watcher{addr: "discovery:1", timing: defaultTiming(senders), dial: o.dial, jitter: jitter,
		callbacks: onListOnly(func(l List) {
			if l.Version == 9 {
				heard <- time.Now()
			}
		})}
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
	return at.Sub(o.reachableAt)
}

// faultSequences returns all sequences of 1 to most faults.
func faultSequences(most int) (all [][]fault) {
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

// longestRecoveries plays all sequences of faults, in batches that share a synctest clock. Discovery returns a
// millisecond after a call starts, which is just too late for that call, and every wait has its maximum length. For
// every second sequence of a batch, the waits and the time of return are drawn instead; a batch of 1 has no second
// sequence. It returns the longest recovery time by the name of the last fault.
func longestRecoveries(t *testing.T, senders, faults int) map[string]time.Duration {
	const batch = 1
	random := rand.New(rand.NewPCG(3, uint64(senders)))
	longest, all := map[string]time.Duration{}, faultSequences(faults)
	for len(all) > 0 {
		some := all[:min(batch, len(all))]
		all = all[len(some):]
		synctest.Test(t, func(t *testing.T) {
			var mu sync.Mutex
			var each sync.WaitGroup
			for i, s := range some {
				o, seed := &outage{faults: s, extraCalls: random.IntN(3), returnDelay: time.Millisecond}, random.Uint64()
				jitter := func(most time.Duration) time.Duration { return most }
				if i%2 > 0 {
					draw := rand.New(rand.NewPCG(seed, 1))
					jitter = func(most time.Duration) time.Duration { return time.Duration(draw.Int64N(int64(most))) }
					o.returnDelay += time.Duration(random.Int64N(int64(8 * time.Second)))
				}
				each.Go(func() {
					took, last := o.recoveryTime(senders, jitter), s[len(s)-1].name
					mu.Lock()
					longest[last] = max(longest[last], took)
					mu.Unlock()
				})
			}
			each.Wait()
			time.Sleep(time.Hour) // lets the goroutines of fakeDiscovery end
		})
	}
	return longest
}

// singleThreaded makes the goroutines of a test run one at a time. With Go 1.26 the race detector crashes in its own
// code if several threads fire timers of one synctest clock. All tests of this package that use such a clock call it.
func singleThreaded(t *testing.T) {
	before := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(before) })
}

// TestOutage checks that the list is received within six seconds after discovery can be reached again, whatever faults
// the calls before met, up to four in a row. The exception is an error status to a large fleet, whose calls are spread
// further. With -short the test plays up to two faults in a row.
func TestOutage(t *testing.T) {
	singleThreaded(t)
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
				t.Errorf("%d senders: list received %v after discovery could be reached again, last fault %s", senders, took, last)
			}
		}
	}
}

// TestNoDescriptors checks that a dial that fails for lack of file descriptors, buffers or ports counts as a failed
// call, which is repeated in time.
func TestNoDescriptors(t *testing.T) {
	singleThreaded(t)
	synctest.Test(t, func(t *testing.T) {
		for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL} {
			o := &outage{faults: []fault{{dialError: dialFailure(errno)}}, extraCalls: 20, returnDelay: time.Millisecond}
			took := o.recoveryTime(300, func(most time.Duration) time.Duration { return most })
			if o.calls != 22 || took > 6*time.Second {
				t.Errorf("%v: %d calls, list received after %v", errno, o.calls, took)
			}
		}
		time.Sleep(time.Hour)
	})
}

// TestSlowThenHalf checks that a call with a slow first list is a normal watch from then on: an incomplete message ends
// it, and a missed change is received within six seconds of the last sign of life.
func TestSlowThenHalf(t *testing.T) {
	singleThreaded(t)
	synctest.Test(t, func(t *testing.T) {
		slow := script{pieces: []piece{{0, answerHead}, {3 * time.Second, chunk(list(1))}, {2 * time.Second, chunk(list(2)[:30])}}}
		d := &fakeDiscovery{scripts: []script{overloaded, slow, healthy(9)}}
		all, _ := runWatch(1, time.Minute, d)
		if last := all[len(all)-1]; last.version != 9 || all[0].version != 1 || last.at-all[0].at > 6*time.Second {
			t.Errorf("received %v, calls at %v", all, d.calls)
		}
	})
}
