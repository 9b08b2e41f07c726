// Package experiment plays scenarios with several variants of a sender, on the same seeds, and reports whether they differ.
//
// It reads plans (plan.go), plays their runs (run.go), keeps the file of results (results.go) and has the statistics
// (compare.go). Each result is written as a line of JSON at once, so that an interrupted plan continues where it stopped.
// Results must not depend on the order in which runs end.
package experiment

import (
	"flaxcove/lab/referee"
	"flaxcove/lab/scenario"
	"flaxcove/lab/world"
)

// Plan is an experiment, as its file describes it.
type Plan struct {
	Name      string    `toml:"name"`
	About     string    `toml:"about"`
	Engine    string    `toml:"engine"` // simulated (the default) or sockets
	Scenarios []string  `toml:"scenarios"`
	Seeds     int       `toml:"seeds"`
	FirstSeed uint64    `toml:"first_seed"`
	Sizes     []float64 `toml:"sizes"` // factors on the senders, partners and rate of each scenario
	Base      string    `toml:"base"`  // the variant that others are compared with; the first by default
	Variants  []Variant `toml:"variant"`

	path  string
	lines map[string]int // of the file, by field
}

// Variant is one way to run senders.
type Variant struct {
	Name   string         `toml:"name"`
	Policy string         `toml:"policy"` // simulated only: see lab/baseline
	Binary string         `toml:"binary"` // another build of this program
	Set    map[string]any `toml:"set"`    // fields of the scenario, as in "sender.slots" = 4
}

// Job is one run.
type Job struct {
	Scenario string  `json:"scenario"`
	Size     float64 `json:"size"`
	Variant  string  `json:"variant"`
	Seed     uint64  `json:"seed"`
	Key      string  `json:"key"` // hash of everything that the run depends on

	spec    *world.Spec
	variant *Variant
	loaded  *scenario.Scenario
}

// Result is one line of the file of results.
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

// Sizes are how large a run was.
type Sizes struct {
	Senders  int `json:"S"`
	Partners int `json:"E"`
	Rate     int `json:"R"` // messages a second
}
