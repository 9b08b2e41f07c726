// Package consensus commits the commands of replicated parts (package machine) in one order, by raft among at most five
// voters.
//
// It owns the raft library (hashicorp/raft), the folder of its log and snapshots, the port on which servers talk, the
// bootstrap of the group, and changes of its voters, which package voters works out. It must never decide a command
// itself, never report a command as committed that may not be, and never call out with its lock held.
//
// A server is a name and the folder that holds its records ("a@5f3c"). A process that lost its disk is therefore a
// different server and can't vote twice in one term. A server that was removed from the configuration starts elections
// only rarely.
//
// Without a quorum nothing is committed, what was committed can still be read here, and Propose returns an
// UncertainError within its deadline.
//
// docs/design/cluster/consensus.md lists what is guaranteed, and the risks.
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

// Group is one process's membership in the consensus group.
type Group struct {
	options       Options
	self          voters.ID
	stream        *streamLayer
	transport     *transport
	store         *raftboltdb.BoltStore
	raft          *raft.Raft
	log           *zap.Logger
	proposalSlots chan struct{}
	wakeups       chan struct{} // makes the maintenance loop run at once
	appliedSignal chan struct{} // Options.Applied is to be called
	done          chan struct{} // closed when the group ends
	goroutines    sync.WaitGroup
	closeOnce     sync.Once

	leadingTerm  atomic.Uint64 // the latest term in which this server led and had applied all earlier entries
	removedIndex atomic.Uint64 // a peer answered that the configuration at this index lacks this server; 0 for none

	mu            sync.RWMutex // stands as consensus.mu in the lock order of package cluster
	machine       *machine.Machine
	clockBase     time.Duration // value of the group's clock ...
	clockBaseTime time.Time     // ... at this local time
	logBytes      int           // bytes of commands since the last snapshot
	view          *view.View
	configuration serverSet // the latest one known here
}

// serverSet is the servers of a configuration, and the index of its log entry.
type serverSet struct {
	index   uint64
	members map[raft.ServerID]bool
}

// Start opens the records, listens and takes part. A server without records waits for a leader to call it, unless it
// bootstraps the group (see Options.Founders).
func Start(o Options) (*Group, error) {
	if err := o.complete(); err != nil {
		return nil, err
	}
	g := &Group{options: o, self: voters.ID{Name: o.Self.Name, Folder: o.Self.Folder}, log: o.Log,
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
		return nil, fmt.Errorf("%s: %w", file, err)
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

// raftConfig returns the library's configuration.
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
	config.ShutdownOnRemove = false // a removed server may be added again
	config.NoLegacyTelemetry = true
	config.Logger = logger.logger()
	return config
}

// raftID is a server's ID in the library: "name@folder".
func raftID(id voters.ID) raft.ServerID { return raft.ServerID(string(id.Name) + "@" + id.Folder) }

// voterID is the inverse of raftID.
func voterID(id raft.ServerID) voters.ID {
	name, folder, _ := strings.Cut(string(id), "@")
	return voters.ID{Name: view.Name(name), Folder: folder}
}

func nameOf(id raft.ServerID) view.Name { return voterID(id).Name }

// SetView sets the view of members, from which the group is bootstrapped and its voters are chosen.
func (g *Group) SetView(v *view.View) {
	g.mu.Lock()
	g.view = v
	g.mu.Unlock()
	g.wake()
}

// wake makes the maintenance loop run at once.
func (g *Group) wake() {
	select {
	case g.wakeups <- struct{}{}:
	default:
	}
}

// Close transfers leadership where that succeeds within a second, and ends all within about four seconds.
func (g *Group) Close() error {
	if g.raft.State() == raft.Leader {
		transfer := g.raft.LeadershipTransfer()
		transferred := make(chan struct{})
		go func() { // ends when the library does (halt), at the latest
			_ = transfer.Error()
			close(transferred)
		}()
		closedWithin(transferred, leadershipTransferTimeout)
	}
	return g.halt()
}

// halt ends everything without a transfer of leadership.
func (g *Group) halt() error {
	var err error
	g.closeOnce.Do(func() {
		close(g.done)
		shutdown := g.raft.Shutdown()
		err = g.transport.Close() // ends the calls for which the library waits
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
			err = errors.Join(err, errors.New("council: did not end in time"))
		}
	})
	return err
}

// closedWithin waits until done is closed, for d at most, and returns whether it was.
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
