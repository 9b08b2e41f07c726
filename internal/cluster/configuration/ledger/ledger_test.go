package ledger

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flaxcove/internal/cluster/configuration"
)

// fatalReporter is the part of testing.T and rapid.T that the helpers use.
type fatalReporter interface{ Fatalf(string, ...any) }

// apply applies a command and returns the decoded answer.
func apply(t fatalReporter, l *Ledger, kind string, command any) (d DecideResult) {
	body, err := json.Marshal(command)
	if err != nil {
		t.Fatalf("%v", err)
	}
	text, err := l.Apply(0, time.Second, kind, body)
	if err != nil {
		t.Fatalf("%v", err)
	}
	if err := json.Unmarshal(text, &d); err != nil {
		t.Fatalf("%v", err)
	}
	return d
}

// change returns a command that changes the settings.
func change(id string, base uint64, settings string) Decide {
	return Decide{ID: id, Fingerprint: configuration.SumOf(json.RawMessage(settings)), Base: base, Settings: json.RawMessage(settings),
		Who: "ops", Why: "try", OwnSettings: json.RawMessage(`{"own":true}`)}
}

// TestDecide checks the answers to valid, repeated, conflicting and invalid changes.
func TestDecide(t *testing.T) {
	l := New()
	if text, err := l.Snapshot(); err != nil || string(text) != "null" {
		t.Fatalf("the snapshot of a new ledger: %s %v", text, err)
	}
	one := apply(t, l, KindDecide, change("a", 0, `{"x": 1}`))
	if one.Version != 1 || one.Rejected != "" || one.Current != 1 {
		t.Fatalf("%+v", one)
	}
	if again := apply(t, l, KindDecide, change("a", 0, `{"x": 1}`)); !again.Duplicate || again.Version != 1 || again.Sum != one.Sum {
		t.Fatalf("the same request again: %+v", again)
	}
	if other := apply(t, l, KindDecide, change("a", 1, `{"x":2}`)); !other.Conflict || other.Field != "id" || other.Current != 1 {
		t.Fatalf("another request with the same ID: %+v", other)
	}
	if stale := apply(t, l, KindDecide, change("b", 0, `{"x":2}`)); !stale.Conflict || stale.Field != "base" || stale.Current != 1 {
		t.Fatalf("a change based on an older version: %+v", stale)
	}
	if two := apply(t, l, KindDecide, change("b", 1, `{"x":2}`)); two.Version != 2 {
		t.Fatalf("%+v", two)
	}
	for field, c := range map[string]Decide{
		"id":       {Base: 2, Settings: json.RawMessage(`{}`), Who: "w", Why: "y"},
		"who":      {ID: "c", Base: 2, Settings: json.RawMessage(`{}`), Why: "y"},
		"why":      {ID: "c", Base: 2, Settings: json.RawMessage(`{}`), Who: "w", Why: strings.Repeat("y", maxWhyBytes+1)},
		"settings": {ID: "c", Base: 2, Settings: json.RawMessage(`[]`), Who: "w", Why: "y"},
		"restore":  {ID: "c", Base: 2, Restore: new(uint64(9)), Who: "w", Why: "y"},
	} {
		if got := apply(t, l, KindDecide, c); got.Field != field || got.Version != 0 {
			t.Errorf("%s: %+v", field, got)
		}
	}
	if l.LastVersion() != 2 {
		t.Fatal(l.LastVersion())
	}
	for kind, body := range map[string]string{KindDecide: `{"id":`, "other": `{}`} {
		if _, err := l.Apply(0, 0, kind, json.RawMessage(body)); err == nil {
			t.Errorf("%s %s was accepted", kind, body)
		}
	}
}

// TestRestoreOldVersion checks that a restore creates a new version with the old content, and that version 0 is the
// file from before the first change.
func TestRestoreOldVersion(t *testing.T) {
	l := New()
	apply(t, l, KindDecide, change("a", 0, `{"x":1}`))
	apply(t, l, KindDecide, change("b", 1, `{"x":2}`))
	back := Decide{ID: "c", Base: 2, Restore: new(uint64(1)), Who: "ops", Why: "2 was bad"}
	if got := apply(t, l, KindDecide, back); got.Version != 3 {
		t.Fatalf("%+v", got)
	}
	if d, _ := l.Newest(); string(d.Settings) != `{"x":1}` || d.Version != 3 {
		t.Fatalf("%+v", d)
	}
	own := Decide{ID: "d", Base: 3, Restore: new(uint64(0)), Who: "ops", Why: "1 was bad"}
	if got := apply(t, l, KindDecide, own); got.Version != 4 {
		t.Fatalf("%+v", got)
	}
	if d, _ := l.Newest(); string(d.Settings) != `{"own":true}` {
		t.Fatalf("%+v", d)
	}
}

// TestAdopt checks that a newer version of members is adopted, that an older one is rejected, and that versions are
// numbered from the adopted one.
func TestAdopt(t *testing.T) {
	l := New()
	if got := apply(t, l, KindAdopt, Adopt{57, json.RawMessage(`{"x":57}`)}); got.Version != 57 {
		t.Fatalf("%+v", got)
	}
	if got := apply(t, l, KindAdopt, Adopt{56, json.RawMessage(`{"x":56}`)}); !got.Conflict {
		t.Fatalf("%+v", got)
	}
	if got := apply(t, l, KindDecide, change("a", 57, `{"x":1}`)); got.Version != 58 {
		t.Fatalf("%+v", got)
	}
}

// TestLedgerStaysWithinBounds checks that the ledger keeps its size limits after many changes, and that its snapshot
// stays below 4 MiB.
func TestLedgerStaysWithinBounds(t *testing.T) {
	l := New()
	large := strings.Repeat("x", 200<<10)
	for i := range uint64(MaxEntries + 50) {
		settings := fmt.Sprintf(`{"n":%d}`, i)
		if i%100 == 0 {
			settings = fmt.Sprintf(`{"n":%d,"large":%q}`, i, large)
		}
		if got := apply(t, l, KindDecide, change(fmt.Sprint(i), i, settings)); got.Version != i+1 {
			t.Fatalf("%+v", got)
		}
	}
	for i := range uint64(2 * MaxDocuments) {
		apply(t, l, KindDecide, change("l"+fmt.Sprint(i), l.LastVersion(), fmt.Sprintf(`{"n":%d,"large":%q}`, i, large)))
	}
	if len(l.entries) != MaxEntries || len(l.versionByID) != MaxEntries || l.documentBytes > MaxDocumentBytes || len(l.documents) > MaxDocuments {
		t.Fatal(len(l.entries), len(l.versionByID), l.documentBytes, len(l.documents))
	}
	text, err := l.Snapshot()
	if err != nil || len(text) > 4<<20 {
		t.Fatal(len(text), err)
	}
	t.Logf("the snapshot of the largest ledger has %d bytes", len(text))
}

// TestReplicasStayIdentical applies arbitrary commands to two ledgers, one of which is restored from its snapshot from
// time to time. It checks that the version number never decreases, that no version changes its content, and that the
// snapshots of both ledgers have the same bytes.
func TestReplicasStayIdentical(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		sums := map[uint64]configuration.Sum{}
		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		for i := range steps {
			var kind string
			var command any
			last := uint64(0)
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				kind, command = KindAdopt, Adopt{rapid.Uint64Range(0, 60).Draw(t, "version"), json.RawMessage(`{"adopted":"<&"}`)}
			case 1:
				restore := rapid.Uint64Range(0, a.LastVersion()+1).Draw(t, "restore")
				kind, command = KindDecide, Decide{ID: fmt.Sprint("r", i), Base: a.LastVersion(), Restore: &restore, Who: "w", Why: "y"}
			default:
				base := a.LastVersion()
				if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
					base = rapid.Uint64Range(0, a.LastVersion()).Draw(t, "base")
				}
				id := fmt.Sprint(rapid.IntRange(0, steps).Draw(t, "id"))
				kind, command = KindDecide, change(id, base, fmt.Sprintf(`{"x":"<%d>"}`, rapid.IntRange(0, 3).Draw(t, "content")))
			}
			last = a.LastVersion()
			got, same := apply(t, a, kind, command), apply(t, b, kind, command)
			if got != same {
				t.Fatalf("%+v and %+v", got, same)
			}
			if a.LastVersion() < last {
				t.Fatalf("the newest version went from %d back to %d", last, a.LastVersion())
			}
			if got.Version > 0 {
				if sum, known := sums[got.Version]; known && sum != got.Sum {
					t.Fatalf("version %d has two contents", got.Version)
				}
				sums[got.Version] = got.Sum
			}
			if rapid.IntRange(0, 5).Draw(t, "snapshot") == 0 {
				text, err := b.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				b = New()
				if err := b.Restore(text); err != nil {
					t.Fatal(err)
				}
			}
		}
		one, _ := a.Snapshot()
		other, _ := b.Snapshot()
		if string(one) != string(other) {
			t.Fatalf("%s\n%s", one, other)
		}
	})
}

// TestRestoreRejectsInconsistentSnapshots checks that an inconsistent snapshot is an error and changes nothing.
func TestRestoreRejectsInconsistentSnapshots(t *testing.T) {
	l := New()
	apply(t, l, KindDecide, change("a", 0, `{"x":1}`))
	before, _ := l.Snapshot()
	for _, bad := range []string{`{`, `{"entries":[{"version":0}]}`, `{"entries":[{"version":2},{"version":1}]}`,
		`{"entries":[{"version":1}],"documents":[]}`, strings.Replace(string(before), `{"x":1}`, `{"x":2}`, 1)} {
		if err := l.Restore(json.RawMessage(bad)); err == nil {
			t.Errorf("restored without an error: %s", bad)
		}
	}
	if after, _ := l.Snapshot(); string(after) != string(before) {
		t.Fatal("a rejected snapshot changed the state")
	}
	if err := l.Restore(json.RawMessage("null")); err != nil || l.LastVersion() != 0 {
		t.Fatal(err)
	}
}

// TestRequestValidate checks which field of an invalid request is reported, and what the fingerprint depends on.
func TestRequestValidate(t *testing.T) {
	good := Request{ID: "a", Base: new(uint64(3)), Settings: json.RawMessage(`{"x": 1}`), Who: "w", Why: "y"}
	if field, why := good.Validate(); field != "" {
		t.Fatal(field, why)
	}
	fingerprint, err := good.Fingerprint()
	if err != nil {
		t.Fatal(err)
	}
	good.Settings = json.RawMessage(`{ "x":1 }`)
	if again, _ := good.Fingerprint(); again != fingerprint {
		t.Fatal("the fingerprint depends on white space")
	}
	good.Why = "z"
	if other, _ := good.Fingerprint(); other == fingerprint {
		t.Fatal("the fingerprint does not depend on the field why")
	}
	for field, r := range map[string]Request{
		"base":     {ID: "a", Settings: json.RawMessage(`{}`), Who: "w", Why: "y"},
		"settings": {ID: "a", Base: new(uint64(1)), Settings: json.RawMessage(`{}`), Patch: json.RawMessage(`{}`), Who: "w", Why: "y"},
		"who":      {ID: "a", Base: new(uint64(1)), Settings: json.RawMessage(`{}`), Why: "y"},
	} {
		if got, _ := r.Validate(); got != field {
			t.Errorf("%s: %s", field, got)
		}
	}
}
