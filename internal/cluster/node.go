package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"path/filepath"
	"slices"
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
	"flaxcove/internal/cluster/tree"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/together"
)

// This file starts the parts in their order and ends them in the other.

const (
	leaveFor = 500 * time.Millisecond // a word to others on a planned end
	closeFor = 2 * time.Second
)

// Options are what a node is started with.
type Options struct {
	Settings *settings.Settings
	Log      *zap.Logger
	Orders   together.Orders
	// Zones are the sender's own numbers.
	Zones map[string]choice.ZoneNo
	// Longest is the longest deadline of any class.
	Longest time.Duration
	// What the service's settings say of cold endpoints, and whether the list's ratings are calls a second.
	SlowStart     time.Duration
	SlowStartFrom float64
	FallMultiple  float64
	RatingIsRate  bool
	// Cut tells whom this process neither reaches nor hears, for a laboratory that hosts many; nil for nobody.
	Cut func(view.Name) bool
	// CheckSettings tells what is wrong with proposed settings for a sender that runs inForce (nil: its own file). Pure.
	CheckSettings func(inForce, proposed json.RawMessage) error
	// OwnSettings is the settings object of this process's own file: version 0.
	OwnSettings json.RawMessage
	// Running is the version that the sender was started with: kept in the folder by an earlier life, or 0.
	Running together.Configuration
}

// Node is one process's part in the cluster.
type Node struct {
	o       Options
	log     *zap.Logger
	began   time.Time
	self    view.Member
	folder  *folder.Folder
	link    *link.Link
	members *member.Members
	council *consensus.Group // nil at a small process
	saw     *evidence.Evidence
	tree    atomic.Pointer[outlook]
	uses    uses
	counted counted
	hint    atomic.Pointer[hint]
	stop    context.CancelFunc
	ended   <-chan struct{} // closed with stop
	work    sync.WaitGroup

	mu     sync.Mutex
	closed bool
}

// outlook is a view with the trees that it gives; all change at once.
type outlook struct {
	view *view.View
	tree *tree.Tree
	// soon leaves out those who are suspected, two seconds before they count as dead: what a zone sees fail is lost
	// while it is told to a head that fell with it. Harm: whoever suspects wrongly tells another head than the rest for
	// as long, which gathering bears; purges keep to tree, as each turn of it costs them messages.
	soon *tree.Tree
}

// Start joins the cluster. What it started before an error has ended again.
func Start(o Options) (n *Node, err error) {
	n = &Node{o: o, log: o.Log, began: time.Now()}
	defer func() {
		if err != nil {
			err = errors.Join(err, n.Close())
			n = nil
		}
	}()
	set := o.Settings
	for _, advice := range set.Advice {
		n.log.Warn("cluster file", zap.String("advice", advice))
	}
	if n.folder, err = folder.Open(set.Here.Folder); err != nil {
		return n, err
	}
	n.self = view.Member{Life: view.Life{Name: set.Here.Name, Incarnation: n.folder.Incarnation}, Zone: set.Here.Zone,
		Region: set.Here.Region, Size: set.Here.Size, Folder: n.folder.ID, Empty: n.folder.Empty}
	n.see(view.Make(n.self.Name, 0, []view.Member{n.self}))
	if n.link, err = link.Start(link.Options{Cut: o.Cut, Cluster: set.Cluster, Self: n.self.Life, Listen: set.Here.Listen.HTTP,
		Reach: n.reach(func(a settings.Addresses, m view.Member) (string, string) { return a.HTTP, m.HTTP }), Log: o.Log.Named("link")}); err != nil {
		return n, err
	}
	n.self.HTTP = n.link.Addr()
	n.saw = evidence.Start(evidence.Options{Rows: set.Bounds.Destinations})
	ctx, stop := context.WithCancel(context.Background())
	n.stop, n.ended = stop, ctx.Done()
	parts := map[string]machine.Part{}
	n.uses.parts(parts)
	if n.self.Size != view.Small {
		if n.council, err = consensus.Start(consensus.Options{Cut: o.Cut, Self: n.self, Cluster: set.Cluster, Folder: filepath.Join(set.Here.Folder, "council"),
			Listen: set.Here.Listen.Consensus, Founders: set.Founders, Parts: parts, Log: o.Log.Named("council"),
			Reach: n.reach(func(a settings.Addresses, m view.Member) (string, string) { return a.Consensus, m.Raft })}); err != nil {
			return n, err
		}
		n.self.Raft, n.self.Voted = n.council.Addr(), n.council.Voted()
	}
	n.counted.init(n)
	if err = n.uses.start(ctx, n); err != nil {
		return n, err
	}
	var seeds []view.Name
	for i := range set.Members {
		if name := set.Members[i].Name; name != n.self.Name {
			seeds = append(seeds, name)
		}
	}
	n.members, err = member.Start(member.Options{Cut: o.Cut, Fleet: set.Cluster, Self: n.self, Listen: set.Here.Listen.Gossip, Seeds: seeds,
		Reach: func(name view.Name) (string, bool) {
			a, known := set.Reach(name)
			return a.Gossip, known && a.Gossip != ""
		},
		Log: o.Log.Named("member"), Changed: n.see, Conflict: n.conflict, Raised: n.raised})
	if err != nil {
		return n, err
	}
	n.serve()
	n.work.Go(func() { n.keep(ctx) })
	n.work.Go(func() { n.feed(ctx) })
	return n, nil
}

// reach finds where a process is, by the file or by what it tells of itself.
func (n *Node) reach(pick func(settings.Addresses, view.Member) (byFile, told string)) func(view.Name) (string, bool) {
	return func(name view.Name) (string, bool) {
		byFile, _ := n.o.Settings.Reach(name)
		m, _ := n.tree.Load().view.Find(name)
		addr, told := pick(byFile, m)
		if addr == "" {
			addr = told
		}
		return addr, addr != ""
	}
}

// see takes a new view.
func (n *Node) see(v *view.View) {
	at := &outlook{view: v, tree: tree.Derive(v)}
	at.soon = at.tree
	if slices.ContainsFunc(v.Members, suspected) {
		at.soon = tree.Derive(view.Make(v.Self, v.No, slices.DeleteFunc(slices.Clone(v.Members), suspected)))
	}
	n.tree.Store(at)
	if n.link == nil {
		return
	}
	for _, m := range v.Members {
		n.link.Saw(m.Life)
	}
	if n.council != nil {
		n.council.SetView(v)
	}
	n.uses.seen(n)
}

// conflict ends this process's part: its name is another's.
func (n *Node) conflict(other view.Life) {
	n.log.Error("another process has this one's name and a later life; the cluster is left",
		zap.String("name", string(other.Name)), zap.Uint64("incarnation", uint64(other.Incarnation)))
	go n.Close()
}

func (n *Node) raised(to view.Incarnation) {
	n.link.Rise(to)
	if err := n.folder.Raise(to - 1); err != nil {
		n.log.Error("the folder could not keep this life's number", zap.Error(err))
	}
}

// keep does what is due once a second: it asks who leads, and tells on whether this folder holds a council's records.
func (n *Node) keep(ctx context.Context) {
	look := time.NewTicker(leaderEach)
	defer look.Stop()
	voted := n.self.Voted
	var gone lost
	lostAt := rand.IntN(lostEach) // many that start at once must not ask in step
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-look.C:
		}
		n.askLeader(ctx, round)
		if round%lostEach == lostAt {
			n.askLost(ctx, &gone)
		}
		if n.council != nil && n.council.Voted() != voted {
			voted = !voted
			if err := n.members.Update(func(m *view.Member) { m.Voted = voted }); err != nil {
				n.log.Warn("own card not told", zap.Error(err))
			}
		}
	}
}

// Now is for how long this process runs.
func (n *Node) Now() view.Now { return time.Since(n.began) }

func suspected(m view.Member) bool { return m.State == view.Suspected }

// Soon is who reports to whom once those who are suspected are gone.
func (n *Node) Soon() *tree.Tree { return n.tree.Load().soon }

// Tree is who reports to whom, as seen here now.
func (n *Node) Tree() *tree.Tree { return n.tree.Load().tree }

// View is who is here.
func (n *Node) View() *view.View { return n.tree.Load().view }

// Close leaves the cluster. It may be called twice, and ends within a few seconds.
func (n *Node) Close() error {
	n.mu.Lock()
	closed := n.closed
	n.closed = true
	n.mu.Unlock()
	if closed {
		return nil
	}
	var errs []error
	if n.stop != nil {
		n.stop()
	}
	if n.members != nil {
		n.members.Leave(leaveFor) // whoever does not hear of it sees us dead in a moment
		errs = append(errs, n.members.Close())
	}
	n.uses.close()
	n.work.Wait()
	if n.council != nil {
		errs = append(errs, n.council.Close())
	}
	if n.link != nil {
		ctx, cancel := context.WithTimeout(context.Background(), closeFor)
		errs = append(errs, n.link.Close(ctx))
		cancel()
	}
	if n.saw != nil {
		n.saw.Close()
	}
	if n.folder != nil {
		errs = append(errs, n.folder.Close())
	}
	return errors.Join(errs...)
}
