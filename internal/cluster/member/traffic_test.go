package member

import (
	"flag"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"flaxcove/internal/cluster/view"
)

var trafficProcesses = flag.Int("traffic", 0, "number of processes whose gossip is measured, for three minutes")

// TestTraffic logs how much gossip each of N processes sends while nothing changes, and how soon all others see one
// that dies as suspected and as dead. It runs with -traffic N only, as it takes over three minutes.
func TestTraffic(t *testing.T) {
	if *trafficProcesses == 0 {
		t.Skip("only with -traffic N")
	}
	p := &addressBook{addrs: map[view.Name]string{}}
	var all []*Members
	for i := range *trafficProcesses {
		all = append(all, p.start(t, view.Name(fmt.Sprintf("sender-%03d", i)), 1, func(o *Options) {
			o.Timing = Timing{}
			o.Seeds = []view.Name{"sender-000", "sender-001", "sender-002"}
			o.Self.HTTPAddr, o.Self.ConsensusAddr, o.Self.FolderID = "127.0.0.1:18080", "127.0.0.1:18090", "0123456789abcdef"
			o.Self.Zone, o.Self.Region = view.Zone(fmt.Sprintf("zone-%d", i%4)), "region-1"
		}))
	}
	allSeeAll := func() bool {
		for _, m := range all {
			if len(m.View().Members) != len(all) {
				return false
			}
		}
		return true
	}
	began := time.Now()
	eventually(t, "all see all", allSeeAll)
	t.Logf("all see all after %v", time.Since(began).Round(10*time.Millisecond))
	time.Sleep(2 * defaultPushPullInterval) // the first exchange comes after one to two intervals
	sum := func() (b, n int64, cpu time.Duration) {
		for _, m := range all {
			mb, mn := m.Sent()
			b, n = b+mb, n+mn
		}
		var u syscall.Rusage
		_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
		return b, n, time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	b0, n0, c0 := sum()
	const span = 60 * time.Second
	time.Sleep(span)
	b1, n1, c1 := sum()
	per := span.Seconds() * float64(len(all))
	t.Logf("%d processes, each: %.0f B/s, %.1f packets/s (%.0f B/s with UDP and IP headers), %.2f%% of a core, "+
		"%d goroutines", len(all), float64(b1-b0)/per, float64(n1-n0)/per, float64(b1-b0+28*(n1-n0))/per,
		100*(c1-c0).Seconds()/per,
		runtime.NumGoroutine()/len(all))

	gone := all[len(all)-1]
	name := gone.Self().Name
	_ = gone.Close()
	began = time.Now()
	for _, state := range []view.State{view.Suspected, view.Dead} {
		eventually(t, fmt.Sprintf("all others see the closed process in state %d", state), func() bool {
			for _, m := range all[:len(all)-1] {
				if s, _ := m.View().Find(name); s.State < state {
					return false
				}
			}
			return true
		})
		t.Logf("all others see state %d after %v", state, time.Since(began).Round(10*time.Millisecond))
	}
}
