// Package voters says which single change of the council's voters comes next, if any.
//
// It is pure: it knows the configuration in force, how long each of its servers has been out of the leader's reach, and
// the view. Its promises:
//
//   - Never a change after which those that are reached are no majority of the voters; nothing at all without one now.
//   - One change at a time, each worked out anew from the configuration that the last one left.
//   - At most Rule.Most voters. Only who is here and is reached gets a vote, and only once it has caught up.
//   - Nobody that is reached loses its vote, but to one that spreads the votes better while every voter is reached.
//   - A process that lost its disk is another server: the old one is replaced, and is never reached under its name.
//
// It must never count a server as reached because the view says so: only the leader's own calls tell.
package voters

import (
	"cmp"
	"slices"
	"time"

	"flaxcove/internal/cluster/view"
)

// Rule is what the owner may set.
type Rule struct {
	Most    int           // voters at most
	DeadFor time.Duration // out of reach, and not here by the view, for so long: dead for good
	Silent  time.Duration // out of reach for so long: not counted as reached
}

// ID is one server: a name with the folder that holds its records. The same name with another folder is another.
type ID struct {
	Name   view.Name
	Folder string
}

// Server is one of the configuration, as the leader knows it.
type Server struct {
	ID
	Vote     bool
	Silence  time.Duration // since the leader last had an answer of it; 0 for the leader itself
	CaughtUp bool          // it holds all that was decided when last it answered
}

// Kind is what a change does.
type Kind uint8

const (
	Stage   Kind = iota + 1 // add it without a vote, so that it catches up
	Promote                 // give a staged one its vote
	Remove                  // take it out
)

// Change is one step.
type Change struct {
	Kind
	ID
}

// State is what a change is worked out from.
type State struct {
	Leader  ID
	Servers []Server
	View    *view.View
	Passed  map[ID]bool // not to be staged now: it did not catch up lately
}

type input struct {
	State
	rule    Rule
	voters  []Server
	staged  []Server
	reached int // voters
}

// Next is the change that comes next.
func Next(s State, rule Rule) (Change, bool) {
	in := input{State: s, rule: rule}
	for _, server := range slices.SortedFunc(slices.Values(s.Servers), func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Folder, b.Folder))
	}) {
		switch {
		case !server.Vote:
			in.staged = append(in.staged, server)
			continue
		case in.reaches(server):
			in.reached++
		}
		in.voters = append(in.voters, server)
	}
	if !majority(in.reached, len(in.voters)) {
		return Change{}, false
	}
	leaves, goes := in.outgoing()
	comes, found := in.incoming(leaves, goes)
	for _, server := range in.staged {
		if !found || server.ID != comes.ID {
			return Change{Remove, server.ID}, true
		}
	}
	switch {
	case found && len(in.staged) == 0:
		return Change{Stage, comes.ID}, true
	case found && !in.staged[0].CaughtUp:
		return Change{}, false
	case goes && (found || in.betterWithout()) && in.safeWithout(leaves):
		return Change{Remove, leaves}, true
	case found && !goes && len(in.voters) < rule.Most:
		return Change{Promote, comes.ID}, true
	}
	return Change{}, false
}

func majority(reached, of int) bool { return reached > of/2 }

func (in *input) reaches(s Server) bool {
	return s.ID == in.Leader || s.Silence < in.rule.Silent && !in.replaced(s.ID)
}

// replaced tells whether a name is here with another folder, so that this server will never be again.
func (in *input) replaced(id ID) bool {
	m, found := in.View.Find(id.Name)
	return found && m.Here() && m.Folder != id.Folder
}

// dead tells whether a server is dead for good. One that is here by the view but out of reach is not: the link may be.
func (in *input) dead(s Server) bool {
	if s.ID == in.Leader {
		return false
	}
	if in.replaced(s.ID) {
		return true
	}
	m, found := in.View.Find(s.Name)
	return s.Silence >= in.rule.DeadFor && (!found || !m.Here())
}

// safeWithout tells whether those reached are a majority of the voters without this one.
func (in *input) safeWithout(id ID) bool {
	reached := in.reached
	for _, v := range in.voters {
		if v.ID == id && in.reaches(v) {
			reached--
		}
	}
	return majority(reached, len(in.voters)-1)
}

// betterWithout tells whether a dead voter is worth removing though none stands in: an odd number bears as many losses
// as the even one above it, and two dead ones less bear one more.
func (in *input) betterWithout() bool {
	dead := 0
	for _, v := range in.voters {
		if in.dead(v) {
			dead++
		}
	}
	return dead > 1 || len(in.voters)%2 == 0
}

// outgoing is the voter to be replaced: one dead for good; one too many; or one whose place spreads the votes worse
// than another would.
func (in *input) outgoing() (ID, bool) {
	for _, v := range in.voters {
		if in.dead(v) {
			return v.ID, true
		}
	}
	if in.reached < len(in.voters) || len(in.voters) < in.target() {
		return ID{}, false
	}
	var worst ID
	var least spread
	for _, v := range in.voters {
		if v.ID == in.Leader { // its removal costs an election
			continue
		}
		if s := in.spreadOf(in.without(v.ID)); worst == (ID{}) || s.less(least) {
			worst, least = v.ID, s
		}
	}
	if worst == (ID{}) {
		return ID{}, false
	}
	if len(in.voters) > in.rule.Most {
		return worst, true
	}
	comes, found := in.incoming(worst, true)
	if !found {
		return ID{}, false
	}
	if !in.spreadOf(append(in.without(worst), comes)).less(in.spreadOf(in.without(ID{}))) {
		return ID{}, false
	}
	return worst, true
}

// target is how many voters there should be: the largest odd number that those who may vote make up.
func (in *input) target() int {
	able := 0
	for _, v := range in.voters {
		if !in.dead(v) {
			able++
		}
	}
	able += len(in.candidates())
	n := min(able, in.rule.Most)
	if n%2 == 0 {
		n--
	}
	return n
}

// candidates are those that are here, have a council's transport and no vote.
func (in *input) candidates() []view.Member {
	var able []view.Member
	for _, m := range in.View.Members {
		id := ID{m.Name, m.Folder}
		if m.State != view.Alive || m.Raft == "" || m.Folder == "" || in.Passed[id] {
			continue
		}
		holds := func(s Server) bool { return s.ID == id }
		if slices.ContainsFunc(in.voters, holds) {
			continue
		}
		if i := slices.IndexFunc(in.staged, holds); i >= 0 && !in.reaches(in.staged[i]) {
			continue
		}
		able = append(able, m)
	}
	return able
}

// incoming is who gets a vote next: the one that spreads them best, the large before the small, then by name.
func (in *input) incoming(leaves ID, goes bool) (member, bool) {
	kept := in.without(leaves)
	if len(in.voters) > in.rule.Most || !goes && len(in.voters) >= in.target() {
		return member{}, false
	}
	var best member
	var least spread
	found := false
	for _, m := range in.candidates() {
		c := member{ID{m.Name, m.Folder}, m.Zone, m.Region, m.Size}
		if s := in.spreadOf(append(slices.Clone(kept), c)); !found || s.less(least) {
			best, least, found = c, s, true
		}
	}
	return best, found
}

type member struct {
	ID
	zone   view.Zone
	region view.Region
	size   view.Size
}

// without are the voters but one. What the view does not know is in a place of its own.
func (in *input) without(id ID) []member {
	var rest []member
	for _, v := range in.voters {
		if v.ID == id {
			continue
		}
		m, _ := in.View.Find(v.Name)
		rest = append(rest, member{v.ID, m.Zone, m.Region, m.Size})
	}
	return rest
}

// spread is how badly votes are spread: pairs in one region, pairs in one zone, votes of small ones. Less is better.
type spread struct{ regions, zones, small int }

func (s spread) less(o spread) bool {
	return cmp.Or(cmp.Compare(s.regions, o.regions), cmp.Compare(s.zones, o.zones), cmp.Compare(s.small, o.small)) < 0
}

func (in *input) spreadOf(all []member) spread {
	var s spread
	for i, a := range all {
		if a.size == view.Small {
			s.small++
		}
		for _, b := range all[:i] {
			if a.region == b.region {
				s.regions++
			}
			if a.zone == b.zone {
				s.zones++
			}
		}
	}
	return s
}
