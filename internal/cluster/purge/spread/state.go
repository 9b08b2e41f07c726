package spread

// This file implements how a process receives purges from its parent, hands them to its sender, and records which ones are
// applied.

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

// receivedPurge is a purge and the time at which it was received with the age in it.
type receivedPurge struct {
	clusterapi.Purge
	receivedAt view.Uptime
}

// age returns the age of the purge at now. It is a lower bound, because the time that the purge spent on the network is not
// known.
func (r receivedPurge) age(now view.Uptime) time.Duration { return r.Age + max(now-r.receivedAt, 0) }

// bySeq compares the Seq of a purge with seq, for binary searches.
func bySeq(r receivedPurge, seq uint64) int { return cmp.Compare(r.Seq, seq) }

// State is the state of the distribution of purges at one process. It is not safe for concurrent use; the caller must hold a
// lock.
type State struct {
	self     view.Instance
	folder   string
	isLeader bool // the State belongs to a LeaderState: it applies no purges, and its process is not a member of its reports

	purges          []receivedPurge // sorted by Seq
	receivedSeq     uint64          // purges holds all up to here that a process may still need
	oldestOpen      uint64          // all purges below are closed
	priorAppliedSeq uint64          // earlier incarnations with the same folder have applied all purges up to here
	horizon         time.Duration   // Horizon of the ledger; 0 for unknown
	pruneThreshold  int             // number of purges above which prune searches for obsolete ones

	dispatchedSeq, appliedSeq uint64      // all purges up to here were handed to the sender; are applied and on its disk
	applying                  bool        // the sender is applying a batch
	batchSeqs                 []uint64    // purges of the newest batch
	batchEndSeq               uint64      // dispatchedSeq and appliedSeq once the batch is applied
	nextApplyAt               view.Uptime // no batch is handed over before this time

	parent     Parent
	children   map[view.Name]*child
	childNames []view.Name             // sorted
	findings   map[findingKey]*finding // of open purges, at this process and those below it
	reporting  reportState
}

// findingKey identifies a finding. A process with several folders has one finding for each.
type findingKey struct {
	seq    uint64
	name   view.Name
	folder string
}

// finding is what a purge found, and the incarnation that found it.
type finding struct {
	incarnation view.Incarnation
	found       clusterapi.PurgeResult
	reported    bool // it was sent to the current parent
}

// New returns the state of a process whose earlier incarnations with the same folder have applied all purges up to
// priorAppliedSeq. The process still receives all purges that any process may need, because it may have to send them to a
// process below it that has not applied them.
func New(self view.Instance, folder string, priorAppliedSeq uint64) *State {
	return &State{self: self, folder: folder, priorAppliedSeq: priorAppliedSeq, oldestOpen: 1,
		children: map[view.Name]*child{}, findings: map[findingKey]*finding{}}
}

// SetTree sets the parent and the children in the tree. The zero Parent means that there is none.
func (s *State) SetTree(parent Parent, children []view.Instance, now view.Uptime) {
	if parent != s.parent {
		s.parent = parent
		s.reporting.retryAt, s.reporting.failures, s.reporting.inFlight = 0, 0, false
		s.resendAll(now)
	}
	removed := map[view.Name]bool{}
	for _, n := range s.childNames {
		removed[n] = true
	}
	for _, instance := range children {
		delete(removed, instance.Name)
		if c := s.children[instance.Name]; c == nil || c.instance.Incarnation < instance.Incarnation {
			s.children[instance.Name] = &child{instance: instance}
			s.markChanged(now)
		}
	}
	for n := range removed {
		delete(s.children, n)
		s.markChanged(now)
	}
	s.childNames = slices.Sorted(maps.Keys(s.children))
}

// HandleUpdate adds the purges of an update, which is from the parent or from another process that was asked for purges.
func (s *State) HandleUpdate(update Update, now view.Uptime) {
	if update.Resend && update.sender() == s.parent {
		s.resendAll(now)
	}
	s.horizon = max(update.Horizon, s.horizon)
	if update.Base > s.receivedSeq {
		return // purges in between are missing; ReceivedSeq in the answer tells the sender where to start
	}
	for _, p := range update.Purges {
		i, found := slices.BinarySearchFunc(s.purges, p.Seq, bySeq)
		received := receivedPurge{p, now}
		switch {
		case !found && p.Seq > s.receivedSeq:
			s.purges = slices.Insert(s.purges, i, received)
		case found && received.Age > s.purges[i].age(now):
			s.purges[i] = received // both ages are lower bounds, so the higher one is closer to the true age
		}
	}
	if update.UpTo > s.receivedSeq {
		s.receivedSeq = update.UpTo
		s.markChanged(now)
	}
	s.advanceOldestOpen(update.OldestOpen)
	s.prune(now)
}

// obsolete reports whether no process can need a purge of messages any more, because it is closed and older than the horizon.
// Purges of learned state never become obsolete.
func (s *State) obsolete(r receivedPurge, now view.Uptime) bool {
	return r.Seq < s.oldestOpen && !r.LearnedState && s.horizon > 0 && r.age(now) > s.horizon
}

// prune drops obsolete purges that are applied here. If more than maxPurges remain, it also drops the oldest ones, provided
// that they are closed and applied here. It does nothing while there are at most pruneThreshold purges.
func (s *State) prune(now view.Uptime) {
	if len(s.purges) <= s.pruneThreshold {
		return
	}
	done := s.appliedSeq
	if s.isLeader {
		done = s.receivedSeq
	}
	s.purges = slices.DeleteFunc(s.purges, func(r receivedPurge) bool { return r.Seq <= done && s.obsolete(r, now) })
	if extra := len(s.purges) - maxPurges; extra > 0 && s.purges[extra].Seq <= min(done, s.oldestOpen-1) {
		s.purges = slices.Delete(s.purges, 0, extra)
	}
	s.pruneThreshold = len(s.purges) + pruneInterval
}

// advanceOldestOpen raises oldestOpen, and drops the findings of the purges closed since, which are stored in the ledger.
func (s *State) advanceOldestOpen(oldestOpen uint64) {
	if oldestOpen > s.oldestOpen {
		s.oldestOpen = oldestOpen
		for k := range s.findings {
			if k.seq < oldestOpen {
				delete(s.findings, k)
			}
		}
	}
}

// NextBatch returns the purges that the sender has to apply next, in ascending order of their Seqs. It returns nil while the
// sender is applying a batch, or if no purges are to be applied. A batch must be followed by BatchApplied.
func (s *State) NextBatch(now view.Uptime) (all []clusterapi.Purge) {
	if s.isLeader || s.applying || s.dispatchedSeq >= s.receivedSeq || now < s.nextApplyAt {
		return nil
	}
	first, _ := slices.BinarySearchFunc(s.purges, s.dispatchedSeq+1, bySeq)
	s.batchSeqs, s.batchEndSeq = s.batchSeqs[:0], s.receivedSeq
	for _, r := range s.purges[first:] {
		if len(all) == MaxPurgesPerMessage {
			s.batchEndSeq = all[len(all)-1].Seq
			break
		}
		if s.obsolete(r, now) || r.Seq <= s.priorAppliedSeq && r.Seq < s.oldestOpen {
			continue // obsolete, or closed and applied by an earlier incarnation
		}
		p := r.Purge
		p.Age = r.age(now)
		all = append(all, p)
		s.batchSeqs = append(s.batchSeqs, p.Seq)
	}
	if all == nil {
		s.dispatchedSeq, s.appliedSeq = s.batchEndSeq, s.batchEndSeq
		s.markChanged(now)
		return nil
	}
	s.applying = true
	return all
}

// BatchApplied records that the sender has applied the purges of the batch up to a Seq, durably, and what each of them found.
// The others are handed over again after maxBackoff.
func (s *State) BatchApplied(upTo uint64, found []clusterapi.PurgeResult, now view.Uptime) {
	if !s.applying {
		return
	}
	s.applying = false
	for i, seq := range s.batchSeqs {
		if seq > upTo {
			s.nextApplyAt = now + maxBackoff
			s.batchEndSeq = seq - 1
			break
		}
		if i < len(found) && found[i] != (clusterapi.PurgeResult{}) {
			s.addFinding(findingKey{seq, s.self.Name, s.folder}, s.self.Incarnation, found[i])
		}
	}
	if s.batchEndSeq > s.dispatchedSeq {
		s.dispatchedSeq, s.appliedSeq = s.batchEndSeq, s.batchEndSeq
		s.markChanged(now)
	}
}

// addFinding adds a finding, or replaces that of an earlier incarnation with the same folder. It returns whether the findings
// have changed.
func (s *State) addFinding(k findingKey, incarnation view.Incarnation, found clusterapi.PurgeResult) bool {
	known := s.findings[k]
	switch {
	case k.seq < s.oldestOpen, known == nil && len(s.findings) >= maxFindings:
		return false
	case known != nil && known.incarnation >= incarnation:
		return false
	}
	s.findings[k] = &finding{incarnation: incarnation, found: found}
	return true
}

// ReceivedSeq returns the Seq up to which this process has received all purges.
func (s *State) ReceivedSeq() uint64 { return s.receivedSeq }

// AppliedSeq returns the Seq up to which this process has applied all purges durably.
func (s *State) AppliedSeq() uint64 { return s.appliedSeq }

// PurgesSince returns an update for a process that has received all purges up to since. It holds at most MaxPurgesPerMessage
// purges. Its UpTo may be lower than the newest purge, either for that limit or because this process has not received more;
// the other process then has to ask again.
func (s *State) PurgesSince(since uint64, now view.Uptime) Update {
	update := Update{From: s.self, FromLeader: s.isLeader, Base: since, UpTo: max(s.receivedSeq, since),
		OldestOpen: s.oldestOpen, Horizon: s.horizon}
	first, _ := slices.BinarySearchFunc(s.purges, since+1, bySeq)
	for size, rest := 0, s.purges[first:]; len(rest) > 0; rest = rest[1:] {
		if s.obsolete(rest[0], now) {
			continue
		}
		p := rest[0].Purge
		if size += sizeOf(p); len(update.Purges) == MaxPurgesPerMessage || size > maxMessageBytes && len(update.Purges) > 0 {
			update.UpTo = update.Purges[len(update.Purges)-1].Seq
			break
		}
		p.Age = rest[0].age(now)
		update.Purges = append(update.Purges, p)
	}
	return update
}

// sizeOf returns an upper bound of the size of a purge in a message, in bytes. One byte of text can become six in JSON.
func sizeOf(p clusterapi.Purge) int {
	return 200 + 6*(len(p.ID)+len(p.Match.Class)+len(p.Match.Key)+len(p.Match.KeyPrefix))
}

// SetIncarnation raises the incarnation of this process. It is called if an earlier incarnation of the process is known to
// others under the same number or a higher one.
func (s *State) SetIncarnation(to view.Instance, now view.Uptime) {
	for k, f := range s.findings {
		if k.name == s.self.Name && f.incarnation == s.self.Incarnation {
			f.incarnation = to.Incarnation
		}
	}
	s.self = to
	s.resendAll(now)
}
