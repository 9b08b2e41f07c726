package load

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"flaxcove/choice"
)

// drawArrivals returns all arrivals of a plan with two classes, ten destinations and four senders.
func drawArrivals(s Spec, seed uint64, until choice.Time, changes ...LoadChange) (all []Arrival) {
	p := NewPlan(s, seed, until, []float64{3, 1}, ZipfWeights(10, s.Zipf), ZipfWeights(4, s.SenderSkew), changes)
	for a, ok := p.Next(); ok; a, ok = p.Next() {
		all = append(all, a)
	}
	return all
}

// TestArrivalsKeepTheirRateAndOrder checks, for loads of all shapes, that the mean rate is that of the spec, that arrivals are
// in order of time, and that a seed always gives the same arrivals.
func TestArrivalsKeepTheirRateAndOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := Spec{Rate: rapid.Float64Range(50, 400).Draw(r, "rate"), Shape: rapid.SampledFrom([]string{"poisson", "steady", "bursts"}).Draw(r, "shape"),
			Swing: rapid.Float64Range(0, 0.8).Draw(r, "swing"), SwingS: 5, ClumpShare: rapid.Float64Range(0, 0.5).Draw(r, "clumps"), Zipf: 1}
		s.Defaults()
		seed := rapid.Uint64().Draw(r, "seed")
		const length = 60
		all := drawArrivals(s, seed, length*choice.Second)
		// Messages in clumps arrive ten at a time, which raises the variance of their number to ten times that of single messages.
		// The number may be off by five standard deviations.
		expected := s.Rate * length
		deviation := math.Sqrt(expected*(1+9*s.ClumpShare)) + 0.01*expected
		if got := float64(len(all)); math.Abs(got-expected) > 5*deviation {
			r.Fatalf("%g arrivals, expected about %g", got, expected)
		}
		for i, a := range all {
			if i > 0 && a.At < all[i-1].At || a.Number != int64(i+1) {
				r.Fatalf("arrival %d: %+v after %+v", i, a, all[i-1])
			}
		}
		again := drawArrivals(s, seed, length*choice.Second)
		if len(again) != len(all) || again[len(all)-1] != all[len(all)-1] {
			r.Fatal("the same seed gave different arrivals")
		}
	})
}

// TestChangesOfRateAndDestination checks that a change of one sender's rate by a factor of 3 raises that sender's arrivals
// accordingly, and that a change of destination sends the given share of the messages there.
func TestChangesOfRateAndDestination(t *testing.T) {
	s := Spec{Rate: 200}
	s.Defaults()
	count := func(all []Arrival, from, to choice.Time, ok func(Arrival) bool) (n int) {
		for _, a := range all {
			if a.At >= from && a.At < to && ok(a) {
				n++
			}
		}
		return n
	}
	all := drawArrivals(s, 1, 30*choice.Second, LoadChange{From: 10 * choice.Second, To: 20 * choice.Second, Factor: 3, Sender: 2, Destination: -1},
		LoadChange{From: 20 * choice.Second, To: 30 * choice.Second, Factor: 1, Sender: -1, Destination: 7, Share: 0.5})
	ofSender2 := func(a Arrival) bool { return a.Sender == 2 }
	if before, during := count(all, 0, 10*choice.Second, ofSender2), count(all, 10*choice.Second, 20*choice.Second, ofSender2); during < 2*before || during > 4*before {
		t.Errorf("%d arrivals with a factor of 3, %d before", during, before)
	}
	if n := count(all, 20*choice.Second, 30*choice.Second, func(a Arrival) bool { return a.Destination == 7 }); n < 900 || n > 1300 {
		t.Errorf("%d of about 2000 arrivals go to the destination that gets half of them and its usual share of the others", n)
	}
}

// A trace with two valid lines, and traces with an invalid line, each reported with its number.
func ExampleReadTrace() {
	read := func(text string) {
		all, err := ReadTrace(strings.NewReader(text), "t.jsonl", []string{"status", "order"}, 3, 2)
		fmt.Println(len(all), err)
	}
	read(`{"at_ms":12.5,"workload":"order","partner":2,"sender":1,"bytes":90}` + "\n\n" + `{"at_ms":3,"workload":"status","partner":0}`)
	read(`{"at_ms":1,"workload":"order","partner":2}` + "\n" + `{"at_ms":1,"workload":"letter","partner":2}`)
	read(`{"at_ms":1,"workload":"order","partner":3}`)
	read(`{"workload":"order","partner":1}`)
	read(`{"at_ms"`)
	// Output:
	// 2 <nil>
	// 0 t.jsonl:2: field workload: there is no class "letter"
	// 0 t.jsonl:1: field partner: there is no destination 3: the scenario has 3, counted from 0
	// 0 t.jsonl:1: field at_ms: missing, or not within 0 and 1e9
	// 0 t.jsonl:1: unexpected end of JSON input
}

// The rates that are tried if the highest sustainable rate is 1000, 60, above the maximum of the search, or 0.
func ExampleSearch() {
	search := func(highest float64) {
		s := NewSearch(100, 10000, 20)
		for rate, more := s.Next(); more; rate, more = s.Next() {
			s.Record(rate, rate <= highest)
			fmt.Printf("%.0f ", rate)
		}
		sustained, notSustained := s.Best()
		fmt.Printf("-> sustained %.0f, not sustained %.0f\n", sustained, notSustained)
	}
	search(1000)
	search(60)
	search(1e9)
	search(0)
	// Output:
	// 100 200 400 800 1600 1131 951 1037 993 -> sustained 993, not sustained 1037
	// 100 50 71 59 65 62 -> sustained 59, not sustained 62
	// 100 200 400 800 1600 3200 6400 10000 -> sustained 10000, not sustained 0
	// 100 50 25 12 6 3 2 1 -> sustained 0, not sustained 1
}
