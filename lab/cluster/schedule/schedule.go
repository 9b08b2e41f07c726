// Package schedule defines schedules: the faults, purges and changes of a test run with real processes, and their times.
//
// It reads and writes schedule files, draws schedules from a seed (draw.go) and shrinks failing ones (shrink.go). A schedule
// refers to processes by number, gives times in seconds from the start and contains no addresses, so that it can be replayed
// on any machine.
package schedule

import (
	"bytes"
	"fmt"

	"github.com/pelletier/go-toml/v2"

	"flaxcove/internal/tomlfile"
)

// Schedule describes one run. Its fields are the keys of a schedule file.
type Schedule struct {
	Name      string  `toml:"name"`
	About     string  `toml:"about"`
	Seed      uint64  `toml:"seed"`
	Processes int     `toml:"processes"`
	Zones     int     `toml:"zones"`
	Regions   int     `toml:"regions"`
	Seconds   float64 `toml:"seconds"` // duration of the traffic
	Rate      float64 `toml:"rate"`    // messages a second
	Small     []int   `toml:"small"`   // numbers of the processes of the small size
	// Founders are the numbers of the processes that found the consensus group. If empty, the large ones among the first
	// processes do, five at most; processes are assigned to the zones in turn. A single founder is the first leader.
	Founders []int `toml:"founders"`
	// AtOnce starts the run before the consensus group has a leader. Otherwise times count from the election of a leader.
	AtOnce  bool     `toml:"at_once"`
	Faults  []Fault  `toml:"fault"`
	Purges  []Purge  `toml:"purge"`
	Changes []Change `toml:"change"`
	Expect  Expect   `toml:"expect"`
}

// Expect holds conditions that a run must meet in addition to the promises of package judge. They are checked only if the
// machine kept time.
type Expect struct {
	// Moves expects a routing plan in force at most processes for each outage of a zone, and no plan with routes at the end.
	Moves bool `toml:"moves"`
	// MostPlans is the largest allowed number of plans after the first; 0 for no limit.
	MostPlans int `toml:"most_plans"`
}

// Fault is one fault. Kind selects the fields that apply; At and Seconds are its start and duration in seconds.
type Fault struct {
	Kind    string    `toml:"kind"`
	At      float64   `toml:"at"`
	Seconds float64   `toml:"seconds"`
	From    []int     `toml:"from"`    // affected processes; for a fault of links, the senders of the affected messages
	To      []int     `toml:"to"`      // receivers of the affected messages; all other processes if empty
	Every   float64   `toml:"every_s"` // for flap, and for a zone that flaps: duration of each state
	MS      float64   `toml:"ms"`      // for late: the delay in milliseconds
	Zone    int       `toml:"zone"`    // for zone: number of the zone, from 1
	Select  Selection `toml:"select"`  // replaces From in fleets that are too large to list processes
	Steps   int       `toml:"steps"`   // for rolling: number of steps
}

// Kinds describes each kind of fault that package play injects.
var Kinds = map[string]string{
	"cut":     "messages between the two groups are lost in both directions",
	"one_way": "messages from the first group to the second are lost, those in the opposite direction are not",
	"flap":    "a cut that starts and ends repeatedly",
	"stall":   "messages between the two groups are held back and then delivered",
	"late":    "messages between the two groups are delayed",
	"reset":   "connections between the two groups are reset once",
	"stop":    "the processes are stopped and later continued",
	"kill":    "the processes are killed and started again with their folders",
	"empty":   "the processes are killed and started again with empty folders",
	"leader":  "the current leader of the consensus group is killed and started again",
	"zone":    "the endpoints of a zone do not answer",
}

// FleetKinds describes the kinds of fault that only package scale injects. Draw does not draw them.
var FleetKinds = map[string]string{
	"rolling": "all processes are shut down gracefully and started again in steps; each step begins after the one before has started its processes",
}

// Purge is a purge that is ordered from process By at second At.
type Purge struct {
	At          float64 `toml:"at"`
	By          int     `toml:"by"`
	Subject     string  `toml:"subject"` // notices (messages) or learnt
	Destination int     `toml:"destination"`
	Class       string  `toml:"workload"`
}

// Change is a change of the shared settings that is ordered from process By at second At.
type Change struct {
	At float64 `toml:"at"`
	By int     `toml:"by"`
	// Back restores the settings of the version before the newest one.
	Back bool `toml:"back"`
}

// Parse decodes and checks a schedule; name is the name of the file in error messages.
func Parse(name string, text []byte) (*Schedule, error) {
	s := Schedule{Zones: 1, Regions: 1, Rate: 40, Seconds: 10}
	if err := tomlfile.Decode(name, text, &s); err != nil {
		return nil, err
	}
	return &s, tomlfile.LocateProblems(name, text, s.Check())
}

// Write encodes a schedule as the text of a schedule file.
func Write(s *Schedule) ([]byte, error) {
	var out bytes.Buffer
	err := toml.NewEncoder(&out).Encode(s)
	return out.Bytes(), err
}

// CheckNamesProcesses returns an error unless all faults list their processes in From, which package play requires.
func (s *Schedule) CheckNamesProcesses() error {
	for i, f := range s.Faults {
		if f.Select != (Selection{}) || FleetKinds[f.Kind] != "" {
			return fmt.Errorf("fault[%d]: kind %q with selected processes can only be played with a large fleet", i, f.Kind)
		}
	}
	return nil
}

// LastFaultEnd returns the end of the last fault in seconds; 0 without faults.
func (s *Schedule) LastFaultEnd() (at float64) {
	for _, f := range s.Faults {
		at = max(at, f.At+f.Seconds)
	}
	return at
}
