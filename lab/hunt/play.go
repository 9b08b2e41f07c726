package hunt

// This file executes the runs of a hunt in simulated time.

import (
	"flaxcove/lab/baseline"
	"flaxcove/lab/sim"
	"flaxcove/lab/world"
)

// RunSimulated is a RunFunc that runs a scenario in simulated time.
func RunSimulated(spec *world.Spec, seed uint64, bound bool) (Outcome, error) {
	v, err := sim.Run(sim.Options{Spec: spec, Seed: seed})
	if err != nil {
		return Outcome{}, err
	}
	o := Outcome{Rules: v.Rules}
	if bound && !v.Broken() {
		b, err := sim.Run(sim.Options{Spec: spec, Seed: seed, Policy: baseline.Named("all_seen")})
		if err != nil {
			return o, err
		}
		if b.Service > 0 {
			o.Gap = (b.Service - v.Service) / b.Service
		}
	}
	return o, nil
}
