// Package spread distributes the newest version of the shared settings down the tree of processes, and collects reports
// of where it is in force.
//
// Each process has one State, and the leader of the consensus group has a second one (NewLeaderState), whose only child
// is the root of the tree. A State holds the versions that its process has and what the process knows of the processes
// below it, and decides which messages are due. It has no side effects; package run sends the messages.
//
// Only the newest version is distributed. A superseded version is never sent again, and a State never replaces a
// version by an older one. Two processes first compare the digests of their versions. The process with the newer
// version then sends a patch of the other's version, or the full content. A State never accepts content whose checksum
// differs from the announced one, and never counts a process twice. The size of a report depends neither on the number
// of members nor on the number of versions.
//
// Load (docs/CAPACITY.md, rows sender and zone, region and fleet coordinator): one call to each child per change, and
// one report to the parent for each child that was late. While nothing changes, each process sends one report per
// RefreshInterval. The number of a coordinator's messages therefore grows with the number of its children
// (tree.MaxChildren) times the number of changes, and with nothing else.
//
// Receivers of a message ignore unknown fields, so that processes of different program versions understand each other.
package spread

import (
	"encoding/json"
	"time"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/cluster/view"
)

// Timing and size limits. A change must be in force everywhere within 6 s. A lost call is retried after 0.2 s, and a
// coordinator that died is replaced in the tree once the view suspects it, after about a second.
const (
	MaxAnswerDelay    = 250 * time.Millisecond // how long the answer to an update waits for the processes below: a few fsyncs and hops
	ReportInterval    = 500 * time.Millisecond // between reports while some processes below have not answered
	MinReportInterval = 50 * time.Millisecond  // minimum time between two reports
	minBackoff        = 200 * time.Millisecond // before the first retry of a call; doubled up to maxBackoff
	maxBackoff        = time.Second
	applyRetryDelay   = 10 * time.Second        // until a version that could not be put in force is tried again
	LaggardAfter      = 1500 * time.Millisecond // a process that lacks the newest version for longer is named in summaries
	maxHistory        = 4                       // number of earlier documents that patches can be based on
	// RefreshInterval is the time between reports while nothing changes. They replace a report that was lost although
	// it counted as received. With 32 children and some 500 bytes for a call with its answer that is half a KB a
	// second.
	RefreshInterval = 30 * time.Second

	MaxCounts      = 6   // versions listed in a summary; older ones are only counted
	MaxLaggards    = 16  // laggards named in a summary; further ones are only counted
	maxReasonBytes = 200 // length of Laggard.Text
)

// Digest identifies a version and its content. The zero value stands for the process's own configuration file.
type Digest struct {
	Version uint64            `json:"v"`
	Sum     configuration.Sum `json:"s,omitempty"`
}

// Content is the content of a version in a message: either a patch of another version, or the full settings,
// compressed.
type Content struct {
	Digest
	Base  Digest          `json:"b,omitzero"`  // the version that Patch is based on
	Patch json.RawMessage `json:"p,omitempty"` // a JSON merge patch (RFC 7386)
	Full  []byte          `json:"w,omitempty"` // see configuration.Compress
}

// Reason is the reason why a process does not run the newest version.
type Reason string

// Reasons of a Laggard.
const (
	Behind      Reason = "behind"      // the process has the version, but it is not in force there yet
	Rejected    Reason = "refused"     // the process's own check, or its sender, rejected the version
	Unreachable Reason = "unreachable" // the parent gets no answer from the process
	Forked      Reason = "forked"      // the process has other content under the number of the newest version
	Absent      Reason = "away"        // the process is not present in the view
)

// Laggard is a process that does not run the newest version.
type Laggard struct {
	Name    view.Name `json:"n"`
	Version uint64    `json:"v"` // the version in force there, as far as it is known
	Reason  Reason    `json:"r"`
	Text    string    `json:"t,omitempty"`  // the error with which it rejected the version
	SinceMS int64     `json:"ms,omitempty"` // how long it has lagged, in milliseconds
}

// Count is the number of processes that run a version.
type Count struct {
	Version uint64 `json:"v"`
	Members int    `json:"m"`
}

// Summary is the summarised state of a process and all processes below it. Its size is bounded (see MaxCounts and
// MaxLaggards).
type Summary struct {
	Members  int       `json:"m"`           // number of processes
	Unknown  int       `json:"u,omitempty"` // number of these that have not reported yet
	InForce  []Count   `json:"f,omitempty"` // newest version first, at most MaxCounts
	Older    int       `json:"o,omitempty"` // number of processes with versions older than these
	Laggards []Laggard `json:"l,omitempty"` // at most MaxLaggards, sorted by version and name
	Unnamed  int       `json:"x,omitempty"` // number of further laggards
}

// Report tells a parent the state of a process and all processes below it. It is sent as a message of its own and as
// the answer to an Update.
type Report struct {
	From     view.Instance `json:"from"`
	ToLeader bool          `json:"top,omitempty"` // the receiver is the leader of the consensus group
	ReportNo uint64        `json:"no"`            // number of the report, which grows with each report of an incarnation
	Held     Digest        `json:"h"`             // the newest version that the process has, in force or not
	InForce  uint64        `json:"i"`             // the version that its sender runs
	// NeedsFull asks for the full content, because received content did not match its checksum.
	NeedsFull bool    `json:"whole,omitempty"`
	Settled   bool    `json:"settled,omitempty"` // the process and all below it have put Held in force or rejected it
	Summary   Summary `json:"sum"`
}

// ReportAnswer is the answer to a Report or a FetchRequest, with the content that the other process lacks.
type ReportAnswer struct {
	Held       Digest   `json:"h"`
	Content    *Content `json:"c,omitempty"`
	Retry      bool     `json:"again,omitempty"` // the sender of the report is not a child in this process's view, and has to report again later
	FromLeader bool     `json:"leads,omitempty"` // the answer comes from the leader, so there is no newer version than Held
}

// Update tells a child which version is the newest at its parent, with the content that the child lacks.
type Update struct {
	From       view.Instance `json:"from"`
	FromLeader bool          `json:"top,omitempty"` // the update is from the leader to the root of the tree
	UpdateNo   uint64        `json:"no"`            // number of the update, which grows with each update of an incarnation; each is answered once
	Held       Digest        `json:"h"`
	Content    *Content      `json:"c,omitempty"`
}

// FetchRequest asks for a newer version than Held. The answer is a ReportAnswer.
type FetchRequest struct {
	Held      Digest `json:"h"`
	NeedsFull bool   `json:"whole,omitempty"` // see Report.NeedsFull
}

// Parent is the process that a process reports to: its parent in the tree or, at the root of the tree, the leader of
// the consensus group (IsLeader is true). The zero value stands for no parent.
type Parent struct {
	view.Instance
	IsLeader bool
}

// Outgoing is an update with the child that receives it.
type Outgoing struct {
	Child  view.Instance
	Update Update
}
