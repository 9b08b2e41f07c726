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

// fleet is one discovery that many senders call at once.
type fleet struct {
	mu            sync.Mutex
	start         time.Time
	callsInSecond map[int]int
	answers       func(at time.Duration) (script, error)
}

func (f *fleet) dial(ctx context.Context, _ string) (net.Conn, error) {
	f.mu.Lock()
	at := time.Since(f.start)
	f.callsInSecond[int(at/time.Second)]++
	s, err := f.answers(at)
	f.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return (&standIn{scripts: []script{s}}).dial(ctx, "")
}

// run starts senders that all call at once. It returns how many have received the list by the end of the span, when the
// last one did, how many calls there were, and how many in the busiest second, the first two left out.
func (f *fleet) run(t *testing.T, senders int, span time.Duration) (watches int, last time.Duration, calls, most int) {
	singleThreaded(t)
	synctest.Test(t, func(t *testing.T) {
		f.start, f.callsInSecond = time.Now(), map[int]int{}
		stop := make(chan struct{})
		var mu sync.Mutex
		var all sync.WaitGroup
		for i := range senders {
			random, heard := rand.New(rand.NewPCG(7, uint64(i))), false
			w := &watcher{addr: "discovery:1", timing: defaultTiming(senders), dial: f.dial, onFailure: func(error) {},
				jitter: func(most time.Duration) time.Duration { return time.Duration(random.Int64N(int64(most))) },
				onList: func(List) {
					mu.Lock()
					defer mu.Unlock()
					if !heard {
						heard, last = true, time.Since(f.start)
						watches++
					}
				}}
			all.Go(func() { w.run(stop) })
		}
		time.Sleep(span)
		close(stop)
		all.Wait()
		time.Sleep(time.Hour) // for the stand-ins
	})
	for second, n := range f.callsInSecond {
		calls += n
		if second >= 2 {
			most = max(most, n)
		}
	}
	return watches, last, calls, most
}

// healthyAtOnce is a watch that is answered at once.
func healthyAtOnce() script {
	s := healthy(9)
	s.up = 0
	return s
}

// The calls of three hundred senders to a discovery that is away for eight seconds are bounded, and all have a watch six
// seconds after its return.
func TestFleetOutage(t *testing.T) {
	for name, gone := range map[string]fault{"silent": {plays: dead}, "refuses": {fails: refusing(syscall.ECONNREFUSED)}} {
		f := &fleet{answers: func(at time.Duration) (script, error) {
			if at < 8*time.Second {
				return gone.plays, gone.fails
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

// A discovery that answers an error to all while they call more than ten times a second, at once or after two seconds,
// gives each of eighty senders a watch within a minute. Of three hundred only the calls are bounded: with MaxBackoff they
// call twenty times a second, from which such a discovery does not recover.
func TestFleetOverbooked(t *testing.T) {
	for _, c := range []struct {
		senders int
		after   time.Duration
		within  time.Duration
	}{{12, 0, 30 * time.Second}, {24, 0, 45 * time.Second}, {25, 0, 45 * time.Second}, {80, 0, time.Minute}, {80, 2 * time.Second, time.Minute}, {300, 0, 0}} {
		const perSecond = 10.0
		tokens, asked := 0.0, time.Duration(0)
		f := &fleet{answers: func(at time.Duration) (script, error) {
			tokens = max(-perSecond, min(perSecond, tokens+perSecond*(at-asked).Seconds())-1)
			if asked = at; tokens >= 0 {
				return healthyAtOnce(), nil
			}
			s := overbooked
			s.pieces = []piece{{c.after, overbooked.pieces[0].text}}
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
