// Package judge checks from external observations whether a cluster of processes kept its promises.
//
// Its inputs are the status of each process, the times at which purges were ordered and reported complete, and the times at
// which calls were sent, which the world's ledger records. It must not rely on a process's own report of what an endpoint
// received, read a clock, or depend on the iteration order of a map. Times are times of the run.
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

// Promise names a property that the cluster guarantees and that a run may find violated.
type Promise string

const (
	Forked           Promise = "fork"   // one epoch has two plans, the epoch of one incarnation decreases, or one version has two contents
	SentAfterPurge   Promise = "purged" // a call with a purged message was sent after the purge was reported complete
	Unreported       Promise = "untold" // long after the last fault, a purge is not reported complete or lapsed, or a change not reported decided
	Disagreement     Promise = "parted" // long after the last fault, processes still disagree
	VersionRegressed Promise = "older"  // a process ran a version of the settings that is older than one it ran before
)

// Breach is one observed violation of a promise. Detail describes the observation.
type Breach struct {
	Promise Promise
	Detail  string
}

// Judge collects the observations of one run and checks them. It must be used from one goroutine only.
type Judge struct {
	planSums   map[view.Epoch]uint32
	lastEpochs map[view.Instance]view.Epoch
	purges     []*purge
	accepted   map[choice.MessageID]choice.Time // time of acceptance; grows with the run
	breaches   []Breach
	callsSent  int

	versions       map[uint64]configuration.Sum
	newestByFolder map[folder]uint64 // the highest version that was in force, by the folder that stores it
	changes        map[string]uint64 // version that each change became, by id; 0 until it is reported
	newest         uint64
}

// folder identifies the state folder of a process. A folder that was emptied has another id.
type folder struct {
	name view.Name
	id   string
}

type purge struct {
	id          string
	matches     func(message choice.MessageID) bool
	orderedAt   choice.Time
	completedAt choice.Time // 0 until it is reported
	lapsed      bool
}

// New returns a Judge without observations.
func New() *Judge {
	return &Judge{planSums: map[view.Epoch]uint32{}, lastEpochs: map[view.Instance]view.Epoch{}, accepted: map[choice.MessageID]choice.Time{},
		versions: map[uint64]configuration.Sum{}, newestByFolder: map[folder]uint64{}, changes: map[string]uint64{}}
}

// addBreach records a breach. It keeps the first 50.
func (j *Judge) addBreach(p Promise, format string, args ...any) {
	if len(j.breaches) < 50 {
		j.breaches = append(j.breaches, Breach{p, fmt.Sprintf(format, args...)})
	}
}

// ObserveStatus records a status that a process reported.
func (j *Judge) ObserveStatus(s *status.Status) {
	j.checkConfiguration(s)
	if s.Epoch == 0 {
		return
	}
	if sum, known := j.planSums[s.Epoch]; !known {
		j.planSums[s.Epoch] = s.PlanSum
	} else if sum != s.PlanSum {
		j.addBreach(Forked, "%s has a different plan of epoch %d", s.Self.Name, s.Epoch)
	}
	if last := j.lastEpochs[s.Self.Instance]; s.Epoch < last {
		j.addBreach(Forked, "%s went from epoch %d back to %d", s.Self.Name, last, s.Epoch)
	}
	j.lastEpochs[s.Self.Instance] = s.Epoch
}

// checkConfiguration compares the version that a process has in force with the versions observed before.
func (j *Judge) checkConfiguration(s *status.Status) {
	c := s.Configuration
	if c == nil {
		return
	}
	storedIn := folder{s.Self.Name, s.Self.FolderID}
	if c.Version < j.newestByFolder[storedIn] {
		j.addBreach(VersionRegressed, "%s runs version %d after version %d", s.Self.Name, c.Version, j.newestByFolder[storedIn])
	}
	j.newestByFolder[storedIn] = max(j.newestByFolder[storedIn], c.Version)
	j.checkVersion(c.Version, c.Sum, string(s.Self.Name))
}

// checkVersion checks that every process reports the same content of a version.
func (j *Judge) checkVersion(version uint64, sum configuration.Sum, by string) {
	if earlier, known := j.versions[version]; !known {
		j.versions[version] = sum
	} else if earlier != sum {
		j.addBreach(Forked, "%s has different settings of version %d", by, version)
	}
}

// ChangeOrdered records that a change is about to be ordered.
func (j *Judge) ChangeOrdered(id string) { j.changes[id] = 0 }

// ChangeDecided records the version that a change was reported to have become. Two changes must not become the same version.
func (j *Judge) ChangeDecided(id string, version uint64, sum configuration.Sum) {
	for other, decided := range j.changes {
		if decided == version && other != id {
			j.addBreach(Forked, "changes %s and %s are both reported as version %d", id, other, version)
		}
	}
	j.changes[id], j.newest = version, max(j.newest, version)
	j.checkVersion(version, sum, id)
}

// Newest returns the highest version that was reported as decided.
func (j *Judge) Newest() uint64 { return j.newest }

// Epochs returns the number of epochs of which a plan was observed.
func (j *Judge) Epochs() int { return len(j.planSums) }

// PurgeOrdered records that a purge is about to be ordered: once it is complete, matching messages that were accepted before
// now must not be sent.
func (j *Judge) PurgeOrdered(id string, now choice.Time, matches func(choice.MessageID) bool) {
	j.purges = append(j.purges, &purge{id: id, matches: matches, orderedAt: now})
}

// PurgeComplete records that a purge was reported complete; lapsed says that it is complete except for what lapsed.
func (j *Judge) PurgeComplete(id string, now choice.Time, lapsed bool) {
	for _, p := range j.purges {
		if p.id == id && p.completedAt == 0 {
			p.completedAt, p.lapsed = now, lapsed
		}
	}
}

// Accepted records that a sender accepted a message.
func (j *Judge) Accepted(n choice.MessageID, now choice.Time) { j.accepted[n] = now }

// CallSent records that a sender sent a call with a message, as the world's ledger reports it.
func (j *Judge) CallSent(n choice.MessageID, now choice.Time) {
	j.callsSent++
	at, known := j.accepted[n]
	for _, p := range j.purges {
		if known && p.completedAt > 0 && now > p.completedAt && at < p.orderedAt && p.matches(n) {
			j.addBreach(SentAfterPurge, "message %s, accepted at %d, was sent at %d; purge %s was ordered at %d and complete at %d (tenths of a millisecond)", n, at, now, p.id, p.orderedAt, p.completedAt)
		}
	}
}

// Differences describes where the latest statuses of the processes disagree. want is the number of processes; all holds the
// statuses of those that answered.
func Differences(all []*status.Status, want int, failover bool) (differences []string) {
	if len(all) < want {
		differences = append(differences, fmt.Sprintf("%d of %d processes answered", len(all), want))
	}
	if len(all) == 0 {
		return differences
	}
	first := all[0]
	for _, s := range all {
		alive := 0
		for _, m := range s.Members {
			if m.State == view.Alive {
				alive++
			}
		}
		if alive != want {
			differences = append(differences, fmt.Sprintf("%s sees %d of %d processes alive", s.Self.Name, alive, want))
		}
		if s.Leader == "" || s.Leader != first.Leader {
			differences = append(differences, fmt.Sprintf("%s reports %q as the leader, %s reports %q", s.Self.Name, s.Leader, first.Self.Name, first.Leader))
		}
		if s.Root != first.Root {
			differences = append(differences, fmt.Sprintf("%s reports %s as the root, %s reports %s", s.Self.Name, s.Root, first.Self.Name, first.Root))
		}
		if failover && (s.Epoch == 0 || s.Epoch != first.Epoch) {
			differences = append(differences, fmt.Sprintf("%s is at epoch %d, %s is at epoch %d", s.Self.Name, s.Epoch, first.Self.Name, first.Epoch))
		}
		if s.LastPurge != first.LastPurge {
			differences = append(differences, fmt.Sprintf("%s has applied purges up to %d, %s up to %d", s.Self.Name, s.LastPurge, first.Self.Name, first.LastPurge))
		}
		if one, other := s.Configuration, first.Configuration; one != nil && other != nil && (one.Version != other.Version || one.Sum != other.Sum) {
			differences = append(differences, fmt.Sprintf("%s runs version %d of the settings, %s runs version %d", s.Self.Name, one.Version, first.Self.Name, other.Version))
		}
	}
	return differences
}

// End checks what is still open at the end of a run and returns all breaches. apart is the last result of Differences.
func (j *Judge) End(apart []string) []Breach {
	for _, what := range apart {
		j.addBreach(Disagreement, "%s", what)
	}
	for _, p := range j.purges {
		if p.completedAt == 0 {
			j.addBreach(Unreported, "purge %s, ordered at %d tenths of a millisecond, was not reported complete", p.id, p.orderedAt)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(j.changes)) {
		if j.changes[id] == 0 {
			j.addBreach(Unreported, "change %s was not reported decided", id)
		}
	}
	return slices.Clone(j.breaches)
}
