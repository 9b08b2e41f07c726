package load

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"flaxcove/choice"
)

func drawArrivals(s Spec, seed uint64, until choice.Time, bends ...Change) (all []Arrival) {
	p := New(s, seed, until, []float64{3, 1}, ZipfWeights(10, s.Zipf), ZipfWeights(4, s.SenderSkew), bends)
	for a, ok := p.Next(); ok; a, ok = p.Next() {
		all = append(all, a)
	}
	return all
}

// Whatever the shape, the mean rate is what was asked for, times do not go back, and one seed gives one plan.
func TestArrivalsKeepTheirRateAndOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := Spec{Rate: rapid.Float64Range(50, 400).Draw(r, "rate"), Shape: rapid.SampledFrom([]string{"poisson", "steady", "bursts"}).Draw(r, "shape"),
			Swing: rapid.Float64Range(0, 0.8).Draw(r, "swing"), SwingS: 5, ClumpShare: rapid.Float64Range(0, 0.5).Draw(r, "clumps"), Zipf: 1}
		s.Defaults()
		seed := rapid.Uint64().Draw(r, "seed")
		const length = 60
		all := drawArrivals(s, seed, length*choice.Second)
		// A clump moves ten together, so the spread is that much wider; five spreads are allowed.
		expect := s.Rate * length
		spread := math.Sqrt(expect*(1+9*s.ClumpShare)) + 0.01*expect
		if got := float64(len(all)); math.Abs(got-expect) > 5*spread {
			r.Fatalf("%g arrivals where %g were due", got, expect)
		}
		for i, a := range all {
			if i > 0 && a.At < all[i-1].At || a.Number != int64(i+1) {
				r.Fatalf("arrival %d: %+v after %+v", i, a, all[i-1])
			}
		}
		again := drawArrivals(s, seed, length*choice.Second)
		if len(again) != len(all) || again[len(all)-1] != all[len(all)-1] {
			r.Fatal("one seed, two plans")
		}
	})
}

func TestBendsSurgeAndFix(t *testing.T) {
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
	all := drawArrivals(s, 1, 30*choice.Second, Change{From: 10 * choice.Second, To: 20 * choice.Second, Factor: 3, Sender: 2, Partner: -1},
		Change{From: 20 * choice.Second, To: 30 * choice.Second, Factor: 1, Sender: -1, Partner: 7, Share: 0.5})
	mine := func(a Arrival) bool { return a.Sender == 2 }
	if before, in := count(all, 0, 10*choice.Second, mine), count(all, 10*choice.Second, 20*choice.Second, mine); in < 2*before || in > 4*before {
		t.Errorf("a surge to three times: %d after %d", in, before)
	}
	if fixed := count(all, 20*choice.Second, 30*choice.Second, func(a Arrival) bool { return a.Partner == 7 }); fixed < 900 || fixed > 1300 {
		t.Errorf("%d of about 2000 fixed on one partner", fixed)
	}
}

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
	// 0 t.jsonl:2: field workload: no workload "letter"
	// 0 t.jsonl:1: field partner: 3 of 3
	// 0 t.jsonl:1: field at_ms: missing, or not within 0 and 1e9
	// 0 t.jsonl:1: unexpected end of JSON input
}

func ExampleSearch() {
	try := func(holds float64) {
		s := NewSearch(100, 10000, 20)
		for rate, more := s.Next(); more; rate, more = s.Next() {
			s.Record(rate, rate <= holds)
			fmt.Printf("%.0f ", rate)
		}
		good, bad := s.Best()
		fmt.Printf("-> %.0f holds, %.0f does not\n", good, bad)
	}
	try(1000)
	try(60)
	try(1e9)
	try(0)
	// Output:
	// 100 200 400 800 1600 1131 951 1037 993 -> 993 holds, 1037 does not
	// 100 50 71 59 65 62 -> 59 holds, 62 does not
	// 100 200 400 800 1600 3200 6400 10000 -> 10000 holds, 0 does not
	// 100 50 25 12 6 3 2 1 -> 0 holds, 1 does not
}
