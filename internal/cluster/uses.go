package cluster

import (
	"context"

	versions "flaxcove/internal/cluster/configuration/ledger"
	configuration "flaxcove/internal/cluster/configuration/run"
	"flaxcove/internal/cluster/consensus/machine"
	"flaxcove/internal/cluster/failover/plan"
	failover "flaxcove/internal/cluster/failover/run"
	"flaxcove/internal/cluster/failover/weigh"
	"flaxcove/internal/cluster/popularity/evict"
	popularity "flaxcove/internal/cluster/popularity/run"
	"flaxcove/internal/cluster/purge/ledger"
	purge "flaxcove/internal/cluster/purge/run"
	"flaxcove/internal/sender/together"
)

// This file starts what the cluster is used for, each only where the file switches it on. Their parts of the council
// are there in any case: a command that one process keeps and another refuses would have their states differ.

type uses struct {
	inForce    *plan.InForce
	ledger     *ledger.Ledger
	failover   *failover.Runner
	purge      *purge.Runner
	popularity *popularity.Runner

	versions      *versions.Ledger
	configuration *configuration.Runner
}

func (u *uses) parts(parts map[string]machine.Part) {
	u.inForce, u.ledger = &plan.InForce{}, ledger.New()
	u.versions = versions.New()
	parts[plan.PartName], parts[ledger.Part], parts[versions.Part] = u.inForce, u.ledger, u.versions
}

func (u *uses) start(_ context.Context, n *Node) (err error) {
	on, council := n.o.Settings.Uses, asked{n}
	if on.Failover {
		set := plan.Usual()
		set.RatingIsRate = n.o.RatingIsRate
		if n.o.FallMultiple > 0 {
			set.SlowStart, set.SlowStartFrom, set.FallMultiple = n.o.SlowStart, n.o.SlowStartFrom, n.o.FallMultiple
		}
		u.failover = failover.Start(failover.Options{Self: n.self.Name, Zone: n.self.Zone, Now: n.Now, Link: n.link, Consensus: council,
			InForce: u.inForce, Term: council.Term, Tree: n.Soon, Samples: n.saw.Read, Local: n.counted.local, Bounds: weigh.Usual(),
			Settings: set, Log: n.log.Named("failover")})
	}
	if on.Popularity {
		u.popularity = popularity.New(popularity.Options{Self: n.self, Now: n.Now, Link: n.link, Orders: n.o.Orders, View: n.View, Tree: n.Tree,
			Bounds: evict.Bounds{Destinations: n.o.Settings.Bounds.SmallDestinations, Bytes: n.o.Settings.Bounds.SmallBytes},
			Log:    n.log.Named("popularity")})
		u.popularity.Start()
	}
	if on.Purges {
		o := purge.Options{Self: n.self, Link: n.link, Orders: forgetting{n.o.Orders, u}, Longest: n.o.Longest, Now: n.Now, Log: n.log.Named("purge")}
		if n.council != nil {
			o.Consensus, o.Ledger = council, u.ledger
		}
		if u.purge, err = purge.Start(o); err != nil {
			return err
		}
	}
	if on.Configuration {
		return u.startConfiguration(n)
	}
	return nil
}

func (u *uses) startConfiguration(n *Node) (err error) {
	o := configuration.Options{Self: n.self, Link: n.link, Orders: n.o.Orders, Folder: n.folder.Path, Running: n.o.Running,
		Own: n.o.OwnSettings, Check: n.o.CheckSettings, Now: n.Now, Log: n.log.Named("configuration")}
	if n.council != nil {
		o.Consensus, o.Ledger = asked{n}, u.versions
	}
	u.configuration, err = configuration.Start(o)
	return err
}

// forgetting has a purge of what was learnt reach what is kept for the region, too, and not only the sender: else a
// small process would get it back from there.
type forgetting struct {
	together.Orders
	u *uses
}

func (f forgetting) Purge(all []together.Purge, done func(uint64, []together.Found)) {
	for _, p := range all {
		if p.LearnedState && p.Match.Destination != nil && f.u.popularity != nil {
			f.u.popularity.Forget(*p.Match.Destination)
		}
	}
	f.Orders.Purge(all, done)
}

// seen tells of a new view.
func (u *uses) seen(n *Node) {
	if u.purge != nil {
		s := n.tree.Load()
		u.purge.SetView(s.view, s.tree)
	}
	if u.configuration != nil {
		s := n.tree.Load()
		u.configuration.SetView(s.view, s.soon)
	}
}

func (u *uses) close() {
	if u.failover != nil {
		u.failover.Close()
	}
	if u.purge != nil {
		u.purge.Close()
	}
	if u.configuration != nil {
		u.configuration.Close()
	}
	if u.popularity != nil {
		u.popularity.Close()
	}
}
