package sim_test

import (
	"testing"

	"flaxcove/lab/scenario"
	"flaxcove/lab/sim"
)

// TestReturnOfClosingDestinations guards against a destination that is overloaded when it returns because, while it was shut, it
// closed the connection of each call that it refused.
func TestReturnOfClosingDestinations(t *testing.T) {
	s, err := scenario.Find("fleet-closing", "")
	if err != nil {
		t.Fatal(err)
	}
	for seed := uint64(1); seed <= 3; seed++ {
		if v := run(t, sim.Options{Spec: s.Spec, Seed: seed}); v.Broken() || v.PushedOver > 0 {
			t.Errorf("seed %d: %d times a destination was overloaded when it returned", seed, v.PushedOver)
		}
	}
}
