package sender

// This file owns the graceful shutdown: what is still begun after the signal, and when the process may end. Messages that
// are pending by then stay in the journal.

import (
	"strings"
	"time"

	"go.uber.org/zap"
)

// The steps of a graceful shutdown, from the signal. A planned restart leaves 3.7 s until the kill. New calls stop early,
// so that those in flight can end before the process does: one that is cut off may have run, and a message that must not
// run twice is lost with it.
const (
	drainAcceptTime = 500 * time.Millisecond  // clients still connect, and their messages are accepted
	drainSendTime   = 2500 * time.Millisecond // calls still begin
	drainReadTime   = 3100 * time.Millisecond // clients are waited for; then only what was read is answered
	drainEndTime    = 3300 * time.Millisecond // nothing is accepted any more, and the process ends with its last client
	drainHardEnd    = 3500 * time.Millisecond // the process ends
)

// Drain begins a graceful shutdown; Run returns when it is over.
func (s *Sender) Drain() { s.DrainSince(time.Now()) }

// DrainSince is Drain for a signal that came before now: the kill comes at a time that counts from the signal, however
// long the start took or the loop, which may be writing the journal.
func (s *Sender) DrainSince(signal time.Time) {
	at := signal.Sub(s.start)
	s.post(func() { s.startDrain(at) })
}

// sinceDrain is the time since the signal.
func (s *Sender) sinceDrain() time.Duration { return s.clock() - s.drainSince }

func (s *Sender) startDrain(at time.Duration) {
	if s.draining {
		return
	}
	s.draining, s.drainSince = true, at
	s.log.Info("draining", zap.Int("owed", len(s.pending)))
	s.closeIdleClients()
	for _, step := range []time.Duration{drainAcceptTime, drainReadTime, drainEndTime, drainHardEnd} {
		s.after(step-s.sinceDrain(), func() {}) // checkDrain runs in its turn
	}
}

// checkDrain closes clients, and ends the loop when it is time.
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
		// The process's end resets each connection with unread input, so our sending ends before.
		s.clients.halfCloseAll(s.clock())
		s.ended = true
		return
	}
	mayEnd := since >= drainEndTime || since >= drainAcceptTime && len(s.pending) == 0
	if mayEnd && s.clients.stopIfEmpty() {
		s.ended = true
	}
}

// shutDown ends what belongs to the loop; what is pending stays in the journal.
func (s *Sender) shutDown() {
	close(s.stop)
	s.endWatches(len(s.watches))
	s.stopGossip()
	s.saveLearned()
	if err := s.journal.Close(); err != nil {
		s.log.Error("journal", zap.Error(err))
	}
	s.log.Info("ended", zap.Int("owed", len(s.pending)), zap.String("counters", strings.Join(s.Counters(), " ")))
}

// pastSendTime reports whether it is too late in a graceful shutdown to begin a call.
func (s *Sender) pastSendTime() bool { return s.draining && s.sinceDrain() >= drainSendTime }
