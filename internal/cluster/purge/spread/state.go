package spread

// This file is the purges of a process: received from its parent, handed to its sender, applied.

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

// heldPurge is a purge and when it was received, from which time on its age grows.
type heldPurge struct {
	clusterapi.Purge
	receivedAt view.Uptime
}

// age is the age of the purge now, which is a lower bound as the time on the network is not known.
func (h heldPurge) age(now view.Uptime) time.Duration { return h.Age + max(now-h.receivedAt, 0) }

func bySeq(h heldPurge, seq uint64) int { return cmp.Compare(h.Seq, seq) }

// State is one process's part. Its owner guards it.
type State struct {
	self     view.Life
	folder   string
	isLeader bool // it is that of a LeaderState, which neither applies purges nor counts itself

	purges          []heldPurge // by Seq
	hasSeq          uint64      // purges has all up to here that matter
	oldestOpen      uint64
	priorAppliedSeq uint64
	horizon         time.Duration
	pruneThreshold  int

	handedSeq, appliedSeq uint64 // handed to the sender; applied and on disk there
	applying              bool
	batchSeqs             []uint64
	batchEndSeq           uint64
	nextApplyAt           view.Uptime // not before

	parent     Parent
	children   map[view.Name]*child
	childNames []view.Name // sorted
	findings   map[findingKey]*finding
	uplink     uplink
}

type findingKey struct {
	seq    uint64
	name   view.Name
	folder string
}

type finding struct {
	incarnation view.Incarnation
	found       clusterapi.Found
	reported    bool // the parent has it
}

// New returns the state of a process whose earlier incarnations with the same folder have applied all purges up to
// priorAppliedSeq. It still receives all purges that matter, as it may have to send them to a process below it that has
// applied none.
func New(self view.Life, folder string, priorAppliedSeq uint64) *State {
	return &State{self: self, folder: folder, priorAppliedSeq: priorAppliedSeq, oldestOpen: 1,
		children: map[view.Name]*child{}, findings: map[findingKey]*finding{}}
}

// SetTree sets the parent (the zero value for none) and the children.
func (s *State) SetTree(parent Parent, children []view.Life, now view.Uptime) {
	if parent != s.parent {
		s.parent = parent
		s.uplink.retryAt, s.uplink.failures, s.uplink.inFlight = 0, 0, false
		s.resendAll(now)
	}
	gone := map[view.Name]bool{}
	for _, n := range s.childNames {
		gone[n] = true
	}
	for _, life := range children {
		delete(gone, life.Name)
		if c := s.children[life.Name]; c == nil || c.life.Incarnation < life.Incarnation {
			s.children[life.Name] = &child{life: life}
			s.markChanged(now)
		}
	}
	for n := range gone {
		delete(s.children, n)
		s.markChanged(now)
	}
	s.childNames = slices.Sorted(maps.Keys(s.children))
}

// HandleUpdate takes in purges, from the parent or from another process that was asked for them.
func (s *State) HandleUpdate(update Update, now view.Uptime) {
	if update.Resend && update.sender() == s.parent {
		s.resendAll(now)
	}
	s.horizon = max(update.Horizon, s.horizon)
	if update.Base > s.hasSeq {
		return // some in between are missing: HasSeq in the answer tells from where
	}
	for _, p := range update.Purges {
		i, found := slices.BinarySearchFunc(s.purges, p.Seq, bySeq)
		received := heldPurge{p, now}
		switch {
		case !found && p.Seq > s.hasSeq:
			s.purges = slices.Insert(s.purges, i, received)
		case found && received.Age > s.purges[i].age(now):
			s.purges[i] = received // both ages are lower bounds, so the higher is more accurate
		}
	}
	if update.UpTo > s.hasSeq {
		s.hasSeq = update.UpTo
		s.markChanged(now)
	}
	s.advanceOldestOpen(update.OldestOpen)
	s.prune(now)
}

// obsolete reports whether no process can need a purge any more: it is closed and past the horizon. Purges of learned state
// have no horizon.
func (s *State) obsolete(h heldPurge, now view.Uptime) bool {
	return h.Seq < s.oldestOpen && !h.LearnedState && s.horizon > 0 && h.age(now) > s.horizon
}

// prune drops obsolete purges, and beyond the bound the oldest that are closed and applied here.
func (s *State) prune(now view.Uptime) {
	if len(s.purges) <= s.pruneThreshold {
		return
	}
	done := s.appliedSeq
	if s.isLeader {
		done = s.hasSeq
	}
	s.purges = slices.DeleteFunc(s.purges, func(h heldPurge) bool { return h.Seq <= done && s.obsolete(h, now) })
	if extra := len(s.purges) - maxPurges; extra > 0 && s.purges[extra].Seq <= min(done, s.oldestOpen-1) {
		s.purges = slices.Delete(s.purges, 0, extra)
	}
	s.pruneThreshold = len(s.purges) + pruneInterval
}

// advanceOldestOpen drops the findings of purges that were closed since: they are in the ledger.
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

// NextBatch is the purges that the sender has to apply next, in order; nil while it applies some, or when there are none.
func (s *State) NextBatch(now view.Uptime) (all []clusterapi.Purge) {
	if s.isLeader || s.applying || s.handedSeq >= s.hasSeq || now < s.nextApplyAt {
		return nil
	}
	first, _ := slices.BinarySearchFunc(s.purges, s.handedSeq+1, bySeq)
	s.batchSeqs, s.batchEndSeq = s.batchSeqs[:0], s.hasSeq
	for _, h := range s.purges[first:] {
		if len(all) == MaxPurgesPerMessage {
			s.batchEndSeq = all[len(all)-1].Seq
			break
		}
		if s.obsolete(h, now) || h.Seq <= s.priorAppliedSeq && h.Seq < s.oldestOpen {
			continue // concerns no process; or is closed and on disk here
		}
		p := h.Purge
		p.Age = h.age(now)
		all = append(all, p)
		s.batchSeqs = append(s.batchSeqs, p.Seq)
	}
	if all == nil {
		s.handedSeq, s.appliedSeq = s.batchEndSeq, s.batchEndSeq
		s.markChanged(now)
		return nil
	}
	s.applying = true
	return all
}

// BatchApplied records up to which purge of the batch the sender has applied, on disk, and what each one found. The rest
// is handed over again after a while.
func (s *State) BatchApplied(upto uint64, found []clusterapi.Found, now view.Uptime) {
	if !s.applying {
		return
	}
	s.applying = false
	for i, seq := range s.batchSeqs {
		if seq > upto {
			s.nextApplyAt = now + maxBackoff
			s.batchEndSeq = seq - 1
			break
		}
		if i < len(found) && found[i] != (clusterapi.Found{}) {
			s.addFinding(findingKey{seq, s.self.Name, s.folder}, s.self.Incarnation, found[i])
		}
	}
	if s.batchEndSeq > s.handedSeq {
		s.handedSeq, s.appliedSeq = s.batchEndSeq, s.batchEndSeq
		s.markChanged(now)
	}
}

// addFinding adds a finding, which replaces that of an earlier incarnation with the same folder. It returns whether it
// was new.
func (s *State) addFinding(k findingKey, incarnation view.Incarnation, found clusterapi.Found) bool {
	r := s.findings[k]
	switch {
	case k.seq < s.oldestOpen, r == nil && len(s.findings) >= maxFindings:
		return false
	case r != nil && r.incarnation >= incarnation:
		return false
	}
	s.findings[k] = &finding{incarnation: incarnation, found: found}
	return true
}

// HasSeq is up to which Seq this process has all purges.
func (s *State) HasSeq() uint64 { return s.hasSeq }

// AppliedSeq is up to which Seq this process has applied all purges, on disk.
func (s *State) AppliedSeq() uint64 { return s.appliedSeq }

// PurgesSince is what a process needs that has all purges up to since, at most MaxPurgesPerMessage. Its UpTo is as far
// as this process can tell: one that needs more has to ask on.
func (s *State) PurgesSince(since uint64, now view.Uptime) Update {
	update := Update{From: s.self, FromLeader: s.isLeader, Base: since, UpTo: max(s.hasSeq, since), OldestOpen: s.oldestOpen, Horizon: s.horizon}
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

// sizeOf is the size of a purge in a message at most: a byte of text may become six in JSON.
func sizeOf(p clusterapi.Purge) int {
	return 200 + 6*(len(p.ID)+len(p.Match.Class)+len(p.Match.Key)+len(p.Match.KeyPrefix))
}

// SetIncarnation raises this process's incarnation, as another process of its name was known with this one or a higher.
func (s *State) SetIncarnation(to view.Life, now view.Uptime) {
	for k, r := range s.findings {
		if k.name == s.self.Name && r.incarnation == s.self.Incarnation {
			r.incarnation = to.Incarnation
		}
	}
	s.self = to
	s.resendAll(now)
}
