package count

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flaxcove/choice"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

func handedIn(d int, client string, n uint64) []clusterapi.Count {
	return []clusterapi.Count{{Destination: choice.DestinationID(d), Client: client, Messages: n}}
}

// Against exact counts: never more than was handed in, and less by no more than the total over the number of rows.
// Clients are many, so that none is held to its bound.
func TestEstimatesWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows := rapid.IntRange(1, 6).Draw(t, "rows")
		table := NewTable(Bounds{Destinations: rows, ClientShare: 1e9})
		now, exact, all := view.Uptime(0), map[int]float64{}, 0.0
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			step := time.Duration(rapid.IntRange(0, 90).Draw(t, "wait")) * HalfLife / 2
			now += step
			d, n := rapid.IntRange(1, 12).Draw(t, "d"), rapid.Uint64Range(1, 50).Draw(t, "n")
			for k := range exact {
				exact[k] *= Decay(step, HalfLife)
			}
			all = all*Decay(step, HalfLife) + float64(n)
			exact[d] += float64(n)
			table.Add(now, handedIn(d, fmt.Sprint(i), n))
			if len(table.rows) > rows || len(table.byCount) > rows {
				t.Fatal("more rows than the bound")
			}
			if math.Abs(table.Total(now)-all) > 1e-6*all {
				t.Fatal("all", table.Total(now), all)
			}
			for k, want := range exact {
				r := table.rows[choice.DestinationID(k)]
				if r == nil {
					if want > all/float64(rows)*(1+1e-9) {
						t.Fatal("a count above the lowest has no row", k, want)
					}
					continue
				}
				scale := Decay(now-table.baseTime, HalfLife)
				if low, high := (r.count-r.overestimate)*scale, r.count*scale; low > want*(1+1e-6) || high < want*(1-1e-6) ||
					r.overestimate*scale > all/float64(rows)*(1+1e-6) || len(r.clients) > maxClients {
					t.Fatal(k, low, want, high)
				}
			}
		}
	})
}

// A client that sends ten thousand messages to make a destination popular gains a quarter of what others add, and the
// floor by its logarithm.
func TestOneClientMakesNothingPopular(t *testing.T) {
	table := NewTable(Bounds{})
	for d := range 400 {
		for p := range 4 {
			table.Add(0, handedIn(d, fmt.Sprint("honest", p), 25))
		}
	}
	if n := table.Estimate(0, 7); n != 100 {
		t.Fatal("honest clients are bounded", n)
	}
	table.Add(0, handedIn(7, "pusher", 10_000))
	table.Add(0, handedIn(1000, "pusher", 10_000))
	floor := table.Total(0) * defaultClientAllowance
	floor *= 1 + math.Log(10_000/floor) // 150 by 5.2
	if n := table.Estimate(0, 7); n > 100+0.25*100+floor+1e-6 {
		t.Error("a destination pushed by one client", n)
	}
	if n := table.Estimate(0, 1000); n > floor+1e-6 {
		t.Error("a destination that only one client sends to", n)
	}
	// Many client names in turn are more than have counts of their own: each counts for what it sent.
	for i := range 100 {
		table.Add(0, handedIn(7, fmt.Sprint("name", i), 1))
	}
	if n := len(table.rows[7].clients); n > maxClients {
		t.Error(n)
	}
}

func TestTopIsOrderedAndDecays(t *testing.T) {
	table := NewTable(Bounds{})
	for d := 1; d <= 50; d++ {
		table.Add(0, handedIn(d, "a", uint64(d)))
		table.Add(0, handedIn(d, "b", uint64(d)))
	}
	top := table.Top(0, 3)
	if len(top) != 3 || top[0].Destination != 50 || top[2].Destination != 48 {
		t.Fatal(top)
	}
	was := table.Estimate(0, 10)
	if now := table.Estimate(HalfLife, 10); math.Abs(now-was/2) > 1e-9 {
		t.Error("one half-life later", now, was)
	}
	table.Add(1000*HalfLife, handedIn(1, "a", 1))
	if top := table.Top(1000*HalfLife, 10); len(top) != 1 || top[0].Destination != 1 {
		t.Error("a day later", top)
	}
}
