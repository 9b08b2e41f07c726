package sender

// This file implements the graceful shutdown: which work may still begin after the signal, and when the process may end.
// Messages that are pending at the end stay in the journal.

import (
	"strings"
	"time"

	"go.uber.org/zap"
)

// These are the steps of a graceful shutdown, as times since the signal. A planned restart leaves 3.7 s until the kill. New
// calls stop early, so that calls in flight can end before the process does: a call that is cut off may have run, and a
// message that must not run twice is lost with it.
const (
	drainAcceptTime = 500 * time.Millisecond  // the process ends no earlier, and a new client has this long to send its first command
	drainSendTime   = 2500 * time.Millisecond // until then calls begin and messages are accepted
	drainReadTime   = 3100 * time.Millisecond // until then busy clients are waited for; then only input already read is answered
	drainEndTime    = 3300 * time.Millisecond // from then on no input is accepted, and the process ends with its last client
	drainHardEnd    = 3500 * time.Millisecond // the process ends
)

// Drain starts a graceful shutdown now. Run returns when it is over.
func (s *Sender) Drain() { s.DrainSince(time.Now()) }

// DrainSince starts a graceful shutdown whose steps count from signal, the time at which the process received the signal.
// The kill comes a fixed time after the signal, even if the start of the process took long or the loop is busy writing the
// journal.
func (s *Sender) DrainSince(signal time.Time) {
	at := signal.Sub(s.start)
	s.post(func() { s.startDrain(at) })
}

// sinceDrain returns the time since the signal.
func (s *Sender) sinceDrain() time.Duration { return s.clock() - s.drainSince }

// startDrain starts the graceful shutdown for a signal received at the time at on the sender's clock. A second signal has no
// effect.
func (s *Sender) startDrain(at time.Duration) {
	if s.draining {
		return
	}
	s.draining, s.drainSince = true, at
	s.log.Info("graceful shutdown started", zap.Int("owed", len(s.pending)))
	s.closeIdleClients()
	for _, step := range []time.Duration{drainAcceptTime, drainReadTime, drainEndTime, drainHardEnd} {
		s.after(step-s.sinceDrain(), func() {}) // the timer only causes a turn, in which checkDrain runs
	}
}

// checkDrain closes clients and ends the loop as the steps of the graceful shutdown require. It does nothing before a
// graceful shutdown.
func (s *Sender) checkDrain() {
	if !s.draining {
		return
	}
	since := s.sinceDrain()
	if since >= drainEndTime {
		s.clients.ignoreAllInput()
	}
	s.closeIdleClients()
	if since >= drainHardEnd {
		// The end of the process resets connections that have unread input, so the sending side is shut down first.
		s.clients.halfCloseAll(s.clock())
		s.ended = true
		return
	}
	mayEnd := since >= drainEndTime || since >= drainAcceptTime && len(s.pending) == 0
	if mayEnd && s.clients.stopIfEmpty() {
		s.ended = true
	}
}

// shutDown stops everything that belongs to the loop: watches, gossip, learned state and the journal. Pending messages stay
// in the journal.
func (s *Sender) shutDown() {
	close(s.stop)
	s.endWatches(len(s.watches))
	s.stopGossip()
	s.saveLearned()
	if _, err := s.writeOutages(); err != nil {
		s.log.Error("cannot record outages", zap.Error(err))
	}
	if err := s.journal.Close(); err != nil {
		s.log.Error("cannot close the journal", zap.Error(err))
	}
	s.log.Info("graceful shutdown ended", zap.Int("owed", len(s.pending)), zap.String("counters", strings.Join(s.Counters(), " ")))
}

// pastSendTime reports whether a graceful shutdown has passed drainSendTime, so that no call may begin.
func (s *Sender) pastSendTime() bool { return s.draining && s.sinceDrain() >= drainSendTime }
