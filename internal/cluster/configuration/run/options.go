package run

// This file is the options of a Runner, and its status.

import (
	"cmp"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/cluster/configuration/ledger"
	"flaxcove/internal/cluster/leadercall"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

// Orders is what this package asks of the sender; see clusterapi.Orders.
type Orders interface {
	// Configure has the sender put a version in force, and calls done with the outcome.
	Configure(c clusterapi.Configuration, done func(error))
}

// Options is what a Runner is given; Running, Own, Check, CatchUp, AnswerWithin, Now and Log may be omitted.
type Options struct {
	Self        view.Member // a view may tell a higher incarnation later
	Link        leadercall.Link
	Consensus   leadercall.Consensus // nil for a process outside the consensus group
	Ledger      *ledger.Ledger       // the part of that name in the consensus group; nil without one
	Orders      Orders
	Folder      string                   // of the cluster; see configuration.LoadCached
	Running     clusterapi.Configuration // what the sender was started with; version 0 for its own file
	OwnSettings json.RawMessage          // the settings of the sender's own file
	// Check returns what is wrong with settings for a sender that runs inForce (nil: its own file). It is pure.
	Check   func(inForce, proposed json.RawMessage) error
	CatchUp time.Duration // how long a start waits for the newest version, at most
	// AnswerWithin is how long the sender may take to put a version in force before it is shown as silent.
	AnswerWithin time.Duration
	Now          func() view.Uptime
	Log          *zap.Logger
}

// complete checks what must be given, and fills in defaults.
func (o *Options) complete() error {
	if o.Link == nil || o.Orders == nil || o.Folder == "" || (o.Consensus == nil) != (o.Ledger == nil) {
		return errors.New("configuration: a link, a folder and a sender's orders must be given, and a ledger with a council")
	}
	if o.Consensus == nil {
		o.Consensus = leadercall.NoConsensus{NotLeading: errNotLeading}
	}
	if o.Now == nil {
		o.Now = leadercall.NewClock()
	}
	o.CatchUp = cmp.Or(o.CatchUp, catchUpTimeout)
	o.AnswerWithin = cmp.Or(o.AnswerWithin, senderAnswerTimeout)
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Check == nil {
		o.Check = func(json.RawMessage, json.RawMessage) error { return nil }
	}
	return nil
}

// Figures are counters since the start, by kind.
type Figures struct {
	UpdatesSent       uint64 `json:"Downs"` // calls, of which some with content
	ReportsSent       uint64 `json:"Ups"`
	FetchesSent       uint64 `json:"Fetches"`
	AnnouncementsSent uint64 `json:"Nudges"`       // calls of the leader to processes that the tree does not reach
	PatchesSent       uint64 `json:"Changes"`      // contents sent as a patch
	FullSent          uint64 `json:"Wholes"`       // contents sent in full
	ContentBytes      uint64 `json:"ContentBytes"` // of both
	UpdatesReceived   uint64 `json:"DownsIn"`
	ReportsReceived   uint64 `json:"UpsIn"`
	FetchesReceived   uint64 `json:"FetchIn"`
	CallsFailed       uint64 `json:"Failed"`
	Applied           uint64 `json:"Applied"` // versions put in force here
	Rejected          uint64 `json:"Refused"` // versions rejected here
}

// Status is the state of this process, for GET /v1/cluster.
type Status struct {
	Version     uint64            `json:"version"` // in force here; 0 for its own file
	Sum         configuration.Sum `json:"sum,omitempty"`
	NewestHeard uint64            `json:"held"`              // the newest that it knows
	Rejected    uint64            `json:"refused,omitempty"` // the version rejected here; Why tells the reason
	Why         string            `json:"why,omitempty"`
	CaughtUp    bool              `json:"caught_up"` // it has had the newest version since its start
	Figures     Figures           `json:"figures"`
}
