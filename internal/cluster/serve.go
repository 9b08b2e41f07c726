package cluster

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"net/http"
	"syscall"
	"time"

	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/status"
	"flaxcove/internal/cluster/view"
)

// This file serves the cluster's status as this process sees it.

// registerHandlers registers the handlers of this package, for calls of members and for public requests.
func (n *Node) registerHandlers() {
	n.serveLeader()
	n.serveEvidence()
	n.servePresence()
	n.link.Public().HandleFunc("GET /v1/cluster", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(n.Status()) // an error means that the client has disconnected
	})
}

// Status returns the cluster's status as this process sees it now.
func (n *Node) Status() *status.Status {
	topology := n.topology.Load()
	s := &status.Status{
		Cluster:   n.opts.Settings.Cluster,
		Members:   topology.view.Members,
		Root:      topology.tree.Root(),
		Children:  topology.tree.Children(n.self.Name),
		Since:     n.Now().Milliseconds(),
		LastPurge: n.opts.Orders.LastAppliedSeq(),
		Counts:    map[string]int{},
	}
	s.Self, _ = topology.view.Find(n.self.Name)
	s.Parent, _ = topology.tree.Parent(n.self.Name)
	n.addConsensusStatus(s)
	n.addFailoverStatus(s)
	if n.subsystems.configuration != nil {
		c := n.subsystems.configuration.Status()
		s.Configuration = &c
	}
	if n.subsystems.popularity != nil {
		p := n.subsystems.popularity.Status()
		s.Popularity = &p
	}
	n.addTraffic(s)
	s.Counts["digests_lost"] = int(n.digests.dropped.Load())
	return s
}

// addConsensusStatus fills in the leader and, where this process takes part in the consensus group, the state of its
// participant.
func (n *Node) addConsensusStatus(s *status.Status) {
	client := consensusClient{n}
	s.Leader, _ = client.Leader()
	s.Leading = client.Leading()
	if n.consensus == nil {
		return
	}
	s.Voters = n.consensus.Voters()
	n.consensus.Read(func(index uint64) { s.Applied = index })
	s.Traffic.In, s.Traffic.Out = n.consensus.Traffic()
}

// addFailoverStatus fills in the routing plan in force and the counters of the failover subsystem.
func (n *Node) addFailoverStatus(s *status.Status) {
	if n.subsystems.failover == nil {
		return
	}
	if p, until := n.subsystems.failover.Plan(); p != nil {
		n.addPlan(s, p, until)
	}
	stats := n.subsystems.failover.Stats()
	s.Counts["plans_decided_here"] = int(stats.Plans)
	s.Counts["failover_up"] = int(stats.ReportCalls)
	s.Counts["failover_down"] = int(stats.PlanCalls)
}

// addPlan fills in a plan that is in force until the given time, with the number of diverted routes of each zone.
func (n *Node) addPlan(s *status.Status, p *plan.Plan, until view.Uptime) {
	text, _ := json.Marshal(p)
	s.Epoch, s.PlanSum, s.PlanExpiresMS = p.Epoch, crc32.ChecksumIEEE(text), (until - n.Now()).Milliseconds()
	s.Plan = fmt.Sprintf("%d routes deviate from the home zones", len(p.Routes))
	s.Counts["plan_routes"] = len(p.Routes)
	for _, route := range p.Routes {
		if route.Phase != plan.Diverted {
			continue
		}
		home := route.HomeZones
		if len(home) == 0 {
			home = []view.Zone{route.From}
		}
		for _, zone := range home { // one counter for each zone, so that the number of counters is bounded
			s.Counts["away_from_"+string(zone)]++
		}
	}
}

// addTraffic adds the traffic of the link and of gossip to that of the consensus group, and fills in the processor
// time.
func (n *Node) addTraffic(s *status.Status) {
	in, out := n.link.Traffic()
	sent, packets := n.members.Sent()
	s.Traffic.Consensus, s.Traffic.Gossip, s.Traffic.Packets = s.Traffic.Out, uint64(sent), uint64(packets)
	s.Traffic.Kinds = n.link.Volumes()
	s.Traffic.In, s.Traffic.Out = s.Traffic.In+in, s.Traffic.Out+out+uint64(sent)
	var used syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &used) == nil {
		s.Traffic.CPU = time.Duration(used.Utime.Nano() + used.Stime.Nano())
	}
}

// CaughtUp returns a channel that is closed once this process has applied the purges and the shared configuration that
// it missed. It returns nil if the cluster file enables neither feature.
func (n *Node) CaughtUp() <-chan struct{} {
	var readies []<-chan struct{}
	if n.subsystems.purge != nil {
		readies = append(readies, n.subsystems.purge.Ready())
	}
	if n.subsystems.configuration != nil {
		readies = append(readies, n.subsystems.configuration.Ready())
	}
	if len(readies) < 2 {
		return append(readies, nil)[0]
	}
	allReady := make(chan struct{})
	n.wg.Go(func() {
		defer close(allReady) // the loop ends: each subsystem bounds the time until it is ready, and Close ends the wait
		for _, ready := range readies {
			select {
			case <-ready:
			case <-n.done:
				return
			}
		}
	})
	return allReady
}
