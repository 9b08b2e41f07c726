// Package view defines the types that all packages of internal/cluster share: the members of the cluster as one process
// sees them.
//
// It is plain data without a clock, a socket or a decision. A View is immutable; each change creates a new one. Times
// are durations since the process started (Uptime), never wall-clock times, as the clocks of two processes may be an
// hour apart. Data sent to another process carries its age instead, and each process that forwards it adds the time for
// which it held the data.
package view

import (
	"cmp"
	"slices"
	"time"
)

// Identifiers, each with a type of its own.
type (
	// Name is the name of a process, unique in the cluster.
	Name string
	// Zone is the name of a zone.
	Zone string
	// Region is the name of a region.
	Region string
	// Incarnation is a number that grows with each start of a process under the same name. 0 stands for an unknown one.
	Incarnation uint64
	// Epoch numbers the routing plans that the consensus group decides. It never decreases, and no two plans have the
	// same one.
	Epoch uint64
)

// Size is the size class of a process. A small process holds bounded tables and queries large ones of its region.
type Size string

// Sizes of a process.
const (
	Large Size = "large"
	Small Size = "small"
)

// State is the state of a member as this process knows it.
type State uint8

// States of a member.
const (
	Alive     State = iota
	Suspected       // does not answer probes; still counted as present
	Left            // announced its leave
	Dead            // did not answer for so long that other members replace it
)

// Instance identifies one run of a process by its name and incarnation.
type Instance struct {
	Name        Name        `json:"name"`
	Incarnation Incarnation `json:"incarnation"`
}

// Member is one process with the metadata that it announces, and its state as this process knows it.
type Member struct {
	Instance
	Zone          Zone   `json:"zone"`
	Region        Region `json:"region"`
	Size          Size   `json:"size"`
	State         State  `json:"state"`
	HTTPAddr      string `json:"http,omitempty"`    // address of its listener for calls (package link)
	ConsensusAddr string `json:"council,omitempty"` // address of its raft transport; "" if it has no participant
	StartedEmpty  bool   `json:"empty,omitempty"`   // it started with an empty folder: data stored before is lost
	FolderID      string `json:"folder,omitempty"`  // random id of its folder; a name with another FolderID lost its disk
	HasRecords    bool   `json:"voted,omitempty"`   // its folder holds the records of a consensus group
}

// Present reports whether a member is alive or suspected, and so counts as present in the cluster.
func (m Member) Present() bool { return m.State == Alive || m.State == Suspected }

// View holds all members as one process sees them. It is immutable.
type View struct {
	Self    Name     // the process whose view it is
	Version uint64   // grows with each change that this process observes
	Members []Member // sorted by name
}

// New returns a view with a sorted copy of members.
func New(self Name, version uint64, members []Member) *View {
	all := slices.Clone(members)
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return &View{Self: self, Version: version, Members: all}
}

// Find returns the member with the given name; false if there is none.
func (v *View) Find(name Name) (Member, bool) {
	i, found := slices.BinarySearchFunc(v.Members, name, func(m Member, n Name) int { return cmp.Compare(m.Name, n) })
	if !found {
		return Member{}, false
	}
	return v.Members[i], true
}

// Uptime is a point in time, as the duration since this process started by its monotonic clock.
type Uptime = time.Duration
