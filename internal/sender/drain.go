package sender

// This file owns the planned end: what still begins after the signal, and when the process may go. What is owed by then
// stays in the journal.

import (
	"strings"
	"time"

	"go.uber.org/zap"
)

const (
	// A planned restart leaves 3.7 s from the signal to the kill. New calls stop early, so that those out, of
	// which a single-use one that is cut off is lost, can end before the process does.
	drainAcceptTime = 500 * time.Millisecond // clients still come by new connections
	drainSendTime   = 2500 * time.Millisecond
	drainReadTime   = 3100 * time.Millisecond // what has been read is still answered, but nobody is waited for who may send more
	drainEndTime    = 3300 * time.Millisecond // nothing more is taken on, and the process ends as its last client has
	drainKillMargin = 3500 * time.Millisecond
)

// Drain begins a planned end; Run returns when it is over.
func (s *Sender) Drain() { s.DrainSince(time.Now()) }

// DrainSince is for a signal that came before now: the kill comes at a time that counts from it, whatever the start or
// the loop, which may be writing the journal, had to do meanwhile.
func (s *Sender) DrainSince(signal time.Time) {
	at := signal.Sub(s.start)
	s.post(func() { s.startDrain(at) })
}

func (s *Sender) sinceDrain() time.Duration { return s.clock() - s.drainSince }

func (s *Sender) startDrain(at time.Duration) {
	if s.draining {
		return
	}
	s.draining, s.drainSince = true, at
	s.log.Info("draining", zap.Int("owed", len(s.pending)))
	s.closeIdleClients()
	for _, step := range []time.Duration{drainAcceptTime, drainReadTime, drainEndTime, drainKillMargin} {
		s.after(step-s.sinceDrain(), func() {})
	}
}

func (s *Sender) checkDrain() {
	if !s.draining {
		return
	}
	since := s.sinceDrain()
	if since >= drainEndTime {
		s.clients.ignoreAllInput()
	}
	s.closeIdleClients()
	// The process's end resets each connection on which something has come that nobody has read. So clients part before.
	if since >= drainKillMargin {
		s.clients.halfCloseAll(s.clock())
		s.ended = true
	} else if (since >= drainEndTime || since >= drainAcceptTime && len(s.pending) == 0) && s.clients.stopIfEmpty() {
		s.ended = true
	}
}

// shutDown ends the process's part; what is owed stays in the journal.
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

// pastSendTime tells whether a planned end is too near to begin anything.
func (s *Sender) pastSendTime() bool { return s.draining && s.sinceDrain() >= drainSendTime }
