// Package spread distributes purges down the tree and collects acknowledgements up the tree: one State for each process,
// and a LeaderState for the leader of the consensus group.
//
// It owns which purges this process has, what it knows of the processes below it, and what is to be sent to whom. It
// passes on only facts that never become false (this incarnation has applied all purges up to there; that one found so
// much), so a message that is lost, late, duplicated or that comes another way only changes when a fact is known. It
// must never invent a fact, count an incarnation twice, or treat a timeout as an acknowledgement (LeaderState and the
// ledger do that together). It is pure: purge/run carries the messages and asks for what is due every few milliseconds.
//
// This file holds the messages.
package spread

import (
	"time"

	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

// Tuned values. At the root of 1,000 processes in 12 zones of 4 regions a purge costs one call to each of four children,
// as the answer waits for the processes below (MaxAnswerDelay). The others are for slow and broken links.
const (
	MaxPurgesPerMessage   = 500                    // in an Update: about 100 KB with common keys
	maxMessageBytes       = 600 << 10              // of an Update; the link takes 1 MB
	MaxFindingsPerMessage = 2000                   // in a Report: about 300 KB
	MaxAnswerDelay        = 250 * time.Millisecond // how long an answer waits for the processes below: a few appends and hops
	ReportInterval        = 500 * time.Millisecond // between reports while some processes below have not answered
	MinReportInterval     = 50 * time.Millisecond  // between reports in any case
	minBackoff            = 200 * time.Millisecond
	maxBackoff            = 2 * time.Second

	pruneInterval = 1024    // how many purges are added before obsolete ones are looked for
	maxPurges     = 24576   // more than any ledger retains in full; the oldest that are closed are dropped first
	maxFindings   = 1 << 18 // beyond it a finding is not counted, and the sums that are shown are lower bounds
)

// Progress is up to which purge one incarnation of a process has applied.
type Progress struct {
	view.Life
	AppliedSeq uint64 `json:"u"`
}

// Finding is what a purge found at one incarnation of a process; only findings that are not zero are sent. A later
// incarnation with the same folder answers as the earlier one did and replaces it; another folder is counted apart.
type Finding struct {
	view.Life
	Folder string           `json:"folder,omitempty"`
	Seq    uint64           `json:"seq"`
	Found  clusterapi.Found `json:"found"`
}

// Report tells a parent the progress of a process and all below it. Members, the list of these, is sent once for each
// change of it (MembersChecksum is its checksum); otherwise Base and the members behind it say the same. Once all have
// acknowledged nobody is behind, whatever their number.
type Report struct {
	From            view.Life   `json:"from"`
	MessageNo       uint64      `json:"no"`             // grows with each report of an incarnation
	PrevMessageNo   uint64      `json:"prev,omitempty"` // the report that this one builds on; 0 for a complete one
	HasSeq          uint64      `json:"has"`            // the process has all purges up to here
	MembersChecksum uint32      `json:"cohort"`
	Members         []view.Life `json:"lives,omitempty"`
	Base            uint64      `json:"base"`
	Behind          []Progress  `json:"behind,omitempty"`
	Findings        []Finding   `json:"rows,omitempty"`
}

// ReportAnswer is the answer to a Report; Resend asks for a complete one, as an earlier one is missing.
type ReportAnswer struct {
	Resend bool `json:"again,omitempty"`
}

// Parent is to whom a process reports: its parent in the tree, or at the root (IsLeader) the leader of the consensus
// group. While views differ one process can be both to another; what it was told as one it was not told as the other.
type Parent struct {
	view.Life
	IsLeader bool
}

// Update tells a child the purges after Base. Up to UpTo it has all that a process may still need; none below OldestOpen
// is open.
type Update struct {
	From       view.Life          `json:"from"`
	FromLeader bool               `json:"top,omitempty"` // from the leader to the root of the tree
	Base       uint64             `json:"base"`
	UpTo       uint64             `json:"upto"`
	OldestOpen uint64             `json:"floor"`
	Horizon    time.Duration      `json:"horizon"` // beyond this age a purge of messages concerns no process
	Purges     []clusterapi.Purge `json:"orders,omitempty"`
	Resend     bool               `json:"again,omitempty"` // the child's last answer was lost: it has to send a complete report
}

// sender is the process that sent the update, as a parent.
func (d Update) sender() Parent { return Parent{d.From, d.FromLeader} }

// Outgoing is one update and the child that it is for.
type Outgoing struct {
	Child  view.Life
	Update Update
}
