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
	Since      view.Uptime // when it became known here
	At50, At95 time.Duration
	At100      time.Duration
	fromStart  bool
}

// Begin starts the progress of a newer version; decidedHere says that it was committed while this process led.
func (p *Progress) Begin(version uint64, decidedHere bool, now view.Uptime) {
	if version > p.Version {
		*p = Progress{Version: version, Since: now, fromStart: decidedHere}
	}
}

// RecordInForce records how many of the present processes run the newest version.
func (p *Progress) RecordInForce(inForce, here int, now view.Uptime) {
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
	since        view.Uptime
	nextAttempt  view.Uptime
}

// UpdateView takes in a view. A process that left on purpose is forgotten.
func (r *Roster) UpdateView(members *view.View, now view.Uptime) {
	if r.members == nil {
		r.members = map[view.Name]*memberRecord{}
	}
	for _, m := range members.Members {
		if m.State == view.Left {
			delete(r.members, m.Name)
			continue
		}
		record := r.members[m.Name]
		switch {
		case record == nil && len(r.members) < maxNames:
			record = &memberRecord{life: m.Life}
			r.members[m.Name] = record
		case record == nil:
			continue
		case m.Incarnation > record.life.Incarnation:
			*record = memberRecord{life: m.Life, absent: record.absent, since: record.since} // a restart, perhaps with another folder
		}
		if away := !m.Present(); away != record.absent {
			record.absent, record.since = away, now
		}
	}
	for name, record := range r.members {
		if record.absent && now-record.since > AbsenceLimit {
			delete(r.members, name)
		}
	}
}

// PresentCount is how many processes are present.
func (r *Roster) PresentCount() (present int) {
	for _, record := range r.members {
		if !record.absent {
			present++
		}
	}
	return present
}

// RecordSummary takes in a summary: laggards have the version named with them, all others at least the lowest of the
// rest. A summary that does not cover all present processes says nothing of the others.
func (r *Roster) RecordSummary(sum Summary) {
	if sum.Unknown > 0 || sum.Unnamed > 0 || sum.Older > 0 || sum.Members != r.PresentCount() {
		return
	}
	rest := map[uint64]int{}
	for _, count := range sum.InForce {
		rest[count.Version] += count.Members
	}
	lagging := map[view.Name]uint64{}
	for _, laggard := range sum.Laggards {
		rest[laggard.Version]--
		lagging[laggard.Name] = laggard.Version
	}
	lowest, found := uint64(0), false
	for version, members := range rest {
		if members > 0 && (!found || version < lowest) {
			lowest, found = version, true
		}
	}
	for name, record := range r.members {
		if record.absent {
			continue
		}
		version, lags := lagging[name]
		if !lags {
			if !found {
				continue
			}
			version = lowest
		}
		record.version, record.versionKnown = max(record.version, version), true
	}
}

// DueAnnouncements are the processes to be called now: absent ones, and laggards that their parent does not reach, up to
// the limit. The rest is due the next time.
func (r *Roster) DueAnnouncements(laggards []Laggard, limit int, now view.Uptime) (names []view.Name) {
	var due []*memberRecord
	for _, l := range laggards {
		if record := r.members[l.Name]; record != nil && !record.absent && l.Reason == Unreachable && now >= record.nextAttempt {
			record.since = now
			due = append(due, record)
		}
	}
	for _, record := range r.members {
		if record.absent && now >= record.nextAttempt {
			due = append(due, record)
		}
	}
	slices.SortFunc(due, func(a, b *memberRecord) int {
		return cmp.Or(cmp.Compare(a.nextAttempt, b.nextAttempt), cmp.Compare(a.life.Name, b.life.Name))
	})
	for _, record := range due[:min(len(due), limit)] {
		record.nextAttempt = now + min(max((now-record.since)/attemptShare, minAttemptInterval), maxAttemptInterval)
		names = append(names, record.life.Name)
	}
	return names
}

// RecordVersion takes in which version a process that was called has in force.
func (r *Roster) RecordVersion(name view.Name, version uint64) {
	if record := r.members[name]; record != nil {
		record.version, record.versionKnown = max(record.version, version), true
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
func (r *Roster) AbsentMembers(now view.Uptime) (all []AbsentMember, more int) {
	for name, record := range r.members {
		if record.absent {
			all = append(all, AbsentMember{Laggard{Name: name, Version: record.version, Reason: Absent, SinceMS: (now - record.since).Milliseconds()}, record.versionKnown})
		}
	}
	slices.SortFunc(all, func(a, b AbsentMember) int { return cmp.Compare(a.Name, b.Name) })
	shown := min(len(all), maxAbsentShown)
	return all[:shown], len(all) - shown
}
