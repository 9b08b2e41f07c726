// Package roster keeps what is known of each process of the cluster: its metadata, its state, and since when.
//
// It is pure: observations come in with their time (view.Now of this process), a view comes out. It must never replace
// a later incarnation of a name by an earlier one, grow beyond its bounds, or forget a member that is present. It does
// not detect failures: the membership library does, and reports them by the methods below.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"flaxcove/internal/cluster/view"
)

// Bounds of a roster. Zero values stand for the defaults.
type Bounds struct {
	RetainGone time.Duration // how long members that left or died are retained
	MaxGone    int           // how many of these are retained; the longest gone are dropped first
	MaxHere    int           // how many members may be present; further names are rejected
}

// Defaults of Bounds.
const (
	// DefaultRetainGone is long enough for an operator to see who left, and for most purges to lapse by their own
	// deadline. An earlier incarnation is rejected for as long as its name is retained.
	DefaultRetainGone = 10 * time.Minute
	DefaultMaxGone    = 1024
	// DefaultMaxHere is four times the largest measured size: beyond it somebody forges names.
	DefaultMaxHere = 4096
)

// Observation is one process as the library reports it at one moment.
type Observation struct {
	Member     view.Member // its metadata and state
	GossipAddr string      // the gossip address that it announces; "" for none
}

// entry is the last accepted observation of a name.
type entry struct {
	Observation
	stateSince view.Uptime // when its present state was first observed
}

// Roster holds what is known of all processes. It is not safe for concurrent use.
type Roster struct {
	self        view.Name
	bounds      Bounds
	entries     map[view.Name]*entry
	hereCount   int        // entries that are present
	goneVersion uint64     // counts changes of entries that are gone
	version     uint64     // counts all changes
	cachedView  *view.View // nil after a change
}

// New returns a roster that knows only the process itself, alive.
func New(self Observation, bounds Bounds, now view.Uptime) *Roster {
	bounds.RetainGone = cmp.Or(max(0, bounds.RetainGone), DefaultRetainGone)
	bounds.MaxGone = cmp.Or(max(0, bounds.MaxGone), DefaultMaxGone)
	bounds.MaxHere = cmp.Or(max(0, bounds.MaxHere), DefaultMaxHere)
	r := &Roster{self: self.Member.Name, bounds: bounds, entries: map[view.Name]*entry{}}
	self.Member.State = view.Alive
	r.store(self, now)
	return r
}

// View returns all members as known now. It returns the same view until something changes.
func (r *Roster) View() *view.View {
	if r.cachedView == nil {
		members := make([]view.Member, 0, len(r.entries))
		for _, e := range r.entries {
			members = append(members, e.Member)
		}
		r.cachedView = view.New(r.self, r.version, members)
	}
	return r.cachedView
}

// GossipAddr returns the gossip address that a process announces, "" for none or an unknown process.
func (r *Roster) GossipAddr(name view.Name) string {
	if e := r.entries[name]; e != nil {
		return e.GossipAddr
	}
	return ""
}

// GoneVersion counts the changes of what Gone returns.
func (r *Roster) GoneVersion() uint64 { return r.goneVersion }

// Find returns a process as it is known now.
func (r *Roster) Find(name view.Name) (o Observation, known bool) {
	if e := r.entries[name]; e != nil {
		return e.Observation, true
	}
	return Observation{}, false
}

// StateSince returns when a process's present state was first observed.
func (r *Roster) StateSince(name view.Name) (view.Uptime, bool) {
	if e := r.entries[name]; e != nil {
		return e.stateSince, true
	}
	return 0, false
}

// Gone returns the retained processes that left or died, by name.
func (r *Roster) Gone() []Observation {
	var gone []Observation
	for _, name := range slices.Sorted(maps.Keys(r.entries)) {
		if e := r.entries[name]; !e.Member.Present() {
			gone = append(gone, e.Observation)
		}
	}
	return gone
}

// Supersedes reports whether observation a of a name takes precedence over b: by incarnation, and between two of the
// same incarnation by folder and address, so that every process decides alike.
func Supersedes(a, b Observation) bool {
	return cmp.Or(cmp.Compare(a.Member.Incarnation, b.Member.Incarnation), cmp.Compare(a.Member.Folder, b.Member.Folder),
		cmp.Compare(a.GossipAddr, b.GossipAddr)) > 0
}

// Admits reports whether an observation may be accepted: not of an earlier incarnation, and no new name beyond the
// bound.
func (r *Roster) Admits(o Observation) bool {
	if e := r.entries[o.Member.Name]; e != nil {
		return !Supersedes(e.Observation, o)
	}
	return r.hereCount < r.bounds.MaxHere
}

// MarkAlive records that a process is alive: it joined, changed its metadata, returned, or a later incarnation of its
// name started. Like all below it reports whether anything changed.
func (r *Roster) MarkAlive(o Observation, now view.Uptime) bool {
	return r.transition(view.Alive, o, now)
}

// MarkSuspected records that a process does not answer probes.
func (r *Roster) MarkSuspected(o Observation, now view.Uptime) bool {
	return r.transition(view.Suspected, o, now)
}

// MarkLeft records that a process announced its leave.
func (r *Roster) MarkLeft(o Observation, now view.Uptime) bool {
	return r.transition(view.Left, o, now)
}

// MarkDead records that a process was declared dead.
func (r *Roster) MarkDead(o Observation, now view.Uptime) bool {
	return r.transition(view.Dead, o, now)
}

// transition applies an observation with a state, and enforces MaxGone. RetainGone is left to the next snapshot, as
// Expire goes over all entries.
func (r *Roster) transition(state view.State, o Observation, now view.Uptime) bool {
	o.Member.State = state
	changed := r.apply(o, now)
	if gone := len(r.entries) - r.hereCount; gone > r.bounds.MaxGone {
		return r.Expire(now) || changed
	}
	return changed
}

// apply stores an observation if it is admitted and new. It leaves the bounds to its caller: within one snapshot no
// member may be dropped and then return as an earlier incarnation.
func (r *Roster) apply(o Observation, now view.Uptime) bool {
	e := r.entries[o.Member.Name]
	if !r.Admits(o) || (e != nil && e.Observation == o) {
		return false
	}
	if o.Member.Name == r.self && (o.Member.State == view.Suspected || o.Member.State == view.Dead) {
		return false // others believe so; the library refutes it
	}
	// A name that is first observed as gone is stored too: its earlier incarnations must not return.
	r.store(o, now)
	return true
}

// store replaces an entry and updates the counts.
func (r *Roster) store(o Observation, now view.Uptime) {
	since := now
	e := r.entries[o.Member.Name]
	if e != nil && e.Member.Life == o.Member.Life && e.Member.State == o.Member.State {
		since = e.stateSince
	}
	if e != nil && e.Member.Present() {
		r.hereCount--
	}
	if o.Member.Present() {
		r.hereCount++
	}
	if e != nil && !e.Member.Present() || !o.Member.Present() {
		r.goneVersion++
	}
	r.entries[o.Member.Name] = &entry{o, since}
	r.invalidate()
}

// ApplySnapshot takes all that the library has at one moment. A present member that is not among it is marked dead: the
// library drops only members that are gone.
func (r *Roster) ApplySnapshot(snapshot []Observation, now view.Uptime) bool {
	changed := false
	present := make(map[view.Name]bool, len(snapshot))
	for _, s := range snapshot {
		present[s.Member.Name] = true
		changed = r.apply(s, now) || changed
	}
	for _, name := range slices.Sorted(maps.Keys(r.entries)) {
		if e := r.entries[name]; e != nil && !present[name] && name != r.self && e.Member.Present() {
			s := e.Observation
			s.Member.State = view.Dead
			changed = r.apply(s, now) || changed
		}
	}
	return r.Expire(now) || changed
}

// Expire drops members that are gone for longer than RetainGone, and the longest gone beyond MaxGone.
func (r *Roster) Expire(now view.Uptime) bool {
	var gone []*entry
	for _, e := range r.entries {
		if !e.Member.Present() && e.Member.Name != r.self {
			gone = append(gone, e)
		}
	}
	slices.SortFunc(gone, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.stateSince, a.stateSince), cmp.Compare(a.Member.Name, b.Member.Name))
	})
	expired := false
	for i, e := range gone {
		if i >= r.bounds.MaxGone || now-e.stateSince > r.bounds.RetainGone {
			delete(r.entries, e.Member.Name)
			r.goneVersion++
			expired = true
		}
	}
	if expired {
		r.invalidate()
	}
	return expired
}

// invalidate counts a change and drops the cached view.
func (r *Roster) invalidate() {
	r.version++
	r.cachedView = nil
}
