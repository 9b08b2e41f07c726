package routes

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flaxcove/choice"
)

// destinationPointer returns a pointer to d.
func destinationPointer(d choice.DestinationID) *choice.DestinationID { return &d }

// list returns four endpoints of destination 1: a and b in the east, c and d in the west. Those whose ids are in ready
// are ready.
func list(ready string) (all []Endpoint) {
	for i, id := range []choice.EndpointID{"a", "b", "c", "d"} {
		all = append(all, Endpoint{ID: id, Destination: 1, Zone: []string{"east", "west"}[i/2], Kind: "small", Ready: strings.Contains(ready, string(id))})
	}
	return all
}

// show formats a route on one line.
func show(r Route) string {
	var parts []string
	for _, a := range r.Allowed {
		parts = append(parts, fmt.Sprintf("%s x%g", a.Endpoint, a.Weight))
	}
	if len(parts) == 0 {
		parts = []string{[]string{"held", "handed back"}[r.NoEndpoint]}
	}
	return fmt.Sprintf("rule %q, sets %d, pin %q: %s", r.Rule, r.Sets, r.StickyBy, strings.Join(parts, ", "))
}

// Orders go to the east, and to endpoint c in the west only while less than half of the endpoints in the east are ready.
// They never go to another endpoint.
func ExampleResolve() {
	rules := []Rule{{Name: "orders", Match: Match{Destination: destinationPointer(1), Class: "order"}, NoEndpoint: HandBack,
		Sets: []Set{{Targets: []Target{{Zone: "east", Weight: 2}}}, {Under: 0.5, Targets: []Target{{Endpoints: []choice.EndpointID{"c"}, Weight: 1}}}}}}
	t, o, m := Compile(rules), &Overrides{}, &Message{Destination: 1, Class: "order"}
	for _, ready := range []string{"abcd", "bcd", "cd", "d", ""} {
		fmt.Println(show(Resolve(t, o, m, list(ready))))
	}
	fmt.Println(show(Resolve(t, o, &Message{Destination: 1, Class: "status"}, list("abcd"))))
	// Output:
	// rule "orders", sets 1, pin "": a x2, b x2
	// rule "orders", sets 1, pin "": b x2
	// rule "orders", sets 2, pin "": c x1
	// rule "orders", sets 2, pin "": handed back
	// rule "orders", sets 2, pin "": handed back
	// rule "", sets 1, pin "": a x1, b x1, c x1, d x1
}

// Overrides have an order of precedence. An override that has no effect because of another one takes effect again when
// that other one expires.
func ExampleOverrides() {
	t, o, m := Compile(nil), &Overrides{}, &Message{Destination: 1, Class: "order"}
	day := time.Date(2026, 5, 9, 8, 0, 0, 0, time.UTC)
	set := func(id OverrideID, kind OverrideKind, class string, weight float64, minutes int, at ...choice.EndpointID) {
		o.Add(Override{ID: id, Kind: kind, Destination: 1, Class: class, Endpoints: at, Weight: weight, SetBy: "an operator",
			Reason: "courier fails", SetAt: day.Add(time.Duration(len(o.active)) * time.Second), Lifetime: time.Duration(minutes) * time.Minute}, day, 0)
	}
	set("heavy", FixedWeight, "", 5, 60, "a")
	set("light", FixedWeight, "", 0.5, 40, "a")
	set("all-to-b", Sticky, "", 0, 30, "b")
	set("orders-to-a", Sticky, "order", 0, 20, "a")
	set("a-is-out", OutOfService, "", 0, 10, "a")
	for _, minute := range []int{0, 10, 20, 30, 40, 60} {
		now := time.Duration(minute) * time.Minute
		over, _, _ := o.Expire(now)
		fmt.Printf("minute %d, lapsed %d: %s\n", minute, len(over), show(Resolve(t, o, m, list("abc"))))
		for _, s := range o.Status(now) {
			if s.SupersededBy != "" {
				fmt.Printf("   %s yields to %s\n", s.ID, s.SupersededBy)
			}
		}
	}
	// Output:
	// minute 0, lapsed 0: rule "", sets 1, pin "all-to-b": b x1
	//    orders-to-a yields to a-is-out
	//    light yields to a-is-out
	//    heavy yields to a-is-out
	// minute 10, lapsed 1: rule "", sets 1, pin "orders-to-a": a x1
	//    light yields to all-to-b
	//    heavy yields to all-to-b
	// minute 20, lapsed 1: rule "", sets 1, pin "all-to-b": b x1
	//    light yields to all-to-b
	//    heavy yields to all-to-b
	// minute 30, lapsed 1: rule "", sets 1, pin "": a x0.5, b x1, c x1
	//    heavy yields to light
	// minute 40, lapsed 1: rule "", sets 1, pin "": a x5, b x1, c x1
	// minute 60, lapsed 1: rule "", sets 1, pin "": a x1, b x1, c x1
}

// A step of the wall clock neither ends an override early in the process that set it nor makes it last longer in the
// next process.
func ExampleOverrides_clockSteps() {
	day := time.Date(2026, 5, 9, 8, 0, 0, 0, time.UTC)
	v := Override{ID: "x", Kind: OutOfService, Destination: 1, Endpoints: []choice.EndpointID{"a"}, SetAt: day, Lifetime: time.Hour}
	left := func(wall time.Time) {
		o := &Overrides{}
		holds := o.Add(v, wall, 5*time.Second)
		_, next, _ := o.Expire(5 * time.Second)
		fmt.Println(holds, next)
	}
	left(day)
	left(day.Add(20 * time.Minute))
	left(day.Add(-time.Hour)) // after a step back the override still lasts no longer than its lifetime of an hour
	left(day.Add(2 * time.Hour))
	// Output:
	// true 1h0m5s
	// true 40m5s
	// true 1h0m5s
	// false 0s
}

func ExampleCheck() {
	for _, p := range Check([]Rule{
		{Name: "wide", Match: Match{Class: "order"}, Sets: []Set{{Targets: []Target{{Weight: 1}}}}},
		{Name: "never", Match: Match{Class: "order", KeyPrefix: "x"}, Sets: []Set{{Under: 0.5, Targets: []Target{{Weight: -1}}}, {}}},
		{Name: "wide"}}) {
		fmt.Println(p)
	}
	// Output:
	// route[1].set[0].under: not allowed in the first set of a route, which is always open
	// route[1].set[0].to[0].weight: -1 is not between 0 and 1e+06
	// route[1].set[1].under: 0 is not above 0 and at most 1
	// route[1].set[1].to: missing; a set needs at least one target
	// route[1].match: unreachable: route[0] "wide" matches all messages that it matches
	// route[2].name: "wide" is already used by route[0]
	// route[2].set: missing; a route needs at least one set
}

// drawRules draws up to 40 rules without sets.
func drawRules(t *rapid.T) (rules []Rule) {
	for i := range rapid.IntRange(0, 40).Draw(t, "rules") {
		r := Rule{Name: fmt.Sprint(i)}
		if rapid.Bool().Draw(t, "by destination") {
			r.Match.Destination = destinationPointer(choice.DestinationID(rapid.IntRange(1, 3).Draw(t, "destination")))
		}
		r.Match.Class = rapid.SampledFrom([]string{"", "order", "status"}).Draw(t, "workload")
		r.Match.Tenant = rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "tenant")
		r.Match.KeyPrefix = rapid.SampledFrom([]string{"", "a", "ab", "abc", "b"}).Draw(t, "prefix")
		rules = append(rules, r)
	}
	return rules
}

// TestTableFindsTheFirstMatch checks that the compiled table finds the same rule as a search through the rules in order.
func TestTableFindsTheFirstMatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := drawRules(t)
		table := Compile(rules)
		message := &Message{Destination: choice.DestinationID(rapid.IntRange(1, 4).Draw(t, "to")),
			Class:  rapid.SampledFrom([]string{"order", "status", "other"}).Draw(t, "w"),
			Tenant: rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "t"), Key: rapid.SampledFrom([]string{"", "a", "abcd", "b", "c"}).Draw(t, "k")}
		want := ""
		for i := range rules {
			match := rules[i].Match
			if (match.Destination == nil || *match.Destination == message.Destination) && (match.Class == "" || match.Class == message.Class) &&
				(match.Tenant == "" || match.Tenant == message.Tenant) && strings.HasPrefix(message.Key, match.KeyPrefix) {
				want = rules[i].Name
				break
			}
		}
		got := ""
		if r := table.Rule(message); r != nil {
			got = r.Name
		}
		if got != want {
			t.Fatalf("%q for %q", got, want)
		}
	})
}

// TestNothingIsEverWidened checks that, with any rules and overrides, no endpoint is allowed that is not ready, out of
// service or of another destination, and that a sticky override in effect allows only the endpoints that it names.
func TestNothingIsEverWidened(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := drawRules(t)
		for i := range rules {
			rules[i].Sets = []Set{{Targets: []Target{{Zone: rapid.SampledFrom([]string{"", "east", "west", "north"}).Draw(t, "zone"),
				Weight: rapid.SampledFrom([]float64{0, 1, 3}).Draw(t, "weight")}}}}
		}
		o := &Overrides{}
		for i := range rapid.IntRange(0, 6).Draw(t, "overrides") {
			o.Add(Override{ID: OverrideID(fmt.Sprint(i)), Kind: OverrideKind(rapid.IntRange(0, 2).Draw(t, "kind")), Destination: 1,
				Endpoints: []choice.EndpointID{choice.EndpointID(rapid.SampledFrom([]string{"a", "b", "c", "gone"}).Draw(t, "at"))},
				Weight:    rapid.SampledFrom([]float64{0, 2}).Draw(t, "w"), Lifetime: time.Hour}, time.Time{}, 0)
		}
		ends := append(list(rapid.SampledFrom([]string{"abcd", "ab", "c", ""}).Draw(t, "ready")), Endpoint{ID: "z", Destination: 2, Ready: true})
		r := Resolve(Compile(rules), o, &Message{Destination: 1, Class: "order"}, ends)
		for _, a := range r.Allowed {
			for _, e := range ends {
				if e.ID == a.Endpoint && (!e.Ready || e.Destination != 1) || a.Weight <= 0 {
					t.Fatalf("%s is allowed", a.Endpoint)
				}
			}
			for _, s := range o.active {
				if s.Kind == OutOfService && s.Endpoints[0] == a.Endpoint || s.ID == r.StickyBy && s.Endpoints[0] != a.Endpoint {
					t.Fatalf("%s is allowed beside %s %s", a.Endpoint, s.Kind, s.Endpoints[0])
				}
			}
		}
	})
}

// BenchmarkTable measures the search for a rule in tables of different sizes.
func BenchmarkTable(b *testing.B) {
	for _, size := range []int{10, 1000, 10000} {
		var rules []Rule
		for i := range size {
			rules = append(rules, Rule{Name: fmt.Sprint(i), Match: Match{Destination: destinationPointer(choice.DestinationID(i)), Class: "order", KeyPrefix: fmt.Sprint("k", i%7)}})
		}
		t := Compile(rules)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			m := &Message{Class: "order", Key: "k3-17"}
			for i := range b.N {
				m.Destination = choice.DestinationID(i % (2 * size))
				t.Rule(m)
			}
		})
	}
}
