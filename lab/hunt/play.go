package hunt

// This file plays a run of a hunt in simulated time and computes the gap to the policy that sees the true state.

import (
	"flaxcove/lab/baseline"
	"flaxcove/lab/sim"
	"flaxcove/lab/world"
)

// Simulated plays a scenario in simulated time.
func Simulated(spec *world.Spec, seed uint64, bound bool) (Outcome, error) {
	v, err := sim.Run(sim.Options{Spec: spec, Seed: seed})
	if err != nil {
		return Outcome{}, err
	}
	p := Outcome{Rules: v.Rules}
	if bound && !v.Broken() {
		b, err := sim.Run(sim.Options{Spec: spec, Seed: seed, Policy: baseline.Named("all_seen")})
		if err != nil {
			return p, err
		}
		if b.Service > 0 {
			p.Gap = (b.Service - v.Service) / b.Service
		}
	}
	return p, nil
}
