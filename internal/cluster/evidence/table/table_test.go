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

// drawObservation draws from few places, witnesses and times, so that observations collide.
func drawObservation(t *rapid.T) observation {
	return observation{time.Duration(rapid.IntRange(0, 8).Draw(t, "at")) * time.Second, healthreport.Sample{
		Locality: healthreport.Locality{Destination: choice.DestinationID(rapid.IntRange(1, 3).Draw(t, "d")),
			Zone: rapid.SampledFrom([]view.Zone{"e", "w"}).Draw(t, "z")},
		Reporter: rapid.SampledFrom([]view.Name{"a", "b", "c"}).Draw(t, "w"), Span: time.Second,
		Sent: float64(rapid.IntRange(0, 2).Draw(t, "n"))}}
}

func (n observation) sampleAt(now view.Uptime) healthreport.Sample {
	s := n.sample
	s.Age = now - n.at
	return s
}

const end = 10 * time.Second

// TestOrderDoesNotMatter: whatever the order of samples, duplicates and delays, the table holds the same: all of it while
// there are rows for all places, and otherwise of the same places.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(rapid.Custom(drawObservation), 1, 30).Draw(t, "all")
		b := Bounds{rapid.IntRange(1, 6).Draw(t, "rows"), rapid.IntRange(1, 3).Draw(t, "witnesses"), time.Minute}
		one, two := NewTable(b), NewTable(b)
		for _, n := range all {
			one.Add(n.at, n.sampleAt(n.at)) // as it is observed
		}
		for _, n := range rapid.Permutation(all).Draw(t, "late") {
			now := max(n.at, rapid.Custom(drawObservation).Draw(t, "later").at)
			two.Add(now, n.sampleAt(now))
			before := two.Read(end)
			if again := two.Add(end, n.sampleAt(end)); again == New || again == Newer {
				t.Fatal("a repeated sample was new", n, again)
			}
			if d := cmp.Diff(before, two.Read(end)); d != "" {
				t.Fatal("a repeated sample changed the table", d)
			}
		}
		got, want := two.Read(end), one.Read(end)
		if one.Rows() > b.Rows || two.Rows() > b.Rows || len(got) > b.Rows*b.Witnesses {
			t.Fatal("over the bound")
		}
		if b.Rows < 6 {
			got, want = localitiesOf(got), localitiesOf(want)
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Fatal(d)
		}
	})
}

func localitiesOf(all []healthreport.Sample) (only []healthreport.Sample) {
	for _, s := range all {
		if len(only) == 0 || only[len(only)-1].Locality != s.Locality {
			only = append(only, healthreport.Sample{Locality: s.Locality})
		}
	}
	return only
}

// TestAgainstAList compares the table with a list of all samples: Read returns the newest sample of each witness, of the
// newest witnesses of each place, none too old and none from before its destination was forgotten.
func TestAgainstAList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const keep, most = 4 * time.Second, 2
		table := NewTable(Bounds{6, most, keep})
		var accepted []observation
		forgottenAt := map[choice.DestinationID]view.Uptime{}
		now := view.Uptime(0)
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				n := drawObservation(t)
				n.at = now - n.at
				when, is := forgottenAt[n.sample.Destination]
				is = is && n.at-n.sample.Span < when
				if (table.Add(now, n.sampleAt(now)) == Forgotten) != (is && now-n.at <= keep) {
					t.Fatal("void or not", n, when)
				}
				if !is {
					accepted = append(accepted, n)
				}
			},
			"forget": func(t *rapid.T) {
				d := drawObservation(t).sample.Destination
				table.Forget(now, d)
				forgottenAt[d] = now
				accepted = slices.DeleteFunc(accepted, func(n observation) bool { return n.sample.Destination == d })
			},
			"wait": func(t *rapid.T) {
				now += drawObservation(t).at / 3
				for d, when := range forgottenAt {
					if now-when > 2*keep {
						delete(forgottenAt, d)
					}
				}
			},
			"": func(t *rapid.T) {
				if d := cmp.Diff(referenceRead(accepted, now, keep, most), table.Read(now)); d != "" {
					t.Fatal(d)
				}
			},
		})
	})
}

func referenceRead(accepted []observation, now view.Uptime, keep time.Duration, most int) (all []healthreport.Sample) {
	newestFirst := slices.Clone(accepted)
	slices.SortFunc(newestFirst, func(a, b observation) int {
		if c := compareAge(&b, &a); c != 0 {
			return c
		}
		return compareSamples(&b.sample, &a.sample)
	})
	count, counted := map[healthreport.Locality]int{}, map[healthreport.Sample]bool{}
	for _, n := range newestFirst {
		source := healthreport.Sample{Locality: n.sample.Locality, Reporter: n.sample.Reporter}
		if count[n.sample.Locality] < most && !counted[source] && now-n.at <= keep {
			count[n.sample.Locality]++
			counted[source] = true
			all = append(all, n.sampleAt(now))
		}
	}
	slices.SortFunc(all, func(a, b healthreport.Sample) int { return Order(&a, &b) })
	return all
}

func TestInvalidSamplesAndForgottenBound(t *testing.T) {
	table := NewTable(Bounds{4, 1, time.Minute})
	good := healthreport.Sample{Locality: healthreport.Locality{Destination: 1}, Reporter: "a", Span: time.Second}
	for i, spoil := range []func(s *healthreport.Sample){
		func(s *healthreport.Sample) { s.Failed = math.NaN() }, func(s *healthreport.Sample) { s.Limit = math.Inf(1) },
		func(s *healthreport.Sample) { s.Sent = -1 }, func(s *healthreport.Sample) { s.Span = 0 },
		func(s *healthreport.Sample) { s.Age = -1 },
		func(s *healthreport.Sample) { s.Waiting = -1 }, func(s *healthreport.Sample) { s.Reporter = "" }} {
		s := good
		if spoil(&s); table.Add(end, s) != Invalid {
			t.Error(i)
		}
	}
	endless := good
	if endless.Span = math.MaxInt64; table.Add(end, endless) != Outdated {
		t.Error("accepted a span that reaches back beyond Keep")
	}
	for d := choice.DestinationID(50); d > 0; d-- { // all at once, each lower than those before
		table.Forget(end, d)
	}
	if len(table.forgottenAt) != 4 || table.Add(end, good) != Forgotten {
		t.Fatal(table.forgottenAt)
	}
}
