// Package judge checks whether a cluster of processes kept its promises, by what was observed from outside.
//
// Its inputs are the status of each process, when purges were ordered and reported complete, and, from the world's ledger,
// when calls left. It must not rely on a process's word for what an endpoint saw, read a clock, or depend on the order of a
// map. Times are the laboratory's.
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

// Promise names a promise of the cluster that a run may break.
type Promise string

const (
	Fork   Promise = "fork"   // two plans of one epoch, an epoch that goes back in one incarnation, or two contents of a version
	Purged Promise = "purged" // a call with a purged message left after the purge was reported complete
	Untold Promise = "untold" // long after the last fault a purge was not reported complete or lapsed, or a change not decided
	Parted Promise = "parted" // long after the last fault processes still disagreed
	Older  Promise = "older"  // a process ran an older version of the settings after a newer one
)

// Breach is one breach of a promise.
type Breach struct {
	Promise Promise
	What    string
}

// Judge collects observations and judges them. It belongs to one goroutine.
type Judge struct {
	sums     map[view.Epoch]uint32
	last     map[view.Life]view.Epoch
	purges   []*purge
	accepted map[choice.MessageID]choice.Time // when; grows with the run
	breaches []Breach
	begun    int

	versions  map[uint64]configuration.Sum
	newestRun map[folder]uint64 // the newest version that was in force, by the folder it is stored in
	changes   map[string]uint64 // by id, the version that each became; 0 until that is reported
	newest    uint64
}

// folder identifies a process's folder. One that was emptied counts as another.
type folder struct {
	name view.Name
	id   string
}

type purge struct {
	id       string
	matches  func(message choice.MessageID) bool
	opened   choice.Time
	complete choice.Time // 0 until that is reported
	lapsed   bool
}

// New creates the judge of one run.
func New() *Judge {
	return &Judge{sums: map[view.Epoch]uint32{}, last: map[view.Life]view.Epoch{}, accepted: map[choice.MessageID]choice.Time{},
		versions: map[uint64]configuration.Sum{}, newestRun: map[folder]uint64{}, changes: map[string]uint64{}}
}

func (j *Judge) breach(p Promise, format string, args ...any) {
	if len(j.breaches) < 50 {
		j.breaches = append(j.breaches, Breach{p, fmt.Sprintf(format, args...)})
	}
}

// Status takes the status that a process reported.
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

// judgeConfiguration compares the version that a process has in force with earlier ones.
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

// version checks that a version has one content everywhere.
func (j *Judge) version(version uint64, sum configuration.Sum, by string) {
	if had, known := j.versions[version]; !known {
		j.versions[version] = sum
	} else if had != sum {
		j.breach(Fork, "%s has other settings of version %d", by, version)
	}
}

// ChangeOrdered takes that a change is about to be ordered.
func (j *Judge) ChangeOrdered(id string) { j.changes[id] = 0 }

// ChangeDecided takes the version that a change was reported to be. Two changes must not be the same version.
func (j *Judge) ChangeDecided(id string, version uint64, sum configuration.Sum) {
	for other, had := range j.changes {
		if had == version && other != id {
			j.breach(Fork, "%s and %s are both told to be version %d", id, other, version)
		}
	}
	j.changes[id], j.newest = version, max(j.newest, version)
	j.version(version, sum, id)
}

// Newest is the highest version that was reported as decided.
func (j *Judge) Newest() uint64 { return j.newest }

// Epochs is how many plans were observed.
func (j *Judge) Epochs() int { return len(j.sums) }

// PurgeOrdered takes that a purge is about to be ordered: matching messages that were accepted before now must not be sent
// once it is complete.
func (j *Judge) PurgeOrdered(id string, now choice.Time, matches func(choice.MessageID) bool) {
	j.purges = append(j.purges, &purge{id: id, matches: matches, opened: now})
}

// PurgeComplete takes that a purge was reported complete, or complete except for what lapsed.
func (j *Judge) PurgeComplete(id string, now choice.Time, lapsed bool) {
	for _, p := range j.purges {
		if p.id == id && p.complete == 0 {
			p.complete, p.lapsed = now, lapsed
		}
	}
}

// Accepted takes that a message was accepted.
func (j *Judge) Accepted(n choice.MessageID, now choice.Time) { j.accepted[n] = now }

// CallSent takes from the world's ledger that a call with a message left its sender.
func (j *Judge) CallSent(n choice.MessageID, now choice.Time) {
	j.begun++
	at, known := j.accepted[n]
	for _, p := range j.purges {
		if known && p.complete > 0 && now > p.complete && at < p.opened && p.matches(n) {
			j.breach(Purged, "%s, taken on at %d, began at %d; %s was given at %d and complete at %d", n, at, now, p.id, p.opened, p.complete)
		}
	}
}

// Differences returns what the processes still disagree about, by their latest statuses. Want is how many there should be;
// those that did not answer are missing.
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
		if s.LastPurge != first.LastPurge {
			why = append(why, fmt.Sprintf("%s has purged up to %d, %s to %d", s.Self.Name, s.LastPurge, first.Self.Name, first.LastPurge))
		}
		if one, other := s.Configuration, first.Configuration; one != nil && other != nil && (one.Version != other.Version || one.Sum != other.Sum) {
			why = append(why, fmt.Sprintf("%s runs version %d of the settings, %s %d", s.Self.Name, one.Version, first.Self.Name, other.Version))
		}
	}
	return why
}

// End judges what is still open at the end of a run and returns all breaches. Apart is the last result of Differences.
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
