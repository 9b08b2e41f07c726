// Package host runs many hollow members in one operating-system process, by orders that its parent sends over a pipe.
//
// Each member has the program's own control part (internal/cluster) and a folder of its own. The host carries orders out and
// measures its process; it decides nothing, and it ends when its input does.
package host

import (
	"time"

	"flaxcove/internal/cluster/link"
	"flaxcove/internal/cluster/view"
	"flaxcove/lab/scale/fleet"
	"flaxcove/lab/scale/hollow"
)

// Spec is a host's first line of input.
type Spec struct {
	Fleet   fleet.Size  `json:"fleet"`
	Members []int       `json:"members"` // those that this host runs
	Load    hollow.Load `json:"load"`
	Folder  string      `json:"folder"`
	Log     string      `json:"log,omitempty"`     // a file; "" for none
	Profile string      `json:"profile,omitempty"` // a file for the processor profile of the whole run; "" for none
	// Began is the run's begin by the machine's clock, in nanoseconds. All processes of a run are on one machine.
	Began int64 `json:"began"`
}

// Order is one request to a host. Each is answered by one Answer, in order.
type Order struct {
	Do      Do     `json:"do"`
	Members []int  `json:"members,omitempty"` // start, kill, stop: which of its members; all if none is named
	Apart   []int  `json:"apart,omitempty"`   // cut: these members from all others; none ends the cut
	Zones   []int  `json:"zones,omitempty"`   // fall: zones whose endpoints do not answer
	Purge   uint64 `json:"purge,omitempty"`   // applied: number of a purge
	Version uint64 `json:"version,omitempty"` // applied: version of the configuration, if no purge is named
}

// Do is the kind of an Order.
type Do string

// Kinds of Order.
const (
	Start   Do = "start"
	Kill    Do = "kill" // without notice to others
	Stop    Do = "stop" // graceful shutdown
	Cut     Do = "cut"
	Fall    Do = "fall"
	State   Do = "state"
	Measure Do = "measure"
	Memory  Do = "memory" // measured after a garbage collection
	Applied Do = "applied"
)

// Answer is the answer to an Order.
type Answer struct {
	Error   string                `json:"error,omitempty"`
	States  []MemberState         `json:"states,omitempty"`
	Used    *Used                 `json:"used,omitempty"`
	Applied map[int]time.Time     `json:"applied,omitempty"` // by member, of those that have applied the purge or version
	Volumes map[int]MemberTraffic `json:"volumes,omitempty"` // by member
	Heap    map[string]int64      `json:"heap,omitempty"`    // bytes by part of the program, by the sampled profile
}

// MemberState is what a member sees, short enough to be polled often.
type MemberState struct {
	No      int        `json:"no"`
	Up      bool       `json:"up"`
	Here    int        `json:"here"` // members alive
	View    uint64     `json:"view"` // checksum of the members alive, with their incarnations
	Root    view.Name  `json:"root"`
	Leader  view.Name  `json:"leader"`
	Epoch   view.Epoch `json:"epoch"`
	Purged  uint64     `json:"purged"`
	Version uint64     `json:"version,omitempty"` // of the configuration in force
	Away    []string   `json:"away,omitempty"`    // zones that the plan in force routes away from
}

// MemberTraffic is a member's traffic since its start.
type MemberTraffic struct {
	In        uint64                 `json:"in"`  // bytes over link and consensus
	Out       uint64                 `json:"out"` // bytes over link, consensus and gossip
	Gossip    uint64                 `json:"gossip"`
	Packets   uint64                 `json:"packets"`
	Consensus uint64                 `json:"council"`
	Kinds     map[string]link.Volume `json:"kinds"`
	Lost      int                    `json:"lost"` // digests that were dropped since the queue was full
}

// Used is what a host's process has used since its start.
type Used struct {
	CPU        time.Duration `json:"cpu"`
	RSS        uint64        `json:"rss"`  // bytes
	Heap       uint64        `json:"heap"` // bytes in use after a collection
	Goroutines int           `json:"goroutines"`
	Files      int           `json:"files"`
}
