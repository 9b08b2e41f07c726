// Package schedule describes what happens to a cluster of real processes, and when.
//
// It has the format of schedule files, draws schedules from a seed (draw.go) and shrinks failing ones (shrink.go). A
// schedule names processes by number and times from the start, never addresses, so that it can be replayed anywhere.
package schedule

import (
	"bytes"
	"fmt"

	"github.com/pelletier/go-toml/v2"

	"flaxcove/internal/tomlfile"
)

// Schedule is one run.
type Schedule struct {
	Name      string  `toml:"name"`
	About     string  `toml:"about"`
	Seed      uint64  `toml:"seed"`
	Processes int     `toml:"processes"`
	Zones     int     `toml:"zones"`
	Regions   int     `toml:"regions"`
	Seconds   float64 `toml:"seconds"` // of traffic
	Rate      float64 `toml:"rate"`    // messages a second
	Small     []int   `toml:"small"`   // processes of the small size
	// Founders of the consensus group; spread over the zones if none is named. A single one is the first leader.
	Founders []int `toml:"founders"`
	// AtOnce begins the run before the consensus group has a leader. Else times count from when it has one.
	AtOnce  bool     `toml:"at_once"`
	Faults  []Fault  `toml:"fault"`
	Purges  []Purge  `toml:"purge"`
	Changes []Change `toml:"change"`
	Expect  Expect   `toml:"expect"`
}

// Expect is what a run must show beyond the promises that always hold. It is checked only if the machine was not too busy.
type Expect struct {
	// Moves expects a routing plan in force at most processes for each fall of a zone, and none at the end.
	Moves bool `toml:"moves"`
	// MostPlans is the largest number of plans beyond the first; 0 for any number.
	MostPlans int `toml:"most_plans"`
}

// Fault is one thing that goes wrong for a time.
type Fault struct {
	Kind    string    `toml:"kind"`
	At      float64   `toml:"at"`
	Seconds float64   `toml:"seconds"`
	From    []int     `toml:"from"`    // processes that it affects, or whose messages
	To      []int     `toml:"to"`      // to these processes; to all others if none is named
	Every   float64   `toml:"every_s"` // of a flap, or a zone that flaps: how long each state lasts
	MS      float64   `toml:"ms"`      // delay, for late
	Zone    int       `toml:"zone"`    // from 1, for zone
	Select  Selection `toml:"select"`  // in place of From, for fleets too large to name each process
	Steps   int       `toml:"steps"`   // for rolling
}

// Kinds are the kinds of fault, each with a description.
var Kinds = map[string]string{
	"cut":     "messages between the two groups are lost, both ways",
	"one_way": "messages from the first to the second are lost, not those back",
	"flap":    "a cut that comes and goes",
	"stall":   "messages between them are held back, then all come",
	"late":    "messages between them come later",
	"reset":   "connections between them are reset, once",
	"stop":    "the processes stand still, and wake",
	"kill":    "they are killed, and started again on their folders",
	"empty":   "they are killed, and started again with empty folders",
	"leader":  "whoever leads the council then is killed, and started again",
	"zone":    "the endpoints of a zone say nothing",
}

// FleetKinds are the kinds that only package scale plays; they are not drawn.
var FleetKinds = map[string]string{
	"rolling": "all are ended as planned and started again, in steps, the next when the one before is back",
}

// Purge is a purge that is ordered at a time from a process.
type Purge struct {
	At          float64 `toml:"at"`
	By          int     `toml:"by"`
	Subject     string  `toml:"subject"` // messages or learnt
	Destination int     `toml:"destination"`
	Class       string  `toml:"workload"`
}

// Change is a change of the shared settings that is ordered at a time from a process.
type Change struct {
	At float64 `toml:"at"`
	By int     `toml:"by"`
	// Back restores the settings from before the newest version.
	Back bool `toml:"back"`
}

// Parse reads a schedule; name is the file's name in error messages.
func Parse(name string, text []byte) (*Schedule, error) {
	s := Schedule{Zones: 1, Regions: 1, Rate: 40, Seconds: 10}
	if err := tomlfile.Decode(name, text, &s); err != nil {
		return nil, err
	}
	return &s, tomlfile.At(name, text, s.Check())
}

// Write returns the text of a schedule file.
func Write(s *Schedule) ([]byte, error) {
	var out bytes.Buffer
	err := toml.NewEncoder(&out).Encode(s)
	return out.Bytes(), err
}

// CheckNamesProcesses returns an error unless all faults name their processes one by one, which package play requires.
func (s *Schedule) CheckNamesProcesses() error {
	for i, f := range s.Faults {
		if f.Select != (Selection{}) || FleetKinds[f.Kind] != "" {
			return fmt.Errorf("fault[%d]: %q with drawn processes is for large fleets", i, f.Kind)
		}
	}
	return nil
}

// LastFaultEnd is when the last fault ends, in seconds.
func (s *Schedule) LastFaultEnd() (at float64) {
	for _, f := range s.Faults {
		at = max(at, f.At+f.Seconds)
	}
	return at
}
