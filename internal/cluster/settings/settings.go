// Package settings reads a process's cluster file, a TOML file named by `serve --cluster`.
//
// It owns the structure of the file (form.go), its checks (check.go, address.go), and the defaults. A file that passes
// the checks can be run; otherwise all problems are reported at once, each with file, line and field. The package must
// never accept a part of a file, replace an invalid value by a default, open a socket, or read the cluster folder,
// which belongs to package settings/folder.
package settings

import (
	"os"
	"path/filepath"

	"flaxcove/internal/cluster/view"
)

// Settings is the checked content of one process's cluster file. Addresses have the form host:port, ready to listen on
// or to dial.
type Settings struct {
	Cluster       string // name of the cluster; processes of another cluster are rejected
	Self          Self
	Members       []Member // the seeds, sorted by name; may include this process
	Zones         map[view.Zone]view.Region
	InitialVoters []view.Name // the first voters of the consensus group, sorted by name; the same in every process's file
	Features      Features
	Bounds        Bounds
	// Warnings holds one line for the log for each setting that is allowed but rarely intended.
	Warnings []string
}

// Self describes this process.
type Self struct {
	Name   view.Name
	Zone   view.Zone
	Region view.Region // of the zone
	Size   view.Size
	Folder string // absolute path; holds this process's incarnation and its records of the consensus group
	Listen Addresses
}

// Member describes a seed.
type Member struct {
	Name   view.Name
	Zone   view.Zone
	Region view.Region
	Reach  Addresses // at which this process reaches the seed, possibly those of a relay
}

// Addresses holds the addresses of one process. Gossip is for UDP and TCP, the others are for TCP.
type Addresses struct{ Gossip, Consensus, HTTP string }

// Features tells which features of the cluster are enabled. Each is off by default.
type Features struct{ Failover, Purges, Popularity, Configuration bool }

// Bounds limits the data that this process stores.
type Bounds struct {
	Destinations      int // localities (a destination in one zone) in the tables of health samples
	SmallDestinations int // destinations whose learned state a small process holds
	SmallBytes        int // bytes of that learned state
	Purges            int // purges in the ledger
}

// Defaults and ranges of Bounds, estimated with a margin: the largest planned cluster has 3,000 destinations in 12
// zones, and the longest list of purges has ten thousand. The maxima keep a typing mistake from exhausting the machine.
const (
	defaultDestinations, minDestinations, maxDestinations                = 40_000, 16, 1_000_000
	defaultSmallDestinations, minSmallDestinations, maxSmallDestinations = 500, 1, 1_000_000
	defaultSmallBytes, minSmallBytes, maxSmallBytes                      = 4 << 20, 16 << 10, 1 << 30
	defaultPurges, minPurges, maxPurges                                  = 20_000, 16, 1_000_000
	// maxMembers bounds the seeds. It is twice the largest cluster that was simulated.
	maxMembers = 2_000
	// maxInitialVoters is the largest number of voters that a consensus group has, whatever the size of the cluster.
	maxInitialVoters = 5
)

// Reach returns the addresses at which this process reaches another. It returns false for a process that the file does
// not name, and for this process unless the file has addresses for it among the members.
func (s *Settings) Reach(name view.Name) (Addresses, bool) {
	for i := range s.Members {
		if s.Members[i].Name == name {
			return s.Members[i].Reach, s.Members[i].Reach != Addresses{}
		}
	}
	return Addresses{}, false
}

// Load reads and checks the cluster file at path, and makes Self.Folder absolute. Its errors are those of reading the
// file and of Parse.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(path, text)
	if err != nil {
		return nil, err
	}
	// The path is made absolute, so that a later change of the working directory does not select another folder.
	s.Self.Folder, err = filepath.Abs(s.Self.Folder)
	return s, err
}
