package consensus

// This file is what a Group is given: its options, the timing, and the bounds of its folder.

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

// Timing is how fast a Group reacts. Zero stands for the default named with each field.
type Timing struct {
	// HeartbeatTimeout is how long a voter goes without hearing from a leader before it starts an election
	// (DefaultHeartbeatTimeout). It is the election timeout and the leader's lease, too.
	HeartbeatTimeout time.Duration
	// HeartbeatInterval is the time between calls that carry nothing new, to each other voter. By default it is a third
	// of HeartbeatTimeout, so that two of them may be lost.
	HeartbeatInterval time.Duration
	// VoterCheckInterval is how often the leader checks whether the voters should change (DefaultVoterCheckInterval).
	VoterCheckInterval time.Duration
	// ReplaceDeadAfter is how long a voter must be unreachable, and absent from the view, before it is replaced
	// (DefaultReplaceDeadAfter).
	ReplaceDeadAfter time.Duration
	// BootstrapAfter is how long the view must show all founders alive and without records before the group is
	// bootstrapped (DefaultBootstrapAfter).
	BootstrapAfter time.Duration
}

// Values tuned on loopback with five voters (docs/design/cluster/consensus.md). DefaultReplaceDeadAfter exceeds the two
// minutes that the deployment page gives a restart, so that a rolling restart changes no voters.
const (
	DefaultHeartbeatTimeout   = 700 * time.Millisecond
	DefaultVoterCheckInterval = time.Second
	DefaultReplaceDeadAfter   = 3 * time.Minute
	DefaultBootstrapAfter     = 3 * time.Second

	maxVoters                 = 5
	commitTimeout             = 40 * time.Millisecond // until followers hear that an entry is committed, at most twice that
	catchUpTimeout            = 20 * time.Second      // for a staged server to catch up, before another is tried
	catchUpRetryDelay         = time.Minute           // before a server that did not catch up is staged again
	removedElectionTimeout    = 2 * time.Minute       // of a server that was removed and that no leader calls
	leadershipRetryDelay      = 20 * time.Millisecond // after earlier entries could not be applied
	minCallTimeout            = time.Second           // of one raft call, unless two heartbeat timeouts are longer
	closeTimeout              = 3 * time.Second
	leadershipTransferTimeout = time.Second
)

// Bounds of the folder: after maxLogBytes of commands a snapshot is taken and the log is truncated to trailingLogs
// entries; at twice that much nothing more is proposed until that is done. With commands of machine.MaxBodyBytes that
// is 40 MB of log at the worst, which the store's file, as it never shrinks, may hold twice; and two snapshots of the
// parts' state.
const (
	maxLogBytes           = 4 << 20
	trailingLogs          = 64
	snapshotThreshold     = 512 // entries
	snapshotCheckInterval = 20 * time.Second
	snapshotsRetained     = 2
	maxInFlightProposals  = 64
)

// Options are the settings of a Group.
type Options struct {
	Self          view.Member                    // only Name and Folder (the random name of its data folder) are read
	Cluster       string                         // both ends of a connection must have the same
	Folder        string                         // of log and snapshots; created if it does not exist
	Listen        string                         // address of the port for raft connections
	AddressOf     func(view.Name) (string, bool) // the address of a process, and whether it has one
	InitialVoters []view.Name                    // the initial voters, the same at all processes; 1 to 5
	Parts         map[string]machine.Part
	Log           *zap.Logger
	// Partitioned reports whether the link to a process is cut: connections to it break, and none can be made. It is for tests in
	// the lab, and may be nil.
	Partitioned func(view.Name) bool
	// Applied is called with the index after commands were applied, once for several perhaps. One goroutine calls it,
	// with no lock held, so a slow call delays only the next one. It may be nil.
	Applied func(index uint64)
	Timing

	// Bounds of the log, smaller in tests.
	maxLogBytes  int
	trailingLogs uint64
}

// complete fills in defaults and checks what must be given.
func (o *Options) complete() error {
	o.setDefaults()
	o.InitialVoters = slices.Compact(slices.Sorted(slices.Values(o.InitialVoters)))
	switch {
	case o.Self.Name == "" || o.Self.Folder == "" || o.Folder == "" || o.AddressOf == nil:
		return errors.New("council: a name, a folder, its drawn name and ways to the others are needed")
	case strings.Contains(string(o.Self.Name)+o.Self.Folder, "@"):
		return fmt.Errorf("council: %q: names have no @", o.Self.Name)
	case len(o.InitialVoters) == 0 || len(o.InitialVoters) > maxVoters:
		return fmt.Errorf("council: %d founders; there must be 1 to %d", len(o.InitialVoters), maxVoters)
	}
	return nil
}

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

// orDefault returns d where it is above 0, and the default otherwise.
func orDefault(d, byDefault time.Duration) time.Duration {
	if d <= 0 {
		return byDefault
	}
	return d
}
