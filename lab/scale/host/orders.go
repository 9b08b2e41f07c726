// Package host runs many hollow members in one operating-system process, controlled by orders that the parent process sends over
// a pipe.
//
// Each member has the program's own control part (internal/cluster) and its own folder. A host executes orders and measures its
// process. It makes no decisions of its own, and it ends when its input ends.
package host

import (
	"time"

	"flaxcove/internal/cluster/link"
	"flaxcove/internal/cluster/view"
	"flaxcove/lab/scale/fleet"
	"flaxcove/lab/scale/hollow"
)

// Spec is the first line of a host's input.
type Spec struct {
	Fleet   fleet.Size  `json:"fleet"`
	Members []int       `json:"members"` // numbers of the members that this host runs
	Load    hollow.Load `json:"load"`
	Folder  string      `json:"folder"`            // parent of the members' folders
	Log     string      `json:"log,omitempty"`     // path of the log file; "" for none
	Profile string      `json:"profile,omitempty"` // path for the processor profile of the whole run; "" for none
	// Began is the start of the run by the machine's clock, in nanoseconds since 1970. All processes of a run are on the same
	// machine.
	Began int64 `json:"began"`
}

// Order is one request to a host. The host answers each with one Answer, in the same order.
type Order struct {
	Kind      OrderKind `json:"do"`
	Members   []int     `json:"members,omitempty"` // start, kill, stop: numbers of members; all members of the host if empty
	Separated []int     `json:"apart,omitempty"`   // cut: numbers of the members to separate from all others; empty ends the cut
	Zones     []int     `json:"zones,omitempty"`   // fall: numbers of the zones whose endpoints do not answer; empty for none
	Purge     uint64    `json:"purge,omitempty"`   // applied: number of a purge
	Version   uint64    `json:"version,omitempty"` // applied: version of the configuration, if Purge is 0
}

// OrderKind selects what an Order does.
type OrderKind string

// Kinds of Order.
const (
	Start         OrderKind = "start"
	Kill          OrderKind = "kill" // without an announcement to the others
	Stop          OrderKind = "stop" // graceful shutdown
	Cut           OrderKind = "cut"
	FailZones     OrderKind = "fall"
	ReportState   OrderKind = "state"
	ReportUsage   OrderKind = "measure"
	ReportMemory  OrderKind = "memory" // usage after a garbage collection, and the heap by part
	ReportApplied OrderKind = "applied"
)

// Answer is the answer to an Order. Error is "" if the order was executed.
type Answer struct {
	Error   string                `json:"error,omitempty"`
	States  []MemberState         `json:"states,omitempty"`
	Usage   *Usage                `json:"used,omitempty"`
	Applied map[int]time.Time     `json:"applied,omitempty"` // by member; members that have not applied the purge or version are left out
	Traffic map[int]MemberTraffic `json:"volumes,omitempty"` // by member
	Heap    map[string]int64      `json:"heap,omitempty"`    // bytes by part of the program, estimated from the sampled profile
}

// MemberState summarizes a member's status. It is small enough to be polled often.
type MemberState struct {
	No            int        `json:"no"`
	Up            bool       `json:"up"`
	Alive         int        `json:"here"` // number of members that it sees alive
	ViewSum       uint64     `json:"view"` // checksum of these members and their incarnations
	Root          view.Name  `json:"root"`
	Leader        view.Name  `json:"leader"`
	Epoch         view.Epoch `json:"epoch"`
	Purged        uint64     `json:"purged"`            // number of the last purge applied
	Version       uint64     `json:"version,omitempty"` // version of the configuration in force
	DivertedZones []string   `json:"away,omitempty"`    // zones that the plan in force routes away from
}

// MemberTraffic counts a member's traffic since its start.
type MemberTraffic struct {
	In          uint64                 `json:"in"`  // bytes over link and consensus
	Out         uint64                 `json:"out"` // bytes over link, consensus and gossip
	Gossip      uint64                 `json:"gossip"`
	Packets     uint64                 `json:"packets"`
	Consensus   uint64                 `json:"council"`
	Paths       map[string]link.Volume `json:"kinds"`
	DigestsLost int                    `json:"lost"` // number of digests that were dropped because the queue was full
}

// Usage is the resource usage of a host's process. CPU counts from its start.
type Usage struct {
	CPU        time.Duration `json:"cpu"`
	RSS        uint64        `json:"rss"`  // bytes
	Heap       uint64        `json:"heap"` // bytes in use; with ReportMemory, after a garbage collection
	Goroutines int           `json:"goroutines"`
	Files      int           `json:"files"`
}
