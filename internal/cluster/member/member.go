// Package member runs the cluster's membership on hashicorp/memberlist and publishes it as views.
//
// It owns the library's sockets, the metadata that this process announces, and three goroutines (loops.go); what is
// known of each member is in package roster. It must never accept a process of another cluster, let two processes of
// one name alternate, hold its lock over a call into the library or out of the package, or end the process because of
// what others say. It listens on loopback unless configured otherwise. Gossip is neither encrypted nor signed: whoever
// can send to its port and knows the cluster's name can forge a member, so the port must be closed to all others.
package member

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"go.uber.org/zap"

	"flaxcove/internal/cluster/member/roster"
	"flaxcove/internal/cluster/view"
)

// Options identify this process and how it reaches the others.
type Options struct {
	Cluster   string      // the cluster's name: processes of another are rejected
	Self      view.Member // its Incarnation must be above that of every earlier start from the same folder
	Listen    string      // address for gossip, UDP and TCP; "" is an ephemeral port on loopback
	Advertise string      // the gossip address announced to others, which Reach overrides there; "" is the bound address
	// Reach returns the address at which this process reaches the gossip port of another; it overrides what that one
	// announces. It must return at once and be safe for concurrent use. May be nil.
	Reach func(view.Name) (addr string, known bool)
	Seeds []view.Name // joined at start, and again while they are missing
	Log   *zap.Logger
	// OnViewChange is called with the latest view after changes, one call at a time, never under a lock. May be nil.
	OnViewChange func(*view.View)
	// OnNameConflict is called once when another process takes precedence for this process's name. Membership has ended
	// by then without a leave message: the name is the other's. May be nil.
	OnNameConflict func(other view.Life)
	// OnIncarnationRaised is called when the cluster remembers a later incarnation of this name than Self's, as after a
	// folder was lost or an old one restored: this process has taken the next incarnation, which its owner must store.
	// May be nil.
	OnIncarnationRaised func(view.Incarnation)
	// Partitioned reports processes from which this one is partitioned: what is sent there is lost. For test rigs that run many
	// members in one process; it must return at once and be safe for concurrent use. May be nil.
	Partitioned func(view.Name) bool
	Timing      Timing
	Bounds      roster.Bounds
}

// Members is this process's membership.
type Members struct {
	opts      Options
	addr      string // the bound gossip address
	list      *memberlist.Memberlist
	transport *transport
	snapshots *snapshotter
	startedAt time.Time
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	done      chan struct{} // closed when all goroutines of this package have ended

	snapshotNeeded chan struct{} // wakes runSnapshots; capacity one
	notifyNeeded   chan struct{} // wakes runNotifications; capacity one
	lastAnswer     atomic.Int64  // when a probe or exchange of this process last succeeded, as a view.Now
	libraryClosed  atomic.Bool   // the library may not be called any more
	// libraryTurn, of capacity one, serialises Leave and shutdown: the library fails on a leave after its shutdown.
	libraryTurn chan struct{}

	closeOnce    sync.Once
	shutdownOnce sync.Once
	closeErr     error

	mu     sync.Mutex
	roster *roster.Roster
	// updatedSinceSnapshot are the members of which the library reported since the last snapshot began, which may not
	// show that yet; no more than the roster holds.
	updatedSinceSnapshot map[view.Name]bool
	metaCache            metaCache // of the last snapshot's members, and of those admitted since
	self                 roster.Observation
	meta                 []byte // self as announced
	metaChanged          bool   // meta is newer than what the library gossips
	goneState            []byte // what LocalState returns for the roster's goneVersion
	goneVersion          uint64
	rejected             view.Name   // announces an outdated incarnation, and is to be joined so that it learns of it
	metAt                view.Uptime // when the first other member was met, if hasMetPeer
	hasMetPeer           bool
	raiseCount           int
	raisePending         bool       // OnIncarnationRaised is due
	nameOwner            *view.Life // the other process that owns this process's name; nil without a conflict
	conflictReported     bool       // OnNameConflict was called
}

// Start listens, begins to join the seeds in the background and returns at once.
func Start(opts Options) (*Members, error) {
	if opts.Log == nil {
		opts.Log = zap.NewNop()
	}
	opts.Timing = opts.Timing.withDefaults()
	opts.Listen = cmp.Or(opts.Listen, "127.0.0.1:0")
	if err := opts.validate(); err != nil {
		return nil, err
	}
	logger := newLibraryLogger(opts.Log)
	nt, bound, err := bind(opts.Listen, logger)
	if err != nil {
		return nil, err
	}
	m := newMembers(opts, bound)
	m.transport = &transport{NetTransport: nt, addressOf: m.addressOf, partitionedFrom: opts.Partitioned}
	if m.meta, err = encodeMeta(m.self); err == nil {
		m.snapshots, err = newSnapshotter(clusterLabel(opts.Cluster))
	}
	if err != nil {
		return nil, errors.Join(err, nt.Shutdown())
	}
	m.transport.snapshots = m.snapshots
	if m.list, err = memberlist.Create(m.libraryConfig(logger)); err != nil {
		return nil, errors.Join(fmt.Errorf("membership: %w", err), m.snapshots.list.Shutdown(), nt.Shutdown())
	}
	m.startLoops()
	return m, nil
}

// validate reports options that the membership cannot run with.
func (o *Options) validate() error {
	name := string(o.Self.Name)
	switch {
	case o.Cluster == "":
		return errors.New("membership: the cluster has no name")
	case name == "" || strings.Contains(name, "/") || name == snapshotNode:
		return fmt.Errorf("membership: %q cannot be a process's name", name)
	case o.Self.Incarnation == 0:
		return fmt.Errorf("membership: %q has no incarnation", name)
	}
	return nil
}

// newMembers returns a membership that knows only this process, without the library.
func newMembers(opts Options, bound string) *Members {
	self := roster.Observation{Member: opts.Self, GossipAddr: cmp.Or(opts.Advertise, bound)}
	self.Member.State = view.Alive
	return &Members{
		opts: opts, addr: bound, startedAt: time.Now(), done: make(chan struct{}),
		snapshotNeeded: make(chan struct{}, 1), notifyNeeded: make(chan struct{}, 1), libraryTurn: make(chan struct{}, 1),
		self: self, roster: roster.New(self, opts.Bounds, 0), updatedSinceSnapshot: map[view.Name]bool{}, metaCache: metaCache{},
	}
}

// libraryConfig is the configuration of the library's instance that holds the cluster's members.
func (m *Members) libraryConfig(logger *log.Logger) *memberlist.Config {
	conf := m.opts.Timing.config(string(m.opts.Self.Name), clusterLabel(m.opts.Cluster))
	conf.Transport, conf.Logger = m.transport, logger
	d := delegate{m}
	conf.Delegate, conf.Events, conf.Alive, conf.Merge, conf.Ping = d, d, d, d, d
	return conf
}

// startLoops starts the goroutines of loops.go, which Close ends.
func (m *Members) startLoops() {
	var ctx context.Context
	ctx, m.cancel = context.WithCancel(context.Background())
	m.wg.Add(3)
	go m.runSnapshots(ctx)
	go m.runJoins(ctx)
	go m.runNotifications(ctx)
	go func() {
		m.wg.Wait()
		close(m.done)
	}()
	wake(m.notifyNeeded)
}

// Addr returns the address that gossip is bound to.
func (m *Members) Addr() string { return m.addr }

// View returns the members as this process sees them now. Never nil.
func (m *Members) View() *view.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.View()
}

// Self returns this process as it announces itself; its incarnation may be above the one it started with
// (Options.OnIncarnationRaised).
func (m *Members) Self() view.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self.Member
}

// Sent returns how many bytes of gossip this process has sent in packets and exchanged over streams that it dialled,
// and how many packets, without the headers of UDP, TCP and IP.
func (m *Members) Sent() (bytes, packets int64) {
	return m.transport.bytesSent.Load(), m.transport.packetsSent.Load()
}

// Update changes what this process announces of itself and gossips it. Name, incarnation, folder and state stay. It
// fails, and changes nothing, when the metadata becomes too long.
func (m *Members) Update(change func(*view.Member)) error {
	m.mu.Lock()
	next := m.self
	m.mu.Unlock()
	change(&next.Member)
	m.mu.Lock()
	defer m.mu.Unlock()
	next.Member.Life, next.Member.State, next.Member.Folder = m.self.Member.Life, view.Alive, m.self.Member.Folder
	return m.setSelf(next)
}

// setSelf makes next what this process announces of itself; under mu.
func (m *Members) setSelf(next roster.Observation) error {
	meta, err := encodeMeta(next)
	if err != nil {
		return err
	}
	m.self, m.meta, m.metaChanged = next, meta, true
	if m.roster.MarkAlive(next, m.now()) {
		wake(m.notifyNeeded)
	}
	wake(m.snapshotNeeded)
	return nil
}

// Exchange runs a push/pull exchange with another process, in which both learn all that the other knows of the cluster.
// It waits for that, bounded by Timing.StreamTimeout, and does nothing if the other cannot be reached.
func (m *Members) Exchange(with view.Name) {
	if m.libraryClosed.Load() {
		return
	}
	if _, err := m.list.Join([]string{joinAddr(string(with))}); err == nil {
		m.lastAnswer.Store(int64(m.now()))
	}
}

// Leave announces that this process leaves, and waits at most within for that to be sent. Close must follow.
func (m *Members) Leave(within time.Duration) error {
	m.mu.Lock()
	conflict := m.nameOwner != nil
	if !conflict && m.roster.MarkLeft(m.self, m.now()) {
		wake(m.notifyNeeded)
	}
	m.mu.Unlock()
	m.libraryTurn <- struct{}{} // occupied for at most another Leave's time
	defer func() { <-m.libraryTurn }()
	if conflict || m.libraryClosed.Load() {
		return nil // the name is another process's, or the library has ended
	}
	if err := m.list.Leave(max(within, time.Millisecond)); err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	return nil
}

// closeTimeout bounds Close: what takes longest is a stream in the middle of an exchange.
const closeTimeout = 5 * time.Second

// Close ends membership without a leave message: the others detect a failure, unless Leave came before. It waits at most
// closeTimeout for the goroutines.
func (m *Members) Close() error {
	m.closeOnce.Do(func() {
		m.cancel()
		select {
		case <-m.done:
		case <-time.After(closeTimeout):
			m.closeErr = errors.New("membership: still running after Close: OnViewChange, OnNameConflict or a stream does not end")
		}
		m.shutdown()
	})
	return m.closeErr
}

// shutdown ends both instances of the library, once.
func (m *Members) shutdown() {
	m.shutdownOnce.Do(func() {
		m.libraryTurn <- struct{}{}
		defer func() { <-m.libraryTurn }()
		m.libraryClosed.Store(true)
		_ = m.list.Shutdown()
		_ = m.snapshots.list.Shutdown()
	})
}

// now is the time since this membership started.
func (m *Members) now() view.Uptime { return time.Since(m.startedAt) }

// addressOf returns where a process's gossip port is: by Options.Reach, else by what the process announces.
func (m *Members) addressOf(name view.Name) (string, bool) {
	if m.opts.Reach != nil {
		if addr, known := m.opts.Reach(name); known {
			return addr, true
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	addr := m.roster.GossipAddr(name)
	return addr, addr != ""
}

// wake signals a channel of capacity one, unless a signal is pending already.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
