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

const half = time.Minute

type sent struct {
	at view.Now // by the clock of who merges
	d  Digest
}

func (s sent) aged(now view.Now) Digest {
	s.d.Age = now - s.at
	return s.d
}

func near() cmp.Option { return cmpopts.EquateApprox(1e-9, 0) }

// However digests come, late, twice or from an earlier life: the sum is that of each process's newest.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []sent
		newest := map[view.Name]sent{}
		for p := range 3 {
			for life := view.Incarnation(1); life <= 2; life++ {
				for seq := range uint64(rapid.IntRange(0, 3).Draw(t, "digests")) {
					from := view.Life{Name: view.Name(fmt.Sprint(p)), Incarnation: life}
					s := sent{view.Now(life)*5*time.Second + view.Now(seq)*time.Second, Make(from, seq, 1,
						[]count.Row{{Destination: choice.DestinationID(rapid.IntRange(1, 4).Draw(t, "d")),
							Notices: float64(rapid.IntRange(1, 9).Draw(t, "n"))}})}
					all = append(all, s)
					newest[s.d.From.Name] = s
				}
			}
		}
		lives := []view.Life{{Name: "0"}, {Name: "1"}, {Name: "2"}}
		const end = 20 * time.Second
		want := map[choice.DestinationID]float64{9: 1}
		for _, s := range newest {
			want[s.d.Destinations[0]] += s.d.Notices[0] * count.Decay(end-s.at, half)
		}
		table := MakeTable(half)
		table.Reports(lives)
		for _, s := range append(rapid.Permutation(all).Draw(t, "order"), rapid.Permutation(all).Draw(t, "again")...) {
			now := s.at + time.Duration(rapid.IntRange(0, 5).Draw(t, "late"))*time.Second
			table.Put(now, s.aged(now))
			if rapid.Bool().Draw(t, "went") { // one that stops to report here and comes back adds nothing old
				table.Reports(lives[1:])
				table.Reports(lives)
				if s.d.From.Name == "0" {
					table.Put(now, newest["0"].aged(max(now, newest["0"].at)))
				}
			}
		}
		for _, s := range newest { // who was away tells again as it would, under a higher number
			s.d.Seq += 100
			table.Put(end, s.aged(end))
		}
		rows, processes := table.Sum(end, []count.Row{{Destination: 9, Notices: 1}})
		got := map[choice.DestinationID]float64{}
		for _, r := range rows {
			got[r.Destination] = r.Notices
		}
		if d := cmp.Diff(want, got, near()); d != "" || processes != 1+len(newest) {
			t.Fatal(processes, d)
		}
	})
}

func TestWhatIsNotTaken(t *testing.T) {
	table := MakeTable(half)
	table.Reports([]view.Life{{Name: "a", Incarnation: 5}})
	good := func() Digest {
		return Make(view.Life{Name: "a", Incarnation: 5}, 1, 1, []count.Row{{Destination: 1, Notices: 3}})
	}
	for i, c := range []struct {
		want  Taken
		spoil func(*Digest)
	}{
		{Foreign, func(d *Digest) { d.From.Name = "b" }},
		{Foreign, func(d *Digest) { d.From.Incarnation = 4 }},
		{Unsound, func(d *Digest) { d.Age = -time.Hour }}, // a clock that is off shows in an age alone, and is refused
		{Older, func(d *Digest) { d.Age = time.Hour }},
		{Unsound, func(d *Digest) { d.Notices[0] = math.NaN() }},
		{Unsound, func(d *Digest) { d.Notices[0] = 1e12 }},
		{Unsound, func(d *Digest) { d.Destinations = nil }},
		{Unsound, func(d *Digest) {
			d.Destinations, d.Notices = []choice.DestinationID{1, 1}, []float64{1, 1}
		}},
		{New, func(*Digest) {}},
		{Older, func(*Digest) {}},
		{New, func(d *Digest) { d.From.Incarnation, d.Seq = 6, 0 }},
		{Older, func(d *Digest) { d.Seq = 99 }}, // of the life before
	} {
		d := good()
		c.spoil(&d)
		if got := table.Put(time.Hour, d); got != c.want {
			t.Error(i, got, c.want)
		}
	}
	table.Reports(nil)
	if rows, n := table.Sum(time.Hour, nil); len(rows) != 0 || n != 1 {
		t.Error("one that went still counts", rows, n)
	}
}

// Popular at nobody's alone: forty others are ahead of it at each of ten processes, and in the region it leads.
func TestPopularInTheRegionAlone(t *testing.T) {
	table := MakeTable(half)
	var lives []view.Life
	for p := range 10 {
		lives = append(lives, view.Life{Name: view.Name(fmt.Sprint(p)), Incarnation: 1})
	}
	table.Reports(lives)
	for p, l := range lives {
		rows := []count.Row{{Destination: 7, Notices: 10}}
		for i := range 40 {
			rows = append(rows, count.Row{Destination: choice.DestinationID(1000*(p+1) + i), Notices: 20})
		}
		table.Put(0, Make(l, 1, 1, rows))
	}
	if rows, n := table.Sum(0, nil); rows[0].Destination != 7 || n != 11 || len(rows) != MostRows {
		t.Error(rows[0], n, len(rows))
	}
}

func TestChanged(t *testing.T) {
	a := []count.Row{{Destination: 1, Notices: 10}, {Destination: 2, Notices: 10}}
	for _, c := range []struct {
		is   []count.Row
		left float64
		want float64
	}{{a, 1, 0}, {a, 0.5, 0.5}, {nil, 1, 1}, {a[:1], 1, 0.5}} {
		if got := Changed(a, c.is, c.left); math.Abs(got-c.want) > 1e-9 {
			t.Error(c, got)
		}
	}
	if Changed(nil, nil, 1) != 0 {
		t.Error("nothing is no change")
	}
}
