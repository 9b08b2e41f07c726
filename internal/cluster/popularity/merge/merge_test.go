package merge

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"flaxcove/choice"
	"flaxcove/internal/cluster/popularity/count"
	"flaxcove/internal/cluster/view"
)

const halfLife = time.Minute

// sentDigest is a digest and the time of its counts.
type sentDigest struct {
	countedAt view.Uptime // by the clock of the receiver
	digest    Digest
}

// aged returns the digest with its age as of now.
func (s sentDigest) aged(now view.Uptime) Digest {
	s.digest.Age = now - s.countedAt
	return s.digest
}

// approximately compares floats with a relative tolerance.
func approximately() cmp.Option { return cmpopts.EquateApprox(1e-9, 0) }

// TestOrderDoesNotMatter checks that the sum is that of the newest digest of each process, even if digests arrive late, twice or
// from an earlier incarnation, or if a process stops reporting for a while.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []sentDigest
		newest := map[view.Name]sentDigest{}
		for p := range 3 {
			for incarnation := view.Incarnation(1); incarnation <= 2; incarnation++ {
				for seq := range uint64(rapid.IntRange(0, 3).Draw(t, "digests")) {
					from := view.Instance{Name: view.Name(fmt.Sprint(p)), Incarnation: incarnation}
					s := sentDigest{view.Uptime(incarnation)*5*time.Second + view.Uptime(seq)*time.Second, NewDigest(from, seq, 1,
						[]count.Row{{Destination: choice.DestinationID(rapid.IntRange(1, 4).Draw(t, "d")),
							Messages: float64(rapid.IntRange(1, 9).Draw(t, "n"))}})}
					all = append(all, s)
					newest[s.digest.From.Name] = s
				}
			}
		}
		instances := []view.Instance{{Name: "0"}, {Name: "1"}, {Name: "2"}}
		const end = 20 * time.Second
		want := map[choice.DestinationID]float64{9: 1}
		for _, s := range newest {
			want[s.digest.Destinations[0]] += s.digest.Messages[0] * count.Decay(end-s.countedAt, halfLife)
		}
		table := NewTable(halfLife)
		table.SetReporters(instances)
		for _, s := range append(rapid.Permutation(all).Draw(t, "order"), rapid.Permutation(all).Draw(t, "again")...) {
			now := s.countedAt + time.Duration(rapid.IntRange(0, 5).Draw(t, "late"))*time.Second
			table.Put(now, s.aged(now))
			if rapid.Bool().Draw(t, "stops reporting") { // a process stops reporting here and returns; its old digests must not count
				table.SetReporters(instances[1:])
				table.SetReporters(instances)
				if s.digest.From.Name == "0" {
					table.Put(now, newest["0"].aged(max(now, newest["0"].countedAt)))
				}
			}
		}
		for _, s := range newest { // all send a newer digest, as some may have been removed
			s.digest.Seq += 100
			table.Put(end, s.aged(end))
		}
		rows, processes := table.Sum(end, []count.Row{{Destination: 9, Messages: 1}})
		got := map[choice.DestinationID]float64{}
		for _, r := range rows {
			got[r.Destination] = r.Messages
		}
		if d := cmp.Diff(want, got, approximately()); d != "" || processes != 1+len(newest) {
			t.Fatalf("sum of %d processes (-want +got):\n%s", processes, d)
		}
	})
}

// TestPutResults checks the result of Put for valid and invalid digests.
func TestPutResults(t *testing.T) {
	table := NewTable(halfLife)
	table.SetReporters([]view.Instance{{Name: "a", Incarnation: 5}})
	good := func() Digest {
		return NewDigest(view.Instance{Name: "a", Incarnation: 5}, 1, 1, []count.Row{{Destination: 1, Messages: 3}})
	}
	for i, c := range []struct {
		want   PutResult
		modify func(*Digest)
	}{
		{NotReporting, func(d *Digest) { d.From.Name = "b" }},
		{NotReporting, func(d *Digest) { d.From.Incarnation = 4 }},
		{Invalid, func(d *Digest) { d.Age = -time.Hour }}, // as after a clock was set back
		{Outdated, func(d *Digest) { d.Age = time.Hour }},
		{Invalid, func(d *Digest) { d.Messages[0] = math.NaN() }},
		{Invalid, func(d *Digest) { d.Messages[0] = 1e12 }},
		{Invalid, func(d *Digest) { d.Destinations = nil }},
		{Invalid, func(d *Digest) {
			d.Destinations, d.Messages = []choice.DestinationID{1, 1}, []float64{1, 1}
		}},
		{Accepted, func(*Digest) {}},
		{Outdated, func(*Digest) {}},
		{Accepted, func(d *Digest) { d.From.Incarnation, d.Seq = 6, 0 }},
		{Outdated, func(d *Digest) { d.Seq = 99 }}, // of the earlier incarnation
	} {
		d := good()
		c.modify(&d)
		if got := table.Put(time.Hour, d); got != c.want {
			t.Errorf("case %d: got %d, want %d", i, got, c.want)
		}
	}
	table.SetReporters(nil)
	if rows, n := table.Sum(time.Hour, nil); len(rows) != 0 || n != 1 {
		t.Errorf("after the process stopped reporting: rows %v of %d processes, want none of its own", rows, n)
	}
}

// TestPopularOnlyInTheRegion checks that a destination ranks first in the region although at each of ten processes forty other
// destinations rank before it.
func TestPopularOnlyInTheRegion(t *testing.T) {
	table := NewTable(halfLife)
	var instances []view.Instance
	for p := range 10 {
		instances = append(instances, view.Instance{Name: view.Name(fmt.Sprint(p)), Incarnation: 1})
	}
	table.SetReporters(instances)
	for p, l := range instances {
		rows := []count.Row{{Destination: 7, Messages: 10}}
		for i := range 40 {
			rows = append(rows, count.Row{Destination: choice.DestinationID(1000*(p+1) + i), Messages: 20})
		}
		table.Put(0, NewDigest(l, 1, 1, rows))
	}
	if rows, n := table.Sum(0, nil); rows[0].Destination != 7 || n != 11 || len(rows) != MaxRows {
		t.Errorf("first row %v, %d processes, %d rows", rows[0], n, len(rows))
	}
}

// TestChangedFraction checks equal, decayed, empty and partly equal rows.
func TestChangedFraction(t *testing.T) {
	a := []count.Row{{Destination: 1, Messages: 10}, {Destination: 2, Messages: 10}}
	for _, c := range []struct {
		after   []count.Row
		decayed float64
		want    float64
	}{{a, 1, 0}, {a, 0.5, 0.5}, {nil, 1, 1}, {a[:1], 1, 0.5}} {
		if got := ChangedFraction(a, c.after, c.decayed); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("case %v: got %v", c, got)
		}
	}
	if ChangedFraction(nil, nil, 1) != 0 {
		t.Error("the change between empty rows is not 0")
	}
}
