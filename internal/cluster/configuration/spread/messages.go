// Package spread distributes versions of the shared settings down the tree, and collects where they are in force: one
// State for each process, and one more (NewLeaderState) for the leader of the consensus group.
//
// It owns which versions this process has, what it knows of the processes below it, and what is to be sent to whom. Only
// the newest version matters: a superseded one is never sent again, and no State takes an older one after a newer. Two
// processes compare versions (a Digest) before anything else is sent; then the patch from what the other has is sent, or
// the full content. It must never accept content with another checksum than the one named, count a process twice, or let
// reports grow with members or with versions. It is pure: configuration/run carries the messages.
//
// Load (docs/CAPACITY.md, rows sender and zone, region and fleet coordinator): for each change one call to each child,
// and to the parent one report for each child that was late; when idle, one report a process in RefreshInterval. So a
// coordinator's messages grow with its children (tree.Fan) times changes, and with nothing else.
//
// This file holds the messages. Readers skip unknown fields.
package spread

import (
	"encoding/json"
	"time"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/cluster/view"
)

// Tuned values. A change has 6 s to be in force everywhere: a lost call is retried after 0.2 s, and a coordinator that
// died is replaced once the view suspects it (about a second).
const (
	MaxAnswerDelay    = 250 * time.Millisecond // how long an answer waits for the processes below: a few fsyncs and hops
	ReportInterval    = 500 * time.Millisecond // between reports while some processes below have not answered
	MinReportInterval = 50 * time.Millisecond  // between reports in any case
	minBackoff        = 200 * time.Millisecond
	maxBackoff        = time.Second
	applyRetryDelay   = 10 * time.Second        // before a version that could not be put in force is retried
	LaggardAfter      = 1500 * time.Millisecond // a process that lacks the newest version for so long is named
	maxHistory        = 4                       // earlier documents that patches can be made from
	// RefreshInterval is between reports that say nothing new, by which a report that was wrongly taken for received is
	// made good. With 32 children and some 500 bytes for a call with its answer that is half a KB a second.
	RefreshInterval = 30 * time.Second

	MaxCounts      = 6  // versions listed in a summary; older ones are one number
	MaxLaggards    = 16 // named in a summary
	maxReasonBytes = 200
)

// Digest identifies a version's content; the zero value stands for a process's own file.
type Digest struct {
	Version uint64            `json:"v"`
	Sum     configuration.Sum `json:"s,omitempty"`
}

// Content is a version as it is sent: the patch from another, or all of it, compressed.
type Content struct {
	Digest
	Base  Digest          `json:"b,omitzero"` // what Patch is based on
	Patch json.RawMessage `json:"p,omitempty"`
	Full  []byte          `json:"w,omitempty"`
}

// Reason is why a process does not run the newest version.
type Reason string

// Reasons.
const (
	Behind      Reason = "behind"      // the process knows of the version, but it is not in force there yet
	Rejected    Reason = "refused"     // its own check, or its sender, rejects it
	Unreachable Reason = "unreachable" // its parent gets no answer from it
	Forked      Reason = "forked"      // it has other content under this version number
	Absent      Reason = "away"        // it is not in the view
)

// Laggard is one process that does not run the newest version.
type Laggard struct {
	Name    view.Name `json:"n"`
	Version uint64    `json:"v"` // in force there, as far as is known
	Reason  Reason    `json:"r"`
	Text    string    `json:"t,omitempty"`  // why it rejected the version
	SinceMS int64     `json:"ms,omitempty"` // for how long
}

// Count is how many processes run a version.
type Count struct {
	Version uint64 `json:"v"`
	Members int    `json:"m"`
}

// Summary is the state of a process and all below it. Its size is bounded, whatever their number.
type Summary struct {
	Members  int       `json:"m"`
	Unknown  int       `json:"u,omitempty"` // of these, which have not reported yet
	InForce  []Count   `json:"f,omitempty"` // newest first, at most MostCounts
	Older    int       `json:"o,omitempty"` // members with versions older than these
	Laggards []Laggard `json:"l,omitempty"` // at most MostLaggards
	Unnamed  int       `json:"x,omitempty"` // further laggards
}

// Report tells a parent the state of a process and all below it: as a call of its own, and as the answer to an Update.
type Report struct {
	From     view.Life `json:"from"`
	ToLeader bool      `json:"top,omitempty"` // it is for the leader of the consensus group
	ReportNo uint64    `json:"no"`            // grows with each report of an incarnation
	Held     Digest    `json:"h"`             // the newest content it has, in force or not
	InForce  uint64    `json:"i"`
	// NeedsFull asks for the full content: what was sent did not match its checksum.
	NeedsFull bool    `json:"whole,omitempty"`
	Settled   bool    `json:"settled,omitempty"` // the process and all below have put Held in force, or rejected it
	Summary   Summary `json:"sum"`
}

// ReportAnswer is the answer to a Report or a FetchRequest, with the content that the other lacks.
type ReportAnswer struct {
	Held       Digest   `json:"h"`
	Content    *Content `json:"c,omitempty"`
	Retry      bool     `json:"again,omitempty"` // it is not a child, by this process's view: it has to report again later
	FromLeader bool     `json:"leads,omitempty"` // from the leader: there is nothing newer than Held
}

// Update tells a child which version is the newest here, with the content that it lacks.
type Update struct {
	From       view.Life `json:"from"`
	FromLeader bool      `json:"top,omitempty"` // from the leader to the root of the tree
	UpdateNo   uint64    `json:"no"`            // grows with each update of an incarnation; each is answered once
	Held       Digest    `json:"h"`
	Content    *Content  `json:"c,omitempty"`
}

// FetchRequest asks for what is newer than a digest; the answer is a ReportAnswer.
type FetchRequest struct {
	Held      Digest `json:"h"`
	NeedsFull bool   `json:"whole,omitempty"`
}

// Parent is to whom a process reports: its parent in the tree, or at the root (IsLeader) the leader of the consensus
// group.
type Parent struct {
	view.Life
	IsLeader bool
}

// Outgoing is one update and the child that it is for.
type Outgoing struct {
	Child  view.Life
	Update Update
}
