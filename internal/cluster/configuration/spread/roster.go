package spread

// This file is what the leader knows besides its State: how fast the newest version came into force, and which version
// absent processes have.

import (
	"cmp"
	"slices"
	"time"

	"flaxcove/internal/cluster/view"
)

const (
	maxNames       = 4096           // processes remembered; the largest planned fleet has 660
	AbsenceLimit   = 24 * time.Hour // a process that is absent for longer is forgotten
	maxAbsentShown = 256

	// The leader calls an absent process, as it may be back before the view says so: each second at first, and then less
	// often (each tenth of its absence), up to each 5 s.
	minAttemptInterval, maxAttemptInterval, attemptShare = time.Second, 5 * time.Second, 10
)

// Shares of the fleet for which it is shown how long a version took.
const shareHalf, shareMost = 0.5, 0.95

// Progress is how fast the newest version came into force, by the leader's own clock. A duration of 0 is not known: the
// share is not reached yet, or was reached under an earlier leader.
type Progress struct {
	Version    uint64
	Since      view.Now // when it became known here
	At50, At95 time.Duration
	At100      time.Duration
	fromStart  bool
}

// Begin starts the progress of a newer version; decidedHere says that it was committed while this process led.
func (p *Progress) Begin(version uint64, decidedHere bool, now view.Now) {
	if version > p.Version {
		*p = Progress{Version: version, Since: now, fromStart: decidedHere}
	}
}

// RecordInForce records how many of the present processes run the newest version.
func (p *Progress) RecordInForce(inForce, here int, now view.Now) {
	if !p.fromStart || here == 0 {
		return
	}
	took := max(now-p.Since, time.Millisecond)
	for _, step := range []struct {
		share float64
		at    *time.Duration
	}{{shareHalf, &p.At50}, {shareMost, &p.At95}, {1, &p.At100}} {
		if *step.at == 0 && float64(inForce) >= step.share*float64(here) {
			*step.at = took
		}
	}
}

// Roster is the version that each process had in force at least, to be shown while the process is absent and can't be
// asked.
type Roster struct {
	members map[view.Name]*memberRecord
}

// memberRecord is what is known of one process.
type memberRecord struct {
	life         view.Life
	version      uint64
	versionKnown bool
	absent       bool
	since        view.Now
	nextAttempt  view.Now
}

// UpdateView takes in a view. A process that left on purpose is forgotten.
func (r *Roster) UpdateView(v *view.View, now view.Now) {
	if r.members == nil {
		r.members = map[view.Name]*memberRecord{}
	}
	for _, m := range v.Members {
		if m.State == view.Left {
			delete(r.members, m.Name)
			continue
		}
		k := r.members[m.Name]
		switch {
		case k == nil && len(r.members) < maxNames:
			k = &memberRecord{life: m.Life}
			r.members[m.Name] = k
		case k == nil:
			continue
		case m.Incarnation > k.life.Incarnation:
			*k = memberRecord{life: m.Life, absent: k.absent, since: k.since} // a restart, perhaps with another folder
		}
		if away := !m.Here(); away != k.absent {
			k.absent, k.since = away, now
		}
	}
	for name, k := range r.members {
		if k.absent && now-k.since > AbsenceLimit {
			delete(r.members, name)
		}
	}
}

// PresentCount is how many processes are present.
func (r *Roster) PresentCount() (here int) {
	for _, k := range r.members {
		if !k.absent {
			here++
		}
	}
	return here
}

// RecordSummary takes in a summary: laggards have the version named with them, all others at least the lowest of the
// rest. A summary that does not cover all present processes says nothing of the others.
func (r *Roster) RecordSummary(sum Summary) {
	if sum.Unknown > 0 || sum.Unnamed > 0 || sum.Older > 0 || sum.Members != r.PresentCount() {
		return
	}
	rest := map[uint64]int{}
	for _, c := range sum.InForce {
		rest[c.Version] += c.Members
	}
	lagging := map[view.Name]uint64{}
	for _, l := range sum.Laggards {
		rest[l.Version]--
		lagging[l.Name] = l.Version
	}
	lowest, any := uint64(0), false
	for version, members := range rest {
		if members > 0 && (!any || version < lowest) {
			lowest, any = version, true
		}
	}
	for name, k := range r.members {
		if k.absent {
			continue
		}
		version, lags := lagging[name]
		if !lags {
			if !any {
				continue
			}
			version = lowest
		}
		k.version, k.versionKnown = max(k.version, version), true
	}
}

// DueAnnouncements are the processes to be called now: absent ones, and laggards that their parent does not reach, up to
// the limit. The rest is due the next time.
func (r *Roster) DueAnnouncements(laggards []Laggard, limit int, now view.Now) (names []view.Name) {
	var due []*memberRecord
	for _, l := range laggards {
		if k := r.members[l.Name]; k != nil && !k.absent && l.Reason == Unreachable && now >= k.nextAttempt {
			k.since = now
			due = append(due, k)
		}
	}
	for _, k := range r.members {
		if k.absent && now >= k.nextAttempt {
			due = append(due, k)
		}
	}
	slices.SortFunc(due, func(a, b *memberRecord) int {
		return cmp.Or(cmp.Compare(a.nextAttempt, b.nextAttempt), cmp.Compare(a.life.Name, b.life.Name))
	})
	for _, k := range due[:min(len(due), limit)] {
		k.nextAttempt = now + min(max((now-k.since)/attemptShare, minAttemptInterval), maxAttemptInterval)
		names = append(names, k.life.Name)
	}
	return names
}

// RecordVersion takes in which version a process that was called has in force.
func (r *Roster) RecordVersion(name view.Name, version uint64) {
	if k := r.members[name]; k != nil {
		k.version, k.versionKnown = max(k.version, version), true
	}
}

// AbsentMember is an absent process with the version that it had at least; VersionKnown is false where this leader never
// knew one.
type AbsentMember struct {
	Laggard
	VersionKnown bool `json:"version_known"`
}

// AbsentMembers are the absent processes that did not leave on purpose, by name, at most maxAbsentShown, and how many
// more there are.
func (r *Roster) AbsentMembers(now view.Now) (all []AbsentMember, more int) {
	for name, k := range r.members {
		if k.absent {
			all = append(all, AbsentMember{Laggard{Name: name, Version: k.version, Reason: Absent, SinceMS: (now - k.since).Milliseconds()}, k.versionKnown})
		}
	}
	slices.SortFunc(all, func(a, b AbsentMember) int { return cmp.Compare(a.Name, b.Name) })
	shown := min(len(all), maxAbsentShown)
	return all[:shown], len(all) - shown
}
