// Package schedule says what befalls a cluster of real processes, when, and how that is written down and drawn.
//
// It owns the file's form, the drawing of schedules from a seed, and their shrinking (shrink.go). A schedule names
// processes by number and times from the start; it never names addresses, so that it is replayed alike anywhere. It
// must never run anything.
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
	// Founders of the council; drawn over the zones where none is named. A sole one leads at first.
	Founders []int `toml:"founders"`
	// AtOnce begins before the council has a leader; else all that is timed is timed from when it has one.
	AtOnce  bool     `toml:"at_once"`
	Faults  []Fault  `toml:"fault"`
	Purges  []Purge  `toml:"purge"`
	Changes []Change `toml:"change"`
	Expect  Expect   `toml:"expect"`
}

// Expect is what must be seen in a run beyond what is promised always; asked only of a machine that keeps time.
type Expect struct {
	// Moves says that each fall of a zone has a plan in force at most processes, and that at the end all goes near.
	Moves bool `toml:"moves"`
	// MostPlans beyond the first; 0 for any number.
	MostPlans int `toml:"most_plans"`
}

// Fault is one thing that goes wrong for a time.
type Fault struct {
	Kind    string    `toml:"kind"`
	At      float64   `toml:"at"`
	Seconds float64   `toml:"seconds"`
	From    []int     `toml:"from"`    // processes that it strikes; whose messages are struck
	To      []int     `toml:"to"`      // on their way to these; all others where none is named
	Every   float64   `toml:"every_s"` // of a flap, or a zone that flaps: how long it is off, and on
	MS      float64   `toml:"ms"`      // of late
	Zone    int       `toml:"zone"`    // from 1, of what strikes endpoints
	Select  Selection `toml:"select"`  // in the place of From, for fleets too large to name each
	Steps   int       `toml:"steps"`   // of rolling
}

// Kinds are all that a fault may be, each with what it does.
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

// FleetKinds are those that only a player of large fleets knows; none is drawn.
var FleetKinds = map[string]string{
	"rolling": "all are ended as planned and started again, in steps, the next when the one before is back",
}

// Purge is one order to withdraw, given at a time to a process.
type Purge struct {
	At          float64 `toml:"at"`
	By          int     `toml:"by"`
	Subject     string  `toml:"subject"` // messages or learnt
	Destination int     `toml:"destination"`
	Class       string  `toml:"workload"`
}

// Change is one change of the settings that all share, ordered at a time from a process.
type Change struct {
	At float64 `toml:"at"`
	By int     `toml:"by"`
	// Back has the settings return to what they were before the newest version.
	Back bool `toml:"back"`
}

// Parse reads a schedule; name stands for it in messages.
func Parse(name string, text []byte) (*Schedule, error) {
	s := Schedule{Zones: 1, Regions: 1, Rate: 40, Seconds: 10}
	if err := tomlfile.Decode(name, text, &s); err != nil {
		return nil, err
	}
	return &s, tomlfile.At(name, text, s.Check())
}

// Write makes a file's text.
func Write(s *Schedule) ([]byte, error) {
	var out bytes.Buffer
	err := toml.NewEncoder(&out).Encode(s)
	return out.Bytes(), err
}

// CheckNamesProcesses tells whether all faults name their processes one by one, as a player of few processes takes them.
func (s *Schedule) CheckNamesProcesses() error {
	for i, f := range s.Faults {
		if f.Select != (Selection{}) || FleetKinds[f.Kind] != "" {
			return fmt.Errorf("fault[%d]: %q with drawn processes is for large fleets", i, f.Kind)
		}
	}
	return nil
}

// LastFaultEnd is when the last fault is over, in seconds.
func (s *Schedule) LastFaultEnd() (at float64) {
	for _, f := range s.Faults {
		at = max(at, f.At+f.Seconds)
	}
	return at
}
