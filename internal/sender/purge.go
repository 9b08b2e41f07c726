package sender

// This file applies purges, which withdraw messages: it owns those that wait for the loop, the last ones applied, and what
// becomes of each message that one matches. No purge is answered before its effect is on disk, applied twice or out of
// order, touches what was accepted after it, or reports a message as not begun that may have run.
//
// The journal holds one record a purge, beside the usual ones of each message's end, in the append of one turn. A message
// whose call is in flight has its end (failed) recorded at once and reported when the call is over: delivered where the
// answer says so, else failed. A process that is killed in between reports it failed at its next start and never sends it
// again. Where no time is left for the call's answer, its time-out or the message's deadline ends the wait.

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
	// The work of a turn is bounded, or ten thousand purges over a full table would block the loop for a second:
	// comparisons, of some 10 ns each, and records.
	purgeWorkPerTurn = 50_000
	purgesPerTurn    = 256
	learnedPurgeWork = 5_000 // of a purge of learned state, which reads a file
	// maxRememberedPurges bounds the purges that are answered again as they were, after a restart too; older ones are
	// answered with nothing found. A record has 40 bytes at most.
	maxRememberedPurges = 256
)

// purgeState is the part of a Sender that holds purges.
type purgeState struct {
	waiting []purgeOrder
	applied atomic.Uint64  // the highest Seq on disk; only the loop writes it
	seq     uint64         // the highest Seq applied
	past    []appliedPurge // the last ones, by Seq
}

// purgeOrder is one call of Orders.Purge.
type purgeOrder struct {
	all   []withdrawal.Order
	found []clusterapi.Found // of those that are applied
	done  func(uint64, []clusterapi.Found)
}

func (o *purgeOrder) complete() bool { return len(o.found) == len(o.all) }

// appliedPurge is what is remembered of a purge.
type appliedPurge struct {
	seq   uint64
	found clusterapi.Found
}

// purge queues purges for the next turns.
func (s *Sender) purge(all []clusterapi.Purge, at choice.Time, done func(uint64, []clusterapi.Found)) {
	o := purgeOrder{done: done}
	for _, p := range all {
		o.all = append(o.all, withdrawal.Since(p, at))
	}
	s.purgeState.waiting = append(s.purgeState.waiting, o)
}

// applyPurges goes on with the waiting purges, as far as this turn's work allows.
func (s *Sender) applyPurges() {
	work := 0
	for len(s.purgeState.waiting) > 0 && work < purgeWorkPerTurn {
		o := &s.purgeState.waiting[0]
		var err error
		if work, err = s.applySome(o, work); err != nil {
			s.after(journalRetryPause, func() {}) // readCluster runs in its turn
			return
		}
		if !o.complete() {
			s.eventsPending = true
			return
		}
		done, found := o.done, o.found
		s.purgeState.waiting = slices.Delete(s.purgeState.waiting, 0, 1)
		s.afterAppend(func() {
			s.applied.Store(s.seq)
			done(s.seq, found)
		})
	}
	s.eventsPending = s.eventsPending || len(s.purgeState.waiting) > 0
}

// applySome applies purges of an order until it is complete, or the work or the records of the turn are at their bound. It
// returns the work so far, including what was done before.
func (s *Sender) applySome(o *purgeOrder, work int) (int, error) {
	for records := 0; !o.complete() && work < purgeWorkPerTurn && records < purgesPerTurn; records++ {
		order := &o.all[len(o.found)]
		f, err := s.applyOnce(order)
		if err != nil {
			s.log.Error("purge not applied yet", zap.Uint64("seq", order.Seq), zap.Error(err))
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

// applyOnce applies a purge, unless that was done: then it is answered as it was.
func (s *Sender) applyOnce(order *withdrawal.Order) (f clusterapi.Found, err error) {
	if order.Seq <= s.seq {
		if i := slices.IndexFunc(s.past, func(p appliedPurge) bool { return p.seq == order.Seq }); i >= 0 {
			f = s.past[i].found
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
	level := zap.DebugLevel // a process that was away for long applies thousands
	if f != (clusterapi.Found{}) {
		level = zap.InfoLevel
	}
	s.log.Log(level, "purge", zap.Uint64("seq", order.Seq), zap.String("id", order.ID), zap.Bool("learnt", order.LearnedState),
		zap.Any("found", f))
	return f, nil
}

// withdrawMatching withdraws the messages that a purge matches, in the order they were accepted.
func (s *Sender) withdrawMatching(order *withdrawal.Order, found *clusterapi.Found) {
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

// withdrawalState is the state of a message as a purge meets it. A closed one stays in admission.accepted for a while, and
// counts as Ended however it ended.
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

// withdraw ends a message, or makes sure that it ends with the call that is in flight.
func (s *Sender) withdraw(m *message, fate withdrawal.Fate) {
	if fate == withdrawal.Untouched || fate == withdrawal.Report {
		return
	}
	m.withdrawn = true
	s.choice.Withdrawn(m.ID)
	if fate == withdrawal.Hold {
		s.counts.withdrawnInFlight++
		s.journal.Add(endRecord(m.ID, ending{kind: endFailed}))
		return
	}
	if c := m.inFlight; c != nil { // it waits for its connection: nothing was sent
		s.cancelMessage(c, m)
		s.endIfEmpty(c)
	}
	s.endMessage(m, ending{kind: endFailed})
}

// endWithdrawn ends a withdrawn message whose call has ended.
func (s *Sender) endWithdrawn(m *message, how withdrawal.CallEnd) {
	if how == withdrawal.AsAnswered {
		s.closeMessage(m)
		return
	}
	s.log.Debug("withdrawn while in flight", zap.String("id", string(m.ID)), zap.Bool("may_have_run", how == withdrawal.AsMayRun))
	s.endMessage(m, ending{kind: endFailed})
}

// endIfEmpty ends a call that waits for its connection when it carries no message any more. One that has no timers has not
// begun yet, and ends as it would begin.
func (s *Sender) endIfEmpty(c *call) {
	if len(c.messages) > 0 || len(c.timers) == 0 || c.done {
		return
	}
	c.done = true
	for _, t := range c.timers {
		s.cancelTimer(t)
	}
}

// remember keeps the newest purges, and returns by how many bytes the records that a rewriting keeps have grown.
func (p *purgeState) remember(done appliedPurge) (bytes int64) {
	if done.seq <= p.seq {
		return 0
	}
	p.seq = done.seq
	if len(p.past) == maxRememberedPurges {
		bytes -= journal.Framed(len(p.past[0].record()))
		p.past = slices.Delete(p.past, 0, 1)
	}
	p.past = append(p.past, done)
	return bytes + journal.Framed(len(done.record()))
}

func (s *Sender) rememberPurge(done appliedPurge) { s.liveBytes += s.purgeState.remember(done) }

func (p appliedPurge) record() []byte {
	out := binary.AppendUvarint([]byte{recPurge}, p.seq)
	for _, n := range []int{p.found.NotBegun, p.found.MayRun, p.found.Delivered, p.found.LearnedState} {
		out = binary.AppendVarint(out, int64(n))
	}
	return out
}

// readPurged reads a record of a purge, and reports whether it is complete.
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
