// Package consensus decides in common: the parts' commands (package machine) in one order, by a few voters.
//
// It owns the consensus library (hashicorp/raft), the folder in which its records lie, the port on which voters talk,
// the founding, and the change of voters, of which package voters says what comes next. It must never decide anything
// itself, never answer that something was decided which may not have been, and never call out with its lock held.
//
// A server is a name and the folder that holds its records ("a@5f3c"): a process that lost its disk is another server,
// so that it can't give a vote for the second time. Who was left out of the configuration asks for votes no more.
//
// No quorum: nothing is decided, what was decided can still be read here, and Propose says Unsure within its bound.
//
// docs/design/cluster/council.md says what is promised, and when it could do harm.
package consensus

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
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

// Timing is how fast the council is. Zero stands for the value named with each.
type Timing struct {
	// Heartbeat is after how long without its leader a voter looks for another (DefaultHeartbeat).
	Heartbeat time.Duration
	// Beat is how far apart calls without news are to each other voter: a third of Heartbeat, so that two may be lost.
	Beat time.Duration
	// Adjust is how often the leader looks for a change of voters (DefaultAdjust).
	Adjust time.Duration
	// DeadFor is how long a voter must be out of reach, and away by the view, to be replaced (DefaultDeadFor).
	DeadFor time.Duration
	// FoundAfter is how long the view must show all founders, of which none was founded (DefaultFoundAfter).
	FoundAfter time.Duration
}

// Values tuned on loopback with five voters (docs/design/cluster/council.md); DeadFor is over a restart's two minutes
// of the deployment page, so that a rolling restart changes no voters.
const (
	DefaultHeartbeat  = 700 * time.Millisecond
	DefaultAdjust     = time.Second
	DefaultDeadFor    = 3 * time.Minute
	DefaultFoundAfter = 3 * time.Second

	mostVoters   = 5
	commitWithin = 40 * time.Millisecond // others hear of a decision so long after it was made, or twice that
	stageFor     = 20 * time.Second      // for a staged server to catch up; else another is tried
	passFor      = time.Minute           // before it is tried again
	quietFor     = 2 * time.Minute       // between elections of one that was left out and is called by no leader
	closeFor     = 3 * time.Second
	handOverFor  = time.Second
)

// Bounds of the folder: after logMost bytes of commands a snapshot is taken and the log cut to trailing commands; at
// twice that much nothing more is proposed until it is. With machine.MaxBody for each that is 40 MB of log at the
// worst, which the store's file, as it only grows, may hold twice; and two snapshots of the parts' state.
const (
	logMost      = 4 << 20
	trailing     = 64
	snapshotsAt  = 512 // commands
	snapshotLook = 20 * time.Second
	snapshots    = 2
	inFlight     = 64 // proposals
)

// Options are a council's settings.
type Options struct {
	Self     view.Member // its name and the drawn name of its folder count
	Cluster  string      // the other end of each connection must have the same
	Folder   string      // for the records; made if need be
	Listen   string      // address of the council's port
	Reach    func(view.Name) (string, bool)
	Founders []view.Name // the first voters, the same at all processes; 1 to 5
	Parts    map[string]machine.Part
	Log      *zap.Logger
	// Cut tells whom this process does not reach: connections to there break and none come up. It is a laboratory's; may
	// be nil.
	Cut func(view.Name) bool
	// Applied is told the index after commands were applied, many at once perhaps. It is called by one goroutine, with
	// no lock held, and delays nothing but its next call. It may be nil.
	Applied func(index uint64)
	Timing

	// Bounds of the log, of which tests take smaller ones.
	logMost  int
	trailing uint64
}

// Group is one process's part in it.
type Group struct {
	o       Options
	self    voters.ID
	stream  *stream
	carry   *carry
	store   *raftboltdb.BoltStore
	raft    *raft.Raft
	log     *zap.Logger
	slots   chan struct{}
	poke    chan struct{} // the loop looks at once
	applied chan struct{}
	done    chan struct{}
	running sync.WaitGroup
	closing sync.Once

	ledTerm atomic.Uint64 // the term in which this one leads and has applied all that was decided before
	outAt   atomic.Uint64 // it was told that it has no place by what was decided at this index; 0 for not

	mu        sync.RWMutex // council.mu of the stated order
	machine   *machine.Machine
	clockAt   time.Duration // the council's clock was this
	clockFrom time.Time     // at this moment here
	weight    int           // bytes of commands since the last snapshot
	view      *view.View
	decided   placed // the configuration decided last, as far as it is known here
}

// placed are the servers of a configuration, and its index.
type placed struct {
	index uint64
	in    map[raft.ServerID]bool
}

// Start opens the records, listens, and takes part: it waits to be called, unless it is to found (see Founders).
func Start(o Options) (*Group, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	c := &Group{o: o, self: voters.ID{Name: o.Self.Name, Folder: o.Self.Folder}, log: o.Log,
		slots: make(chan struct{}, inFlight), poke: make(chan struct{}, 1), applied: make(chan struct{}, 1),
		done: make(chan struct{}), machine: machine.New(o.Parts), clockFrom: time.Now()}
	if err := os.MkdirAll(o.Folder, 0o755); err != nil {
		return nil, err
	}
	logger := &zapped{o.Log}
	snaps, err := raft.NewFileSnapshotStoreWithLogger(o.Folder, snapshots, logger.hclog())
	if err != nil {
		return nil, err
	}
	file := filepath.Join(o.Folder, "council.db")
	c.store, err = raftboltdb.New(raftboltdb.Options{Path: file, BoltOptions: &bbolt.Options{Timeout: time.Second}})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if c.stream, err = listen(o, raft.ServerAddress(idOf(c.self))); err != nil {
		return nil, errors.Join(err, c.store.Close())
	}
	c.carry = newCarry(c, max(2*o.Heartbeat, time.Second), logger)
	config := raft.DefaultConfig()
	config.LocalID = idOf(c.self)
	config.HeartbeatTimeout, config.ElectionTimeout = o.Heartbeat, o.Heartbeat
	config.LeaderLeaseTimeout = o.Heartbeat
	config.CommitTimeout = commitWithin
	config.SnapshotInterval, config.SnapshotThreshold, config.TrailingLogs = snapshotLook, snapshotsAt, o.trailing
	config.ShutdownOnRemove = false // it may be asked back
	config.NoLegacyTelemetry = true
	config.Logger = logger.hclog()
	cached, err := raft.NewLogCache(trailing, c.store)
	if err == nil {
		c.raft, err = raft.NewRaft(config, (*fsm)(c), cached, c.store, snaps, c.carry)
	}
	if err != nil {
		return nil, errors.Join(err, c.carry.Close(), c.store.Close())
	}
	c.running.Add(2)
	go c.keep()
	go c.tell()
	return c, nil
}

func (o *Options) check() error {
	o.Heartbeat = orElse(o.Heartbeat, DefaultHeartbeat)
	o.Beat = orElse(o.Beat, o.Heartbeat/3)
	o.Adjust = orElse(o.Adjust, DefaultAdjust)
	o.DeadFor = orElse(o.DeadFor, DefaultDeadFor)
	o.FoundAfter = orElse(o.FoundAfter, DefaultFoundAfter)
	if o.logMost == 0 {
		o.logMost, o.trailing = logMost, trailing
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	founders := slices.Compact(slices.Sorted(slices.Values(o.Founders)))
	o.Founders = founders
	switch {
	case o.Self.Name == "" || o.Self.Folder == "" || o.Folder == "" || o.Reach == nil:
		return errors.New("council: a name, a folder, its drawn name and ways to the others are needed")
	case strings.Contains(string(o.Self.Name)+o.Self.Folder, "@"):
		return fmt.Errorf("council: %q: names have no @", o.Self.Name)
	case len(founders) == 0 || len(founders) > mostVoters:
		return fmt.Errorf("council: %d founders; there must be 1 to %d", len(founders), mostVoters)
	}
	return nil
}

func orElse(d, instead time.Duration) time.Duration {
	if d <= 0 {
		return instead
	}
	return d
}

func idOf(id voters.ID) raft.ServerID { return raft.ServerID(string(id.Name) + "@" + id.Folder) }

func serverOf(id raft.ServerID) voters.ID {
	name, folder, _ := strings.Cut(string(id), "@")
	return voters.ID{Name: view.Name(name), Folder: folder}
}

func nameOf(id raft.ServerID) view.Name { return serverOf(id).Name }

// SetView tells who is here, by which the council is founded and its voters change.
func (c *Group) SetView(v *view.View) {
	c.mu.Lock()
	c.view = v
	c.mu.Unlock()
	c.wakeUp()
}

func (c *Group) wakeUp() {
	select {
	case c.poke <- struct{}{}:
	default:
	}
}

// Close hands leadership over if it can within a second, and ends all within some four.
func (c *Group) Close() error {
	if c.raft.State() == raft.Leader {
		handed := c.raft.LeadershipTransfer()
		over := make(chan struct{})
		go func() { _ = handed.Error(); close(over) }() // ends with the library below at the latest
		within(over, handOverFor)
	}
	return c.halt()
}

// halt ends all at once.
func (c *Group) halt() error {
	var err error
	c.closing.Do(func() {
		close(c.done)
		down := c.raft.Shutdown()
		err = c.carry.Close() // lets go of calls that the library waits for
		ended := make(chan error, 1)
		go func() {
			_ = down.Error()
			c.running.Wait()
			c.stream.running.Wait()
			ended <- c.store.Close()
		}()
		timer := time.NewTimer(closeFor)
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

func within(done <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}
