// Package host runs many hollow members in one operating-system process, as its parent tells it over a pipe.
//
// It owns the members' control parts (internal/cluster, unchanged), their folders below the one that it is given, and
// what is measured of its process. It must never decide what befalls the fleet, speak a protocol of its own between
// members, or outlive its parent: it ends when its input does.
package host

import (
	"time"

	"flaxcove/internal/cluster/link"
	"flaxcove/internal/cluster/view"
	"flaxcove/lab/scale/fleet"
	"flaxcove/lab/scale/hollow"
)

// Spec is what a host is started with: its first line of input.
type Spec struct {
	Fleet   fleet.Size  `json:"fleet"`
	Members []int       `json:"members"` // that live here
	Load    hollow.Load `json:"load"`
	Folder  string      `json:"folder"`
	Log     string      `json:"log,omitempty"`     // a file; "" for none
	Profile string      `json:"profile,omitempty"` // a file for the processor profile of the whole run; "" for none
	// Began is the run's beginning by the machine's clock, in nanoseconds: all processes of a run are on one machine.
	Began int64 `json:"began"`
}

// Order is one request. Each is answered by one Answer, in order.
type Order struct {
	Do      Do     `json:"do"`
	Members []int  `json:"members,omitempty"` // start, kill: of those that live here; all if none is named
	Apart   []int  `json:"apart,omitempty"`   // cut: these from all others; none joins all again
	Zones   []int  `json:"zones,omitempty"`   // fall: the endpoints of these say nothing; none has all well
	Purge   uint64 `json:"purge,omitempty"`   // applied: by its number
	Version uint64 `json:"version,omitempty"` // applied: of a configuration, where no purge is named
}

// Do is what an Order asks.
type Do string

// What may be asked.
const (
	Start   Do = "start"
	Kill    Do = "kill" // without a word to others
	Stop    Do = "stop" // as a planned end
	Cut     Do = "cut"
	Fall    Do = "fall"
	State   Do = "state"
	Measure Do = "measure"
	Memory  Do = "memory" // after a collection
	Applied Do = "applied"
)

// Answer is to an Order.
type Answer struct {
	Error   string             `json:"error,omitempty"`
	States  []MemberState      `json:"states,omitempty"`
	Used    *Used              `json:"used,omitempty"`
	Applied map[int]time.Time  `json:"applied,omitempty"` // by member, of those that have applied the purge or version
	Volumes map[int]MemberSaid `json:"volumes,omitempty"` // by member
	Heap    map[string]int64   `json:"heap,omitempty"`    // bytes by part of the program, by the sampled profile
}

// MemberState is what a member sees, short enough to be asked often.
type MemberState struct {
	No      int        `json:"no"`
	Up      bool       `json:"up"`
	Here    int        `json:"here"` // members alive
	View    uint64     `json:"view"` // a sum of who is alive, with their lives
	Root    view.Name  `json:"root"`
	Leader  view.Name  `json:"leader"`
	Epoch   view.Epoch `json:"epoch"`
	Purged  uint64     `json:"purged"`
	Version uint64     `json:"version,omitempty"` // of the configuration in force
	Away    []string   `json:"away,omitempty"`    // zones that the plan in force leaves
}

// MemberSaid is what a member has carried since its start.
type MemberSaid struct {
	In        uint64                 `json:"in"`  // bytes over link and council
	Out       uint64                 `json:"out"` // bytes over link, council and gossip
	Gossip    uint64                 `json:"gossip"`
	Packets   uint64                 `json:"packets"`
	Consensus uint64                 `json:"council"`
	Kinds     map[string]link.Volume `json:"kinds"`
	Lost      int                    `json:"lost"` // digests that found the queue full
}

// Used is what a host's process has used since its start.
type Used struct {
	CPU        time.Duration `json:"cpu"`
	RSS        uint64        `json:"rss"`  // bytes
	Heap       uint64        `json:"heap"` // bytes in use after a collection
	Goroutines int           `json:"goroutines"`
	Files      int           `json:"files"`
}
