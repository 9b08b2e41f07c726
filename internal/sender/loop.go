package sender

// This file owns the loop and its turns.

import (
	"container/heap"
	"time"

	"flaxcove/internal/config"
)

// journalRetryPause lies between two turns while the journal cannot be written.
const journalRetryPause = 20 * time.Millisecond

// post hands a function to the loop. It may be called from any goroutine but the loop's own, and may wait for the loop.
func (s *Sender) post(f func()) {
	select {
	case s.inbox <- f:
	case <-s.stop:
	}
}

// Run is the loop. It returns at the end of a graceful shutdown.
func (s *Sender) Run() {
	wake := time.NewTimer(0)
	for !s.ended {
		wake.Reset(s.sleepUntil() - s.sinceStart())
		select {
		case f := <-s.inbox:
			f()
			s.eventsPending = true
			s.runQueued()
		case <-wake.C:
			s.wakeups++
		}
		now := s.sinceStart()
		if now >= s.nextTurn() && (s.eventsPending || now >= s.timers.next()) {
			s.turn()
		}
	}
	s.shutDown()
}

// sleepUntil is when the loop has something to do unless more comes in. It is never before the next turn: a timer that is
// due by then would wake the loop again and again with nothing to do, which takes up the sender's core.
func (s *Sender) sleepUntil() time.Duration {
	if s.eventsPending {
		return s.nextTurn()
	}
	return max(s.timers.next(), s.nextTurn())
}

// runQueued handles what else is in the inbox, but nothing that comes meanwhile, or timers would starve.
func (s *Sender) runQueued() {
	for range len(s.inbox) {
		(<-s.inbox)()
	}
}

func (s *Sender) sinceStart() time.Duration { return s.clock() }

// nextTurn is the earliest time of the next turn.
func (s *Sender) nextTurn() time.Duration {
	gap := time.Duration(config.Nanoseconds(s.cfg.Settings.TurnInterval))
	if s.journalFailing {
		gap = journalRetryPause
	}
	return s.lastTurn + gap
}

// turn completes what has come in: package choice decides, one append makes it durable, and only then is anything sent.
func (s *Sender) turn() {
	s.lastTurn, s.eventsPending = s.sinceStart(), false
	s.turns++
	for s.timers.next() <= s.sinceStart() {
		t := heap.Pop(&s.timers).(*timer)
		t.fire()
	}
	s.readCluster()
	if !s.pastSendTime() && !s.journalFailing && !s.gated {
		s.choice.TurnEnd()
	}
	s.journalFailing = !s.commit()
	if s.journalFailing {
		s.eventsPending = true
	} else {
		s.answerAdmitted()
		s.answerOrders()
	}
	s.postEndings()
	if !s.journalFailing {
		s.startCalls() // after postEndings: what ends as its call begins is on record only with the next turn
	}
	s.checkDrain()
}
