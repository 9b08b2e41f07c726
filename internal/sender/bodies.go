package sender

// This file bounds the memory of accepted messages. It owns what each message holds of the memory budget, and decides which
// bodies are in memory and which only in the journal. A body leaves memory only once its record is written.

import (
	"bytes"
	"slices"
)

// storedBody is the place of a message's body in the journal's file.
type storedBody struct {
	at   int64 // position in bytes; 0 if the record is not in the file
	size int   // bytes
}

// bodySize returns the size of a message's body in bytes.
func (m *message) bodySize() int {
	if m.body != nil {
		return len(m.body)
	}
	return m.stored.size
}

// memory returns the memory in bytes that a message takes without its body. The fields it counts never change.
func (m *message) memory() int64 {
	return messageOverhead + int64(len(m.ID)+len(m.key)+len(m.idempotencyKey)+len(m.className)+len(m.tenant))
}

// takeMessage takes memory for a message that is about to be accepted, and reports whether there is room for it.
func (s *Sender) takeMessage(m *message) bool {
	if !s.holders.messages.TakeSpare(m.memory()) {
		return false
	}
	if !s.holders.bodies.TakeSpare(m.size) { // the body, and the little that its record takes besides
		s.holders.messages.Release(m.memory())
		return false
	}
	m.accounted, m.charged = true, m.size
	m.body = bytes.Clone(m.body) // it was a part of the command, and kept all of that in memory
	return true
}

// addMessageMemory counts the memory of a message that an earlier process has accepted.
func (s *Sender) addMessageMemory(m *message) {
	s.holders.messages.Add(m.memory())
	m.accounted = true
}

// releaseMessage releases what a message holds besides its body.
func (s *Sender) releaseMessage(m *message) {
	s.disown(m)
	if m.accounted {
		s.holders.messages.Release(m.memory())
		m.accounted = false
	}
}

// dropBody drops a message's body from memory.
func (s *Sender) dropBody(m *message) {
	m.stored.size = m.bodySize()
	m.body = nil
	s.holders.bodies.Release(m.charged)
	m.charged = 0
}

// keepOrDropBody drops the body of a message whose record is written, unless memory has room for it.
func (s *Sender) keepOrDropBody(m *message) {
	if m.stored.at > 0 && s.holders.bodies.Held() > s.holders.bodies.Limit()/keptBodiesDivisor {
		s.dropBody(m)
	}
}

// loadBody returns a message's body, which it reads from the journal if it is not in memory.
func (s *Sender) loadBody(m *message) ([]byte, error) {
	if m.body != nil || m.stored.size == 0 {
		return m.body, nil
	}
	body := make([]byte, m.stored.size)
	return body, s.journal.ReadAt(body, m.stored.at)
}

// addAccepted adds a message's accepted record to the journal.
func (s *Sender) addAccepted(m *message) {
	at := s.journal.Add(m.acceptedRecord())
	m.stored = storedBody{at: at + int64(len(m.acceptedHead())), size: len(m.body)}
}

// rewriteJournal replaces the journal's file by one that holds the pending messages, the last purges and which messages have ended.
func (s *Sender) rewriteJournal() error {
	bodiesAt := make([]int64, 0, len(s.accepted))
	err := s.journal.Rewrite(func(add func([]byte) int64) error {
		for _, m := range s.accepted {
			at, err := s.rewriteMessage(m, add)
			if err != nil {
				return err
			}
			bodiesAt = append(bodiesAt, at)
		}
		for _, p := range s.lastApplied {
			add(p.record())
		}
		s.recentlyEnded.records(s.journal.Limit()/endedJournalDivisor, add)
		return nil
	})
	if err != nil {
		return err
	}
	for i, m := range s.accepted {
		m.stored.at = bodiesAt[i]
	}
	return nil
}

// rewriteMessage passes to add the records of a message, and returns the position of its body.
func (s *Sender) rewriteMessage(m *message, add func([]byte) int64) (bodyAt int64, err error) {
	body, err := s.loadBody(m)
	if err != nil {
		return 0, err
	}
	head := m.acceptedHead()
	at := add(slices.Concat(head, body, m.acceptedTail()))
	m.laterRecords(add)
	return at + int64(len(head)), nil
}
