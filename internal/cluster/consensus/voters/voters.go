// Package voters works out the next single change of the consensus group's voters, if one is due.
//
// It is pure: its input is the current configuration, how long each server has not answered the leader, and the view.
// What it guarantees:
//
//   - After a change the reachable voters are a majority; without a majority now there is no change at all.
//   - One change at a time, each worked out anew from the configuration that the last one left.
//   - At most Rule.MaxVoters voters. A server gets a vote only if it is alive by the view, reachable and caught up.
//   - A reachable voter loses its vote only to a server that spreads the votes better, and only while all voters are
//     reachable.
//   - A process that lost its disk is a different server: the old one is replaced, and never counts as reachable.
//
// It must never count a server as reachable because the view says so: only the leader's own calls tell.
package voters

import (
	"cmp"
	"slices"
	"time"

	"flaxcove/internal/cluster/view"
)

// Rule is the limits that a change must keep.
type Rule struct {
	MaxVoters        int
	DeadAfter        time.Duration // a server silent for so long, and not in the view, counts as dead
	UnreachableAfter time.Duration // a server silent for so long counts as unreachable
}

// ID identifies a server: a name and the folder that holds its records. The same name with another folder is another
// server.
type ID struct {
	Name   view.Name
	Folder string
}

// Server is one server of the configuration, as the leader knows it.
type Server struct {
	ID
	Voter     bool
	SilentFor time.Duration // since it last answered the leader; 0 for the leader itself
	CaughtUp  bool          // its latest answer had all committed entries
}

// Kind is what a change does.
type Kind uint8

const (
	Stage   Kind = iota + 1 // add a server as nonvoter, so that it catches up
	Promote                 // make a staged server a voter
	Remove                  // remove a server
)

// Change is one change of the configuration.
type Change struct {
	Kind
	ID
}

// State is what a change is worked out from.
type State struct {
	Leader  ID
	Servers []Server
	View    *view.View
	Skipped map[ID]bool // servers not to be staged now, as they recently did not catch up
}

// planner works out one change.
type planner struct {
	State
	rule            Rule
	voters          []Server
	staged          []Server // nonvoters
	reachableVoters int
}

// Next returns the change that is due, and whether there is one.
func Next(s State, rule Rule) (Change, bool) {
	p := planner{State: s, rule: rule}
	for _, server := range slices.SortedFunc(slices.Values(s.Servers), func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Folder, b.Folder))
	}) {
		switch {
		case !server.Voter:
			p.staged = append(p.staged, server)
			continue
		case p.reachable(server):
			p.reachableVoters++
		}
		p.voters = append(p.voters, server)
	}
	if !majority(p.reachableVoters, len(p.voters)) {
		return Change{}, false
	}
	outgoing, hasOutgoing := p.voterToReplace()
	incoming, hasIncoming := p.bestCandidate(outgoing, hasOutgoing)
	for _, server := range p.staged {
		if !hasIncoming || server.ID != incoming.ID {
			return Change{Remove, server.ID}, true
		}
	}
	switch {
	case hasIncoming && len(p.staged) == 0:
		return Change{Stage, incoming.ID}, true
	case hasIncoming && !p.staged[0].CaughtUp:
		return Change{}, false
	case hasOutgoing && (hasIncoming || p.betterWithout()) && p.safeWithout(outgoing):
		return Change{Remove, outgoing}, true
	case hasIncoming && !hasOutgoing && len(p.voters) < rule.MaxVoters:
		return Change{Promote, incoming.ID}, true
	}
	return Change{}, false
}

func majority(reached, of int) bool { return reached > of/2 }

// reachable reports whether a server answers the leader.
func (p *planner) reachable(s Server) bool {
	return s.ID == p.Leader || s.SilentFor < p.rule.UnreachableAfter && !p.replaced(s.ID)
}

// replaced reports whether a server's name is in the view with another folder, so that the server will never come back.
func (p *planner) replaced(id ID) bool {
	m, found := p.View.Find(id.Name)
	return found && m.Present() && m.Folder != id.Folder
}

// isDead reports whether a server counts as dead. One that is silent but in the view does not: it may be the link's fault.
func (p *planner) isDead(s Server) bool {
	if s.ID == p.Leader {
		return false
	}
	if p.replaced(s.ID) {
		return true
	}
	m, found := p.View.Find(s.Name)
	return s.SilentFor >= p.rule.DeadAfter && (!found || !m.Present())
}

// safeWithout reports whether the reachable voters are a majority once this one is removed.
func (p *planner) safeWithout(id ID) bool {
	reached := p.reachableVoters
	for _, v := range p.voters {
		if v.ID == id && p.reachable(v) {
			reached--
		}
	}
	return majority(reached, len(p.voters)-1)
}

// betterWithout reports whether a dead voter should be removed even though there is no replacement: an odd number of
// voters tolerates as many failures as the even number above it, and without two dead voters it tolerates one more.
func (p *planner) betterWithout() bool {
	dead := 0
	for _, v := range p.voters {
		if p.isDead(v) {
			dead++
		}
	}
	return dead > 1 || len(p.voters)%2 == 0
}

// voterToReplace is a dead voter; else the worst placed of too many voters; else one whose replacement by the best
// candidate spreads the votes better.
func (p *planner) voterToReplace() (ID, bool) {
	for _, v := range p.voters {
		if p.isDead(v) {
			return v.ID, true
		}
	}
	if p.reachableVoters < len(p.voters) || len(p.voters) < p.targetVoters() {
		return ID{}, false
	}
	var worst ID
	var least cost
	for _, v := range p.voters {
		if v.ID == p.Leader { // removing the leader would cost an election
			continue
		}
		if s := p.placementCost(p.votersWithout(v.ID)); worst == (ID{}) || s.less(least) {
			worst, least = v.ID, s
		}
	}
	if worst == (ID{}) {
		return ID{}, false
	}
	if len(p.voters) > p.rule.MaxVoters {
		return worst, true
	}
	candidate, found := p.bestCandidate(worst, true)
	if !found {
		return ID{}, false
	}
	if !p.placementCost(append(p.votersWithout(worst), candidate)).less(p.placementCost(p.votersWithout(ID{}))) {
		return ID{}, false
	}
	return worst, true
}

// targetVoters is how many voters there should be: the largest odd number of servers that can vote, up to MaxVoters.
func (p *planner) targetVoters() int {
	able := 0
	for _, v := range p.voters {
		if !p.isDead(v) {
			able++
		}
	}
	able += len(p.candidates())
	n := min(able, p.rule.MaxVoters)
	if n%2 == 0 {
		n--
	}
	return n
}

// candidates are the members that are alive, take part in raft and have no vote.
func (p *planner) candidates() []view.Member {
	var able []view.Member
	for _, m := range p.View.Members {
		id := ID{m.Name, m.Folder}
		if m.State != view.Alive || m.Raft == "" || m.Folder == "" || p.Skipped[id] {
			continue
		}
		sameID := func(s Server) bool { return s.ID == id }
		if slices.ContainsFunc(p.voters, sameID) {
			continue
		}
		if i := slices.IndexFunc(p.staged, sameID); i >= 0 && !p.reachable(p.staged[i]) {
			continue
		}
		able = append(able, m)
	}
	return able
}

// bestCandidate is the server to get a vote next: the one that spreads the votes best, then the larger, then by name.
func (p *planner) bestCandidate(outgoing ID, hasOutgoing bool) (placedServer, bool) {
	remaining := p.votersWithout(outgoing)
	if len(p.voters) > p.rule.MaxVoters || !hasOutgoing && len(p.voters) >= p.targetVoters() {
		return placedServer{}, false
	}
	var best placedServer
	var least cost
	found := false
	for _, m := range p.candidates() {
		c := placedServer{ID{m.Name, m.Folder}, m.Zone, m.Region, m.Size}
		if s := p.placementCost(append(slices.Clone(remaining), c)); !found || s.less(least) {
			best, least, found = c, s, true
		}
	}
	return best, found
}
