package score

import (
	"math"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/view"
)

const halfLife = 30 * time.Second

// ranking returns a ranking of ten processes with destination 1 only.
func ranking(coordinator view.Name, incarnation view.Incarnation, seq uint64, age time.Duration, messages float64) Ranking {
	return Ranking{Version: Version{view.Instance{Name: coordinator, Incarnation: incarnation}, seq}, Region: "r", Age: age, Processes: 10,
		Destinations: []choice.DestinationID{1}, Messages: []float64{messages}}
}

// TestWhichRankingCounts checks which rankings replace the stored one, and the score that results.
func TestWhichRankingCounts(t *testing.T) {
	other, negative, endless := ranking("a", 2, 9, 0, 1), ranking("a", 2, 9, -time.Hour, 1), ranking("a", 2, 9, time.Hour, 1)
	other.Region = "s" // another region's popularity does not count here
	invalid := ranking("a", 2, 9, 0, math.NaN())
	b := NewTable(halfLife)
	for i, c := range []struct {
		ranking Ranking
		want    bool
	}{
		{ranking("a", 2, 5, time.Second, 10), true},
		{ranking("a", 2, 5, time.Second, 10), false},
		{ranking("a", 2, 4, 0, 10), false}, // an older one that arrives late
		{ranking("a", 1, 9, 0, 10), false}, // of the coordinator's earlier incarnation
		{other, false}, {negative, false}, {endless, false}, {invalid, false},
		{ranking("b", 1, 1, 2*time.Second, 10), false}, // of another coordinator, older than the stored one
		{ranking("b", 1, 1, 0, 20), true},
		{ranking("a", 2, 6, time.Second, 10), false}, // of the previous coordinator, arriving late
	} {
		if b.Update(time.Minute, "r", c.ranking) != c.want {
			t.Errorf("case %d: ranking %+v, want stored %v", i, c.ranking, c.want)
		}
	}
	if s := b.Score(time.Minute, 1, 3); s != 3+regionWeight*2 {
		t.Errorf("score %v, want the own count of 3 plus the weighted mean of ten processes", s)
	}
}

// TestIsolated checks that a process without a recent ranking reports that it is isolated, that its score decays to its own count, and
// that the ranking it passes on carries its age.
func TestIsolated(t *testing.T) {
	b := NewTable(halfLife)
	if !b.Isolated(0) || b.RankingFor(0, Version{}) != nil || b.Score(0, 1, 3) != 3 {
		t.Error("wrong result before any ranking was received")
	}
	b.Update(0, "r", ranking("a", 1, 1, 0, 100))
	if b.Isolated(IsolatedAfter) || !b.Isolated(IsolatedAfter+1) {
		t.Error("the process is isolated at the wrong age of its ranking")
	}
	if s := b.Score(halfLife, 1, 3); math.Abs(s-3-regionWeight*10/2) > 1e-9 {
		t.Errorf("score %v after one half-life", s)
	}
	if passedOn := b.RankingFor(time.Second, Version{}); passedOn == nil || passedOn.Age != time.Second {
		t.Errorf("ranking to pass on: %+v, want one with an age of 1 s", passedOn)
	}
	if b.RankingFor(time.Second, b.Version()) != nil || b.RankingFor(maxAge+1, Version{}) != nil {
		t.Error("a ranking is passed on that the receiver has or that is too old")
	}
}
