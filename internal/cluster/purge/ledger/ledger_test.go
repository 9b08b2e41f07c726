package ledger

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/together"
)

func do[A any](t interface{ Fatalf(string, ...any) }, l *Ledger, at time.Duration, kind string, c any) (a A) {
	body, err := json.Marshal(c)
	if err != nil {
		t.Fatalf("%v", err)
	}
	text, err := l.Apply(0, at, kind, body)
	if err != nil {
		t.Fatalf("%v", err)
	}
	if err := json.Unmarshal(text, &a); err != nil {
		t.Fatalf("%v", err)
	}
	return a
}

func order(id string) Open {
	return Open{ID: id, Subject: Messages, Match: together.Match{Key: "k-" + id}, Who: "billing", Why: "cancelled"}
}

func seat(n string, inc view.Incarnation) Seat {
	return Seat{Life: view.Life{Name: view.Name(n), Incarnation: inc}, Zone: "z1", Region: "r1", Longest: time.Minute}
}

func TestSameIDOtherContent(t *testing.T) {
	l := New()
	first := do[Opened](t, l, 0, KindOpen, order("a"))
	if again := do[Opened](t, l, 1, KindOpen, order("a")); !again.Known || again.Seq != first.Seq {
		t.Fatalf("the same id again: %+v", again)
	}
	for field, change := range map[string]func(*Open){
		"match": func(o *Open) { o.Match.Key = "other" },
		"who":   func(o *Open) { o.Who = "sales" },
		"why":   func(o *Open) { o.Why = "moved" },
	} {
		o := order("a")
		change(&o)
		if got := do[Opened](t, l, 2, KindOpen, o); got.Field != field || !strings.Contains(got.Refused, field) {
			t.Errorf("%s: %+v", field, got)
		}
	}
	for field, o := range map[string]Open{
		"id":                {Subject: Messages, Match: together.Match{Key: "k"}, Who: "w", Why: "y"},
		"match":             {ID: "b", Subject: Messages, Who: "w", Why: "y"},
		"match.destination": {ID: "b", Subject: LearnedState, Match: together.Match{Key: "k"}, Who: "w", Why: "y"},
		"subject":           {ID: "b", Subject: "all", Match: together.Match{Key: "k"}, Who: "w", Why: "y"},
		"why":               {ID: "b", Subject: Messages, Match: together.Match{Key: "k"}, Who: "w"},
	} {
		if got := do[Opened](t, l, 3, KindOpen, o); got.Field != field {
			t.Errorf("%s: %+v", field, got)
		}
	}
	if l.Last() != 1 {
		t.Errorf("%d purges", l.Last())
	}
	if _, err := l.Apply(0, 4, KindOpen, json.RawMessage(`{"id":`)); err == nil {
		t.Error("a torn command was taken")
	}
}

// Time stands for an answer only past the longest deadline, and a life that joins is waited for.
func TestCloseWaits(t *testing.T) {
	l := New()
	do[Joined](t, l, 0, KindJoin, Join{Seats: []Seat{seat("p", 1), seat("q", 1)}})
	do[Opened](t, l, time.Second, KindOpen, order("a"))
	lapse := Close{Roster: l.Roster(), Rows: []Closing{{Seq: 1, Zones: []ZoneSum{{Zone: "z1", Reached: 1, Lapsed: 1}}}}}
	if got := do[Closed](t, l, time.Minute, KindClose, lapse); got.Done != 0 || !strings.Contains(got.Why, "old") {
		t.Fatalf("lapsed too early: %+v", got)
	}
	all := Close{Roster: l.Roster(), Rows: []Closing{{Seq: 1, Zones: []ZoneSum{{Zone: "z1", Reached: 2}}}}}
	do[Joined](t, l, time.Minute, KindJoin, Join{Seats: []Seat{seat("q", 2)}})
	if got := do[Closed](t, l, time.Minute, KindClose, all); got.Done != 0 {
		t.Fatalf("closed past a life that joined: %+v", got)
	}
	if got := do[Joined](t, l, time.Minute, KindJoin, Join{Seats: []Seat{seat("q", 1)}}); got.Refused == "" {
		t.Fatal("an older incarnation took the seat")
	}
	lapse.Roster = l.Roster()
	if got := do[Closed](t, l, time.Second+time.Minute+Margin, KindClose, lapse); got.Done != 1 {
		t.Fatalf("not lapsed: %+v", got)
	}
	if r, _ := l.Find("a"); r.State != Lapsed || r.Reached != 1 || r.Lapsed != 1 {
		t.Fatalf("%+v", r)
	}
}

// Ten thousand purges: taken, closed, compacted, bounded; what is open is never dropped.
func TestTenThousand(t *testing.T) {
	l := New()
	do[Joined](t, l, 0, KindJoin, Join{Seats: []Seat{seat("p", 1)}})
	for i := range MostFull {
		do[Opened](t, l, 0, KindOpen, order(fmt.Sprint(i)))
	}
	if got := do[Opened](t, l, 0, KindOpen, order("one more")); !got.Full || got.Refused == "" {
		t.Fatalf("beyond the bound: %+v", got)
	}
	if got := do[Opened](t, l, 0, KindOpen, order("7")); !got.Known {
		t.Fatalf("a known id in a full ledger: %+v", got)
	}
	c := Close{Roster: l.Roster()}
	for i := range 10000 {
		c.Rows = append(c.Rows, Closing{Seq: uint64(i + 1), Zones: []ZoneSum{{Zone: "z1", Reached: 1}}})
	}
	do[Closed](t, l, time.Second, KindClose, c)
	if got := do[Opened](t, l, time.Second, KindOpen, order("one more")); !got.Full {
		t.Fatal("young closed ones may still be needed: they count")
	}
	if got := do[Opened](t, l, 2*time.Minute, KindOpen, order("one more")); got.Refused != "" {
		t.Fatalf("%+v", got)
	}
	if r, _ := l.Find("7"); !r.Short || r.State != Complete || r.Match.Key != "" {
		t.Errorf("not compacted: %+v", r)
	}
	if got := do[Opened](t, l, 2*time.Minute, KindOpen, order("7")); !got.Known || got.State != Complete {
		t.Errorf("a short row still answers its id: %+v", got)
	}
	for s := l.Floor(); s <= l.Last(); s++ {
		if l.rows[s] == nil || l.rows[s].Short {
			t.Fatalf("open purge %d was dropped", s)
		}
	}
}

// Any commands: a second ledger that restarts from a snapshot in the middle ends alike; seqs never fork or go back;
// open ones are a run up to the newest; an id keeps its purge while it is known.
func TestRapid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, twin := New(), New()
		at := time.Duration(0)
		seqs := map[string]uint64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second
			var kind string
			var c any
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				kind, c = KindOpen, order(fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "id")))
			case 2:
				kind, c = KindJoin, Join{Seats: []Seat{seat(rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "name"),
					view.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")))}}
			case 3:
				n := rapid.IntRange(0, len(l.seats)).Draw(t, "lapsed")
				kind, c = KindClose, Close{Roster: l.roster, Rows: []Closing{{Seq: l.floor,
					Zones: []ZoneSum{{Zone: "z1", Reached: len(l.seats) - n, Lapsed: n}}}}}
			case 4:
				if len(l.seats) == 0 {
					continue
				}
				kind, c = KindGone, Gone{Lives: []view.Life{rapid.SampledFrom(l.seats).Draw(t, "life").Life}}
			}
			last := l.last
			one, two := do[map[string]any](t, l, at, kind, c), do[map[string]any](t, twin, at, kind, c)
			if d := cmp.Diff(one, two); d != "" {
				t.Fatal(d)
			}
			if o, ok := c.(Open); ok {
				seq := l.ids[o.ID]
				if was, known := seqs[o.ID]; known && was != seq {
					t.Fatalf("%s was %d, is %d", o.ID, was, seq)
				}
				seqs[o.ID] = seq
			}
			if l.last < last || l.floor > l.last+1 {
				t.Fatalf("floor %d last %d, was %d", l.floor, l.last, last)
			}
			for s, r := range l.rows {
				if (s >= l.floor) != (r.State == Spreading) {
					t.Fatalf("%d is %q, floor %d", s, r.State, l.floor)
				}
			}
			if rapid.Bool().Draw(t, "restart") {
				text, err := twin.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				twin = New()
				if err := twin.Restore(text); err != nil {
					t.Fatal(err)
				}
			}
		}
		one, _ := l.Snapshot()
		two, _ := twin.Snapshot()
		if d := cmp.Diff(string(one), string(two)); d != "" {
			t.Fatal(d)
		}
	})
}
