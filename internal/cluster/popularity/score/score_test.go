package score

import (
	"math"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/view"
)

const half = 30 * time.Second

func told(head view.Name, life view.Incarnation, seq uint64, age time.Duration, notices float64) Told {
	return Told{Mark: Mark{view.Life{Name: head, Incarnation: life}, seq}, Region: "r", Age: age, Processes: 10,
		Destinations: []choice.DestinationID{1}, Notices: []float64{notices}}
}

func TestWhichScoresCount(t *testing.T) {
	other, negative, endless := told("a", 2, 9, 0, 1), told("a", 2, 9, -time.Hour, 1), told("a", 2, 9, time.Hour, 1)
	other.Region = "s" // a flash crowd in another region is nothing here
	spoilt := told("a", 2, 9, 0, math.NaN())
	b := Make(half)
	for i, c := range []struct {
		told Told
		want bool
	}{
		{told("a", 2, 5, time.Second, 10), true},
		{told("a", 2, 5, time.Second, 10), false},
		{told("a", 2, 4, 0, 10), false}, // late
		{told("a", 1, 9, 0, 10), false}, // of the life before
		{other, false}, {negative, false}, {endless, false}, {spoilt, false},
		{told("b", 1, 1, 2*time.Second, 10), false}, // another head's, older than what is held
		{told("b", 1, 1, 0, 20), true},
		{told("a", 2, 6, time.Second, 10), false}, // the head before it, late
	} {
		if b.Take(time.Minute, "r", c.told) != c.want {
			t.Error(i, c.told)
		}
	}
	if s := b.Of(time.Minute, 1, 3); s != 3+regional*2 {
		t.Error("the mean of ten processes and what is seen here", s)
	}
}

// Cut off it says so, and goes over to its own sight as the scores fade; what is passed on grows older.
func TestCutOff(t *testing.T) {
	b := Make(half)
	if !b.Cut(0) || b.Tell(0, Mark{}) != nil || b.Of(0, 1, 3) != 3 {
		t.Error("before it heard any")
	}
	b.Take(0, "r", told("a", 1, 1, 0, 100))
	if b.Cut(CutAfter) || !b.Cut(CutAfter+1) {
		t.Error("cut")
	}
	if s := b.Of(half, 1, 3); math.Abs(s-3-regional*10/2) > 1e-9 {
		t.Error(s)
	}
	if tell := b.Tell(time.Second, Mark{}); tell == nil || tell.Age != time.Second {
		t.Error(tell)
	}
	if b.Tell(time.Second, b.Mark()) != nil || b.Tell(keep+1, Mark{}) != nil {
		t.Error("told what is known, or what is too old")
	}
}
