package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/cluster/consensus"
	"flaxcove/internal/cluster/consensus/machine"
	"flaxcove/internal/cluster/evidence"
	"flaxcove/internal/cluster/link"
	"flaxcove/internal/cluster/member"
	"flaxcove/internal/cluster/settings"
	"flaxcove/internal/cluster/settings/folder"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

// This file starts the components of a node in order and stops them in reverse order.

const (
	leaveTimeout = 500 * time.Millisecond // bounds the announcement of a planned leave
	closeTimeout = 2 * time.Second        // bounds closing the link
)

// Options configures a node.
type Options struct {
	Settings *settings.Settings // the cluster file of this process
	Log      *zap.Logger
	Orders   clusterapi.Orders // carries the cluster's requests to the sender
	// Zones maps the name of each zone to the sender's number for it.
	Zones map[string]choice.ZoneNo
	// LongestDeadline is the longest deadline of any class.
	LongestDeadline time.Duration
	// SlowStart, SlowStartFrom and FallMultiple are the service's settings for slow start. FallMultiple 0 stands for
	// the defaults of all three.
	SlowStart     time.Duration
	SlowStartFrom float64
	FallMultiple  float64
	// RatingIsRate is true if the ratings in the endpoint list are in calls per second.
	RatingIsRate bool
	// Partitioned reports whether a simulated network partition separates this process from the named one. It serves
	// test rigs that run many nodes; nil means that there is no partition.
	Partitioned func(view.Name) bool
	// CheckSettings returns an error if the proposed settings are invalid for a sender that runs the settings inForce;
	// nil for inForce stands for the settings of its own file. It must be a pure function.
	CheckSettings func(inForce, proposed json.RawMessage) error
	// OwnSettings is the settings object of this process's own file, which is version 0.
	OwnSettings json.RawMessage
	// Running is the configuration that the sender was started with: the one that an earlier run stored in the cluster
	// folder, or version 0.
	Running clusterapi.Configuration
}

// Node is one process's part in the cluster.
type Node struct {
	opts       Options
	log        *zap.Logger
	startedAt  time.Time
	self       view.Member // as announced at the start
	folder     *folder.Folder
	link       *link.Link
	members    *member.Members
	consensus  *consensus.Group // nil in a small process
	evidence   *evidence.Evidence
	topology   atomic.Pointer[topology]
	subsystems subsystems
	digests    digestFeed
	leaderHint atomic.Pointer[leaderHint]
	cancel     context.CancelFunc
	done       <-chan struct{} // closed by cancel
	wg         sync.WaitGroup

	mu     sync.Mutex
	closed bool
}

// Start starts a node, which then joins the cluster in the background. Before it returns an error it stops everything
// that it had started.
func Start(opts Options) (n *Node, err error) {
	n = &Node{opts: opts, log: opts.Log, startedAt: time.Now()}
	defer func() {
		if err != nil {
			err = errors.Join(err, n.Close())
			n = nil
		}
	}()
	for _, warning := range opts.Settings.Warnings {
		n.log.Warn("unusual setting in the cluster file", zap.String("advice", warning))
	}
	if err = n.openFolder(); err != nil {
		return n, err
	}
	if err = n.startLink(); err != nil {
		return n, err
	}
	n.evidence = evidence.Start(evidence.Options{Rows: opts.Settings.Bounds.Destinations})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel, n.done = cancel, ctx.Done()
	if err = n.startConsensus(); err != nil {
		return n, err
	}
	n.digests.init(n)
	if err = n.subsystems.start(n); err != nil {
		return n, err
	}
	if err = n.startMembership(); err != nil {
		return n, err
	}
	n.registerHandlers()
	n.wg.Go(func() { n.maintain(ctx) })
	n.wg.Go(func() { n.consumeDigests(ctx) })
	return n, nil
}

// openFolder opens the cluster folder, which starts a new incarnation of this process, and sets a view that holds only
// this process.
func (n *Node) openFolder() (err error) {
	here := n.opts.Settings.Self
	if n.folder, err = folder.Open(here.Folder); err != nil {
		return err
	}
	n.self = view.Member{
		Instance: view.Instance{Name: here.Name, Incarnation: n.folder.Incarnation},
		Zone:     here.Zone, Region: here.Region, Size: here.Size, FolderID: n.folder.ID, StartedEmpty: n.folder.Empty,
	}
	n.setView(view.New(n.self.Name, 0, []view.Member{n.self}))
	return nil
}

// startLink starts the listener and the client for calls between processes.
func (n *Node) startLink() (err error) {
	file := n.opts.Settings
	n.link, err = link.Start(link.Options{
		Partitioned: n.opts.Partitioned, Cluster: file.Cluster, Self: n.self.Instance, Listen: file.Self.Listen.HTTP, Log: n.log.Named("link"),
		Reach: n.addressOf(func(a settings.Addresses, m view.Member) (string, string) { return a.HTTP, m.HTTPAddr }),
	})
	if err != nil {
		return err
	}
	n.self.HTTPAddr = n.link.Addr()
	return nil
}

// startConsensus starts this process's participant of the consensus group. A small process has none.
func (n *Node) startConsensus() (err error) {
	parts := map[string]machine.Part{}
	n.subsystems.registerParts(parts)
	if n.self.Size == view.Small {
		return nil
	}
	file := n.opts.Settings
	n.consensus, err = consensus.Start(consensus.Options{
		Partitioned: n.opts.Partitioned, Self: n.self, Cluster: file.Cluster, Folder: filepath.Join(file.Self.Folder, "council"),
		Listen: file.Self.Listen.Consensus, InitialVoters: file.InitialVoters, Parts: parts, Log: n.log.Named("council"),
		AddressOf: n.addressOf(func(a settings.Addresses, m view.Member) (string, string) { return a.Consensus, m.ConsensusAddr }),
	})
	if err != nil {
		return err
	}
	n.self.ConsensusAddr, n.self.HasRecords = n.consensus.Addr(), n.consensus.HasRecords()
	return nil
}

// startMembership starts the membership, which joins the seeds in the background and calls setView with each new view.
func (n *Node) startMembership() (err error) {
	file := n.opts.Settings
	var seeds []view.Name
	for i := range file.Members {
		if name := file.Members[i].Name; name != n.self.Name {
			seeds = append(seeds, name)
		}
	}
	n.members, err = member.Start(member.Options{
		Partitioned: n.opts.Partitioned, Cluster: file.Cluster, Self: n.self, Listen: file.Self.Listen.Gossip, Seeds: seeds,
		Reach: func(name view.Name) (string, bool) {
			addresses, known := file.Reach(name)
			return addresses.Gossip, known && addresses.Gossip != ""
		},
		Log:                 n.log.Named("member"),
		OnViewChange:        n.setView,
		OnNameConflict:      n.leaveToNameOwner,
		OnIncarnationRaised: n.storeRaisedIncarnation,
	})
	return err
}

// leaveToNameOwner closes this node after the name owner, another process, took over this process's name.
func (n *Node) leaveToNameOwner(owner view.Instance) {
	n.log.Error("another process uses this process's name with a later incarnation; leaving the cluster",
		zap.String("name", string(owner.Name)), zap.Uint64("incarnation", uint64(owner.Incarnation)))
	go n.Close() // in its own goroutine: Close waits for the membership's goroutine, which makes this call
}

// storeRaisedIncarnation uses the incarnation that the membership raised this process to, and stores it in the folder.
func (n *Node) storeRaisedIncarnation(to view.Incarnation) {
	n.link.RaiseIncarnation(to)
	if err := n.folder.Raise(to - 1); err != nil {
		n.log.Error("storing the raised incarnation in the cluster folder failed", zap.Error(err))
	}
}

// Now returns the time since this node started.
func (n *Node) Now() view.Uptime { return time.Since(n.startedAt) }

// Close leaves the cluster and stops all components; it returns within a few seconds. Further calls do nothing and
// return nil at once.
func (n *Node) Close() error {
	n.mu.Lock()
	closed := n.closed
	n.closed = true
	n.mu.Unlock()
	if closed {
		return nil
	}
	var errs []error
	if n.cancel != nil {
		n.cancel()
	}
	if n.members != nil {
		n.members.Leave(leaveTimeout) // an error is ignored: members that miss the announcement detect a failure shortly after
		errs = append(errs, n.members.Close())
	}
	n.subsystems.close()
	n.wg.Wait()
	if n.consensus != nil {
		errs = append(errs, n.consensus.Close())
	}
	if n.link != nil {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		errs = append(errs, n.link.Close(ctx))
		cancel()
	}
	if n.evidence != nil {
		n.evidence.Close()
	}
	if n.folder != nil {
		errs = append(errs, n.folder.Close())
	}
	return errors.Join(errs...)
}
