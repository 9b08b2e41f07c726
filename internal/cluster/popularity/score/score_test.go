package score

import (
	"math"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/view"
)

const halfLife = 30 * time.Second

func ranking(head view.Name, life view.Incarnation, seq uint64, age time.Duration, messages float64) Ranking {
	return Ranking{Version: Version{view.Life{Name: head, Incarnation: life}, seq}, Region: "r", Age: age, Processes: 10,
		Destinations: []choice.DestinationID{1}, Messages: []float64{messages}}
}

func TestWhichRankingCounts(t *testing.T) {
	other, negative, endless := ranking("a", 2, 9, 0, 1), ranking("a", 2, 9, -time.Hour, 1), ranking("a", 2, 9, time.Hour, 1)
	other.Region = "s" // a flash crowd in another region is nothing here
	invalid := ranking("a", 2, 9, 0, math.NaN())
	b := NewTable(halfLife)
	for i, c := range []struct {
		ranking Ranking
		want    bool
	}{
		{ranking("a", 2, 5, time.Second, 10), true},
		{ranking("a", 2, 5, time.Second, 10), false},
		{ranking("a", 2, 4, 0, 10), false}, // late
		{ranking("a", 1, 9, 0, 10), false}, // of the incarnation before
		{other, false}, {negative, false}, {endless, false}, {invalid, false},
		{ranking("b", 1, 1, 2*time.Second, 10), false}, // another coordinator's, older than the stored one
		{ranking("b", 1, 1, 0, 20), true},
		{ranking("a", 2, 6, time.Second, 10), false}, // the coordinator before it, late
	} {
		if b.Update(time.Minute, "r", c.ranking) != c.want {
			t.Error(i, c.ranking)
		}
	}
	if s := b.Score(time.Minute, 1, 3); s != 3+regionWeight*2 {
		t.Error("not the mean of ten processes and what is counted here", s)
	}
}

// An isolated process says so, and goes over to its own counts as the ranking decays; what is passed on grows older.
func TestIsolated(t *testing.T) {
	b := NewTable(halfLife)
	if !b.Isolated(0) || b.RankingFor(0, Version{}) != nil || b.Score(0, 1, 3) != 3 {
		t.Error("before any ranking came")
	}
	b.Update(0, "r", ranking("a", 1, 1, 0, 100))
	if b.Isolated(IsolatedAfter) || !b.Isolated(IsolatedAfter+1) {
		t.Error("isolated at the wrong age")
	}
	if s := b.Score(halfLife, 1, 3); math.Abs(s-3-regionWeight*10/2) > 1e-9 {
		t.Error(s)
	}
	if tell := b.RankingFor(time.Second, Version{}); tell == nil || tell.Age != time.Second {
		t.Error(tell)
	}
	if b.RankingFor(time.Second, b.Version()) != nil || b.RankingFor(maxAge+1, Version{}) != nil {
		t.Error("passed on what is known, or what is too old")
	}
}
