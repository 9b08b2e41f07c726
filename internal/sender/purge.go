package sender

// This file applies purges, which withdraw messages or drop learned state. It owns the purges that wait to be applied, the
// last purges that were applied, and the handling of each message that a purge matches. A purge is answered only after its
// effect is on disk. It is applied once, in the order of Seq. It does not withdraw messages that were accepted after it, and
// does not report a message as not begun if the message may have run.
//
// One append of one turn holds the purge's own record and the records of the ends of its messages. If a call of a matched
// message is in flight, the message's end (failed) is recorded at once and reported when the call has ended: delivered if
// the answer says so, otherwise failed. The wait ends at the latest with the call's timeout or the message's deadline. If
// the process is killed in between, the next start reports the message as failed and never sends it again.

import (
	"encoding/binary"
	"slices"
	"sync/atomic"

	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/journal"
	"flaxcove/internal/sender/clusterapi"
	"flaxcove/internal/sender/withdrawal"
)

const (
	// purgeWorkPerTurn limits the comparisons of messages with purges in one turn, about 10 ns each, and purgesPerTurn the
	// records of purges. Without these limits, ten thousand purges over a full table would block the loop for a second.
	purgeWorkPerTurn = 50_000
	purgesPerTurn    = 256
	learnedPurgeWork = 5_000 // the work, in comparisons, of a purge of learned state, which reads a file
	// maxRememberedPurges is the number of purges whose result is remembered, also after a restart, so that a repeated
	// purge gets the same answer. Older purges are answered with nothing found. A record has at most 40 bytes.
	maxRememberedPurges = 256
)

// purgeState is the part of a Sender that holds purges. The loop owns it, except for durableSeq.
type purgeState struct {
	waiting     []purgeOrder
	durableSeq  atomic.Uint64  // highest Seq on disk; written by the loop, read by any goroutine
	appliedSeq  uint64         // highest Seq applied
	lastApplied []appliedPurge // the last maxRememberedPurges applied purges, in the order of Seq
}

// purgeOrder is one call of Orders.Purge.
type purgeOrder struct {
	all   []withdrawal.Order
	found []clusterapi.PurgeResult // results of the purges applied so far, in the order of all
	done  func(uint64, []clusterapi.PurgeResult)
}

// complete reports whether all purges of the order are applied.
func (o *purgeOrder) complete() bool { return len(o.found) == len(o.all) }

// appliedPurge is the remembered result of an applied purge.
type appliedPurge struct {
	seq   uint64
	found clusterapi.PurgeResult
}

// purge queues the purges of an order that arrived at the time at. The next turns apply them.
func (s *Sender) purge(all []clusterapi.Purge, at choice.Time, done func(uint64, []clusterapi.PurgeResult)) {
	o := purgeOrder{done: done}
	for _, p := range all {
		o.all = append(o.all, withdrawal.NewOrder(p, at))
	}
	s.purgeState.waiting = append(s.purgeState.waiting, o)
}

// applyPurges applies waiting purges up to this turn's limits of work and records.
func (s *Sender) applyPurges() {
	work := 0
	for len(s.purgeState.waiting) > 0 && work < purgeWorkPerTurn {
		o := &s.purgeState.waiting[0]
		var err error
		if work, err = s.applyPurgeOrder(o, work); err != nil {
			s.after(journalRetryPause, func() {}) // the timer only causes a turn, which calls applyPurges again
			return
		}
		if !o.complete() {
			s.eventsPending = true
			return
		}
		done, found := o.done, o.found
		s.purgeState.waiting = slices.Delete(s.purgeState.waiting, 0, 1)
		s.afterAppend(func() {
			s.durableSeq.Store(s.appliedSeq)
			done(s.appliedSeq, found)
		})
	}
	s.eventsPending = s.eventsPending || len(s.purgeState.waiting) > 0
}

// applyPurgeOrder applies purges of an order until it is complete or reaches a limit of the turn. work is the work done in
// this turn before the call; the result includes it.
func (s *Sender) applyPurgeOrder(o *purgeOrder, work int) (int, error) {
	for records := 0; !o.complete() && work < purgeWorkPerTurn && records < purgesPerTurn; records++ {
		order := &o.all[len(o.found)]
		f, err := s.applyOnce(order)
		if err != nil {
			s.log.Error("cannot apply a purge yet; it is tried again after a pause", zap.Uint64("seq", order.Seq), zap.Error(err))
			return work, err
		}
		o.found = append(o.found, f)
		work += 1 + len(s.accepted) + len(s.admitted)
		if order.LearnedState {
			work += learnedPurgeWork
		}
	}
	return work, nil
}

// applyOnce applies a purge and returns its result. A purge that was applied before is not applied again; its result is the
// remembered one, or the zero value if it is no longer remembered.
func (s *Sender) applyOnce(order *withdrawal.Order) (f clusterapi.PurgeResult, err error) {
	if order.Seq <= s.appliedSeq {
		if i := slices.IndexFunc(s.lastApplied, func(p appliedPurge) bool { return p.seq == order.Seq }); i >= 0 {
			f = s.lastApplied[i].found
		}
		return f, nil
	}
	if order.LearnedState {
		if f.LearnedState, err = s.purgeLearned(order); err != nil {
			return f, err
		}
	}
	s.withdrawMatching(order, &f)
	done := appliedPurge{order.Seq, f}
	s.rememberPurge(done)
	s.journal.Add(done.record())
	s.counts.purges++
	level := zap.DebugLevel // a process that was down for a long time applies thousands of purges that match nothing
	if f != (clusterapi.PurgeResult{}) {
		level = zap.InfoLevel
	}
	s.log.Log(level, "purge applied", zap.Uint64("seq", order.Seq), zap.String("id", order.ID), zap.Bool("learnt", order.LearnedState),
		zap.Any("found", f))
	return f, nil
}

// withdrawMatching withdraws the messages that a purge matches, in the order of their acceptance, and counts them in found.
func (s *Sender) withdrawMatching(order *withdrawal.Order, found *clusterapi.PurgeResult) {
	for _, list := range [][]*message{s.accepted, s.admitted} {
		for _, m := range list {
			if order.Matches(m.Destination, m.className, m.key, m.acceptedAt) {
				fate := m.withdrawalState().Fate()
				fate.Add(found)
				s.withdraw(m, fate)
			}
		}
	}
}

// withdrawalState returns the state of a message for a purge. Closed messages stay in admission.accepted for a while; their
// state is Ended, however they ended.
func (m *message) withdrawalState() withdrawal.State {
	switch {
	case m.withdrawn:
		return withdrawal.Withdrawn
	case m.ending.kind != endNone && !m.journaled:
		return withdrawal.Rejected
	case m.ending.kind != endNone:
		return withdrawal.Ended
	case m.inFlight != nil && m.inFlight.link != nil:
		return withdrawal.InFlight
	case m.MayRun:
		return withdrawal.MayRun
	}
	return withdrawal.Waiting
}

// withdraw ends a message, or, with the fate AwaitCallEnd, makes sure that it ends with the call that is in flight.
func (s *Sender) withdraw(m *message, fate withdrawal.Fate) {
	if fate == withdrawal.Untouched || fate == withdrawal.AlreadyEnded {
		return
	}
	m.withdrawn = true
	s.choice.Withdraw(m.ID)
	if fate == withdrawal.AwaitCallEnd {
		s.counts.withdrawnInFlight++
		s.journal.Add(endRecord(m.ID, ending{kind: endFailed}))
		return
	}
	if c := m.inFlight; c != nil { // the call waits for its connection, so nothing was sent
		s.cancelMessage(c, m)
		s.endIfEmpty(c)
	}
	s.endMessage(m, ending{kind: endFailed})
}

// endWithdrawn ends a withdrawn message after its call has ended. how is the result of withdrawal.EndOfHeld.
func (s *Sender) endWithdrawn(m *message, how withdrawal.HeldEnd) {
	if how == withdrawal.AsAnswered {
		s.closeMessage(m)
		return
	}
	s.log.Debug("call of a withdrawn message ended without delivery", zap.String("id", string(m.ID)), zap.Bool("may_have_run", how == withdrawal.AsMayRun))
	s.endMessage(m, ending{kind: endFailed})
}

// endIfEmpty ends a call that waits for its connection if it carries no message any more. A call without timers has not
// begun yet; it ends when it would begin.
func (s *Sender) endIfEmpty(c *call) {
	if len(c.messages) > 0 || len(c.timers) == 0 || c.done {
		return
	}
	c.done = true
	for _, t := range c.timers {
		s.cancelTimer(t)
	}
}

// add adds an applied purge to lastApplied, and drops the oldest beyond maxRememberedPurges. It returns by how many bytes the
// purge records in a rewritten journal have grown.
func (p *purgeState) add(done appliedPurge) (bytes int64) {
	if done.seq <= p.appliedSeq {
		return 0
	}
	p.appliedSeq = done.seq
	if len(p.lastApplied) == maxRememberedPurges {
		bytes -= journal.FramedSize(len(p.lastApplied[0].record()))
		p.lastApplied = slices.Delete(p.lastApplied, 0, 1)
	}
	p.lastApplied = append(p.lastApplied, done)
	return bytes + journal.FramedSize(len(done.record()))
}

// rememberPurge remembers an applied purge and updates liveBytes.
func (s *Sender) rememberPurge(done appliedPurge) { s.liveBytes += s.purgeState.add(done) }

// record returns the purge's journal record.
func (p appliedPurge) record() []byte {
	out := binary.AppendUvarint([]byte{recPurge}, p.seq)
	for _, n := range []int{p.found.NotBegun, p.found.MayRun, p.found.Delivered, p.found.LearnedState} {
		out = binary.AppendVarint(out, int64(n))
	}
	return out
}

// readPurged parses a purge's journal record, and reports whether the record is complete.
func readPurged(record []byte) (p appliedPurge, complete bool) {
	seq, used := binary.Uvarint(record[1:])
	if used <= 0 {
		return p, false
	}
	f := recordReader{rest: record[1+used:]}
	p.seq = seq
	for _, n := range []*int{&p.found.NotBegun, &p.found.MayRun, &p.found.Delivered, &p.found.LearnedState} {
		*n = int(f.readNumber())
	}
	return p, !f.invalid
}
