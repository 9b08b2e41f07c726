// Package voters computes the next change of the consensus group's voters.
//
// The package has no state and no side effects. Its input is the current configuration, how long each server has not
// answered the leader, and the membership view. It guarantees:
//
//   - The reachable voters are a majority after each change. Without a majority there is no change.
//   - Each change adds, promotes or removes one server, and is computed from the configuration after the last change.
//   - There are at most Rule.MaxVoters voters. A server becomes a voter only if it is alive in the view, reachable and
//     caught up.
//   - A reachable voter is replaced only if that improves the placement of the voters, and only while all voters are
//     reachable.
//   - A process that lost its disk is a different server. The old server is replaced and never counts as reachable.
//
// Only the leader's own calls decide whether a server is reachable, never the view.
package voters

import (
	"cmp"
	"slices"
	"time"

	"flaxcove/internal/cluster/view"
)

// Rule holds the limits that Next keeps.
type Rule struct {
	MaxVoters        int
	DeadAfter        time.Duration // a server that has not answered for this long and is not present in the view counts as dead
	UnreachableAfter time.Duration // a server that has not answered for this long counts as unreachable
}

// ID identifies a raft server by the name of its process and the random name of the folder with its records. The same
// process with another folder is another server.
type ID struct {
	Name   view.Name
	Folder string
}

// Server describes one server of the configuration, as the leader knows it.
type Server struct {
	ID
	Voter     bool
	SilentFor time.Duration // time since it last answered the leader; 0 for the leader itself
	CaughtUp  bool          // its log had all committed entries at its latest answer
}

// Kind is the kind of a Change.
type Kind uint8

// Kinds of changes.
const (
	Stage   Kind = iota + 1 // add a server as nonvoter, so that it catches up with the log
	Promote                 // make a staged server a voter
	Remove                  // remove a voter or nonvoter
)

// Change is a change of one server in the configuration.
type Change struct {
	Kind
	ID
}

// State is the input of Next.
type State struct {
	Leader  ID
	Servers []Server
	View    *view.View
	Skipped map[ID]bool // servers that must not be staged now because they recently did not catch up
}

// planner holds the intermediate results of one call of Next.
type planner struct {
	State
	rule            Rule
	voters          []Server
	staged          []Server // nonvoters
	reachableVoters int
}

// Next returns the next change of the configuration and reports whether one is due.
func Next(s State, rule Rule) (Change, bool) {
	p := planner{State: s, rule: rule}
	for _, server := range slices.SortedFunc(slices.Values(s.Servers), func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Folder, b.Folder))
	}) {
		switch {
		case !server.Voter:
			p.staged = append(p.staged, server)
			continue
		case p.isReachable(server):
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
	case hasOutgoing && (hasIncoming || p.removalHelps()) && p.majorityWithout(outgoing):
		return Change{Remove, outgoing}, true
	case hasIncoming && !hasOutgoing && len(p.voters) < rule.MaxVoters:
		return Change{Promote, incoming.ID}, true
	}
	return Change{}, false
}

// majority reports whether count servers are a majority of total.
func majority(count, total int) bool { return count > total/2 }

// isReachable reports whether a server answers the leader. A replaced server never counts as reachable.
func (p *planner) isReachable(s Server) bool {
	return s.ID == p.Leader || s.SilentFor < p.rule.UnreachableAfter && !p.isReplaced(s.ID)
}

// isReplaced reports whether the view shows the server's process with another folder, so that the server will never
// return.
func (p *planner) isReplaced(id ID) bool {
	m, found := p.View.Find(id.Name)
	return found && m.Present() && m.FolderID != id.Folder
}

// isDead reports whether a server counts as dead. A server that does not answer but is present in the view does not, as
// only the link may have failed.
func (p *planner) isDead(s Server) bool {
	if s.ID == p.Leader {
		return false
	}
	if p.isReplaced(s.ID) {
		return true
	}
	m, found := p.View.Find(s.Name)
	return s.SilentFor >= p.rule.DeadAfter && (!found || !m.Present())
}

// majorityWithout reports whether the reachable voters are still a majority after the removal of one voter.
func (p *planner) majorityWithout(id ID) bool {
	remaining := p.reachableVoters
	for _, v := range p.voters {
		if v.ID == id && p.isReachable(v) {
			remaining--
		}
	}
	return majority(remaining, len(p.voters)-1)
}

// removalHelps reports whether a dead voter should be removed although there is no replacement. An odd number of
// voters tolerates as many failures as the even number above it, and the removal of two dead voters makes the group
// tolerate one more failure.
func (p *planner) removalHelps() bool {
	dead := 0
	for _, v := range p.voters {
		if p.isDead(v) {
			dead++
		}
	}
	return dead > 1 || len(p.voters)%2 == 0
}

// voterToReplace returns the voter that should be removed and reports whether there is one. A dead voter comes first.
// Otherwise, while all voters are reachable, it is the voter with the worst placement if there are more than MaxVoters
// voters, or if its replacement by the best candidate improves the placement. The leader is never replaced for its
// placement.
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
	var lowest cost
	for _, v := range p.voters {
		if v.ID == p.Leader { // the removal of the leader would cause an election
			continue
		}
		if s := p.placementCost(p.votersWithout(v.ID)); worst == (ID{}) || s.less(lowest) {
			worst, lowest = v.ID, s
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

// targetVoters returns how many voters there should be: the largest odd number up to MaxVoters for which there are
// enough servers that can vote.
func (p *planner) targetVoters() int {
	eligible := 0
	for _, v := range p.voters {
		if !p.isDead(v) {
			eligible++
		}
	}
	eligible += len(p.candidates())
	n := min(eligible, p.rule.MaxVoters)
	if n%2 == 0 {
		n--
	}
	return n
}

// candidates returns the members that can become voters: they are alive in the view, take part in raft, have no vote
// yet, and are neither skipped nor staged without being reachable.
func (p *planner) candidates() []view.Member {
	var eligible []view.Member
	for _, m := range p.View.Members {
		id := ID{m.Name, m.FolderID}
		if m.State != view.Alive || m.ConsensusAddr == "" || m.FolderID == "" || p.Skipped[id] {
			continue
		}
		sameID := func(s Server) bool { return s.ID == id }
		if slices.ContainsFunc(p.voters, sameID) {
			continue
		}
		if i := slices.IndexFunc(p.staged, sameID); i >= 0 && !p.isReachable(p.staged[i]) {
			continue
		}
		eligible = append(eligible, m)
	}
	return eligible
}

// bestCandidate returns the server that should become a voter next, in place of outgoing if hasOutgoing is set, and
// reports whether there is one. It is the candidate with the lowest placement cost, and the first by name among equals.
// There is none while the group has enough voters.
func (p *planner) bestCandidate(outgoing ID, hasOutgoing bool) (placedServer, bool) {
	remaining := p.votersWithout(outgoing)
	if len(p.voters) > p.rule.MaxVoters || !hasOutgoing && len(p.voters) >= p.targetVoters() {
		return placedServer{}, false
	}
	var best placedServer
	var lowest cost
	found := false
	for _, m := range p.candidates() {
		c := placedServer{ID{m.Name, m.FolderID}, m.Zone, m.Region, m.Size}
		if s := p.placementCost(append(slices.Clone(remaining), c)); !found || s.less(lowest) {
			best, lowest, found = c, s, true
		}
	}
	return best, found
}
