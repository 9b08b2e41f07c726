package spread

// This file holds the tests of summaries, messages and the roster.

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/cluster/view"
)

// TestSummaryIsBounded checks that the size of a summary is bounded for many children, versions and laggards.
func TestSummaryIsBounded(t *testing.T) {
	s := New(view.Instance{Name: "p", Incarnation: 1}, configuration.Document{Version: 2000, Sum: "x"}, 2000)
	var children []view.Instance
	for i := range 1000 {
		children = append(children, view.Instance{Name: view.Name(fmt.Sprintf("a-rather-long-name-of-a-process-%05d", i)), Incarnation: 1 << 50})
	}
	s.SetTree(Parent{}, children, 0)
	for i, instance := range children {
		version := uint64(i + 1)
		s.HandleReport(Report{From: instance, ReportNo: 1, Held: Digest{version, "y"}, InForce: version, Summary: Summary{Members: 1,
			InForce:  []Count{{version, 1}},
			Laggards: []Laggard{{instance.Name, version, Rejected, truncated(string(make([]byte, 3*maxReasonBytes))), 1}}}}, 0)
	}
	sum := s.Summary(time.Minute)
	if sum.Members != 1001 || len(sum.Laggards) != MaxLaggards || sum.Unnamed != 1000-MaxLaggards || len(sum.InForce) != MaxCounts {
		t.Fatalf("%+v", sum)
	}
	total := sum.Older
	for _, c := range sum.InForce {
		total += c.Members
	}
	if total != 1001 {
		t.Fatal(total)
	}
	sum.Laggards[0].Text = ""
	if text, err := json.Marshal(sum); err != nil || len(text) > MaxLaggards*8*maxReasonBytes {
		t.Fatal(len(text), err)
	}
}

// FuzzHandleUpdate checks that arbitrary bytes as an update cause no panic and no content with a wrong checksum. The
// seeds include unknown fields, which a receiver ignores.
func FuzzHandleUpdate(f *testing.F) {
	f.Add([]byte(`{"from":{"name":"p"},"h":{"v":2,"s":"x"},"c":{"v":2,"s":"x","b":{"v":1},"p":{"a":1},"later":[1]},"later":{}}`))
	f.Add([]byte(`{"h":{"v":3},"c":{"v":3,"w":"H4sIAAAAAAAA"}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var update Update
		if json.Unmarshal(text, &update) != nil {
			return
		}
		held, err := configuration.NewDocument(1, json.RawMessage(`{"a":0}`))
		if err != nil {
			t.Fatal(err)
		}
		s := New(view.Instance{Name: "p", Incarnation: 1}, held, 1)
		s.HandleUpdate(update, 0)
		if got := s.Newest(); got.Version < 1 || configuration.SumOf(got.Settings) != got.Sum {
			t.Fatalf("%+v", got)
		}
	})
}

// TestRosterAndProgress checks the versions of absent processes in a Roster, and the times in a Progress.
func TestRosterAndProgress(t *testing.T) {
	member := func(name view.Name, state view.State) view.Member {
		return view.Member{Instance: view.Instance{Name: name, Incarnation: 1}, State: state}
	}
	var r Roster
	r.UpdateView(view.New("a", 1, []view.Member{member("a", view.Alive), member("b", view.Alive), member("c", view.Alive)}), 0)
	r.RecordSummary(Summary{Members: 3, InForce: []Count{{7, 2}, {5, 1}}, Laggards: []Laggard{{Name: "c", Version: 5, Reason: Rejected}}})
	r.RecordSummary(Summary{Members: 2, InForce: []Count{{9, 2}}}) // ignored, as it does not cover all processes
	r.UpdateView(view.New("a", 2, []view.Member{member("a", view.Alive), member("b", view.Dead), member("c", view.Dead)}), time.Second)
	absent, more := r.AbsentMembers(3 * time.Second)
	if len(absent) != 2 || more != 0 || absent[0].Version != 7 || !absent[0].VersionKnown || absent[1].Version != 5 || absent[1].SinceMS != 2000 || r.PresentCount() != 1 {
		t.Fatalf("%+v", absent)
	}
	r.UpdateView(view.New("a", 3, []view.Member{member("a", view.Alive), member("b", view.Left), member("c", view.Alive)}), 4*time.Second)
	if absent, _ := r.AbsentMembers(4 * time.Second); len(absent) != 0 || r.PresentCount() != 2 {
		t.Fatalf("%+v", absent)
	}

	var p Progress
	p.Begin(3, true, time.Second)
	p.RecordInForce(1, 4, 1100*time.Millisecond)
	p.RecordInForce(2, 4, 1200*time.Millisecond)
	p.RecordInForce(4, 4, 1500*time.Millisecond)
	if p.At50 != 200*time.Millisecond || p.At95 != 500*time.Millisecond || p.At100 != 500*time.Millisecond {
		t.Fatalf("%+v", p)
	}
	p.Begin(2, true, 2*time.Second)
	if p.Version != 3 {
		t.Fatal("the progress went back to an older version")
	}
	p.Begin(4, false, 2*time.Second)
	if p.RecordInForce(4, 4, 3*time.Second); p.At100 != 0 {
		t.Fatal("a time was recorded for a version that an earlier leader committed")
	}
}
