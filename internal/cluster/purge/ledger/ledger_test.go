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

// mustApply applies a command and returns its result. It fails the test if either cannot be encoded or decoded.
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
	return Participant{Instance: view.Instance{Name: view.Name(n), Incarnation: inc}, Zone: "z1", Region: "r1", LongestDeadline: time.Minute}
}

func TestReusedIDIsRejected(t *testing.T) {
	l := New()
	first := mustApply[OpenResult](t, l, 0, KindOpen, testOpen("a"))
	if again := mustApply[OpenResult](t, l, 1, KindOpen, testOpen("a")); !again.Duplicate || again.Seq != first.Seq {
		t.Fatalf("the same command applied twice: %+v, want the first purge as a duplicate", again)
	}
	for field, change := range map[string]func(*Open){
		"match": func(o *Open) { o.Match.Key = "other" },
		"who":   func(o *Open) { o.RequestedBy = "sales" },
		"why":   func(o *Open) { o.Reason = "moved" },
	} {
		o := testOpen("a")
		change(&o)
		if got := mustApply[OpenResult](t, l, 2, KindOpen, o); got.Field != field || !strings.Contains(got.Rejected, field) {
			t.Errorf("id reused with another %s: %+v, want a rejection that names the field", field, got)
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
			t.Errorf("invalid %s: %+v, want a rejection that names the field", field, got)
		}
	}
	if l.LastSeq() != 1 {
		t.Errorf("%d purges were opened, want 1", l.LastSeq())
	}
	if _, err := l.Apply(0, 4, KindOpen, json.RawMessage(`{"id":`)); err == nil {
		t.Error("a truncated command was applied without an error")
	}
}

// TestCloseWaitsForParticipants checks that a missing acknowledgement lapses only after the longest deadline and LapseMargin, and
// that a Close is rejected if a participant has joined since its acknowledgements were counted.
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
		t.Fatalf("closed although a new incarnation has joined: %+v", got)
	}
	if got := mustApply[JoinResult](t, l, time.Minute, KindJoin, Join{Participants: []Participant{participant("q", 1)}}); got.Rejected == "" {
		t.Fatal("an older incarnation replaced a newer one")
	}
	lapse.RosterVersion = l.RosterVersion()
	if got := mustApply[CloseResult](t, l, time.Second+time.Minute+LapseMargin, KindClose, lapse); got.Closed != 1 {
		t.Fatalf("not closed after the longest deadline and LapseMargin: %+v", got)
	}
	if r, _ := l.Find("a"); r.State != Lapsed || r.Reached != 1 || r.Lapsed != 1 {
		t.Fatalf("record %+v, want one acknowledgement and one that lapsed", r)
	}
}

// TestTenThousandPurges checks that ten thousand purges can be opened, closed and compacted within the bounds, and that an open
// purge is never dropped.
func TestTenThousandPurges(t *testing.T) {
	l := New()
	mustApply[JoinResult](t, l, 0, KindJoin, Join{Participants: []Participant{participant("p", 1)}})
	for i := range MaxFullRecords {
		mustApply[OpenResult](t, l, 0, KindOpen, testOpen(fmt.Sprint(i)))
	}
	if got := mustApply[OpenResult](t, l, 0, KindOpen, testOpen("one more")); !got.Full || got.Rejected == "" {
		t.Fatalf("a purge beyond MaxFullRecords: %+v, want a rejection", got)
	}
	if got := mustApply[OpenResult](t, l, 0, KindOpen, testOpen("7")); !got.Duplicate {
		t.Fatalf("a known id in a full ledger: %+v, want a duplicate", got)
	}
	c := Close{RosterVersion: l.RosterVersion()}
	for i := range 10000 {
		c.Closures = append(c.Closures, Closure{Seq: uint64(i + 1), Zones: []ZoneSum{{Zone: "z1", Reached: 1}}})
	}
	mustApply[CloseResult](t, l, time.Second, KindClose, c)
	if got := mustApply[OpenResult](t, l, time.Second, KindOpen, testOpen("one more")); !got.Full {
		t.Fatal("closed purges that a process may still need do not count towards MaxFullRecords")
	}
	if got := mustApply[OpenResult](t, l, 2*time.Minute, KindOpen, testOpen("one more")); got.Rejected != "" {
		t.Fatalf("rejected although the closed purges are past the horizon: %+v", got)
	}
	if r, _ := l.Find("7"); !r.Compacted || r.State != Complete || r.Match.Key != "" {
		t.Errorf("a closed purge past the horizon was not compacted: %+v", r)
	}
	if got := mustApply[OpenResult](t, l, 2*time.Minute, KindOpen, testOpen("7")); !got.Duplicate || got.State != Complete {
		t.Errorf("the id of a compacted purge: %+v, want a duplicate that is complete", got)
	}
	for s := l.OldestOpen(); s <= l.LastSeq(); s++ {
		if l.records[s] == nil || l.records[s].Compacted {
			t.Fatalf("open purge %d was dropped", s)
		}
	}
}

// TestReplicasStayIdentical applies random commands to two ledgers, one of which is restored from snapshots in between. It
// checks that both stay identical, that the last Seq never decreases, that the open purges are always the newest ones, and that
// an id always belongs to the same purge.
func TestReplicasStayIdentical(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, twin := New(), New()
		at := time.Duration(0)
		seqs := map[string]uint64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second
			var kind string
			var c any
			switch rapid.IntRange(0, 4).Draw(t, "operation") {
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
				kind, c = KindLeave, Leave{Instances: []view.Instance{rapid.SampledFrom(l.participants).Draw(t, "participant").Instance}}
			}
			last := l.lastSeq
			one, two := mustApply[map[string]any](t, l, at, kind, c), mustApply[map[string]any](t, twin, at, kind, c)
			if d := cmp.Diff(one, two); d != "" {
				t.Fatal(d)
			}
			if o, ok := c.(Open); ok {
				seq := l.seqByID[o.ID]
				if was, known := seqs[o.ID]; known && was != seq {
					t.Fatalf("id %s belonged to purge %d, now to %d", o.ID, was, seq)
				}
				seqs[o.ID] = seq
			}
			if l.lastSeq < last || l.oldestOpen > l.lastSeq+1 {
				t.Fatalf("oldest open purge %d, last purge %d, which was %d before", l.oldestOpen, l.lastSeq, last)
			}
			for s, r := range l.records {
				if (s >= l.oldestOpen) != (r.State == Spreading) {
					t.Fatalf("purge %d is %q, oldest open purge %d", s, r.State, l.oldestOpen)
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
