package hunt

import (
	"math/rand/v2"
	"testing"

	"flaxcove/lab/referee"
	"flaxcove/lab/world"
)

// TestFoundScenariosAreReplayed checks that each stored find is still in the recorded state: a fixed one breaks no rule, and
// an open one breaks its rule and no other.
func TestFoundScenariosAreReplayed(t *testing.T) {
	all, err := Found()
	if err != nil {
		t.Fatal(err)
	}
	for _, find := range all {
		t.Run(find.Name, func(t *testing.T) {
			t.Parallel()
			outcome, err := RunSimulated(&find.Spec, find.Found.Seed, false)
			if err != nil {
				t.Fatal(err)
			}
			for rule, n := range outcome.Rules {
				if !find.Found.Open || rule != find.Found.Rule {
					t.Errorf("rule %s broken %d times", rule, n)
				}
			}
			if find.Found.Open && find.Found.Rule != "" && outcome.Rules[find.Found.Rule] == 0 {
				t.Errorf("rule %s is no longer broken; set open to false in the find's file", find.Found.Rule)
			}
		})
	}
}

// TestDrawnScenariosAreValid checks that drawn scenarios pass world.Spec.Check at all sizes.
func TestDrawnScenariosAreValid(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		if problems := Draw(rng, 0.5+rng.Float64()*10).Check(); problems != nil {
			t.Fatal(problems)
		}
	}
}

// TestShrinkKeepsTheFind checks that Shrink keeps the parts of a scenario that the find needs, here a crash and two senders,
// and removes the others.
func TestShrinkKeepsTheFind(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	spec := Draw(rng, 4)
	spec.Faults = append(spec.Faults, world.Fault{Kind: "crash", At: 3, Seconds: 4, Selector: world.Selector{Share: 0.5}})
	spec.Defaults()
	runs := 0
	run := func(s *world.Spec, _ uint64, _ bool) (Outcome, error) {
		runs++
		for _, fault := range s.Faults {
			if fault.Kind == "crash" && s.Senders >= 2 {
				return Outcome{Rules: map[referee.Rule]int{referee.Returns: 1}}, nil
			}
		}
		return Outcome{}, nil
	}
	small, outcome, err := Shrink(spec, 1, Goal{RulesOnly: true}, run, 400, nil)
	if err != nil {
		t.Fatal(err)
	}
	if outcome.Rules[referee.Returns] != 1 || small.Senders != 2 || len(small.Faults) != 1 || len(small.Partners) != 1 || runs > 401 {
		t.Errorf("after %d runs: %d senders, %d faults, %d kinds of destination", runs, small.Senders, len(small.Faults), len(small.Partners))
	}
}
