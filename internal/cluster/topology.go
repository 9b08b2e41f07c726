package cluster

import (
	"slices"

	"flaxcove/internal/cluster/settings"
	"flaxcove/internal/cluster/tree"
	"flaxcove/internal/cluster/view"
)

// This file holds the current view with the reporting trees derived from it, and looks up the addresses of processes.

// topology is a view with the trees derived from it. It is immutable and replaced as a whole.
type topology struct {
	view *view.View
	tree *tree.Tree
	// treeWithoutSuspected leaves out suspected members, some two seconds before they are declared dead: reports sent
	// to a coordinator that failed together with its zone would be lost. If a suspicion is wrong, this process reports
	// to a different coordinator than other processes do for that time, which the collection of reports tolerates.
	// Purges use tree, as each change of the tree costs them messages.
	treeWithoutSuspected *tree.Tree
}

func isSuspected(m view.Member) bool { return m.State == view.Suspected }

// setView makes v the current view, and passes it on to the link, the consensus group and the subsystems.
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
		n.link.ObserveIncarnation(m.Instance)
	}
	if n.consensus != nil {
		n.consensus.SetView(v)
	}
	n.subsystems.setTopology(next)
}

// addressOf returns a function that looks up a process's address of the kind that pick selects: the one in the cluster
// file, or else the one that the process announces. The returned function returns false if there is neither.
func (n *Node) addressOf(pick func(settings.Addresses, view.Member) (fromFile, announced string)) func(view.Name) (string, bool) {
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

// View returns the members as this process sees them now.
func (n *Node) View() *view.View { return n.topology.Load().view }

// Tree returns the reporting tree derived from the current view.
func (n *Node) Tree() *tree.Tree { return n.topology.Load().tree }

// TreeWithoutSuspected returns the reporting tree derived from the current view without its suspected members.
func (n *Node) TreeWithoutSuspected() *tree.Tree { return n.topology.Load().treeWithoutSuspected }
