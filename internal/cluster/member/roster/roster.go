// Package roster records the metadata and the state of each process of the cluster, and since when each has its state.
//
// It is pure: it has no clock, socket, goroutine or lock. It receives observations with the time at which they were
// made (a view.Uptime of this process), and returns a view. It must never replace a later incarnation of a name by an
// earlier one, grow beyond its bounds, or remove a member that is present. It does not detect failures: the membership
// library does, and package member reports them through the Mark methods and ApplySnapshot.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"flaxcove/internal/cluster/view"
)

// Bounds limits the size of a roster. Zero and negative values stand for the defaults.
type Bounds struct {
	RetainGone time.Duration // how long members that left or died are retained
	MaxGone    int           // how many such members are retained; those that are gone for longest are removed first
	MaxPresent int           // how many members may be present; further names are rejected
}

// Defaults of Bounds.
const (
	// DefaultRetainGone is long enough for an operator to see which members left, and for most purges to expire by
	// their own deadline. An earlier incarnation of a name is rejected for as long as the name is retained.
	DefaultRetainGone = 10 * time.Minute
	DefaultMaxGone    = 1024
	// DefaultMaxPresent is four times the largest measured size. A larger cluster is a sign of forged names.
	DefaultMaxPresent = 4096
)

// Observation is the metadata and state of one process as the library reports them at one moment.
type Observation struct {
	Member     view.Member
	GossipAddr string // gossip address that the process announces; "" for none
}

// entry is the last accepted observation of a name.
type entry struct {
	Observation
	stateSince view.Uptime // when the current state of this incarnation was first observed
}

// Roster holds the last accepted observation of each process. It is not safe for concurrent use.
type Roster struct {
	self         view.Name
	bounds       Bounds
	entries      map[view.Name]*entry
	presentCount int        // number of entries that are present
	goneVersion  uint64     // counts changes of entries that are gone
	version      uint64     // counts all changes
	cachedView   *view.View // nil after a change
}

// New returns a roster that knows only the process itself, as alive since now.
func New(self Observation, bounds Bounds, now view.Uptime) *Roster {
	bounds.RetainGone = cmp.Or(max(0, bounds.RetainGone), DefaultRetainGone)
	bounds.MaxGone = cmp.Or(max(0, bounds.MaxGone), DefaultMaxGone)
	bounds.MaxPresent = cmp.Or(max(0, bounds.MaxPresent), DefaultMaxPresent)
	r := &Roster{self: self.Member.Name, bounds: bounds, entries: map[view.Name]*entry{}}
	self.Member.State = view.Alive
	r.store(self, now)
	return r
}

// View returns all members, present and gone. It returns the same view until something changes.
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

// GossipAddr returns the gossip address that a process announces; "" if it announces none or is unknown.
func (r *Roster) GossipAddr(name view.Name) string {
	if e := r.entries[name]; e != nil {
		return e.GossipAddr
	}
	return ""
}

// GoneVersion returns a number that grows with each change of the result of Gone.
func (r *Roster) GoneVersion() uint64 { return r.goneVersion }

// Find returns the last accepted observation of a process; false if the name is unknown.
func (r *Roster) Find(name view.Name) (o Observation, known bool) {
	if e := r.entries[name]; e != nil {
		return e.Observation, true
	}
	return Observation{}, false
}

// StateSince returns when a process's current state was first observed; false if the name is unknown.
func (r *Roster) StateSince(name view.Name) (view.Uptime, bool) {
	if e := r.entries[name]; e != nil {
		return e.stateSince, true
	}
	return 0, false
}

// Gone returns the retained processes that left or died, sorted by name.
func (r *Roster) Gone() []Observation {
	var gone []Observation
	for _, name := range slices.Sorted(maps.Keys(r.entries)) {
		if e := r.entries[name]; !e.Member.Present() {
			gone = append(gone, e.Observation)
		}
	}
	return gone
}

// Supersedes reports whether observation a of a name takes precedence over observation b of the same name. The one of
// the later incarnation takes precedence; within one incarnation it is the one with the greater folder id, or else the
// one with the greater gossip address, so that all processes decide alike.
func Supersedes(a, b Observation) bool {
	return cmp.Or(cmp.Compare(a.Member.Incarnation, b.Member.Incarnation), cmp.Compare(a.Member.FolderID, b.Member.FolderID),
		cmp.Compare(a.GossipAddr, b.GossipAddr)) > 0
}

// Admits reports whether an observation may be accepted. It rejects one that a known observation of the name
// supersedes, and a new name if MaxPresent members are present.
func (r *Roster) Admits(o Observation) bool {
	if e := r.entries[o.Member.Name]; e != nil {
		return !Supersedes(e.Observation, o)
	}
	return r.presentCount < r.bounds.MaxPresent
}

// MarkAlive records that a process is alive: it joined, changed its metadata, returned, or started a later incarnation.
// It reports whether the roster changed.
func (r *Roster) MarkAlive(o Observation, now view.Uptime) bool {
	return r.transition(view.Alive, o, now)
}

// MarkSuspected records that a process does not answer probes. It reports whether the roster changed.
func (r *Roster) MarkSuspected(o Observation, now view.Uptime) bool {
	return r.transition(view.Suspected, o, now)
}

// MarkLeft records that a process announced its leave. It reports whether the roster changed.
func (r *Roster) MarkLeft(o Observation, now view.Uptime) bool {
	return r.transition(view.Left, o, now)
}

// MarkDead records that a process was declared dead. It reports whether the roster changed.
func (r *Roster) MarkDead(o Observation, now view.Uptime) bool {
	return r.transition(view.Dead, o, now)
}

// transition applies an observation with the given state in place of its own, and enforces MaxGone. RetainGone is
// enforced by the next snapshot only, as Expire iterates over all entries. It reports whether the roster changed.
func (r *Roster) transition(state view.State, o Observation, now view.Uptime) bool {
	o.Member.State = state
	changed := r.apply(o, now)
	if gone := len(r.entries) - r.presentCount; gone > r.bounds.MaxGone {
		return r.Expire(now) || changed
	}
	return changed
}

// apply stores an observation if it is admitted and differs from the known one, and reports whether it did. The caller
// enforces RetainGone and MaxGone: while a snapshot is being applied no member may be removed, as it could then return
// as an earlier incarnation.
func (r *Roster) apply(o Observation, now view.Uptime) bool {
	e := r.entries[o.Member.Name]
	if !r.Admits(o) || (e != nil && e.Observation == o) {
		return false
	}
	if o.Member.Name == r.self && (o.Member.State == view.Suspected || o.Member.State == view.Dead) {
		return false // other members believe so, and the library refutes it
	}
	// A name that is first observed as gone is stored too, so that its earlier incarnations are rejected.
	r.store(o, now)
	return true
}

// store replaces the entry of the observation's name and updates the counters.
func (r *Roster) store(o Observation, now view.Uptime) {
	since := now
	e := r.entries[o.Member.Name]
	if e != nil && e.Member.Instance == o.Member.Instance && e.Member.State == o.Member.State {
		since = e.stateSince
	}
	if e != nil && e.Member.Present() {
		r.presentCount--
	}
	if o.Member.Present() {
		r.presentCount++
	}
	if e != nil && !e.Member.Present() || !o.Member.Present() {
		r.goneVersion++
	}
	r.entries[o.Member.Name] = &entry{o, since}
	r.invalidate()
}

// ApplySnapshot applies a snapshot of all members that the library knows, and removes expired entries. A present member
// that the snapshot does not contain is marked dead, as the library removes only members that are gone. It reports
// whether the roster changed.
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

// Expire removes members that have been gone for longer than RetainGone, and of the others those that have been gone
// for longest until MaxGone remain. It reports whether it removed any.
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

// invalidate counts a change and discards the cached view.
func (r *Roster) invalidate() {
	r.version++
	r.cachedView = nil
}
