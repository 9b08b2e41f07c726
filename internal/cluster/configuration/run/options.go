package run

// This file holds the options of a Runner, and its status.

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

// Orders is the interface of the sender; see clusterapi.Orders.
type Orders interface {
	// Configure orders the sender to put a version in force. done is called with nil once the version is in force, or
	// with the reason why the sender rejected it.
	Configure(c clusterapi.Configuration, done func(error))
}

// Options are the settings of a Runner. Running, OwnSettings, Check, CatchUp, AnswerWithin, Now and Log may be omitted,
// and Consensus together with Ledger.
type Options struct {
	Self        view.Member // this process; a view may raise its incarnation later
	Link        leadercall.Link
	Consensus   leadercall.Consensus // nil for a process outside the consensus group
	Ledger      *ledger.Ledger       // the part ledger.Part of the consensus group; nil if Consensus is nil
	Orders      Orders
	Folder      string                   // cluster folder; see configuration.LoadCached
	Running     clusterapi.Configuration // the version that the sender was started with; version 0 for its own file
	OwnSettings json.RawMessage          // the settings of the sender's own file
	// Check returns why a sender that runs inForce could not run the proposed settings, or nil if it could. inForce is
	// nil if the sender runs its own file and OwnSettings is not set. Check must be deterministic and have no side
	// effects. By default all settings are accepted.
	Check   func(inForce, proposed json.RawMessage) error
	CatchUp time.Duration // maximum time until Ready after the start; 0 stands for 3 s
	// AnswerWithin is how long the sender may take to answer before the version counts as rejected here; 0 stands for
	// 10 s.
	AnswerWithin time.Duration
	Now          func() view.Uptime
	Log          *zap.Logger
}

// complete fills in defaults and returns an error if a required option is missing.
func (o *Options) complete() error {
	if o.Link == nil || o.Orders == nil || o.Folder == "" || (o.Consensus == nil) != (o.Ledger == nil) {
		return errors.New("configuration: options Link, Orders and Folder must be set, and Consensus and Ledger both or neither")
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

// Counters holds the counters of a Runner since its start.
type Counters struct {
	UpdatesSent       uint64 `json:"Downs"` // updates sent, with and without content
	ReportsSent       uint64 `json:"Ups"`
	FetchesSent       uint64 `json:"Fetches"`
	AnnouncementsSent uint64 `json:"Nudges"`       // announcements of the leader to processes that the tree does not reach
	PatchesSent       uint64 `json:"Changes"`      // contents sent as a patch
	FullSent          uint64 `json:"Wholes"`       // contents sent in full
	ContentBytes      uint64 `json:"ContentBytes"` // bytes of both
	UpdatesReceived   uint64 `json:"DownsIn"`
	ReportsReceived   uint64 `json:"UpsIn"`
	FetchesReceived   uint64 `json:"FetchIn"`
	CallsFailed       uint64 `json:"Failed"`
	Applied           uint64 `json:"Applied"` // versions that came into force here
	Rejected          uint64 `json:"Refused"` // versions rejected here, or not answered in time by the sender
}

// Status is the status of this process in the answer to GET /v1/cluster.
type Status struct {
	Version     uint64            `json:"version"` // the version in force here; 0 for the process's own file
	Sum         configuration.Sum `json:"sum,omitempty"`
	NewestKnown uint64            `json:"held"`              // the newest version known here
	Rejected    uint64            `json:"refused,omitempty"` // the version rejected here; Why is the reason
	Why         string            `json:"why,omitempty"`
	CaughtUp    bool              `json:"caught_up"` // this process has had the newest version at some time since its start
	Counters    Counters          `json:"figures"`
}
