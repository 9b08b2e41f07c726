package hunt

import (
	"math/rand/v2"
	"testing"

	"flaxcove/lab/referee"
	"flaxcove/lab/world"
)

// Finds stay in the state that is written down: what is mended stays mended, and what is open is still known to be.
func TestFoundScenariosAreReplayed(t *testing.T) {
	all, err := Found()
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range all {
		t.Run(k.Name, func(t *testing.T) {
			t.Parallel()
			p, err := Simulated(&k.Spec, k.Found.Seed, false)
			if err != nil {
				t.Fatal(err)
			}
			for rule, n := range p.Rules {
				if !k.Found.Open || rule != k.Found.Rule {
					t.Errorf("rule %s broken %d times", rule, n)
				}
			}
			if k.Found.Open && k.Found.Rule != "" && p.Rules[k.Found.Rule] == 0 {
				t.Errorf("rule %s is kept now; the find is no longer open", k.Found.Rule)
			}
		})
	}
}

// A drawn scenario is always one that can be played.
func TestDrawnScenariosAreValid(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		if p := Draw(rng, 0.5+rng.Float64()*10).Check(); p != nil {
			t.Fatal(p)
		}
	}
}

// Shrinking keeps what it looks for and takes the rest away.
func TestShrinkKeepsTheFind(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	spec := Draw(rng, 4)
	spec.Faults = append(spec.Faults, world.Fault{Kind: "crash", At: 3, Seconds: 4, Selector: world.Selector{Share: 0.5}})
	spec.Defaults()
	runs := 0
	play := func(s *world.Spec, _ uint64, _ bool) (Outcome, error) {
		runs++
		for _, tr := range s.Faults {
			if tr.Kind == "crash" && s.Senders >= 2 {
				return Outcome{Rules: map[referee.Rule]int{referee.Returns: 1}}, nil
			}
		}
		return Outcome{}, nil
	}
	small, p, err := Shrink(spec, 1, Goal{Rules: true}, play, 400, nil)
	if err != nil {
		t.Fatal(err)
	}
	if p.Rules[referee.Returns] != 1 || small.Senders != 2 || len(small.Faults) != 1 || len(small.Partners) != 1 || runs > 401 {
		t.Errorf("after %d runs: %d senders, %d troubles, %d kinds", runs, small.Senders, len(small.Faults), len(small.Partners))
	}
}
