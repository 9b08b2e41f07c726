// Package status defines the response to GET /v1/cluster, which describes the cluster as one process sees it.
//
// It is plain data with its JSON encoding, for operators, tests and monitoring.
package status

import (
	"time"

	configuration "flaxcove/internal/cluster/configuration/run"
	"flaxcove/internal/cluster/link"
	popularity "flaxcove/internal/cluster/popularity/run"
	"flaxcove/internal/cluster/view"
)

// Status describes the cluster as one process sees it. Durations are in milliseconds.
type Status struct {
	Cluster string        `json:"cluster"`          // name of the cluster
	Self    view.Member   `json:"self"`             // the process itself
	Members []view.Member `json:"members"`          // sorted by name
	Root    view.Name     `json:"root"`             // the cluster's coordinator
	Parent  view.Name     `json:"parent,omitempty"` // the process that this one reports to; "" for the root
	// Children holds the processes that report to this one.
	Children []view.Name `json:"children,omitempty"`

	Leader  view.Name   `json:"leader,omitempty"`  // of the consensus group; "" if unknown
	Leading bool        `json:"leading,omitempty"` // this process is the leader
	Voters  []view.Name `json:"voters,omitempty"`  // nil in a process without a participant of the consensus group
	Applied uint64      `json:"applied"`           // index of the last applied command; 0 without a participant

	Epoch         view.Epoch `json:"epoch"`              // of the routing plan in force in this process; 0 for none
	Plan          string     `json:"plan,omitempty"`     // description of that plan
	PlanSum       uint32     `json:"plan_sum,omitempty"` // checksum of that plan; two plans of one epoch must not differ
	PlanExpiresMS int64      `json:"holds_ms,omitempty"` // time until that plan expires unless it is renewed
	Since         int64      `json:"since_ms"`           // time since this process started

	LastPurge uint64         `json:"purged"` // highest sequence number of a purge on disk in this process
	Traffic   Traffic        `json:"traffic"`
	Counts    map[string]int `json:"counts,omitempty"` // further counters, by name

	Configuration *configuration.Status `json:"configuration,omitempty"` // nil if that feature is off

	Popularity *popularity.Status `json:"popularity,omitempty"` // nil if that feature is off
}

// Traffic counts the bytes of control traffic since the start, and the processor time of the whole process.
type Traffic struct {
	In  uint64        `json:"in"`     // bytes received
	Out uint64        `json:"out"`    // bytes sent
	CPU time.Duration `json:"cpu_ns"` // in nanoseconds
	// Gossip and Consensus are the bytes that gossip and the consensus group sent, which Out includes.
	Gossip    uint64 `json:"gossip"`
	Packets   uint64 `json:"gossip_packets"` // packets of gossip sent
	Consensus uint64 `json:"council"`
	// Kinds counts the calls between members by path, with the bytes of their bodies.
	Kinds map[string]link.Volume `json:"kinds,omitempty"`
}
