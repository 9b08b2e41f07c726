package consensus

// This file holds the options of a Group, its default timing, and the size limits of its folder.

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"flaxcove/internal/cluster/consensus/machine"
	"flaxcove/internal/cluster/view"
)

// Timing holds the intervals and timeouts of a Group. A duration that is not positive stands for the default, which is
// named with each field.
type Timing struct {
	// HeartbeatTimeout is the time without a call from a leader after which a voter starts an election. It is also the
	// election timeout and the duration of the leader's lease. The default is DefaultHeartbeatTimeout.
	HeartbeatTimeout time.Duration
	// HeartbeatInterval is the time between two calls from the leader to the same server when there is nothing new to
	// send. The default is a third of HeartbeatTimeout, so that two calls in a row may be lost.
	HeartbeatInterval time.Duration
	// VoterCheckInterval is the time between the leader's checks of whether the voters should change. The default is
	// DefaultVoterCheckInterval.
	VoterCheckInterval time.Duration
	// ReplaceDeadAfter is how long a voter must have been unreachable before it is replaced. It must also be absent
	// from the view. The default is DefaultReplaceDeadAfter.
	ReplaceDeadAfter time.Duration
	// BootstrapAfter is how long the view must have shown all initial voters alive and without records before the group
	// is bootstrapped. The default is DefaultBootstrapAfter.
	BootstrapAfter time.Duration
}

// Timing constants. The measurements behind them, on loopback with five voters, are in
// docs/design/cluster/consensus.md. DefaultReplaceDeadAfter exceeds the two minutes that the deployment page allows for
// a restart, so that a rolling restart does not change the voters.
const (
	DefaultHeartbeatTimeout   = 700 * time.Millisecond
	DefaultVoterCheckInterval = time.Second
	DefaultReplaceDeadAfter   = 3 * time.Minute
	DefaultBootstrapAfter     = 3 * time.Second

	maxVoters                 = 5                     // a group with five voters tolerates two failures
	commitTimeout             = 40 * time.Millisecond // followers learn within twice this time that an entry is committed
	catchUpTimeout            = 20 * time.Second      // how long a staged server may take to catch up before another is tried
	catchUpRetryDelay         = time.Minute           // until a server that did not catch up may be staged again
	removedElectionTimeout    = 2 * time.Minute       // election timeout of a server that was removed and that no leader calls
	leadershipRetryDelay      = 20 * time.Millisecond // until a new leader retries to apply all earlier entries
	minCallTimeout            = time.Second           // minimum timeout of a raft call; two heartbeat timeouts if that is longer
	closeTimeout              = 3 * time.Second       // how long Close waits for the group to stop
	leadershipTransferTimeout = time.Second           // how long Close waits for a transfer of leadership
)

// Size limits of the folder. After maxLogBytes of commands a snapshot is taken, and the log is truncated to
// trailingLogs entries. At twice maxLogBytes nothing more is proposed until that is done. With commands of
// machine.MaxBodyBytes the log has at most 40 MB. The file of the log store never shrinks and may have twice that size.
// The folder also holds two snapshots of the state of all parts.
const (
	maxLogBytes           = 4 << 20
	trailingLogs          = 64               // log entries kept after a snapshot, for followers that are slightly behind
	snapshotThreshold     = 512              // log entries after which a snapshot is taken
	snapshotCheckInterval = 20 * time.Second // between checks of snapshotThreshold
	snapshotsRetained     = 2
	maxInFlightProposals  = 64 // further calls of Propose wait
)

// Options are the settings of a Group.
type Options struct {
	Self          view.Member                    // only Name and FolderID (the random name of the data folder) are read
	Cluster       string                         // name of the cluster, which must be the same at both ends of a connection
	Folder        string                         // path of the folder with log and snapshots; created if it does not exist
	Listen        string                         // address of the port for raft connections
	AddressOf     func(view.Name) (string, bool) // returns the raft address of a process and whether it is known
	InitialVoters []view.Name                    // the first voters of the group: 1 to 5 names, the same on all processes
	Parts         map[string]machine.Part        // the replicated parts by name, the same on all processes
	Log           *zap.Logger                    // nil for none
	// Partitioned reports whether the link to a process is cut. Writes on connections to that process then fail, and no
	// connection to it can be made. The lab's fault injection sets it; it may be nil.
	Partitioned func(view.Name) bool
	// Applied is called after commands were applied, with the index of the latest. One call may stand for several
	// commands. All calls come from one goroutine that holds no lock, so a slow call delays only the next call. It may
	// be nil.
	Applied func(index uint64)
	Timing

	// Size limits of the log. 0 stands for the constants of the same names; tests set smaller values.
	maxLogBytes  int
	trailingLogs uint64
}

// complete fills in defaults and returns an error if a required option is missing or invalid.
func (o *Options) complete() error {
	o.setDefaults()
	o.InitialVoters = slices.Compact(slices.Sorted(slices.Values(o.InitialVoters)))
	switch {
	case o.Self.Name == "" || o.Self.FolderID == "" || o.Folder == "" || o.AddressOf == nil:
		return errors.New("consensus: options Self.Name, Self.FolderID, Folder and AddressOf must be set")
	case strings.Contains(string(o.Self.Name)+o.Self.FolderID, "@"):
		return fmt.Errorf("consensus: name %q or folder name %q contains @", o.Self.Name, o.Self.FolderID)
	case len(o.InitialVoters) == 0 || len(o.InitialVoters) > maxVoters:
		return fmt.Errorf("consensus: %d initial voters; there must be 1 to %d", len(o.InitialVoters), maxVoters)
	}
	return nil
}

// setDefaults replaces zero values by their defaults.
func (o *Options) setDefaults() {
	o.HeartbeatTimeout = orDefault(o.HeartbeatTimeout, DefaultHeartbeatTimeout)
	o.HeartbeatInterval = orDefault(o.HeartbeatInterval, o.HeartbeatTimeout/3)
	o.VoterCheckInterval = orDefault(o.VoterCheckInterval, DefaultVoterCheckInterval)
	o.ReplaceDeadAfter = orDefault(o.ReplaceDeadAfter, DefaultReplaceDeadAfter)
	o.BootstrapAfter = orDefault(o.BootstrapAfter, DefaultBootstrapAfter)
	if o.maxLogBytes == 0 {
		o.maxLogBytes, o.trailingLogs = maxLogBytes, trailingLogs
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
}

// orDefault returns d if it is positive, and byDefault otherwise.
func orDefault(d, byDefault time.Duration) time.Duration {
	if d <= 0 {
		return byDefault
	}
	return d
}
