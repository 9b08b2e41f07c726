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

// drawObservation draws an observation from few localities, witnesses and times, so that observations collide.
func drawObservation(t *rapid.T) observation {
	return observation{time.Duration(rapid.IntRange(0, 8).Draw(t, "at")) * time.Second, healthreport.Sample{
		Locality: healthreport.Locality{Destination: choice.DestinationID(rapid.IntRange(1, 3).Draw(t, "d")),
			Zone: rapid.SampledFrom([]view.Zone{"e", "w"}).Draw(t, "z")},
		Reporter: rapid.SampledFrom([]view.Name{"a", "b", "c"}).Draw(t, "w"), Span: time.Second,
		Sent: float64(rapid.IntRange(0, 2).Draw(t, "n"))}}
}

// sampleAt returns the sample of an observation with its age as of now.
func (o observation) sampleAt(now view.Uptime) healthreport.Sample {
	s := o.sample
	s.Age = now - o.at
	return s
}

// end is a time after all drawn observations.
const end = 10 * time.Second

// TestOrderDoesNotMatter checks that the content of the table does not depend on the order, the delay or the repetition
// of samples. If there are fewer rows than localities, only the localities stored must be the same.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(rapid.Custom(drawObservation), 1, 30).Draw(t, "all")
		b := Bounds{rapid.IntRange(1, 6).Draw(t, "rows"), rapid.IntRange(1, 3).Draw(t, "witnesses"), time.Minute}
		inOrder, permuted := NewTable(b), NewTable(b)
		for _, o := range all {
			inOrder.Add(o.at, o.sampleAt(o.at)) // without delay
		}
		for _, o := range rapid.Permutation(all).Draw(t, "late") {
			now := max(o.at, rapid.Custom(drawObservation).Draw(t, "later").at)
			permuted.Add(now, o.sampleAt(now))
			before := permuted.Read(end)
			if again := permuted.Add(end, o.sampleAt(end)); again == New || again == Newer {
				t.Fatal("a repeated sample was stored again", o, again)
			}
			if d := cmp.Diff(before, permuted.Read(end)); d != "" {
				t.Fatal("a repeated sample changed the table", d)
			}
		}
		got, want := permuted.Read(end), inOrder.Read(end)
		if inOrder.Rows() > b.Rows || permuted.Rows() > b.Rows || len(got) > b.Rows*b.Witnesses {
			t.Fatal("a table exceeds its bounds")
		}
		if b.Rows < 6 {
			got, want = localitiesOf(got), localitiesOf(want)
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Fatal(d)
		}
	})
}

// localitiesOf returns one sample for each locality of sorted samples, with no other field set.
func localitiesOf(all []healthreport.Sample) (only []healthreport.Sample) {
	for _, s := range all {
		if len(only) == 0 || only[len(only)-1].Locality != s.Locality {
			only = append(only, healthreport.Sample{Locality: s.Locality})
		}
	}
	return only
}

// TestAgainstAList compares the table with a list of all samples. Read must return the newest sample of each of the
// newest witnesses of each locality, but no sample older than MaxAge and none whose span began before its destination was
// forgotten.
func TestAgainstAList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxAge, maxWitnesses = 4 * time.Second, 2
		table := NewTable(Bounds{6, maxWitnesses, maxAge})
		var accepted []observation
		forgottenAt := map[choice.DestinationID]view.Uptime{}
		now := view.Uptime(0)
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				o := drawObservation(t)
				o.at = now - o.at
				when, forgotten := forgottenAt[o.sample.Destination]
				forgotten = forgotten && o.at-o.sample.Span < when
				if (table.Add(now, o.sampleAt(now)) == Forgotten) != (forgotten && now-o.at <= maxAge) {
					t.Fatal("sample wrongly forgotten or wrongly stored", o, when)
				}
				if !forgotten {
					accepted = append(accepted, o)
				}
			},
			"forget": func(t *rapid.T) {
				d := drawObservation(t).sample.Destination
				table.Forget(now, d)
				forgottenAt[d] = now
				accepted = slices.DeleteFunc(accepted, func(o observation) bool { return o.sample.Destination == d })
			},
			"wait": func(t *rapid.T) {
				now += drawObservation(t).at / 3
				for d, when := range forgottenAt {
					if now-when > 2*maxAge {
						delete(forgottenAt, d)
					}
				}
			},
			"": func(t *rapid.T) {
				if d := cmp.Diff(referenceRead(accepted, now, maxAge, maxWitnesses), table.Read(now)); d != "" {
					t.Fatal(d)
				}
			},
		})
	})
}

// referenceRead returns what Read should return for all accepted observations.
func referenceRead(accepted []observation, now view.Uptime, maxAge time.Duration, maxWitnesses int) (all []healthreport.Sample) {
	newestFirst := slices.Clone(accepted)
	slices.SortFunc(newestFirst, func(a, b observation) int {
		if c := compareAge(&b, &a); c != 0 {
			return c
		}
		return compareSamples(&b.sample, &a.sample)
	})
	count, counted := map[healthreport.Locality]int{}, map[healthreport.Sample]bool{}
	for _, o := range newestFirst {
		source := healthreport.Sample{Locality: o.sample.Locality, Reporter: o.sample.Reporter}
		if count[o.sample.Locality] < maxWitnesses && !counted[source] && now-o.at <= maxAge {
			count[o.sample.Locality]++
			counted[source] = true
			all = append(all, o.sampleAt(now))
		}
	}
	slices.SortFunc(all, func(a, b healthreport.Sample) int { return Compare(&a, &b) })
	return all
}

// TestInvalidSamplesAndForgottenBound checks that samples with impossible values are rejected, and that the memory for
// forgotten destinations is bounded by the number of rows.
func TestInvalidSamplesAndForgottenBound(t *testing.T) {
	table := NewTable(Bounds{4, 1, time.Minute})
	validSample := healthreport.Sample{Locality: healthreport.Locality{Destination: 1}, Reporter: "a", Span: time.Second}
	for i, invalidate := range []func(s *healthreport.Sample){
		func(s *healthreport.Sample) { s.Failed = math.NaN() }, func(s *healthreport.Sample) { s.Limit = math.Inf(1) },
		func(s *healthreport.Sample) { s.Sent = -1 }, func(s *healthreport.Sample) { s.Span = 0 },
		func(s *healthreport.Sample) { s.Age = -1 },
		func(s *healthreport.Sample) { s.Waiting = -1 }, func(s *healthreport.Sample) { s.Reporter = "" }} {
		s := validSample
		if invalidate(&s); table.Add(end, s) != Invalid {
			t.Errorf("invalid sample %d was not rejected: %+v", i, s)
		}
	}
	endless := validSample
	if endless.Span = math.MaxInt64; table.Add(end, endless) != Outdated {
		t.Error("accepted a span longer than MaxAge")
	}
	for d := choice.DestinationID(50); d > 0; d-- { // at the same time and in descending order, so that each evicts the lowest one before it
		table.Forget(end, d)
	}
	if len(table.forgottenAt) != 4 || table.Add(end, validSample) != Forgotten {
		t.Fatalf("want 4 forgotten destinations, among them 1: %v", table.forgottenAt)
	}
}
