// Package member runs the cluster's membership on hashicorp/memberlist and publishes it as views.
//
// It owns the library's sockets, the metadata that this process announces, and three goroutines (loops.go). Package
// roster holds the state of each member. Package member must never accept a process of another cluster, let two
// processes of one name alternate as its owner, hold its lock during a call into the library or a callback of the
// owner, or end the process because of messages of others.
//
// It listens on loopback unless configured otherwise. Gossip is neither encrypted nor signed: a host that can send to
// the gossip port and knows the cluster's name can forge a member, so the port must not be reachable by foreign hosts.
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

// Options identifies this process and configures how it reaches the others.
type Options struct {
	Cluster   string      // name of the cluster; processes of another cluster are rejected
	Self      view.Member // its Incarnation must be above that of every earlier start from the same folder
	Listen    string      // host:port for gossip over UDP and TCP; "" stands for an ephemeral port on loopback
	Advertise string      // gossip address announced to others, which their Reach overrides; "" stands for the bound address
	// Reach returns the address at which this process reaches the gossip port of another one. It overrides the address
	// that the other one announces. It must return at once and be safe for concurrent use. May be nil.
	Reach func(view.Name) (addr string, known bool)
	Seeds []view.Name // joined at the start, and again whenever they are missing
	Log   *zap.Logger // nil logs nothing
	// OnViewChange is called with the latest view after changes, one call at a time, never under a lock. May be nil.
	OnViewChange func(*view.View)
	// OnNameConflict is called once if another process becomes the name owner of this process's name. This process's
	// membership has then ended, without a leave message, as that would announce the leave of the name owner. May be
	// nil.
	OnNameConflict func(other view.Instance)
	// OnIncarnationRaised is called after this process raised its incarnation, because the cluster knew its name with
	// the same or a later one, as after its folder was lost or an old copy restored. The owner must store the new
	// incarnation. May be nil.
	OnIncarnationRaised func(view.Incarnation)
	// Partitioned reports whether a simulated partition drops what this process sends to the named one. It serves test
	// rigs that run many members in one process. It must return at once and be safe for concurrent use. May be nil.
	Partitioned func(view.Name) bool
	Timing      Timing
	Bounds      roster.Bounds
}

// Members is this process's membership in the cluster. It is safe for concurrent use.
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
	lastContact    atomic.Int64  // when a probe or exchange of this process last succeeded, as a view.Uptime
	libraryClosed  atomic.Bool   // the library must not be called any more
	// librarySem is a semaphore of capacity one that serializes Leave and shutdown, as the library fails on a leave
	// after its shutdown.
	librarySem chan struct{}

	closeOnce    sync.Once
	shutdownOnce sync.Once
	closeErr     error

	mu     sync.Mutex
	roster *roster.Roster
	// updatedSinceSnapshot holds the members about which the library reported an event since the last snapshot began.
	// That snapshot may not show these events. It holds no more names than the roster.
	updatedSinceSnapshot map[view.Name]bool
	metaCache            metaCache          // of the last snapshot's members, and of those admitted since
	self                 roster.Observation // this process as it announces itself
	meta                 []byte             // self, encoded
	metaChanged          bool               // the library does not gossip meta yet
	localState           []byte             // cached result of LocalState, for the roster's localStateVersion
	localStateVersion    uint64
	rejectedName         view.Name   // announced an outdated incarnation; joined next so that it learns the later one
	firstMetAt           view.Uptime // when the first other member was met; valid if hasMetPeer
	hasMetPeer           bool
	raiseCount           int            // raises of the incarnation so far
	raisePending         bool           // OnIncarnationRaised is due
	nameOwner            *view.Instance // the other process that owns this process's name; nil without a name conflict
	conflictReported     bool           // OnNameConflict was called
}

// Start starts to listen and to join the seeds in the background, and returns at once. It returns an error if the
// options are invalid, or if it cannot listen.
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
		return nil, errors.Join(fmt.Errorf("membership: cannot start memberlist: %w", err), m.snapshots.list.Shutdown(), nt.Shutdown())
	}
	m.startLoops()
	return m, nil
}

// validate returns an error if the cluster's name, this process's name or its incarnation is missing or invalid.
func (o *Options) validate() error {
	name := string(o.Self.Name)
	switch {
	case o.Cluster == "":
		return errors.New("membership: the cluster's name is empty")
	case name == "" || strings.Contains(name, "/") || name == snapshotNode:
		return fmt.Errorf("membership: invalid process name %q", name)
	case o.Self.Incarnation == 0:
		return fmt.Errorf("membership: process %q has no incarnation", name)
	}
	return nil
}

// newMembers returns a membership that knows only this process and has no library instances yet.
func newMembers(opts Options, bound string) *Members {
	self := roster.Observation{Member: opts.Self, GossipAddr: cmp.Or(opts.Advertise, bound)}
	self.Member.State = view.Alive
	return &Members{
		opts: opts, addr: bound, startedAt: time.Now(), done: make(chan struct{}),
		snapshotNeeded: make(chan struct{}, 1), notifyNeeded: make(chan struct{}, 1), librarySem: make(chan struct{}, 1),
		self: self, roster: roster.New(self, opts.Bounds, 0), updatedSinceSnapshot: map[view.Name]bool{}, metaCache: metaCache{},
	}
}

// libraryConfig returns the complete configuration of the library's instance that holds the cluster's members.
func (m *Members) libraryConfig(logger *log.Logger) *memberlist.Config {
	conf := m.opts.Timing.config(string(m.opts.Self.Name), clusterLabel(m.opts.Cluster))
	conf.Transport, conf.Logger = m.transport, logger
	d := delegate{m}
	conf.Delegate, conf.Events, conf.Alive, conf.Merge, conf.Ping = d, d, d, d, d
	return conf
}

// startLoops starts the goroutines of loops.go. Close ends them.
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

// View returns the members as this process sees them now. It never returns nil.
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

// Sent returns the bytes of gossip that this process has sent in packets or exchanged in either direction over streams
// that it dialled, without the headers of UDP, TCP and IP, and the number of packets.
func (m *Members) Sent() (bytes, packets int64) {
	return m.transport.bytesSent.Load(), m.transport.packetsSent.Load()
}

// Update applies change to the metadata that this process announces, and gossips the result. Changes of the name, the
// incarnation, the folder and the state are ignored. If the metadata becomes too long, Update returns an error and
// changes nothing.
func (m *Members) Update(change func(*view.Member)) error {
	m.mu.Lock()
	next := m.self
	m.mu.Unlock()
	change(&next.Member)
	m.mu.Lock()
	defer m.mu.Unlock()
	next.Member.Instance, next.Member.State, next.Member.FolderID = m.self.Member.Instance, view.Alive, m.self.Member.FolderID
	return m.setSelf(next)
}

// setSelf makes next the metadata that this process announces. The caller holds mu.
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

// Exchange runs a push/pull exchange with another process, in which each sends its full state of the cluster to the
// other. It returns when the exchange has ended, after Timing.StreamTimeout at most. It does nothing if the other
// process cannot be reached.
func (m *Members) Exchange(with view.Name) {
	if m.libraryClosed.Load() {
		return
	}
	if _, err := m.list.Join([]string{joinAddr(string(with))}); err == nil {
		m.lastContact.Store(int64(m.now()))
	}
}

// Leave announces that this process leaves, and waits until the message is sent, for the duration within at most. It
// does nothing after a name conflict or after Close. The caller must call Close afterwards.
func (m *Members) Leave(within time.Duration) error {
	m.mu.Lock()
	conflict := m.nameOwner != nil
	if !conflict && m.roster.MarkLeft(m.self, m.now()) {
		wake(m.notifyNeeded)
	}
	m.mu.Unlock()
	m.librarySem <- struct{}{} // held for the duration of another Leave at most
	defer func() { <-m.librarySem }()
	if conflict || m.libraryClosed.Load() {
		return nil // another process owns the name, or the library has ended
	}
	if err := m.list.Leave(max(within, time.Millisecond)); err != nil {
		return fmt.Errorf("membership: announcing the leave failed: %w", err)
	}
	return nil
}

// closeTimeout bounds Close, which may have to wait for an exchange over a stream.
const closeTimeout = 5 * time.Second

// Close ends the membership without a leave message; the other members detect a failure unless Leave was called before.
// It waits up to closeTimeout for the goroutines to end, and returns an error if they have not. Further calls return
// the same result.
func (m *Members) Close() error {
	m.closeOnce.Do(func() {
		m.cancel()
		select {
		case <-m.done:
		case <-time.After(closeTimeout):
			m.closeErr = errors.New("membership: goroutines are still running after Close: a callback or a stream has not ended")
		}
		m.shutdown()
	})
	return m.closeErr
}

// shutdown shuts down both instances of the library. Further calls do nothing.
func (m *Members) shutdown() {
	m.shutdownOnce.Do(func() {
		m.librarySem <- struct{}{}
		defer func() { <-m.librarySem }()
		m.libraryClosed.Store(true)
		_ = m.list.Shutdown()
		_ = m.snapshots.list.Shutdown()
	})
}

// now returns the time since this membership started.
func (m *Members) now() view.Uptime { return time.Since(m.startedAt) }

// addressOf returns a process's gossip address: the one that Options.Reach returns, or else the one that the process
// announces. It returns false if neither is known.
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

// wake sends a signal to a channel of capacity one, unless one is pending already.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
