package table

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"flaxcove/choice"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

// drawn is a sighting and when it was; few of each, so that they meet.
func drawn(t *rapid.T) seen {
	return seen{time.Duration(rapid.IntRange(0, 8).Draw(t, "at")) * time.Second, healthreport.Sample{
		Locality: healthreport.Locality{Destination: choice.DestinationID(rapid.IntRange(1, 3).Draw(t, "d")),
			Zone: rapid.SampledFrom([]view.Zone{"e", "w"}).Draw(t, "z")},
		Witness: rapid.SampledFrom([]view.Name{"a", "b", "c"}).Draw(t, "w"), Span: time.Second,
		Sent: float64(rapid.IntRange(0, 2).Draw(t, "n"))}}
}

func (n seen) aged(now view.Now) healthreport.Sample {
	s := n.s
	s.Age = now - n.at
	return s
}

const end = 10 * time.Second

// However sightings come, twice or late, the same is kept: all of it while there is room for the places, and else of
// the same places.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(rapid.Custom(drawn), 1, 30).Draw(t, "all")
		b := Bounds{rapid.IntRange(1, 6).Draw(t, "rows"), rapid.IntRange(1, 3).Draw(t, "witnesses"), time.Minute}
		one, two := Make(b), Make(b)
		for _, n := range all {
			one.Take(n.at, n.aged(n.at)) // as it is seen
		}
		for _, n := range rapid.Permutation(all).Draw(t, "late") {
			now := max(n.at, rapid.Custom(drawn).Draw(t, "later").at)
			two.Take(now, n.aged(now))
			before := two.Read(end)
			if again := two.Take(end, n.aged(end)); again == New || again == Newer {
				t.Fatal("a second time it was news", n, again)
			}
			if d := cmp.Diff(before, two.Read(end)); d != "" {
				t.Fatal("a second time it changed", d)
			}
		}
		got, want := two.Read(end), one.Read(end)
		if one.Rows() > b.Rows || two.Rows() > b.Rows || len(got) > b.Rows*b.Witnesses {
			t.Fatal("over the bound")
		}
		if b.Rows < 6 {
			got, want = places(got), places(want)
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Fatal(d)
		}
	})
}

func places(all []healthreport.Sample) (only []healthreport.Sample) {
	for _, s := range all {
		if len(only) == 0 || only[len(only)-1].Locality != s.Locality {
			only = append(only, healthreport.Sample{Locality: s.Locality})
		}
	}
	return only
}

// Against a list of all that was told: what is read is the newest of each witness, the newest witnesses of each place,
// none too old, none from before its destination was forgotten.
func TestAgainstAList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const keep, most = 4 * time.Second, 2
		table := Make(Bounds{6, most, keep})
		var told []seen
		void := map[choice.DestinationID]view.Now{}
		now := view.Now(0)
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				n := drawn(t)
				n.at = now - n.at
				when, is := void[n.s.Destination]
				is = is && n.at-n.s.Span < when
				if (table.Take(now, n.aged(now)) == Void) != (is && now-n.at <= keep) {
					t.Fatal("void or not", n, when)
				}
				if !is {
					told = append(told, n)
				}
			},
			"forget": func(t *rapid.T) {
				d := drawn(t).s.Destination
				table.Forget(now, d)
				void[d] = now
				told = slices.DeleteFunc(told, func(n seen) bool { return n.s.Destination == d })
			},
			"wait": func(t *rapid.T) {
				now += drawn(t).at / 3
				for d, when := range void {
					if now-when > 2*keep {
						delete(void, d)
					}
				}
			},
			"": func(t *rapid.T) {
				if d := cmp.Diff(newest(told, now, keep, most), table.Read(now)); d != "" {
					t.Fatal(d)
				}
			},
		})
	})
}

func newest(told []seen, now view.Now, keep time.Duration, most int) (all []healthreport.Sample) {
	by := slices.Clone(told)
	slices.SortFunc(by, func(a, b seen) int {
		if c := newer(&b, &a); c != 0 {
			return c
		}
		return compare(&b.s, &a.s)
	})
	count, has := map[healthreport.Locality]int{}, map[healthreport.Sample]bool{}
	for _, n := range by {
		who := healthreport.Sample{Locality: n.s.Locality, Witness: n.s.Witness}
		if count[n.s.Locality] < most && !has[who] && now-n.at <= keep {
			count[n.s.Locality]++
			has[who] = true
			all = append(all, n.aged(now))
		}
	}
	slices.SortFunc(all, func(a, b healthreport.Sample) int { return Order(&a, &b) })
	return all
}

func TestUnsoundAndForgottenAreBounded(t *testing.T) {
	table := Make(Bounds{4, 1, time.Minute})
	good := healthreport.Sample{Locality: healthreport.Locality{Destination: 1}, Witness: "a", Span: time.Second}
	for i, spoil := range []func(s *healthreport.Sample){
		func(s *healthreport.Sample) { s.Failed = math.NaN() }, func(s *healthreport.Sample) { s.Limit = math.Inf(1) },
		func(s *healthreport.Sample) { s.Sent = -1 }, func(s *healthreport.Sample) { s.Span = 0 },
		func(s *healthreport.Sample) { s.Age = -1 },
		func(s *healthreport.Sample) { s.Held = -1 }, func(s *healthreport.Sample) { s.Witness = "" }} {
		s := good
		if spoil(&s); table.Take(end, s) != Unsound {
			t.Error(i)
		}
	}
	endless := good
	if endless.Span = math.MaxInt64; table.Take(end, endless) != Older {
		t.Error("took a span that reaches back beyond what is kept")
	}
	for d := choice.DestinationID(50); d > 0; d-- { // all at once, each lower than those before
		table.Forget(end, d)
	}
	if len(table.void) != 4 || table.Take(end, good) != Void {
		t.Fatal(table.void)
	}
}
