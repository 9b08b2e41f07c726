// Package experiment runs scenarios with several variants of a sender, on the same seeds, and computes how the variants
// differ.
//
// It reads plans (plan.go), executes their runs (run.go and single.go), stores the results (results.go) and computes the
// statistics (compare.go). Each result is written at once as a line of JSON, so that an interrupted plan can resume where it
// stopped. Results must not depend on the order in which runs end.
package experiment

import (
	"flaxcove/lab/referee"
	"flaxcove/lab/scenario"
	"flaxcove/lab/world"
)

// Plan is an experiment, as described by its TOML file.
type Plan struct {
	Name      string    `toml:"name"`
	About     string    `toml:"about"`
	Engine    string    `toml:"engine"` // simulated (the default) or sockets
	Scenarios []string  `toml:"scenarios"`
	Seeds     int       `toml:"seeds"`      // number of runs of each scenario, size and variant
	FirstSeed uint64    `toml:"first_seed"` // further seeds follow one by one; 1 by default
	Sizes     []float64 `toml:"sizes"`      // factors on each scenario's numbers of senders and destinations and its rate
	Base      string    `toml:"base"`       // the variant with which the others are compared; the first by default
	Variants  []Variant `toml:"variant"`

	path  string
	lines map[string]int // line numbers in the file, by field
}

// Variant is one of the sender configurations that an experiment compares.
type Variant struct {
	Name   string         `toml:"name"`
	Policy string         `toml:"policy"` // see lab/baseline; engine simulated only
	Binary string         `toml:"binary"` // path of another build of this program; "" for this one
	Set    map[string]any `toml:"set"`    // fields of the scenario to change, for example "sender.slots" = 4
}

// Job is one run of a plan.
type Job struct {
	Scenario string  `json:"scenario"`
	Size     float64 `json:"size"`
	Variant  string  `json:"variant"`
	Seed     uint64  `json:"seed"`
	Key      string  `json:"key"` // hash of the scenario, engine, policy and binary; with Seed it identifies the run

	spec    *world.Spec
	variant *Variant
	loaded  *scenario.Scenario
}

// Result is the result of one run, stored as one line of the results file. Its figures are those of the run's verdict.
type Result struct {
	Job
	Engine    string                 `json:"engine"`
	Figure    float64                `json:"figure"`
	Service   float64                `json:"service"`
	Rules     map[referee.Rule]int   `json:"rules,omitempty"`
	Void      string                 `json:"void,omitempty"`
	Error     string                 `json:"error,omitempty"`
	Asked     int                    `json:"asked"`
	Delivered int                    `json:"delivered"`
	InTime    int                    `json:"in_time"`
	Calls     int                    `json:"calls"`
	Refusals  int                    `json:"refusals"`
	Classes   []referee.Class        `json:"workloads,omitempty"`
	Engines   *referee.EngineFigures `json:"engine_figures,omitempty"`
	Sizes     Sizes                  `json:"sizes"`
}

// Sizes holds the size of a run.
type Sizes struct {
	Senders      int `json:"S"`
	Destinations int `json:"E"` // number of destinations
	Rate         int `json:"R"` // messages per second
}
