package spread

// This file holds what the leader records besides its State: how fast the newest version came into force, and which
// version each absent process has.

import (
	"cmp"
	"slices"
	"time"

	"flaxcove/internal/cluster/view"
)

const (
	maxNames       = 4096           // processes in a Roster; the largest planned fleet has 660
	AbsenceLimit   = 24 * time.Hour // a process that is absent for longer is deleted from the Roster
	maxAbsentShown = 256            // processes in the result of AbsentMembers

	// The leader calls absent processes, because they may be back before the view shows that. The time between two
	// calls to a process is a tenth (attemptShare) of the duration of its absence, at least 1 s and at most 5 s.
	minAttemptInterval, maxAttemptInterval, attemptShare = time.Second, 5 * time.Second, 10
)

// Shares of the fleet for which Progress records how long a version took to be in force.
const shareHalf, shareMost = 0.5, 0.95

// Progress records how fast the newest version came into force, by the leader's own clock. At50, At95 and At100 are the
// times until 50, 95 and 100% of the present processes had it in force. They are 0 if that is not known, because the
// share is not reached yet or was reached under an earlier leader.
type Progress struct {
	Version    uint64
	Since      view.Uptime // when the version became known to this leader
	At50, At95 time.Duration
	At100      time.Duration
	fromStart  bool // the version was committed while this process led
}

// Begin starts to record the progress of a version, unless it is not newer than the recorded one. committedHere says
// that the version was committed while this process led; otherwise no times are recorded.
func (p *Progress) Begin(version uint64, committedHere bool, now view.Uptime) {
	if version > p.Version {
		*p = Progress{Version: version, Since: now, fromStart: committedHere}
	}
}

// RecordInForce records that inForce of the present processes run the newest version.
func (p *Progress) RecordInForce(inForce, present int, now view.Uptime) {
	if !p.fromStart || present == 0 {
		return
	}
	took := max(now-p.Since, time.Millisecond)
	for _, step := range []struct {
		share float64
		at    *time.Duration
	}{{shareHalf, &p.At50}, {shareMost, &p.At95}, {1, &p.At100}} {
		if *step.at == 0 && float64(inForce) >= step.share*float64(present) {
			*step.at = took
		}
	}
}

// Roster records the newest version that each process is known to have had in force. It is shown for processes that are
// absent and can't be asked. The zero value is an empty Roster.
type Roster struct {
	records map[view.Name]*memberRecord
}

// memberRecord is the record of one process.
type memberRecord struct {
	instance     view.Instance
	version      uint64      // the newest version known to have been in force there, if versionKnown is set
	versionKnown bool        // false until a report or an answer has named a version
	absent       bool        // not present in the latest view
	since        view.Uptime // when absent last changed, or for a present laggard its latest announcement
	nextAttempt  view.Uptime // no announcement before this time
}

// UpdateView updates the presence of all processes from a view. It deletes processes that left on purpose, and those
// that are absent for longer than AbsenceLimit.
func (r *Roster) UpdateView(members *view.View, now view.Uptime) {
	if r.records == nil {
		r.records = map[view.Name]*memberRecord{}
	}
	for _, m := range members.Members {
		if m.State == view.Left {
			delete(r.records, m.Name)
			continue
		}
		record := r.records[m.Name]
		switch {
		case record == nil && len(r.records) < maxNames:
			record = &memberRecord{instance: m.Instance}
			r.records[m.Name] = record
		case record == nil:
			continue
		case m.Incarnation > record.instance.Incarnation:
			*record = memberRecord{instance: m.Instance, absent: record.absent, since: record.since} // a restarted process may have another folder, and so an older version
		}
		if absent := !m.Present(); absent != record.absent {
			record.absent, record.since = absent, now
		}
	}
	for name, record := range r.records {
		if record.absent && now-record.since > AbsenceLimit {
			delete(r.records, name)
		}
	}
}

// PresentCount returns the number of present processes.
func (r *Roster) PresentCount() (present int) {
	for _, record := range r.records {
		if !record.absent {
			present++
		}
	}
	return present
}

// RecordSummary updates the versions of all present processes from a summary. A laggard has the version that is named
// with it, and each other process at least the lowest of the remaining versions. A summary that does not cover all
// present processes and versions is ignored.
func (r *Roster) RecordSummary(sum Summary) {
	if sum.Unknown > 0 || sum.Unnamed > 0 || sum.Older > 0 || sum.Members != r.PresentCount() {
		return
	}
	others := map[uint64]int{} // number of processes by version, without the laggards
	for _, count := range sum.InForce {
		others[count.Version] += count.Members
	}
	lagging := map[view.Name]uint64{}
	for _, laggard := range sum.Laggards {
		others[laggard.Version]--
		lagging[laggard.Name] = laggard.Version
	}
	lowest, found := uint64(0), false
	for version, members := range others {
		if members > 0 && (!found || version < lowest) {
			lowest, found = version, true
		}
	}
	for name, record := range r.records {
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

// DueAnnouncements returns the processes that the leader should call now, at most limit: absent processes, and laggards
// that their parent does not reach. Processes beyond the limit are due at the next call.
func (r *Roster) DueAnnouncements(laggards []Laggard, limit int, now view.Uptime) (names []view.Name) {
	var due []*memberRecord
	for _, l := range laggards {
		if record := r.records[l.Name]; record != nil && !record.absent && l.Reason == Unreachable && now >= record.nextAttempt {
			record.since = now
			due = append(due, record)
		}
	}
	for _, record := range r.records {
		if record.absent && now >= record.nextAttempt {
			due = append(due, record)
		}
	}
	slices.SortFunc(due, func(a, b *memberRecord) int {
		return cmp.Or(cmp.Compare(a.nextAttempt, b.nextAttempt), cmp.Compare(a.instance.Name, b.instance.Name))
	})
	for _, record := range due[:min(len(due), limit)] {
		record.nextAttempt = now + min(max((now-record.since)/attemptShare, minAttemptInterval), maxAttemptInterval)
		names = append(names, record.instance.Name)
	}
	return names
}

// RecordVersion records the version that a process has in force by its own answer.
func (r *Roster) RecordVersion(name view.Name, version uint64) {
	if record := r.records[name]; record != nil {
		record.version, record.versionKnown = max(record.version, version), true
	}
}

// AbsentMember is an absent process with the newest version that it is known to have had in force. VersionKnown is
// false if this leader knows of none.
type AbsentMember struct {
	Laggard
	VersionKnown bool `json:"version_known"`
}

// AbsentMembers returns the absent processes that did not leave on purpose, sorted by name, at most maxAbsentShown, and
// the number of further ones.
func (r *Roster) AbsentMembers(now view.Uptime) (all []AbsentMember, more int) {
	for name, record := range r.records {
		if record.absent {
			all = append(all, AbsentMember{Laggard{Name: name, Version: record.version, Reason: Absent, SinceMS: (now - record.since).Milliseconds()}, record.versionKnown})
		}
	}
	slices.SortFunc(all, func(a, b AbsentMember) int { return cmp.Compare(a.Name, b.Name) })
	shown := min(len(all), maxAbsentShown)
	return all[:shown], len(all) - shown
}
