// Package status defines the answer to GET /v1/cluster: the cluster as one process sees it.
//
// Plain data in the form in which it is sent; for operators, tests and monitoring.
package status

import (
	"time"

	configuration "flaxcove/internal/cluster/configuration/run"
	"flaxcove/internal/cluster/link"
	popularity "flaxcove/internal/cluster/popularity/run"
	"flaxcove/internal/cluster/view"
)

// Status is the cluster as one process sees it. Spans are in milliseconds.
type Status struct {
	Cluster string        `json:"cluster"`
	Self    view.Member   `json:"self"`
	Members []view.Member `json:"members"`
	Root    view.Name     `json:"root"`
	Parent  view.Name     `json:"parent,omitempty"`
	// Children are the processes that report to this one in the tree.
	Children []view.Name `json:"children,omitempty"`

	Leader  view.Name   `json:"leader,omitempty"`  // of the consensus group, as known here
	Leading bool        `json:"leading,omitempty"` // this process is the leader
	Voters  []view.Name `json:"voters,omitempty"`
	Applied uint64      `json:"applied"` // index in the consensus log, where this process has it

	Epoch         view.Epoch `json:"epoch"` // of the routing plan in force here; 0 for none
	Plan          string     `json:"plan,omitempty"`
	PlanSum       uint32     `json:"plan_sum,omitempty"` // checksum of its content: two plans of one epoch must not differ
	PlanExpiresMS int64      `json:"holds_ms,omitempty"` // until it lapses, unless it is renewed
	Since         int64      `json:"since_ms"`           // for how long this process has been running

	LastPurge uint64         `json:"purged"` // highest purge that is on disk here
	Traffic   Traffic        `json:"traffic"`
	Counts    map[string]int `json:"counts,omitempty"`

	Configuration *configuration.Status `json:"configuration,omitempty"` // nil where that is switched off

	Popularity *popularity.Status `json:"popularity,omitempty"` // nil where that is switched off
}

// Traffic counts the bytes of control traffic since the start, and the processor time of the whole process.
type Traffic struct {
	In  uint64        `json:"in"`
	Out uint64        `json:"out"`
	CPU time.Duration `json:"cpu_ns"`
	// Gossip and Consensus (the consensus group's) are parts of Out; Kinds are calls between members by path, with the
	// bytes of their bodies.
	Gossip    uint64                 `json:"gossip"`
	Packets   uint64                 `json:"gossip_packets"`
	Consensus uint64                 `json:"council"`
	Kinds     map[string]link.Volume `json:"kinds,omitempty"`
}
