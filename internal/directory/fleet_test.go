package directory

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// fleet simulates one discovery that many senders call.
type fleet struct {
	mu            sync.Mutex
	start         time.Time
	callsInSecond map[int]int                            // number of calls, by second since start
	script        func(at time.Duration) (script, error) // the script of the next call, or the error of its dial
}

// dial counts the call and connects it to a fakeDiscovery that plays its script.
func (f *fleet) dial(ctx context.Context, _ string) (net.Conn, error) {
	f.mu.Lock()
	at := time.Since(f.start)
	f.callsInSecond[int(at/time.Second)]++
	s, err := f.script(at)
	f.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return (&fakeDiscovery{scripts: []script{s}}).dial(ctx, "")
}

// run starts the given number of senders at the same time and stops them after span. It returns how many received a
// list, when the last of these did, the number of calls, and the number of calls in the busiest second. The busiest
// second does not include the first two seconds.
func (f *fleet) run(t *testing.T, senders int, span time.Duration) (watches int, last time.Duration, calls, most int) {
	singleThreaded(t)
	synctest.Test(t, func(t *testing.T) {
		f.start, f.callsInSecond = time.Now(), map[int]int{}
		stop := make(chan struct{})
		var mu sync.Mutex
		var all sync.WaitGroup
		for i := range senders {
			random, heard := rand.New(rand.NewPCG(7, uint64(i))), false
			w := &watcher{addr: "discovery:1", timing: defaultTiming(senders), dial: f.dial,
				jitter: func(most time.Duration) time.Duration { return time.Duration(random.Int64N(int64(most))) },
				callbacks: onListOnly(func(List) {
					mu.Lock()
					defer mu.Unlock()
					if !heard {
						heard, last = true, time.Since(f.start)
						watches++
					}
				})}
			all.Go(func() { w.run(stop) })
		}
		time.Sleep(span)
		close(stop)
		all.Wait()
		time.Sleep(time.Hour) // lets the goroutines of fakeDiscovery end
	})
	for second, n := range f.callsInSecond {
		calls += n
		if second >= 2 {
			most = max(most, n)
		}
	}
	return watches, last, calls, most
}

// healthyAtOnce returns a healthy script of version 9 that connects without delay.
func healthyAtOnce() script {
	s := healthy(9)
	s.connectDelay = 0
	return s
}

// TestFleetOutage checks that the calls of 300 senders are bounded while discovery is unreachable for eight seconds, and
// that all senders have a watch six seconds after its return.
func TestFleetOutage(t *testing.T) {
	for name, gone := range map[string]fault{"silent": {script: neverConnects}, "refuses": {dialError: dialFailure(syscall.ECONNREFUSED)}} {
		f := &fleet{script: func(at time.Duration) (script, error) {
			if at < 8*time.Second {
				return gone.script, gone.dialError
			}
			return healthyAtOnce(), nil
		}}
		watches, last, calls, most := f.run(t, 300, 20*time.Second)
		t.Logf("%s: %d watches by %v, %d calls, %d in a second at most", name, watches, last, calls, most)
		if watches != 300 || last > 14*time.Second || calls > 1700 || most > 250 {
			t.Errorf("%s: %d watches by %v, %d calls, %d in a second at most", name, watches, last, calls, most)
		}
	}
}

// TestFleetOverbooked runs senders against a discovery that answers an error, immediately or after two seconds, while it
// gets more than ten calls per second. Up to 80 senders all get a watch within a minute. For 300 senders the test checks
// only the number of calls: with MaxBackoff they make twenty calls per second, from which such a discovery does not
// recover.
func TestFleetOverbooked(t *testing.T) {
	for _, c := range []struct {
		senders int
		after   time.Duration
		within  time.Duration
	}{{12, 0, 30 * time.Second}, {24, 0, 45 * time.Second}, {25, 0, 45 * time.Second}, {80, 0, time.Minute}, {80, 2 * time.Second, time.Minute}, {300, 0, 0}} {
		const perSecond = 10.0
		tokens, asked := 0.0, time.Duration(0)
		f := &fleet{script: func(at time.Duration) (script, error) {
			tokens = max(-perSecond, min(perSecond, tokens+perSecond*(at-asked).Seconds())-1)
			if asked = at; tokens >= 0 {
				return healthyAtOnce(), nil
			}
			s := overloaded
			s.pieces = []piece{{c.after, overloaded.pieces[0].text}}
			return s, nil
		}}
		watches, last, calls, most := f.run(t, c.senders, 3*time.Minute)
		t.Logf("%d senders, after %v: %d watches by %v, %d calls, %d in a second at most", c.senders, c.after, watches, last, calls, most)
		if c.within == 0 {
			if calls > 5000 || most > 60 {
				t.Errorf("%d senders: %d calls, %d in a second at most", c.senders, calls, most)
			}
			continue
		}
		if watches != c.senders || last > c.within {
			t.Errorf("%d senders, after %v: %d watches by %v, %d calls", c.senders, c.after, watches, last, calls)
		}
	}
}
