// Package consensus runs a raft group of at most five voters, which commits the commands of the replicated parts (see
// package machine) in a single order.
//
// The package owns the raft library (hashicorp/raft), the folder with the raft log and snapshots, the listening port
// for raft connections, the bootstrap of the group, and the changes of its voters, which package voters computes. The
// package never interprets a command, never reports a command as committed unless it is, and never calls other code
// with its lock held.
//
// A raft server is identified by the name of its process and the random name of the folder that holds its records, as
// in "a@5f3c". A process that lost its disk is therefore a different server and can't vote twice in one term. A server
// that was removed from the configuration starts an election every two minutes at most.
//
// Without a quorum nothing is committed. Committed state can still be read locally, and Propose returns an
// UncertainError when its context ends.
//
// The guarantees and the known risks are listed in docs/design/cluster/consensus.md.
package consensus

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
	"go.uber.org/zap"

	"flaxcove/internal/cluster/consensus/machine"
	"flaxcove/internal/cluster/consensus/voters"
	"flaxcove/internal/cluster/view"
)

// Group is the member of the consensus group that runs in this process. Start creates it, and Close ends it. Its
// methods are safe for concurrent use.
type Group struct {
	options       Options
	self          voters.ID
	stream        *streamLayer
	transport     *transport
	store         *raftboltdb.BoltStore
	raft          *raft.Raft
	log           *zap.Logger
	proposalSlots chan struct{}
	wakeups       chan struct{} // a value makes the maintenance loop run at once
	appliedSignal chan struct{} // a value makes reportApplied call Options.Applied
	done          chan struct{} // closed by halt
	goroutines    sync.WaitGroup
	closeOnce     sync.Once

	leadingTerm  atomic.Uint64 // latest term in which this server led and had applied all earlier entries
	removedIndex atomic.Uint64 // index of a configuration that lacks this server, as reported by a peer; 0 for none

	mu            sync.RWMutex // consensus.mu in the lock order of package cluster; guards the fields below
	machine       *machine.Machine
	clockBase     time.Duration // value of the group's clock at clockBaseTime; the clock runs on from there
	clockBaseTime time.Time     // local time at which the clock had the value clockBase
	logBytes      int           // total length of the commands since the last snapshot
	view          *view.View
	configuration serverSet // the latest raft configuration known here
}

// serverSet holds the servers of a raft configuration and the index of its log entry.
type serverSet struct {
	index   uint64
	members map[raft.ServerID]bool
}

// Start opens the raft log and snapshots in Options.Folder, listens on Options.Listen, and joins the group. A server
// without records waits until a leader calls it, unless it bootstraps the group (see Options.InitialVoters).
func Start(o Options) (*Group, error) {
	if err := o.complete(); err != nil {
		return nil, err
	}
	g := &Group{options: o, self: voters.ID{Name: o.Self.Name, Folder: o.Self.FolderID}, log: o.Log,
		proposalSlots: make(chan struct{}, maxInFlightProposals), wakeups: make(chan struct{}, 1), appliedSignal: make(chan struct{}, 1),
		done: make(chan struct{}), machine: machine.New(o.Parts), clockBaseTime: time.Now()}
	if err := os.MkdirAll(o.Folder, 0o755); err != nil {
		return nil, err
	}
	logger := &raftLogWriter{o.Log}
	snaps, err := raft.NewFileSnapshotStoreWithLogger(o.Folder, snapshotsRetained, logger.logger())
	if err != nil {
		return nil, err
	}
	file := filepath.Join(o.Folder, "council.db")
	g.store, err = raftboltdb.New(raftboltdb.Options{Path: file, BoltOptions: &bbolt.Options{Timeout: time.Second}})
	if err != nil {
		return nil, fmt.Errorf("consensus: cannot open the log store %s: %w", file, err)
	}
	if g.stream, err = listen(o, raft.ServerAddress(raftID(g.self))); err != nil {
		return nil, errors.Join(err, g.store.Close())
	}
	g.transport = newTransport(g, max(2*o.HeartbeatTimeout, minCallTimeout), logger)
	cached, err := raft.NewLogCache(trailingLogs, g.store)
	if err == nil {
		g.raft, err = raft.NewRaft(g.raftConfig(logger), (*fsm)(g), cached, g.store, snaps, g.transport)
	}
	if err != nil {
		return nil, errors.Join(err, g.transport.Close(), g.store.Close())
	}
	g.goroutines.Add(2)
	go g.maintain()
	go g.reportApplied()
	return g, nil
}

// raftConfig returns the settings of the raft library.
func (g *Group) raftConfig(logger *raftLogWriter) *raft.Config {
	config := raft.DefaultConfig()
	config.LocalID = raftID(g.self)
	config.HeartbeatTimeout = g.options.HeartbeatTimeout
	config.ElectionTimeout = g.options.HeartbeatTimeout
	config.LeaderLeaseTimeout = g.options.HeartbeatTimeout
	config.CommitTimeout = commitTimeout
	config.SnapshotInterval = snapshotCheckInterval
	config.SnapshotThreshold = snapshotThreshold
	config.TrailingLogs = g.options.trailingLogs
	config.ShutdownOnRemove = false // so that a removed server can be added again
	config.NoLegacyTelemetry = true
	config.Logger = logger.logger()
	return config
}

// raftID returns the ID of a server in the raft library, "name@folder".
func raftID(id voters.ID) raft.ServerID { return raft.ServerID(string(id.Name) + "@" + id.Folder) }

// voterID returns the name and folder in an ID of the raft library. It is the inverse of raftID.
func voterID(id raft.ServerID) voters.ID {
	name, folder, _ := strings.Cut(string(id), "@")
	return voters.ID{Name: view.Name(name), Folder: folder}
}

// nameOf returns the process name in a server's ID.
func nameOf(id raft.ServerID) view.Name { return voterID(id).Name }

// SetView sets the membership view that Group uses to bootstrap the group and to choose its voters.
func (g *Group) SetView(v *view.View) {
	g.mu.Lock()
	g.view = v
	g.mu.Unlock()
	g.wake()
}

// wake makes the maintenance loop run at once. It never blocks.
func (g *Group) wake() {
	select {
	case g.wakeups <- struct{}{}:
	default:
	}
}

// Close transfers leadership to another voter if this server leads, waiting up to a second for that, and then stops the
// group. It returns within about four seconds, with an error if the group did not stop in time.
func (g *Group) Close() error {
	if g.raft.State() == raft.Leader {
		transfer := g.raft.LeadershipTransfer()
		transferred := make(chan struct{})
		go func() { // ends at the latest when halt shuts the library down
			_ = transfer.Error()
			close(transferred)
		}()
		closedWithin(transferred, leadershipTransferTimeout)
	}
	return g.halt()
}

// halt stops the group without a transfer of leadership. Only the first call has an effect.
func (g *Group) halt() error {
	var err error
	g.closeOnce.Do(func() {
		close(g.done)
		shutdown := g.raft.Shutdown()
		err = g.transport.Close() // aborts the calls that the library waits for
		ended := make(chan error, 1)
		go func() {
			_ = shutdown.Error()
			g.goroutines.Wait()
			g.stream.goroutines.Wait()
			ended <- g.store.Close()
		}()
		timer := time.NewTimer(closeTimeout)
		defer timer.Stop()
		select {
		case closed := <-ended:
			err = errors.Join(err, closed)
		case <-timer.C:
			err = errors.Join(err, errors.New("consensus: the raft group did not stop in time"))
		}
	})
	return err
}

// closedWithin waits up to d for done to be closed and reports whether it was.
func closedWithin(done <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}
