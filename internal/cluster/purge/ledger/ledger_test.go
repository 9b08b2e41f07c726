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
	"flaxcove/internal/sender/clusterapi"
)

func mustApply[A any](t interface{ Fatalf(string, ...any) }, l *Ledger, at time.Duration, kind string, c any) (a A) {
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

func testOpen(id string) Open {
	return Open{ID: id, Subject: Messages, Match: clusterapi.Match{Key: "k-" + id}, RequestedBy: "billing", Reason: "cancelled"}
}

func participant(n string, inc view.Incarnation) Participant {
	return Participant{Life: view.Life{Name: view.Name(n), Incarnation: inc}, Zone: "z1", Region: "r1", LongestDeadline: time.Minute}
}

func TestReusedIDIsRejected(t *testing.T) {
	l := New()
	first := mustApply[OpenResult](t, l, 0, KindOpen, testOpen("a"))
	if again := mustApply[OpenResult](t, l, 1, KindOpen, testOpen("a")); !again.Duplicate || again.Seq != first.Seq {
		t.Fatalf("the same id again: %+v", again)
	}
	for field, change := range map[string]func(*Open){
		"match": func(o *Open) { o.Match.Key = "other" },
		"who":   func(o *Open) { o.RequestedBy = "sales" },
		"why":   func(o *Open) { o.Reason = "moved" },
	} {
		o := testOpen("a")
		change(&o)
		if got := mustApply[OpenResult](t, l, 2, KindOpen, o); got.Field != field || !strings.Contains(got.Rejected, field) {
			t.Errorf("%s: %+v", field, got)
		}
	}
	for field, o := range map[string]Open{
		"id":                {Subject: Messages, Match: clusterapi.Match{Key: "k"}, RequestedBy: "w", Reason: "y"},
		"match":             {ID: "b", Subject: Messages, RequestedBy: "w", Reason: "y"},
		"match.destination": {ID: "b", Subject: LearnedState, Match: clusterapi.Match{Key: "k"}, RequestedBy: "w", Reason: "y"},
		"subject":           {ID: "b", Subject: "all", Match: clusterapi.Match{Key: "k"}, RequestedBy: "w", Reason: "y"},
		"why":               {ID: "b", Subject: Messages, Match: clusterapi.Match{Key: "k"}, RequestedBy: "w"},
	} {
		if got := mustApply[OpenResult](t, l, 3, KindOpen, o); got.Field != field {
			t.Errorf("%s: %+v", field, got)
		}
	}
	if l.LastSeq() != 1 {
		t.Errorf("%d purges", l.LastSeq())
	}
	if _, err := l.Apply(0, 4, KindOpen, json.RawMessage(`{"id":`)); err == nil {
		t.Error("a torn command was taken")
	}
}

// A purge closes without an acknowledgement only past the longest deadline, and a participant that joins is waited for.
func TestCloseWaitsForParticipants(t *testing.T) {
	l := New()
	mustApply[JoinResult](t, l, 0, KindJoin, Join{Participants: []Participant{participant("p", 1), participant("q", 1)}})
	mustApply[OpenResult](t, l, time.Second, KindOpen, testOpen("a"))
	lapse := Close{RosterVersion: l.RosterVersion(), Closures: []Closure{{Seq: 1, Zones: []ZoneSum{{Zone: "z1", Reached: 1, Lapsed: 1}}}}}
	if got := mustApply[CloseResult](t, l, time.Minute, KindClose, lapse); got.Closed != 0 || !strings.Contains(got.Reason, "old") {
		t.Fatalf("lapsed too early: %+v", got)
	}
	all := Close{RosterVersion: l.RosterVersion(), Closures: []Closure{{Seq: 1, Zones: []ZoneSum{{Zone: "z1", Reached: 2}}}}}
	mustApply[JoinResult](t, l, time.Minute, KindJoin, Join{Participants: []Participant{participant("q", 2)}})
	if got := mustApply[CloseResult](t, l, time.Minute, KindClose, all); got.Closed != 0 {
		t.Fatalf("closed past a life that joined: %+v", got)
	}
	if got := mustApply[JoinResult](t, l, time.Minute, KindJoin, Join{Participants: []Participant{participant("q", 1)}}); got.Rejected == "" {
		t.Fatal("an older incarnation took the seat")
	}
	lapse.RosterVersion = l.RosterVersion()
	if got := mustApply[CloseResult](t, l, time.Second+time.Minute+LapseMargin, KindClose, lapse); got.Closed != 1 {
		t.Fatalf("not lapsed: %+v", got)
	}
	if r, _ := l.Find("a"); r.State != Lapsed || r.Reached != 1 || r.Lapsed != 1 {
		t.Fatalf("%+v", r)
	}
}

// Ten thousand purges are accepted, closed and compacted within the bounds; an open one is never dropped.
func TestTenThousandPurges(t *testing.T) {
	l := New()
	mustApply[JoinResult](t, l, 0, KindJoin, Join{Participants: []Participant{participant("p", 1)}})
	for i := range MaxFullRecords {
		mustApply[OpenResult](t, l, 0, KindOpen, testOpen(fmt.Sprint(i)))
	}
	if got := mustApply[OpenResult](t, l, 0, KindOpen, testOpen("one more")); !got.Full || got.Rejected == "" {
		t.Fatalf("beyond the bound: %+v", got)
	}
	if got := mustApply[OpenResult](t, l, 0, KindOpen, testOpen("7")); !got.Duplicate {
		t.Fatalf("a known id in a full ledger: %+v", got)
	}
	c := Close{RosterVersion: l.RosterVersion()}
	for i := range 10000 {
		c.Closures = append(c.Closures, Closure{Seq: uint64(i + 1), Zones: []ZoneSum{{Zone: "z1", Reached: 1}}})
	}
	mustApply[CloseResult](t, l, time.Second, KindClose, c)
	if got := mustApply[OpenResult](t, l, time.Second, KindOpen, testOpen("one more")); !got.Full {
		t.Fatal("young closed ones may still be needed: they count")
	}
	if got := mustApply[OpenResult](t, l, 2*time.Minute, KindOpen, testOpen("one more")); got.Rejected != "" {
		t.Fatalf("%+v", got)
	}
	if r, _ := l.Find("7"); !r.Compacted || r.State != Complete || r.Match.Key != "" {
		t.Errorf("not compacted: %+v", r)
	}
	if got := mustApply[OpenResult](t, l, 2*time.Minute, KindOpen, testOpen("7")); !got.Duplicate || got.State != Complete {
		t.Errorf("a short row still answers its id: %+v", got)
	}
	for s := l.OldestOpen(); s <= l.LastSeq(); s++ {
		if l.records[s] == nil || l.records[s].Compacted {
			t.Fatalf("open purge %d was dropped", s)
		}
	}
}

// Any commands: a second ledger that is restored from snapshots in between stays identical; Seqs never fork or go back;
// the open purges are always the newest ones; an id stands for the same purge as long as it is retained.
func TestReplicasStayIdentical(t *testing.T) {
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
				kind, c = KindOpen, testOpen(fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "id")))
			case 2:
				kind, c = KindJoin, Join{Participants: []Participant{participant(rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "name"),
					view.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")))}}
			case 3:
				n := rapid.IntRange(0, len(l.participants)).Draw(t, "lapsed")
				kind, c = KindClose, Close{RosterVersion: l.rosterVersion, Closures: []Closure{{Seq: l.oldestOpen,
					Zones: []ZoneSum{{Zone: "z1", Reached: len(l.participants) - n, Lapsed: n}}}}}
			case 4:
				if len(l.participants) == 0 {
					continue
				}
				kind, c = KindLeave, Leave{Lives: []view.Life{rapid.SampledFrom(l.participants).Draw(t, "life").Life}}
			}
			last := l.lastSeq
			one, two := mustApply[map[string]any](t, l, at, kind, c), mustApply[map[string]any](t, twin, at, kind, c)
			if d := cmp.Diff(one, two); d != "" {
				t.Fatal(d)
			}
			if o, ok := c.(Open); ok {
				seq := l.seqByID[o.ID]
				if was, known := seqs[o.ID]; known && was != seq {
					t.Fatalf("%s was %d, is %d", o.ID, was, seq)
				}
				seqs[o.ID] = seq
			}
			if l.lastSeq < last || l.oldestOpen > l.lastSeq+1 {
				t.Fatalf("floor %d last %d, was %d", l.oldestOpen, l.lastSeq, last)
			}
			for s, r := range l.records {
				if (s >= l.oldestOpen) != (r.State == Spreading) {
					t.Fatalf("%d is %q, floor %d", s, r.State, l.oldestOpen)
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
