package sender

// This file implements the loop and its turns.

import (
	"container/heap"
	"time"

	"flaxcove/internal/config"
)

// journalRetryPause is the time between two turns while the journal cannot be written.
const journalRetryPause = 20 * time.Millisecond

// post queues f for the loop and blocks while the queue is full. It drops f once the sender has stopped. It may be called
// from any goroutine except the loop, which would deadlock on a full queue.
func (s *Sender) post(f func()) {
	select {
	case s.inbox <- f:
	case <-s.stop:
	}
}

// Run runs the loop. It returns at the end of a graceful shutdown.
func (s *Sender) Run() {
	wake := time.NewTimer(0)
	for !s.ended {
		wake.Reset(s.sleepUntil() - s.sinceStart())
		select {
		case f := <-s.inbox:
			f()
			s.eventsPending = true
			s.runQueued()
		case <-s.ready.wake:
			s.serveReady()
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

// sleepUntil returns the time until which the loop sleeps if there is no input. It is never before the next turn: a timer
// that is due earlier would wake the loop again and again with nothing to do, which takes up a whole core.
func (s *Sender) sleepUntil() time.Duration {
	if s.eventsPending {
		return s.nextTurn()
	}
	return max(s.timers.next(), s.nextTurn())
}

// runQueued handles the events that are queued now. Events that are posted meanwhile wait, or timers would starve.
func (s *Sender) runQueued() {
	for range len(s.inbox) {
		(<-s.inbox)()
	}
}

// sinceStart returns the time since the start, by the monotonic clock.
func (s *Sender) sinceStart() time.Duration { return s.clock() }

// nextTurn returns the earliest time of the next turn.
func (s *Sender) nextTurn() time.Duration {
	gap := time.Duration(config.Nanoseconds(s.cfg.Settings.TurnInterval))
	if s.journalFailing {
		gap = journalRetryPause
	}
	return s.lastTurn + gap
}

// turn fires the timers that are due, lets package choice decide, makes the decisions durable with one append, and only
// then sends answers, reports and calls.
func (s *Sender) turn() {
	s.lastTurn, s.eventsPending = s.sinceStart(), false
	s.turns++
	for s.timers.next() <= s.sinceStart() {
		t := heap.Pop(&s.timers).(*timer)
		t.fire()
	}
	s.readCluster()
	s.withdrawAbandoned()
	if !s.pastSendTime() && !s.journalFailing && !s.gated && !s.listAwaited {
		s.choice.TurnEnd()
	}
	s.recordOutages()
	s.journalFailing = !s.commit()
	if s.journalFailing {
		s.eventsPending = true
	} else {
		s.answerAdmitted()
		s.answerOrders()
	}
	s.postEndings()
	if !s.journalFailing {
		s.startCalls() // after postEndings: a message that ends here is on record only after the next turn
	}
	s.checkDrain()
}
