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

// submitted returns the count of n messages of one client for a destination.
func submitted(d int, client string, n uint64) []clusterapi.ClientCount {
	return []clusterapi.ClientCount{{Destination: choice.DestinationID(d), Client: client, Messages: n}}
}

// TestEstimatesWithinBounds compares a table with exact counts. The lower bound of a row never exceeds the exact count, and its
// overestimate never exceeds the total divided by the number of rows. Each message comes from a different client, so that no client is
// limited by its bound.
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
			table.Add(now, submitted(d, fmt.Sprint(i), n))
			if len(table.rows) > rows || len(table.byCount) > rows {
				t.Fatal("the table has more rows than its bound")
			}
			if math.Abs(table.Total(now)-all) > 1e-6*all {
				t.Fatalf("total %v, want %v", table.Total(now), all)
			}
			for k, want := range exact {
				r := table.rows[choice.DestinationID(k)]
				if r == nil {
					if want > all/float64(rows)*(1+1e-9) {
						t.Fatalf("destination %d has no row, although its count of %v exceeds the total over the number of rows", k, want)
					}
					continue
				}
				scale := Decay(now-table.baseTime, HalfLife)
				if low, high := (r.count-r.overestimate)*scale, r.count*scale; low > want*(1+1e-6) || high < want*(1-1e-6) ||
					r.overestimate*scale > all/float64(rows)*(1+1e-6) || len(r.clients) > maxClients {
					t.Fatalf("destination %d: exact count %v, want it between %v and %v, with an overestimate of at most the total over the number of rows",
						k, want, low, high)
				}
			}
		}
	})
}

// TestOneClientMakesNothingPopular checks that a client that submits ten thousand messages for a destination adds at most a quarter
// of what other clients have added, plus what its allowance permits by the logarithm.
func TestOneClientMakesNothingPopular(t *testing.T) {
	table := NewTable(Bounds{})
	for d := range 400 {
		for p := range 4 {
			table.Add(0, submitted(d, fmt.Sprint("honest", p), 25))
		}
	}
	if n := table.Estimate(0, 7); n != 100 {
		t.Fatalf("estimate %v for honest clients, want all of their 100 messages", n)
	}
	table.Add(0, submitted(7, "pusher", 10_000))
	table.Add(0, submitted(1000, "pusher", 10_000))
	allowance := table.Total(0) * defaultClientAllowance
	allowance *= 1 + math.Log(10_000/allowance) // 150 by 5.2
	if n := table.Estimate(0, 7); n > 100+0.25*100+allowance+1e-6 {
		t.Errorf("estimate %v is too high for a destination that one client tries to make popular", n)
	}
	if n := table.Estimate(0, 1000); n > allowance+1e-6 {
		t.Errorf("estimate %v is too high for a destination with a single client", n)
	}
	// There are more client names than separate counts in a row. Each message counts.
	for i := range 100 {
		table.Add(0, submitted(7, fmt.Sprint("name", i), 1))
	}
	if n := len(table.rows[7].clients); n > maxClients {
		t.Errorf("the row has %d clients, want at most %d", n, maxClients)
	}
}

// TestTopIsOrderedAndDecays checks the order and limit of Top, and that counts are halved after each half-life.
func TestTopIsOrderedAndDecays(t *testing.T) {
	table := NewTable(Bounds{})
	for d := 1; d <= 50; d++ {
		table.Add(0, submitted(d, "a", uint64(d)))
		table.Add(0, submitted(d, "b", uint64(d)))
	}
	top := table.Top(0, 3)
	if len(top) != 3 || top[0].Destination != 50 || top[2].Destination != 48 {
		t.Fatalf("top rows %v, want destinations 50, 49 and 48", top)
	}
	was := table.Estimate(0, 10)
	if now := table.Estimate(HalfLife, 10); math.Abs(now-was/2) > 1e-9 {
		t.Errorf("after one half-life the estimate is %v, want half of %v", now, was)
	}
	table.Add(1000*HalfLife, submitted(1, "a", 1))
	if top := table.Top(1000*HalfLife, 10); len(top) != 1 || top[0].Destination != 1 {
		t.Errorf("after 1000 half-lives the top rows are %v, want only destination 1", top)
	}
}
