// Package spread distributes purges down the tree of processes and collects acknowledgements up the tree. Each process has a
// State, and the leader of the consensus group also has a LeaderState.
//
// A State holds the purges that the process has received, the progress of the processes below it, and which messages are
// due. Messages only carry facts that never become false, such as "this incarnation has applied all purges up to Seq 7" or
// "this purge found three messages at that incarnation". A message that is lost, delayed, duplicated or takes another route
// therefore only changes when a fact becomes known. A State never counts an incarnation twice and never treats a timeout as
// an acknowledgement; only LeaderState, together with the ledger, lets acknowledgements lapse.
//
// The package does no I/O and reads no clock: purge/run sends the messages, and asks every few milliseconds for what is due.
package spread

// This file defines the messages.

import (
	"time"

	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

// Limits and intervals. At the root of a tree of 1,000 processes in 12 zones of 4 regions, a purge costs one call to each of
// the four children, because the answer waits for the processes below (MaxAnswerDelay). The intervals of reports and the
// backoffs only matter on slow or broken links.
const (
	MaxPurgesPerMessage   = 500                    // in an Update; about 100 KB with keys of usual length
	maxMessageBytes       = 600 << 10              // estimated encoded size of an Update; the link's limit is 1 MB
	MaxFindingsPerMessage = 2000                   // in a Report; about 300 KB
	MaxAnswerDelay        = 250 * time.Millisecond // how long an answer waits for the processes below; enough for a few appends and hops
	ReportInterval        = 500 * time.Millisecond // delay of a report while some processes below have not applied all purges
	MinReportInterval     = 50 * time.Millisecond  // minimum time between two reports
	minBackoff            = 200 * time.Millisecond // first wait before a failed call is retried; doubled after each failure
	maxBackoff            = 2 * time.Second

	pruneInterval = 1024    // number of purges added between two searches for obsolete ones
	maxPurges     = 24576   // more than any ledger retains in full; beyond it the oldest closed purges are dropped
	maxFindings   = 1 << 18 // further findings are not counted, so that the reported sums become lower bounds
)

// Progress is the Seq up to which one incarnation of a process has applied all purges.
type Progress struct {
	view.Instance
	AppliedSeq uint64 `json:"u"`
}

// Finding is what a purge found at one incarnation of a process. Findings that are zero are not sent. A later incarnation
// with the same folder finds the same as the earlier one, so its finding replaces the earlier one. Findings of different
// folders are added up.
type Finding struct {
	view.Instance
	Folder string                 `json:"folder,omitempty"`
	Seq    uint64                 `json:"seq"`
	Found  clusterapi.PurgeResult `json:"found"`
}

// Report tells a parent the progress of a process and all processes below it, which are the report's members. The list of
// Members is sent only after it has changed; otherwise it is nil and MembersChecksum identifies the list sent before. Each
// member has applied all purges up to Base, except those listed in Behind. Behind is empty once all members have applied
// the same purges, so that the size of a report does not depend on the number of processes.
type Report struct {
	From            view.Instance   `json:"from"`
	MessageNo       uint64          `json:"no"`             // grows with each report that an incarnation makes
	PrevMessageNo   uint64          `json:"prev,omitempty"` // number of the report that this one is a difference to; 0 for a complete report
	ReceivedSeq     uint64          `json:"has"`            // the process has received all purges up to here
	MembersChecksum uint32          `json:"cohort"`
	Members         []view.Instance `json:"lives,omitempty"`
	Base            uint64          `json:"base"`
	Behind          []Progress      `json:"behind,omitempty"`
	Findings        []Finding       `json:"rows,omitempty"`
}

// ReportAnswer is the answer to a Report. Resend asks for a complete report because an earlier one was not received.
type ReportAnswer struct {
	Resend bool `json:"again,omitempty"`
}

// Parent is the process to which another one reports: its parent in the tree, or, for the root, the leader of the consensus
// group (IsLeader). While views of the membership differ, the same process can send updates in both roles. The roles are kept
// apart: a report to the leader does not count as a report to the parent, or vice versa.
type Parent struct {
	view.Instance
	IsLeader bool
}

// Update sends a child the purges with a Seq above Base and up to UpTo, without those that no process needs any more. All
// purges below OldestOpen are closed.
type Update struct {
	From       view.Instance      `json:"from"`
	FromLeader bool               `json:"top,omitempty"` // sent by the leader to the root of the tree
	Base       uint64             `json:"base"`
	UpTo       uint64             `json:"upto"`
	OldestOpen uint64             `json:"floor"`
	Horizon    time.Duration      `json:"horizon"` // age beyond which a closed purge of messages is obsolete
	Purges     []clusterapi.Purge `json:"orders,omitempty"`
	Resend     bool               `json:"again,omitempty"` // the child must send a complete report, as its last answer was lost
}

// sender returns the process that sent the update, and whether it did so as the leader.
func (u Update) sender() Parent { return Parent{u.From, u.FromLeader} }

// OutgoingUpdate is an update and the child to which it must be sent.
type OutgoingUpdate struct {
	Child  view.Instance
	Update Update
}
