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

// This file tells what this process sees.

func (n *Node) serve() {
	n.serveLeader()
	n.serveSeen()
	n.serveLost()
	n.link.Public().HandleFunc("GET /v1/cluster", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(n.Status()) // who is gone hears nothing
	})
}

// Status is what this process sees of the cluster now.
func (n *Node) Status() *status.Status {
	at := n.tree.Load()
	s := &status.Status{Cluster: n.o.Settings.Cluster, Members: at.view.Members, Root: at.tree.Root(), Children: at.tree.Children(n.self.Name),
		Since: n.Now().Milliseconds(), Purged: n.o.Orders.Applied(), Counts: map[string]int{}}
	s.Self, _ = at.view.Find(n.self.Name)
	s.Parent, _ = at.tree.Parent(n.self.Name)
	council := asked{n}
	s.Leader, _ = council.Leader()
	s.Leading = council.Leading()
	if n.council != nil {
		s.Voters = n.council.Voters()
		n.council.Read(func(index uint64) { s.Applied = index })
		in, out := n.council.Traffic()
		s.Traffic.In, s.Traffic.Out = in, out
	}
	if n.uses.failover != nil {
		if p, until := n.uses.failover.Plan(); p != nil {
			text, _ := json.Marshal(p)
			s.Epoch, s.PlanSum, s.HoldsMS = p.Epoch, crc32.ChecksumIEEE(text), (until - n.Now()).Milliseconds()
			s.Plan = fmt.Sprintf("%d routes do not go near", len(p.Routes))
			s.Counts["plan_routes"] = len(p.Routes)
			for _, r := range p.Routes {
				if r.Phase != plan.Away {
					continue
				}
				home := r.Home
				if len(home) == 0 {
					home = []view.Zone{r.From}
				}
				for _, z := range home { // at most one number a zone
					s.Counts["away_from_"+string(z)]++
				}
			}
		}
		f := n.uses.failover.Stats()
		s.Counts["plans_decided_here"], s.Counts["failover_up"], s.Counts["failover_down"] = int(f.Plans), int(f.Up), int(f.Down)
	}
	if n.uses.configuration != nil {
		c := n.uses.configuration.Status()
		s.Configuration = &c
	}
	if n.uses.popularity != nil {
		p := n.uses.popularity.Status()
		s.Popularity = &p
	}
	in, out := n.link.Traffic()
	sent, packets := n.members.Sent()
	s.Traffic.Consensus, s.Traffic.Gossip, s.Traffic.Packets = s.Traffic.Out, uint64(sent), uint64(packets)
	s.Traffic.Kinds = n.link.Volumes()
	s.Traffic.In, s.Traffic.Out = s.Traffic.In+in, s.Traffic.Out+out+uint64(sent)
	var used syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &used) == nil {
		s.Traffic.CPU = time.Duration(used.Utime.Nano() + used.Stime.Nano())
	}
	s.Counts["digests_lost"] = int(n.counted.lost.Load())
	return s
}

// Gate is closed once what this process missed is in force here: purges, and the settings in common. nil where neither
// is followed.
func (n *Node) Gate() <-chan struct{} {
	var all []<-chan struct{}
	if n.uses.purge != nil {
		all = append(all, n.uses.purge.Ready())
	}
	if n.uses.configuration != nil {
		all = append(all, n.uses.configuration.Ready())
	}
	if len(all) < 2 {
		return append(all, nil)[0]
	}
	gate := make(chan struct{})
	n.work.Go(func() {
		defer close(gate) // each opens by itself in time, or the node is closed
		for _, ready := range all {
			select {
			case <-ready:
			case <-n.ended:
				return
			}
		}
	})
	return gate
}
