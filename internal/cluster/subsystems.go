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

// This file starts the subsystems, each only if the cluster file enables it. Their parts of the consensus group's state
// are registered even if they are disabled: if one process accepted a command and another rejected it, their states
// would differ.

// subsystems holds the features that use the cluster, and their replicated state. The runner of a disabled one is nil.
type subsystems struct {
	inForce             *plan.InForce
	purgeLedger         *ledger.Ledger
	configurationLedger *versions.Ledger

	failover      *failover.Runner
	purge         *purge.Runner
	popularity    *popularity.Runner
	configuration *configuration.Runner
}

// registerParts creates the replicated state of all subsystems, and adds it to the parts that the consensus group
// applies commands to.
func (u *subsystems) registerParts(parts map[string]machine.Part) {
	u.inForce, u.purgeLedger, u.configurationLedger = &plan.InForce{}, ledger.New(), versions.New()
	parts[plan.PartName], parts[ledger.Part], parts[versions.Part] = u.inForce, u.purgeLedger, u.configurationLedger
}

// start starts the subsystems that the cluster file enables.
func (u *subsystems) start(n *Node) error {
	enabled := n.opts.Settings.Features
	if enabled.Failover {
		u.startFailover(n)
	}
	if enabled.Popularity {
		u.startPopularity(n)
	}
	if enabled.Purges {
		if err := u.startPurges(n); err != nil {
			return err
		}
	}
	if enabled.Configuration {
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

// forgettingOrders extends a purge of learned state to the copy that the region keeps. Without it a small process would
// fetch the purged state back from there.
type forgettingOrders struct {
	clusterapi.Orders
	subsystems *subsystems
}

// Purge drops the region's copy of the learned state that the purges match, and passes all purges on to the sender.
func (f forgettingOrders) Purge(all []clusterapi.Purge, done func(uint64, []clusterapi.PurgeResult)) {
	for _, p := range all {
		if p.LearnedState && p.Match.Destination != nil && f.subsystems.popularity != nil {
			f.subsystems.popularity.Forget(*p.Match.Destination)
		}
	}
	f.Orders.Purge(all, done)
}

// setTopology passes a new topology on to the purge and configuration subsystems. The others read it when they need it.
func (u *subsystems) setTopology(t *topology) {
	if u.purge != nil {
		u.purge.SetView(t.view, t.tree)
	}
	if u.configuration != nil {
		u.configuration.SetView(t.view, t.treeWithoutSuspected)
	}
}

// close stops the subsystems that are running.
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
