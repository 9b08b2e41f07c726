package routes

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flaxcove/choice"
)

// orders returns one rule: messages of class order for destination 1 go to the east, and also to the west while under
// 60% of the endpoints in the east are ready.
func orders() []Rule {
	return []Rule{{Name: "orders", Match: Match{Destination: destinationPointer(1), Class: "order"},
		Sets: []Set{{Targets: []Target{{Zone: "east", Weight: 3}}}, {Under: 0.6, Targets: []Target{{Zone: "west", Weight: 1}}}}}}
}

// Each failure is printed with its smallest case: the lost endpoints, the overrides and the rule.
func ExampleCheckExpectations() {
	o := &Overrides{}
	for _, v := range []Override{{ID: "pin-d", Kind: Sticky, Destination: 1, Class: "status", Endpoints: []choice.EndpointID{"d"}},
		{ID: "a-heavy", Kind: FixedWeight, Destination: 1, Endpoints: []choice.EndpointID{"a"}, Weight: 9}} {
		v.Lifetime = time.Hour
		o.Add(v, time.Time{}, 0)
	}
	order := Expectation{Destination: destinationPointer(1), Class: "order"}
	with := func(change func(*Expectation)) Expectation { x := order; change(&x); return x }
	failures := CheckExpectations(Compile(orders()), o, list("abcd"), []Expectation{
		with(func(x *Expectation) { x.Name, x.Only = "only the east", []choice.EndpointID{"a", "b"} }),
		with(func(x *Expectation) {
			x.Name, x.Only, x.Losses = "only the east, whatever is lost", []choice.EndpointID{"a", "b"}, 1
		}),
		with(func(x *Expectation) { x.Name, x.AtLeast, x.Losses = "two remain after two losses", 2, 2 }),
		with(func(x *Expectation) {
			x.Name, x.Shares, x.Within = "even shares", map[choice.EndpointID]float64{"a": 0.5, "b": 0.5}, 0.05
		}),
		{Name: "status never to d", Destination: destinationPointer(1), Class: "status", Never: []choice.EndpointID{"d"}},
		{Name: "everybody has one", AtLeast: 1},
		{Name: "somebody at 7", Destination: destinationPointer(7), AtLeast: 1},
	})
	for i := range failures {
		fmt.Println(&failures[i])
	}
	// Output:
	// only the east, whatever is lost: at destination 1, it reaches c, which is not listed in only; once drained: a; decided by route "orders"
	// even shares: at destination 1, the share of a is 0.75, not 0.50; with override a-heavy; decided by route "orders"
	// status never to d: at destination 1, it reaches d, which is listed in never; no route matches it
	// somebody at 7: at destination 7, 0 endpoints remain of 1 expected; no route matches it
}

func ExampleCheckExpectation() {
	for _, p := range CheckExpectation("expect[0].", &Expectation{Name: "all at once", Only: []choice.EndpointID{"a"}, Never: []choice.EndpointID{"a"},
		Losses: 3, Shares: map[choice.EndpointID]float64{"a": 0.7, "b": 0.7}}) {
		fmt.Println(p)
	}
	fmt.Println(CheckExpectation("expect[1].", &Expectation{Name: "nothing"}))
	// Output:
	// expect[0].losses: 3 is not between 0 and 2
	// expect[0].within: 0 is not above 0 and below 1
	// expect[0].shares: the shares add up to 1.4, which is above 1
	// expect[0].never: a is also listed in only
	// [expect[1].name: "nothing" expects nothing: set only, never, at_least or shares]
}

// TestVerdictsAreTrue checks the results of CheckExpectations against a search of all cases. An expectation without a
// failure holds after every allowed loss. A reported failure occurs in its case, and no case with fewer losses fails.
func TestVerdictsAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := drawRules(t)
		for i := range rules {
			rules[i].Sets = []Set{{Targets: []Target{{Zone: rapid.SampledFrom([]string{"east", "west", ""}).Draw(t, "zone"), Weight: 1}}},
				{Under: 0.5, Targets: []Target{{Weight: 1}}}}
		}
		table, o, ends := Compile(rules), &Overrides{}, list("abcd")
		if rapid.Bool().Draw(t, "an override") {
			o.Add(Override{ID: "o", Kind: OutOfService, Destination: 1, Endpoints: []choice.EndpointID{"a"}, Lifetime: time.Hour}, time.Time{}, 0)
		}
		x := Expectation{Name: "x", Destination: destinationPointer(1), Class: rapid.SampledFrom([]string{"order", "status"}).Draw(t, "w"),
			Losses: rapid.IntRange(0, 2).Draw(t, "losses"), AtLeast: rapid.IntRange(0, 3).Draw(t, "at least"),
			Never: []choice.EndpointID{choice.EndpointID(rapid.SampledFrom([]string{"a", "c"}).Draw(t, "never"))}}
		fails := func(lost ...choice.EndpointID) bool {
			drained := list("abcd")
			for i := range drained {
				for _, id := range lost {
					drained[i].Ready = drained[i].Ready && drained[i].ID != id
				}
			}
			r := Resolve(table, o, &Message{Destination: 1, Class: x.Class}, drained)
			return x.unmet(&r) != ""
		}
		failures := CheckExpectations(table, o, ends, []Expectation{x})
		least := -1
		for i := range ends {
			for j := range ends {
				for n, lost := range [][]choice.EndpointID{nil, {ends[i].ID}, {ends[i].ID, ends[j].ID}} {
					if n <= x.Losses && (n < 2 || i != j) && fails(lost...) && (least < 0 || n < least) {
						least = n
					}
				}
			}
		}
		switch {
		case len(failures) == 0 && least >= 0:
			t.Fatalf("no failure reported, but the expectation fails with %d lost", least)
		case len(failures) > 0 && (least != len(failures[0].Lost) || !fails(failures[0].Lost...)):
			t.Fatalf("failure reported with %v lost, but the smallest case has %d lost", failures[0].Lost, least)
		}
	})
}

// TestOneOfThousands checks that a failure caused by the loss of one endpoint among thousands is found.
func TestOneOfThousands(t *testing.T) {
	var ends []Endpoint
	for d := range 1000 {
		for i := range 2 {
			ends = append(ends, Endpoint{ID: choice.EndpointID(fmt.Sprintf("%d-%d", d, i)), Destination: choice.DestinationID(d), Zone: []string{"east", "west"}[i], Ready: true})
		}
	}
	rules := []Rule{{Name: "one is narrow", Match: Match{Destination: destinationPointer(777)}, Sets: []Set{{Targets: []Target{{Zone: "west", Weight: 1}}}}}}
	f := CheckExpectations(Compile(rules), &Overrides{}, ends, []Expectation{{Name: "any one may go", AtLeast: 1, Losses: 1}})
	if len(f) != 1 || f[0].Destination != 777 || len(f[0].Lost) != 1 || f[0].Lost[0] != "777-1" {
		t.Fatalf("%+v", f)
	}
}

// BenchmarkLosses measures CheckExpectations by the size of the list and the number of losses.
func BenchmarkLosses(b *testing.B) {
	for _, size := range []int{500, 1000, 2000} {
		var ends []Endpoint
		for i := range size {
			ends = append(ends, Endpoint{ID: choice.EndpointID(fmt.Sprint(i)), Destination: choice.DestinationID(i / 4), Ready: true})
		}
		for losses := range 3 {
			b.Run(fmt.Sprintf("%d endpoints, %d lost", size, losses), func(b *testing.B) {
				for range b.N {
					CheckExpectations(Compile(nil), &Overrides{}, ends, []Expectation{{Name: "one", AtLeast: 1, Losses: losses}})
				}
			})
		}
	}
}
