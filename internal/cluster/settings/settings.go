// Package settings reads what a process is told of the cluster: one TOML file, handed to `serve --cluster`.
//
// It owns the file's form (form.go), all that can be wrong with it (check.go, address.go), and the defaults.
// Whatever passes can be run with; every problem is told at once, with file, line and field. It must never take a
// part of a file, guess at a value that is there but wrong, open a socket, or look at the folder: that is
// settings/folder.
package settings

import (
	"os"
	"path/filepath"

	"flaxcove/internal/cluster/view"
)

// Settings is one process's file. Addresses are host:port, ready to be listened at or dialled.
type Settings struct {
	Cluster  string // its name; who carries another is refused
	Here     Here
	Members  []Member // the seeds, by name; may hold this process too
	Zones    map[view.Zone]view.Region
	Founders []view.Name // who begins the council, by name; the same in every process's file
	Uses     Uses
	Bounds   Bounds
	// Advice is what is allowed and yet seldom meant, a line each, for the log.
	Advice []string
}

// Here is this process.
type Here struct {
	Name   view.Name
	Zone   view.Zone
	Region view.Region // of the zone
	Size   view.Size
	Folder string // where its incarnation and its part of the council last; of its own, and absolute
	Listen Addresses
}

// Member is a seed: where this process reaches another, which may be a relay and not where that one listens.
type Member struct {
	Name   view.Name
	Zone   view.Zone
	Region view.Region
	Reach  Addresses
}

// Addresses are those of one process: gossip is UDP and TCP, the others TCP.
type Addresses struct{ Gossip, Consensus, HTTP string }

// Uses are what the cluster is used for, each off unless switched on.
type Uses struct{ Failover, Purges, Popularity, Configuration bool }

// Bounds are what this process holds at most.
type Bounds struct {
	Destinations      int // places, a destination in one zone each, in the tables of what was seen
	SmallDestinations int // destinations that a small process holds what was learnt of
	SmallBytes        int // and their bytes
	Purges            int // in the ledger
}

// Defaults and ranges of the bounds. Guesses with room: the largest fleet drawn has 3,000 destinations in 12 zones,
// the longest list of purges asked for is ten thousand. The ceilings keep a slip of the finger from taking the
// machine.
const (
	defaultDestinations, leastDestinations, mostDestinations = 40_000, 16, 1_000_000
	defaultSmall, leastSmall, mostSmall                      = 500, 1, 1_000_000
	defaultBytes, leastBytes, mostBytes                      = 4 << 20, 16 << 10, 1 << 30
	defaultPurges, leastPurges, mostPurges                   = 20_000, 16, 1_000_000
	// mostMembers bounds the seeds; twice the largest fleet that was simulated.
	mostMembers = 2_000
	// mostFounders is the most voters that a council has, whatever the size of the fleet.
	mostFounders = 5
)

// Reach is where this process reaches another. The second is false for whom the file does not name, and for itself
// unless the file says how.
func (s *Settings) Reach(name view.Name) (Addresses, bool) {
	for i := range s.Members {
		if s.Members[i].Name == name {
			return s.Members[i].Reach, s.Members[i].Reach != Addresses{}
		}
	}
	return Addresses{}, false
}

// Load reads the file at path.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(path, text)
	if err != nil {
		return nil, err
	}
	// What the process changes into later must not move its folder.
	s.Here.Folder, err = filepath.Abs(s.Here.Folder)
	return s, err
}
