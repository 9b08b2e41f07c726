// Package view holds the types that all parts of internal/cluster share: the members, as one process sees them.
//
// It is plain data without a clock, a socket or a decision. A View is immutable: a change makes another. Times are spans
// since the process started (Now), never wall-clock times, as the clocks of two processes may be an hour apart. What is
// sent to another process carries its age instead, and each that forwards it adds for how long it held it.
package view

import (
	"cmp"
	"slices"
	"time"
)

// Identifiers, each of its own type.
type (
	// Name is a process's name, unique in the fleet.
	Name string
	// Zone is a zone's name.
	Zone string
	// Region is a region's name.
	Region string
	// Incarnation grows with each start of a process under one name.
	Incarnation uint64
	// Epoch numbers the decisions of the consensus group; it never forks and never goes back.
	Epoch uint64
)

// Size is a process's class: small ones hold bounded tables and ask large ones of their region.
type Size string

// Sizes of a process.
const (
	Large Size = "large"
	Small Size = "small"
)

// State is what is known of a process.
type State uint8

// States of a process.
const (
	Alive     State = iota
	Suspected       // does not answer probes; still counted as present
	Left            // announced its leave
	Dead            // did not answer for so long that others replace it
)

// Life is one run of a process: its name with an incarnation.
type Life struct {
	Name        Name        `json:"name"`
	Incarnation Incarnation `json:"incarnation"`
}

// Member is one process as it announces itself, and its state as known here.
type Member struct {
	Life
	Zone       Zone   `json:"zone"`
	Region     Region `json:"region"`
	Size       Size   `json:"size"`
	State      State  `json:"state"`
	HTTP       string `json:"http,omitempty"`    // address of its listener for calls (package link), as it announces it
	Raft       string `json:"council,omitempty"` // address of its raft transport
	Empty      bool   `json:"empty,omitempty"`   // it started with an empty folder: what it had stored before is lost
	Folder     string `json:"folder,omitempty"`  // random id of its folder; a name with another Folder lost its disk
	HasRecords bool   `json:"voted,omitempty"`   // its folder holds the records of a consensus group
}

// Present reports whether a member counts as present in the fleet.
func (m Member) Present() bool { return m.State == Alive || m.State == Suspected }

// View is all members as one process sees them, by name. Immutable.
type View struct {
	Self    Name
	Version uint64 // version; grows with each change observed here
	Members []Member
}

// New returns a view of a sorted copy of members.
func New(self Name, no uint64, members []Member) *View {
	all := slices.Clone(members)
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return &View{Self: self, Version: no, Members: all}
}

// Find returns a member by its name.
func (v *View) Find(name Name) (Member, bool) {
	i, found := slices.BinarySearchFunc(v.Members, name, func(m Member, n Name) int { return cmp.Compare(m.Name, n) })
	if !found {
		return Member{}, false
	}
	return v.Members[i], true
}

// Uptime is a time as a span since the process started, by its monotonic clock.
type Uptime = time.Duration
