package cluster

import (
	"slices"

	"flaxcove/internal/cluster/settings"
	"flaxcove/internal/cluster/tree"
	"flaxcove/internal/cluster/view"
)

// This file holds who is present and who reports to whom, and finds a process's addresses.

// topology is a view with the trees derived from it. It is immutable and replaced as a whole.
type topology struct {
	view *view.View
	tree *tree.Tree
	// treeWithoutSuspected leaves out suspected members, some two seconds before they count as dead: reports sent to a
	// coordinator that failed together with its zone would be lost. When a suspicion is wrong this process reports to
	// another coordinator than others do for that time, which gathering tolerates. Purges follow tree, as each change of
	// it costs them messages.
	treeWithoutSuspected *tree.Tree
}

func isSuspected(m view.Member) bool { return m.State == view.Suspected }

// setView takes a new view, and passes it on to the link, the consensus group and the subsystems.
func (n *Node) setView(v *view.View) {
	next := &topology{view: v, tree: tree.Derive(v)}
	next.treeWithoutSuspected = next.tree
	if slices.ContainsFunc(v.Members, isSuspected) {
		others := slices.DeleteFunc(slices.Clone(v.Members), isSuspected)
		next.treeWithoutSuspected = tree.Derive(view.New(v.Self, v.Version, others))
	}
	n.topology.Store(next)
	if n.link == nil {
		return
	}
	for _, m := range v.Members {
		n.link.ObserveLife(m.Life)
	}
	if n.consensus != nil {
		n.consensus.SetView(v)
	}
	n.subsystems.setTopology(next)
}

// addressOf returns a function that finds a process's address of one kind: by the settings, or else as the process
// announces it.
func (n *Node) addressOf(pick func(settings.Addresses, view.Member) (byFile, announced string)) func(view.Name) (string, bool) {
	return func(name view.Name) (string, bool) {
		fromFile, _ := n.opts.Settings.Reach(name)
		m, _ := n.topology.Load().view.Find(name)
		addr, announced := pick(fromFile, m)
		if addr == "" {
			addr = announced
		}
		return addr, addr != ""
	}
}

// View returns the members as seen here now.
func (n *Node) View() *view.View { return n.topology.Load().view }

// Tree returns who reports to whom, as seen here now.
func (n *Node) Tree() *tree.Tree { return n.topology.Load().tree }

// TreeWithoutSuspected returns who would report to whom if all suspected members were gone.
func (n *Node) TreeWithoutSuspected() *tree.Tree { return n.topology.Load().treeWithoutSuspected }
