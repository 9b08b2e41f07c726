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

type sentDigest struct {
	countedAt view.Uptime // by the clock of the process that merges
	digest    Digest
}

func (s sentDigest) aged(now view.Uptime) Digest {
	s.digest.Age = now - s.countedAt
	return s.digest
}

func approximately() cmp.Option { return cmpopts.EquateApprox(1e-9, 0) }

// However digests arrive, late, twice or from an earlier incarnation: the sum is that of each process's newest.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []sentDigest
		newest := map[view.Name]sentDigest{}
		for p := range 3 {
			for life := view.Incarnation(1); life <= 2; life++ {
				for seq := range uint64(rapid.IntRange(0, 3).Draw(t, "digests")) {
					from := view.Life{Name: view.Name(fmt.Sprint(p)), Incarnation: life}
					s := sentDigest{view.Uptime(life)*5*time.Second + view.Uptime(seq)*time.Second, NewDigest(from, seq, 1,
						[]count.Row{{Destination: choice.DestinationID(rapid.IntRange(1, 4).Draw(t, "d")),
							Messages: float64(rapid.IntRange(1, 9).Draw(t, "n"))}})}
					all = append(all, s)
					newest[s.digest.From.Name] = s
				}
			}
		}
		lives := []view.Life{{Name: "0"}, {Name: "1"}, {Name: "2"}}
		const end = 20 * time.Second
		want := map[choice.DestinationID]float64{9: 1}
		for _, s := range newest {
			want[s.digest.Destinations[0]] += s.digest.Messages[0] * count.Decay(end-s.countedAt, halfLife)
		}
		table := NewTable(halfLife)
		table.SetReporters(lives)
		for _, s := range append(rapid.Permutation(all).Draw(t, "order"), rapid.Permutation(all).Draw(t, "again")...) {
			now := s.countedAt + time.Duration(rapid.IntRange(0, 5).Draw(t, "late"))*time.Second
			table.Put(now, s.aged(now))
			if rapid.Bool().Draw(t, "went") { // a process that stops reporting here and returns adds nothing old
				table.SetReporters(lives[1:])
				table.SetReporters(lives)
				if s.digest.From.Name == "0" {
					table.Put(now, newest["0"].aged(max(now, newest["0"].countedAt)))
				}
			}
		}
		for _, s := range newest { // those that were away send again, under a higher number
			s.digest.Seq += 100
			table.Put(end, s.aged(end))
		}
		rows, processes := table.Sum(end, []count.Row{{Destination: 9, Messages: 1}})
		got := map[choice.DestinationID]float64{}
		for _, r := range rows {
			got[r.Destination] = r.Messages
		}
		if d := cmp.Diff(want, got, approximately()); d != "" || processes != 1+len(newest) {
			t.Fatal(processes, d)
		}
	})
}

func TestPutResults(t *testing.T) {
	table := NewTable(halfLife)
	table.SetReporters([]view.Life{{Name: "a", Incarnation: 5}})
	good := func() Digest {
		return NewDigest(view.Life{Name: "a", Incarnation: 5}, 1, 1, []count.Row{{Destination: 1, Messages: 3}})
	}
	for i, c := range []struct {
		want  PutResult
		spoil func(*Digest)
	}{
		{NotReporting, func(d *Digest) { d.From.Name = "b" }},
		{NotReporting, func(d *Digest) { d.From.Incarnation = 4 }},
		{Invalid, func(d *Digest) { d.Age = -time.Hour }}, // a clock that is off shows in an age alone, and is rejected
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
		{Outdated, func(d *Digest) { d.Seq = 99 }}, // of the incarnation before
	} {
		d := good()
		c.spoil(&d)
		if got := table.Put(time.Hour, d); got != c.want {
			t.Error(i, got, c.want)
		}
	}
	table.SetReporters(nil)
	if rows, n := table.Sum(time.Hour, nil); len(rows) != 0 || n != 1 {
		t.Error("a process that stopped reporting still counts", rows, n)
	}
}

// Popular at no single process: forty others are ahead of it at each of ten processes, and in the region it leads.
func TestPopularOnlyInTheRegion(t *testing.T) {
	table := NewTable(halfLife)
	var lives []view.Life
	for p := range 10 {
		lives = append(lives, view.Life{Name: view.Name(fmt.Sprint(p)), Incarnation: 1})
	}
	table.SetReporters(lives)
	for p, l := range lives {
		rows := []count.Row{{Destination: 7, Messages: 10}}
		for i := range 40 {
			rows = append(rows, count.Row{Destination: choice.DestinationID(1000*(p+1) + i), Messages: 20})
		}
		table.Put(0, NewDigest(l, 1, 1, rows))
	}
	if rows, n := table.Sum(0, nil); rows[0].Destination != 7 || n != 11 || len(rows) != MaxRows {
		t.Error(rows[0], n, len(rows))
	}
}

func TestChangedFraction(t *testing.T) {
	a := []count.Row{{Destination: 1, Messages: 10}, {Destination: 2, Messages: 10}}
	for _, c := range []struct {
		is   []count.Row
		left float64
		want float64
	}{{a, 1, 0}, {a, 0.5, 0.5}, {nil, 1, 1}, {a[:1], 1, 0.5}} {
		if got := ChangedFraction(a, c.is, c.left); math.Abs(got-c.want) > 1e-9 {
			t.Error(c, got)
		}
	}
	if ChangedFraction(nil, nil, 1) != 0 {
		t.Error("nothing counts as a change")
	}
}
