package cluster

import (
	versions "flaxcove/internal/cluster/configuration/ledger"
	configuration "flaxcove/internal/cluster/configuration/run"
	"flaxcove/internal/cluster/consensus/machine"
	"flaxcove/internal/cluster/failover/assess"
	"flaxcove/internal/cluster/failover/plan"
	failover "flaxcove/internal/cluster/failover/run"
	"flaxcove/internal/cluster/popularity/evict"
	popularity "flaxcove/internal/cluster/popularity/run"
	"flaxcove/internal/cluster/purge/ledger"
	purge "flaxcove/internal/cluster/purge/run"
	"flaxcove/internal/sender/clusterapi"
)

// This file starts the features that use the cluster, each only if the file switches it on. Their parts of the consensus
// group's state are registered in any case: if one process accepted a command and another rejected it, their states would
// differ.

// subsystems are the features that use the cluster; the runner of one that is off is nil.
type subsystems struct {
	inForce             *plan.InForce
	purgeLedger         *ledger.Ledger
	configurationLedger *versions.Ledger

	failover      *failover.Runner
	purge         *purge.Runner
	popularity    *popularity.Runner
	configuration *configuration.Runner
}

// registerParts creates the replicated state of all subsystems, which the consensus group applies commands to.
func (u *subsystems) registerParts(parts map[string]machine.Part) {
	u.inForce, u.purgeLedger, u.configurationLedger = &plan.InForce{}, ledger.New(), versions.New()
	parts[plan.PartName], parts[ledger.Part], parts[versions.Part] = u.inForce, u.purgeLedger, u.configurationLedger
}

// start starts the subsystems that are switched on.
func (u *subsystems) start(n *Node) error {
	on := n.opts.Settings.Features
	if on.Failover {
		u.startFailover(n)
	}
	if on.Popularity {
		u.startPopularity(n)
	}
	if on.Purges {
		if err := u.startPurges(n); err != nil {
			return err
		}
	}
	if on.Configuration {
		return u.startConfiguration(n)
	}
	return nil
}

func (u *subsystems) startFailover(n *Node) {
	planSettings := plan.DefaultSettings()
	planSettings.RatingIsRate = n.opts.RatingIsRate
	if n.opts.FallMultiple > 0 {
		planSettings.SlowStart, planSettings.SlowStartFrom, planSettings.OverloadMultiple = n.opts.SlowStart, n.opts.SlowStartFrom, n.opts.FallMultiple
	}
	client := consensusClient{n}
	u.failover = failover.Start(failover.Options{
		Self: n.self.Name, Zone: n.self.Zone, Now: n.Now, Link: n.link, Consensus: client, InForce: u.inForce,
		Term: client.Term, Tree: n.TreeWithoutSuspected, HealthReports: n.evidence.Read, Local: n.digests.local,
		Bounds: assess.DefaultBounds(), Settings: planSettings, Log: n.log.Named("failover"),
	})
}

func (u *subsystems) startPopularity(n *Node) {
	bounds := n.opts.Settings.Bounds
	u.popularity = popularity.New(popularity.Options{
		Self: n.self, Now: n.Now, Link: n.link, Orders: n.opts.Orders, View: n.View, Tree: n.Tree,
		Bounds: evict.Bounds{Destinations: bounds.SmallDestinations, Bytes: bounds.SmallBytes},
		Log:    n.log.Named("popularity"),
	})
	u.popularity.Start()
}

func (u *subsystems) startPurges(n *Node) (err error) {
	opts := purge.Options{
		Self: n.self, Link: n.link, Orders: forgettingOrders{n.opts.Orders, u}, LongestDeadline: n.opts.LongestDeadline, Now: n.Now,
		Log: n.log.Named("purge"),
	}
	if n.consensus != nil {
		opts.Consensus, opts.Ledger = consensusClient{n}, u.purgeLedger
	}
	u.purge, err = purge.Start(opts)
	return err
}

func (u *subsystems) startConfiguration(n *Node) (err error) {
	opts := configuration.Options{
		Self: n.self, Link: n.link, Orders: n.opts.Orders, Folder: n.folder.Path, Running: n.opts.Running,
		OwnSettings: n.opts.OwnSettings, Check: n.opts.CheckSettings, Now: n.Now, Log: n.log.Named("configuration"),
	}
	if n.consensus != nil {
		opts.Consensus, opts.Ledger = consensusClient{n}, u.configurationLedger
	}
	u.configuration, err = configuration.Start(opts)
	return err
}

// forgettingOrders makes a purge of learned state reach the region's copy too, and not only the sender: otherwise a small
// process would fetch it back from there.
type forgettingOrders struct {
	clusterapi.Orders
	subsystems *subsystems
}

// Purge passes purges on to the sender.
func (f forgettingOrders) Purge(all []clusterapi.Purge, done func(uint64, []clusterapi.Found)) {
	for _, p := range all {
		if p.LearnedState && p.Match.Destination != nil && f.subsystems.popularity != nil {
			f.subsystems.popularity.Forget(*p.Match.Destination)
		}
	}
	f.Orders.Purge(all, done)
}

// setTopology passes a new topology on to those that follow it.
func (u *subsystems) setTopology(t *topology) {
	if u.purge != nil {
		u.purge.SetView(t.view, t.tree)
	}
	if u.configuration != nil {
		u.configuration.SetView(t.view, t.treeWithoutSuspected)
	}
}

// close ends the subsystems that run.
func (u *subsystems) close() {
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
