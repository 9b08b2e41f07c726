// Package status is what one process tells of the cluster as it sees it: the answer to GET /v1/cluster.
//
// Plain data in the form in which it is told; for staff, for tests, and for whoever watches a fleet.
package status

import (
	"time"

	configuration "flaxcove/internal/cluster/configuration/run"
	"flaxcove/internal/cluster/link"
	popularity "flaxcove/internal/cluster/popularity/run"
	"flaxcove/internal/cluster/view"
)

// Status is one process's sight of the cluster. Spans are in milliseconds.
type Status struct {
	Cluster string        `json:"cluster"`
	Self    view.Member   `json:"self"`
	Members []view.Member `json:"members"`
	Root    view.Name     `json:"root"`
	Parent  view.Name     `json:"parent,omitempty"`
	// Children are those who report to it.
	Children []view.Name `json:"children,omitempty"`

	Leader  view.Name   `json:"leader,omitempty"` // of the council, as known here
	Leading bool        `json:"leading,omitempty"`
	Voters  []view.Name `json:"voters,omitempty"`
	Applied uint64      `json:"applied"` // index in the council's log, where this process keeps it

	Epoch   view.Epoch `json:"epoch"` // of the plan in force here; 0 for none
	Plan    string     `json:"plan,omitempty"`
	PlanSum uint32     `json:"plan_sum,omitempty"` // of its content: two plans of one epoch must not differ
	HoldsMS int64      `json:"holds_ms,omitempty"` // until it lapses, unless it is renewed
	Since   int64      `json:"since_ms"`           // for how long this process runs

	Purged  uint64         `json:"purged"` // highest purge that is on disk here
	Traffic Traffic        `json:"traffic"`
	Counts  map[string]int `json:"counts,omitempty"`

	Configuration *configuration.Status `json:"configuration,omitempty"` // where that is switched on

	Popularity *popularity.Status `json:"popularity,omitempty"` // where that is switched on
}

// Traffic is bytes of control traffic through our own listener since the start, and the processor time of all of the
// process.
type Traffic struct {
	In  uint64        `json:"in"`
	Out uint64        `json:"out"`
	CPU time.Duration `json:"cpu_ns"`
	// Gossip and Consensus are parts of Out; Kinds are calls between members by path, bytes without heads.
	Gossip    uint64                 `json:"gossip"`
	Packets   uint64                 `json:"gossip_packets"`
	Consensus uint64                 `json:"council"`
	Kinds     map[string]link.Volume `json:"kinds,omitempty"`
}
