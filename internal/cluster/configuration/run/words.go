package run

// This file is what a Runner is given, and what it tells of itself.

import (
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/cluster/configuration/ledger"
	"flaxcove/internal/cluster/ordering"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/together"
)

// Orders is what is asked of the sender; see together.Orders.
type Orders interface {
	Configure(c together.Configuration, done func(error))
}

// Options is what a Runner is given; Running, Own, Check, CatchUp, Now and Log may be left out.
type Options struct {
	Self      view.Member // a view may tell a higher incarnation later
	Link      ordering.Link
	Consensus ordering.Consensus // nil at a process that has no place in it
	Ledger    *ledger.Ledger     // the council's part of that name; nil where there is no council
	Orders    Orders
	Folder    string                 // of the cluster; see configuration.LoadCached
	Running   together.Configuration // what the sender was started with; version 0 for its own file
	Own       json.RawMessage        // the settings of the sender's own file
	// Check tells what is wrong with settings for a sender that runs inForce (nil: its own file). Pure.
	Check   func(inForce, proposed json.RawMessage) error
	CatchUp time.Duration // how long a start waits for what it missed, at most
	// AnswerWithin is how long the sender may take to answer for a version before it is told as silent.
	AnswerWithin time.Duration
	Now          func() view.Now
	Log          *zap.Logger
}

// Figures are counters since the start, by kind.
type Figures struct {
	Downs, Ups, Fetches     uint64 // messages begun
	Announcements           uint64 `json:"Nudges"` // of whoever leads to those whom the tree does not reach
	Changes, Wholes         uint64 // of these, with content: a change, or the whole
	ContentBytes            uint64 // in them
	DownsIn, UpsIn, FetchIn uint64 // messages taken
	Failed                  uint64 // of those begun
	Applied, Refused        uint64 // versions put in force here, or not taken
}

// Status is how this process stands, for GET /v1/cluster.
type Status struct {
	Version  uint64            `json:"version"` // in force here; 0 for its own file
	Sum      configuration.Sum `json:"sum,omitempty"`
	Held     uint64            `json:"held"`              // the newest that it has heard of
	Refused  uint64            `json:"refused,omitempty"` // not taken here, and why
	Why      string            `json:"why,omitempty"`
	CaughtUp bool              `json:"caught_up"` // this life had what was decided before it
	Figures  Figures           `json:"figures"`
}
