package sender

// This file withdraws: it owns the purges that wait for the loop, those applied last, and what becomes of each message
// that one means. It must never answer a purge before its effect is on disk, apply one twice or out of order, touch
// what was taken on after it, or report as not begun what may have run.
//
// The journal holds one record a purge, beside the usual ones of each message's end, in the append of one turn. A message
// whose call is out has its end (given up) written at once, and told when the call is over: delivered where the answer
// says so, else given up. A process that is killed in between gives it up at its next start and never sends it again.
// Where no time is left for the call's answer, its time-out or the message's deadline ends the wait.

import (
	"encoding/binary"
	"slices"
	"sync/atomic"

	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/journal"
	"flaxcove/internal/sender/together"
	"flaxcove/internal/sender/withdrawal"
)

const (
	// Work of a turn is bounded, or ten thousand purges over a full table would hold up the loop for a second:
	// comparisons, of some 10 ns each, and records.
	purgeWorkPerTurn = 50_000
	purgesPerTurn    = 256
	learnedPurgeWork = 5_000 // one that has a file read
	// So many are answered again as they were, through a restart too; older ones with nothing found. A record is 40
	// bytes at most.
	maxRememberedPurges = 256
)

type purgeState struct {
	waiting []purgeOrder
	applied atomic.Uint64  // the highest Seq on disk; the loop alone writes it
	seq     uint64         // the highest one applied
	past    []appliedPurge // the last ones, by Seq
}

// purgeOrder is one call of Orders.Purge, of which some are applied.
type purgeOrder struct {
	all   []withdrawal.Order
	found []together.Found
	done  func(uint64, []together.Found)
}

type appliedPurge struct {
	seq   uint64
	found together.Found
}

// purge puts purges in the loop's way.
func (s *Sender) purge(all []together.Purge, at choice.Time, done func(uint64, []together.Found)) {
	o := purgeOrder{done: done}
	for _, p := range all {
		o.all = append(o.all, withdrawal.Since(p, at))
	}
	s.purgeState.waiting = append(s.purgeState.waiting, o)
}

// applyPurges goes on with what waits, as far as this turn's work allows.
func (s *Sender) applyPurges() {
	work := 0
	for len(s.purgeState.waiting) > 0 && work < purgeWorkPerTurn {
		o := &s.purgeState.waiting[0]
		for records := 0; len(o.found) < len(o.all) && work < purgeWorkPerTurn && records < purgesPerTurn; records++ {
			w := &o.all[len(o.found)]
			f, err := s.applyOnce(w)
			if err != nil {
				s.log.Error("purge not applied yet", zap.Uint64("seq", w.Seq), zap.Error(err))
				s.after(journalRetryPause, func() {})
				return
			}
			o.found = append(o.found, f)
			work += 1 + len(s.accepted) + len(s.admitted)
			if w.Learnt {
				work += learnedPurgeWork
			}
		}
		if len(o.found) < len(o.all) {
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

// applyOnce applies a purge, unless that was done: then it is answered as it was.
func (s *Sender) applyOnce(w *withdrawal.Order) (f together.Found, err error) {
	if w.Seq <= s.seq {
		if i := slices.IndexFunc(s.past, func(p appliedPurge) bool { return p.seq == w.Seq }); i >= 0 {
			f = s.past[i].found
		}
		return f, nil
	}
	if w.Learnt {
		if f.Learnt, err = s.purgeLearned(w); err != nil {
			return f, err
		}
	}
	for _, list := range [][]*message{s.accepted, s.admitted} { // lists, as a map has no order
		for _, n := range list {
			if w.Takes(n.Destination, n.className, n.key, n.acceptedAt) {
				fate := n.purgeState().Fate()
				fate.Add(&f)
				s.withdraw(n, fate)
			}
		}
	}
	s.rememberPurge(appliedPurge{w.Seq, f})
	s.journal.Add(s.past[len(s.past)-1].record())
	s.counts.purges++
	level := zap.DebugLevel // a process that was away for long applies thousands
	if f != (together.Found{}) {
		level = zap.InfoLevel
	}
	s.log.Log(level, "purge", zap.Uint64("seq", w.Seq), zap.String("id", w.ID), zap.Bool("learnt", w.Learnt),
		zap.Any("found", f))
	return f, nil
}

// purgeState is how a message stands. One that is over stays in order until the file is written anew, and is told as Ended
// however it ended.
func (n *message) purgeState() withdrawal.State {
	switch {
	case n.withdrawn:
		return withdrawal.Withdrawn
	case n.ending.kind != endNone && !n.journaled:
		return withdrawal.Refused
	case n.ending.kind != endNone:
		return withdrawal.Ended
	case n.inFlight != nil && n.inFlight.link != nil:
		return withdrawal.Out
	case n.MayRun:
		return withdrawal.MayRun
	}
	return withdrawal.Waiting
}

// withdraw ends a message, or sees to it that it ends with the call that is out.
func (s *Sender) withdraw(n *message, fate withdrawal.Fate) {
	if fate == withdrawal.Untouched || fate == withdrawal.Report {
		return
	}
	n.withdrawn = true
	s.module.Withdrawn(n.ID)
	if fate == withdrawal.Hold {
		s.counts.withdrawnInFlight++
		s.journal.Add(endRecord(n.ID, ending{kind: endFailed}))
		return
	}
	if c := n.inFlight; c != nil { // it waits for its connection: nothing of it has left
		s.cancelMessage(c, n)
		s.endIfEmpty(c)
	}
	s.endMessage(n, ending{kind: endFailed})
}

// endWithdrawn ends a withdrawn message whose call is over.
func (s *Sender) endWithdrawn(n *message, how withdrawal.Back) {
	if how == withdrawal.AsAnswered {
		s.closeMessage(n)
		return
	}
	s.log.Debug("withdrawn while out", zap.String("id", string(n.ID)), zap.Bool("may_have_run", how == withdrawal.AsMayRun))
	s.endMessage(n, ending{kind: endFailed})
}

// endIfEmpty ends a call that waits for its connection once it carries nothing any more. One that has not begun yet ends
// as it would begin.
func (s *Sender) endIfEmpty(c *call) {
	if len(c.messages) > 0 || len(c.timers) == 0 || c.done {
		return
	}
	c.done = true
	for _, t := range c.timers {
		s.cancelTimer(t)
	}
}

// rememberPurge keeps the newest maxRememberedPurges. What a rewriting keeps of them counts against the disk.
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
	for _, n := range []int{p.found.NotBegun, p.found.MayRun, p.found.Delivered, p.found.Learnt} {
		out = binary.AppendVarint(out, int64(n))
	}
	return out
}

func readPurged(record []byte) (p appliedPurge, whole bool) {
	seq, used := binary.Uvarint(record[1:])
	if used <= 0 {
		return p, false
	}
	f := recordReader{rest: record[1+used:]}
	p.seq = seq
	for _, n := range []*int{&p.found.NotBegun, &p.found.MayRun, &p.found.Delivered, &p.found.Learnt} {
		*n = int(f.readNumber())
	}
	return p, !f.invalid
}
