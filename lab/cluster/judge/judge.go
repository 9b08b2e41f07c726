// Package judge says whether a cluster of processes kept its promises, from what was seen of it from outside.
//
// It hears what each process told of itself, when purges were given and said to be complete, and, from the endpoints'
// own ledger, when messages began to be delivered. It must never take a process's word for what an endpoint saw, look at
// a clock, or hang on the order of a map. Times are the laboratory's.
package judge

import (
	"fmt"
	"maps"
	"slices"

	"flaxcove/choice"
	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/cluster/status"
	"flaxcove/internal/cluster/view"
)

// Promise is one that may be broken.
type Promise string

const (
	Fork     Promise = "fork"     // two plans under one epoch, or an epoch that goes back in one life; two contents of a version
	Purged   Promise = "purged"   // a message that was accepted before a purge began after it was told complete
	Untold   Promise = "untold"   // long after all was well a purge was not complete, nor told lapsed, or a change not decided
	Parted   Promise = "parted"   // processes still saw different things long after all was well again
	Older    Promise = "older"    // a process ran an older version of the settings after a newer one
	Unending Promise = "unending" // a process that should serve did not answer
)

// Breach is one breach.
type Breach struct {
	Promise Promise
	What    string
}

// Judge hears and judges. Not for more than one goroutine.
type Judge struct {
	sums     map[view.Epoch]uint32
	last     map[view.Life]view.Epoch
	purges   []*purge
	accepted map[choice.MessageID]choice.Time // of those that a purge may match; leaves with the run
	breaches []Breach
	begun    int

	versions  map[uint64]configuration.Sum
	newestRun map[folder]uint64 // the newest version that was in force, by what it is kept in
	changes   map[string]uint64 // by id, the version that each became; 0 until it is told
	newest    uint64
}

// folder is what a process keeps its version in: an emptied one is another.
type folder struct {
	name view.Name
	id   string
}

type purge struct {
	id       string
	matches  func(message choice.MessageID) bool
	opened   choice.Time
	complete choice.Time // 0 until it is told
	lapsed   bool
}

// New judges one run.
func New() *Judge {
	return &Judge{sums: map[view.Epoch]uint32{}, last: map[view.Life]view.Epoch{}, accepted: map[choice.MessageID]choice.Time{},
		versions: map[uint64]configuration.Sum{}, newestRun: map[folder]uint64{}, changes: map[string]uint64{}}
}

func (j *Judge) breach(p Promise, format string, args ...any) {
	if len(j.breaches) < 50 {
		j.breaches = append(j.breaches, Breach{p, fmt.Sprintf(format, args...)})
	}
}

// Status hears what a process told of itself.
func (j *Judge) Status(s *status.Status) {
	j.judgeConfiguration(s)
	if s.Epoch == 0 {
		return
	}
	if sum, known := j.sums[s.Epoch]; !known {
		j.sums[s.Epoch] = s.PlanSum
	} else if sum != s.PlanSum {
		j.breach(Fork, "%s has another plan of epoch %d", s.Self.Name, s.Epoch)
	}
	if last := j.last[s.Self.Life]; s.Epoch < last {
		j.breach(Fork, "%s went from epoch %d back to %d", s.Self.Name, last, s.Epoch)
	}
	j.last[s.Self.Life] = s.Epoch
}

// judgeConfiguration holds what a process has in force against what was seen before.
func (j *Judge) judgeConfiguration(s *status.Status) {
	c := s.Configuration
	if c == nil {
		return
	}
	ranIn := folder{s.Self.Name, s.Self.Folder}
	if c.Version < j.newestRun[ranIn] {
		j.breach(Older, "%s runs version %d after %d", s.Self.Name, c.Version, j.newestRun[ranIn])
	}
	j.newestRun[ranIn] = max(j.newestRun[ranIn], c.Version)
	j.version(c.Version, c.Sum, string(s.Self.Name))
}

// version hears of a version's content.
func (j *Judge) version(version uint64, sum configuration.Sum, by string) {
	if had, known := j.versions[version]; !known {
		j.versions[version] = sum
	} else if had != sum {
		j.breach(Fork, "%s has other settings of version %d", by, version)
	}
}

// ChangeOrdered hears that a change is about to be ordered.
func (j *Judge) ChangeOrdered(id string) { j.changes[id] = 0 }

// ChangeDecided hears what version it was told to be. Two changes never are one.
func (j *Judge) ChangeDecided(id string, version uint64, sum configuration.Sum) {
	for other, had := range j.changes {
		if had == version && other != id {
			j.breach(Fork, "%s and %s are both told to be version %d", id, other, version)
		}
	}
	j.changes[id], j.newest = version, max(j.newest, version)
	j.version(version, sum, id)
}

// Newest is the highest version that was told to be decided.
func (j *Judge) Newest() uint64 { return j.newest }

// Epochs is how many plans were seen.
func (j *Judge) Epochs() int { return len(j.sums) }

// PurgeOrdered hears that a purge is about to be given: what was accepted before now is to be withdrawn.
func (j *Judge) PurgeOrdered(id string, now choice.Time, matches func(choice.MessageID) bool) {
	j.purges = append(j.purges, &purge{id: id, matches: matches, opened: now})
}

// PurgeComplete hears that it was told complete, or complete but for what lapsed.
func (j *Judge) PurgeComplete(id string, now choice.Time, lapsed bool) {
	for _, p := range j.purges {
		if p.id == id && p.complete == 0 {
			p.complete, p.lapsed = now, lapsed
		}
	}
}

// Accepted hears that a program was told that its message is accepted.
func (j *Judge) Accepted(n choice.MessageID, now choice.Time) { j.accepted[n] = now }

// CallSent hears of a call that left its sender with a message, by the endpoint's ledger.
func (j *Judge) CallSent(n choice.MessageID, now choice.Time) {
	j.begun++
	at, known := j.accepted[n]
	for _, p := range j.purges {
		if known && p.complete > 0 && now > p.complete && at < p.opened && p.matches(n) {
			j.breach(Purged, "%s, taken on at %d, began at %d; %s was given at %d and complete at %d", n, at, now, p.id, p.opened, p.complete)
		}
	}
}

// Differences judges what all processes told last, once all faults are over and they had time. Missing are those that did
// not answer. It tells what still differs.
func Differences(all []*status.Status, want int, failover bool) (why []string) {
	if len(all) < want {
		why = append(why, fmt.Sprintf("%d of %d processes answer", len(all), want))
	}
	if len(all) == 0 {
		return why
	}
	first := all[0]
	for _, s := range all {
		here := 0
		for _, m := range s.Members {
			if m.State == view.Alive {
				here++
			}
		}
		if here != want {
			why = append(why, fmt.Sprintf("%s sees %d of %d", s.Self.Name, here, want))
		}
		if s.Leader == "" || s.Leader != first.Leader {
			why = append(why, fmt.Sprintf("%s knows %q as the leader, %s %q", s.Self.Name, s.Leader, first.Self.Name, first.Leader))
		}
		if s.Root != first.Root {
			why = append(why, fmt.Sprintf("%s takes %s for the root, %s %s", s.Self.Name, s.Root, first.Self.Name, first.Root))
		}
		if failover && (s.Epoch == 0 || s.Epoch != first.Epoch) {
			why = append(why, fmt.Sprintf("%s is at epoch %d, %s at %d", s.Self.Name, s.Epoch, first.Self.Name, first.Epoch))
		}
		if s.Purged != first.Purged {
			why = append(why, fmt.Sprintf("%s has purged up to %d, %s to %d", s.Self.Name, s.Purged, first.Self.Name, first.Purged))
		}
		if one, other := s.Configuration, first.Configuration; one != nil && other != nil && (one.Version != other.Version || one.Sum != other.Sum) {
			why = append(why, fmt.Sprintf("%s runs version %d of the settings, %s %d", s.Self.Name, one.Version, first.Self.Name, other.Version))
		}
	}
	return why
}

// End judges what was still open; apart is what Settled told last.
func (j *Judge) End(apart []string) []Breach {
	for _, what := range apart {
		j.breach(Parted, "%s", what)
	}
	for _, p := range j.purges {
		if p.complete == 0 {
			j.breach(Untold, "%s, given at %d", p.id, p.opened)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(j.changes)) {
		if j.changes[id] == 0 {
			j.breach(Untold, "change %s was not told decided", id)
		}
	}
	return slices.Clone(j.breaches)
}
