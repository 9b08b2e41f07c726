package schedule

import (
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var size = Size{Processes: 7, Zones: 3, Regions: 2, Seconds: 12, Rate: 60, Faults: 4, Purges: 2, Changes: 2}

// TestDrawnSchedulesRoundTrip checks for many seeds that a drawn schedule can be written and read without change, that drawing
// is repeatable, that all faults end in time, and that all kinds are drawn.
func TestDrawnSchedulesRoundTrip(t *testing.T) {
	kinds := map[string]bool{}
	for seed := range uint64(60) {
		s := Draw(seed, size)
		text, err := Write(s)
		if err != nil {
			t.Fatal(err)
		}
		back, err := Parse("drawn.toml", text)
		if err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, text)
		}
		again, _ := Write(back)
		if diff := cmp.Diff(string(text), string(again)); diff != "" {
			t.Errorf("seed %d: %s", seed, diff)
		}
		if diff := cmp.Diff(s, Draw(seed, size)); diff != "" {
			t.Errorf("seed %d gives another schedule the second time: %s", seed, diff)
		}
		if s.LastFaultEnd() > size.Seconds-2 {
			t.Errorf("seed %d: the last fault ends too late, at %g s", seed, s.LastFaultEnd())
		}
		for _, f := range s.Faults {
			kinds[f.Kind] = true
		}
	}
	if len(kinds) != len(Kinds) {
		t.Errorf("only the kinds %v of %d were drawn", kinds, len(Kinds))
	}
}

// TestCheckNamesInvalidFields checks that the error names every invalid field and its value.
func TestCheckNamesInvalidFields(t *testing.T) {
	_, err := Parse("bad.toml", []byte("processes = 3\n[[fault]]\nkind = \"earthquake\"\nat = 1\nfrom = [4]\n[[purge]]\nsubject = \"all\"\n[[change]]\nat = 11\nby = 9\n"))
	for _, want := range []string{"bad.toml:3", "earthquake", "no process 4", "\"all\"", "no process 9", "11 does not lie"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v does not contain %q", err, want)
		}
	}
}

// TestShrinkKeepsFailure checks that shrinking keeps only the fault and process that make the schedule fail.
func TestShrinkKeepsFailure(t *testing.T) {
	s := &Schedule{Processes: 7, Faults: []Fault{{Kind: "late", From: []int{1}}, {Kind: "kill", From: []int{2, 3, 4}}, {Kind: "cut", From: []int{5}}},
		Purges: []Purge{{By: 1}}, Changes: []Change{{By: 1}}}
	small := Shrink(s, 1000, func(s *Schedule) bool {
		return slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.Kind == "kill" && slices.Contains(f.From, 3) })
	})
	if len(small.Faults) != 1 || len(small.Purges)+len(small.Changes) != 0 || !slices.Equal(small.Faults[0].From, []int{3}) {
		t.Errorf("shrunk schedule: %+v", small)
	}
}
