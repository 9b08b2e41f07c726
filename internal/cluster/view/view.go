// Package view holds the words that all parts of internal/cluster share: who is here, as one process sees it.
//
// It is plain data without a clock, a socket or a decision. A View is immutable once made: whoever hears of a change
// makes another. Times are spans since the process began (Now), never the wall's: clocks of two processes may be an
// hour apart. What travels carries its age instead, and each that passes it on adds for how long it held it.
package view

import (
	"cmp"
	"slices"
	"time"
)

// Each kind of id is a type of its own.
type (
	Name   string // a process; unique in the fleet
	Zone   string
	Region string
	// Incarnation grows with each start of a process under one name; with it a Name is one life.
	Incarnation uint64
	// Epoch numbers what is decided in common; it never forks and never goes back.
	Epoch uint64
)

// Size is a process's class: small ones hold bounded tables and ask larger ones of their region.
type Size string

const (
	Large Size = "large"
	Small Size = "small"
)

// State is what is known of a process.
type State uint8

const (
	Alive     State = iota
	Suspected       // silent; still counted as here
	Left            // said that it goes
	Dead            // silent for so long that others stand in
)

// Life is one run of one process.
type Life struct {
	Name        Name        `json:"name"`
	Incarnation Incarnation `json:"incarnation"`
}

// Member is one process as it tells of itself, and what is known of it here.
type Member struct {
	Life
	Zone   Zone   `json:"zone"`
	Region Region `json:"region"`
	Size   Size   `json:"size"`
	State  State  `json:"state"`
	HTTP   string `json:"http,omitempty"`    // where its own listener is, as it tells it
	Raft   string `json:"council,omitempty"` // where its council transport is
	Empty  bool   `json:"empty,omitempty"`   // it began with an empty folder: what its name held before is lost
	Folder string `json:"folder,omitempty"`  // drawn when its folder was made; a name with another Folder lost its disk
	Voted  bool   `json:"voted,omitempty"`   // its folder holds the records of a council
}

// Here tells whether a member counts as part of the fleet.
func (m Member) Here() bool { return m.State == Alive || m.State == Suspected }

// View is all members as one process sees them, by name. Immutable.
type View struct {
	Self    Name
	No      uint64 // grows with each change seen here
	Members []Member
}

// Make sorts members into a view of their own copy.
func Make(self Name, no uint64, members []Member) *View {
	all := slices.Clone(members)
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return &View{Self: self, No: no, Members: all}
}

// Find is a member by its name.
func (v *View) Find(name Name) (Member, bool) {
	i, found := slices.BinarySearchFunc(v.Members, name, func(m Member, n Name) int { return cmp.Compare(m.Name, n) })
	if !found {
		return Member{}, false
	}
	return v.Members[i], true
}

// Now is a span since the process began, by its monotonic clock.
type Now = time.Duration
