// Package settings reads a process's cluster file: one TOML file, named by `serve --cluster`.
//
// It owns the file's structure (form.go), its checks (check.go, address.go), and the defaults. A file that passes can be
// run with; all problems are reported at once, with file, line and field. It must never accept a part of a file, replace
// an invalid value by a default, open a socket, or read the cluster folder, which package settings/folder does.
package settings

import (
	"os"
	"path/filepath"

	"flaxcove/internal/cluster/view"
)

// Settings is one process's file. Addresses are host:port, ready to listen on or to dial.
type Settings struct {
	Cluster  string // its name; processes of another cluster are rejected
	Self     Self
	Members  []Member // the seeds, by name; may include this process
	Zones    map[view.Zone]view.Region
	Founders []view.Name // the first voters of the consensus group, by name; the same in every process's file
	Features Features
	Bounds   Bounds
	// Warnings has a line for the log for each setting that is allowed but seldom intended.
	Warnings []string
}

// Self describes this process.
type Self struct {
	Name   view.Name
	Zone   view.Zone
	Region view.Region // of the zone
	Size   view.Size
	Folder string // absolute; stores this process's incarnation and its part of the consensus group's records
	Listen Addresses
}

// Member is a seed. Reach is where this process reaches it, possibly a relay and not where it listens.
type Member struct {
	Name   view.Name
	Zone   view.Zone
	Region view.Region
	Reach  Addresses
}

// Addresses of one process: gossip is UDP and TCP, the others TCP.
type Addresses struct{ Gossip, Consensus, HTTP string }

// Features are the features of the cluster, each off unless switched on.
type Features struct{ Failover, Purges, Popularity, Configuration bool }

// Bounds limit what this process stores.
type Bounds struct {
	Destinations      int // places (a destination in one zone) in the tables of health samples
	SmallDestinations int // destinations whose learned state a small process holds
	SmallBytes        int // bytes of that learned state
	Purges            int // in the ledger
}

// Defaults and ranges of the bounds, estimated with a margin: the largest planned fleet has 3,000 destinations in 12
// zones, the longest list of purges has ten thousand. The maxima keep a typing mistake from exhausting the machine.
const (
	defaultDestinations, minDestinations, maxDestinations                = 40_000, 16, 1_000_000
	defaultSmallDestinations, minSmallDestinations, maxSmallDestinations = 500, 1, 1_000_000
	defaultSmallBytes, minSmallBytes, maxSmallBytes                      = 4 << 20, 16 << 10, 1 << 30
	defaultPurges, minPurges, maxPurges                                  = 20_000, 16, 1_000_000
	// maxMembers bounds the seeds; twice the largest fleet that was simulated.
	maxMembers = 2_000
	// maxFounders is the most voters that a consensus group has, whatever the size of the fleet.
	maxFounders = 5
)

// Reach returns where this process reaches another. It returns false for a process that the file does not name, and for
// this process unless the file has addresses for it.
func (s *Settings) Reach(name view.Name) (Addresses, bool) {
	for i := range s.Members {
		if s.Members[i].Name == name {
			return s.Members[i].Reach, s.Members[i].Reach != Addresses{}
		}
	}
	return Addresses{}, false
}

// Load reads and checks the file at path.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(path, text)
	if err != nil {
		return nil, err
	}
	// Absolute, as a later change of the working directory must not move the folder.
	s.Self.Folder, err = filepath.Abs(s.Self.Folder)
	return s, err
}
