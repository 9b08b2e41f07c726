package sender

// This file admits: it owns the table of what is owed, what a turn writes of it, and the answers that wait for that.
// It must never answer +OK before the record is written, never write two records for one id, never take on again
// what has ended: once taken on, only book.go may end a message.

import (
	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/journal"
	"flaxcove/internal/resp"
)

const (
	// The file is rewritten before it fills rewriteThreshold of the disk, into one that holds what is owed, which may
	// take maxLiveShare; while both exist both count. The gap between the two keeps rewritings rare.
	rewriteThreshold = 0.58
	maxLiveShare     = 0.38
	laterRecordBytes = 3 * (maxID + 64) // bytes of the later records of one message, at most
	// An id handed in once more after its message has ended must not make a single-use one run again. So many are
	// remembered; at three times the usual rate that is longer than a message may be held.
	maxRememberedEnded = 8192
	maxEndedInOrder    = 1024 // ended ones left among those in order, but for as many as are owed
)

// message is one that was handed in and has not ended. It leaves Sender.owed when nothing more is owed for it.
type message struct {
	choice.Message
	key string // by which order is kept; in a bulk call it stands where no idempotency key was told
	// Both as the client told them. Endpoints know a repeat by the first, whatever id it came under.
	idempotencyKey, tenant string
	className              string
	body                   []byte
	reply                  *reply // nil once the client has its answer
	journaled              bool   // its record is written, or waits in the batch
	attempts               int    // attempts of this process
	inFlight               *call
	acceptedAt             choice.Time // by the wall clock of its process; 0 where an older record does not tell
	attemptOnRecord        bool        // an attempt that may have run is on record
	ranInZoneName          string      // the zone's name, where an attempt may have run: numbers are the settings', and may change
	ending                 ending
	// withdrawn tells that a purge meant it. Where its call is out, its ending is on record, but waits for the answer.
	withdrawn bool
	size      int64
}

type admission struct {
	journal        *journal.Journal
	pending        map[choice.MessageID]*message
	accepted       []*message  // those owed in the order taken on, with ended ones among them until a rewriting
	admitted       []*message  // of this turn
	liveBytes      int64       // bytes that a rewriting would keep, at most
	reservedBytes  int64       // what this turn's messages will add to that
	latestRecorded choice.Time // that a record tells, while the start reads them
	zoneUnnamed    []*message  // whose record tells a zone by number alone, until the start has written their names

	recentlyEnded map[choice.MessageID]struct{} // taken on and over; the oldest leaves for the newest
	endedRing     []choice.MessageID            // in a ring
	endedNext     int
}

func (a *admission) rememberEnded(id choice.MessageID) {
	if _, known := a.recentlyEnded[id]; known {
		return
	}
	if len(a.endedRing) < maxRememberedEnded {
		a.endedRing = append(a.endedRing, id)
	} else {
		delete(a.recentlyEnded, a.endedRing[a.endedNext])
		a.endedRing[a.endedNext] = id
		a.endedNext = (a.endedNext + 1) % maxRememberedEnded
	}
	a.recentlyEnded[id] = struct{}{}
}

// told is a message as the module takes it.
func (n *message) told() choice.Message { return n.Message }

// hasJournalCapacity tells whether the journal can hold one more message together with its later records. What came in the same turn
// counts: a burst that passes the limit all at once could not be written at all, and nobody would have an answer.
func (s *Sender) hasJournalCapacity(n *message) bool {
	return s.liveBytes+s.reservedBytes+n.size+laterRecordBytes <= int64(maxLiveShare*float64(s.journal.Limit()))
}

// admit lays a message up for the turn's end. Its client waits until then.
func (s *Sender) admit(n *message) {
	s.pending[n.ID] = n
	s.admitted = append(s.admitted, n)
	s.reservedBytes += n.size + laterRecordBytes
}

// commit writes what the turn must not forget. It tells whether anything may leave.
func (s *Sender) commit() bool {
	for _, n := range s.admitted {
		if n.reply != nil && !n.journaled {
			n.journaled = true
			s.journal.Add(n.acceptedRecord())
			s.trackAccepted(n)
		}
	}
	s.reservedBytes = 0
	for _, c := range s.starting {
		if len(c.endpoint.idle) > 0 {
			s.recordAttempt(c)
		}
	}
	for _, a := range s.connected {
		s.recordAttempt(a.call)
	}
	if len(s.accepted) > 2*len(s.pending)+maxEndedInOrder {
		// On a large disk a rewriting may be long in coming.
		s.accepted = withoutEnded(s.accepted)
	}
	var err error
	if s.journal.Size() > int64(rewriteThreshold*float64(s.journal.Limit())) {
		s.accepted = withoutEnded(s.accepted)
		s.counts.rewritings++
		err = s.journal.Rewrite(func(add func([]byte)) {
			s.records(add)
		})
	} else {
		err = s.journal.Flush()
	}
	if err != nil {
		s.log.Error("journal", zap.Error(err))
	}
	return err == nil
}

// recordAttempt lays up that a call may have run.
func (s *Sender) recordAttempt(c *call) {
	c.recorded = true
	for _, n := range c.messages {
		if s.limitsRepeat(n) && !n.attemptOnRecord && n.inFlight == c {
			n.attemptOnRecord = true
			s.journal.Add(attemptRecord(n.ID, c.beganAt, c.endpoint.zone, c.endpoint.zoneName))
		}
	}
}

func (s *Sender) trackAccepted(n *message) {
	s.accepted = append(s.accepted, n)
	s.liveBytes += n.size + laterRecordBytes
}

func withoutEnded(order []*message) []*message {
	open := order[:0]
	for _, n := range order {
		if n.ending.kind != endClosed {
			open = append(open, n)
		}
	}
	clear(order[len(open):])
	return open
}

// limitsRepeat tells whether an attempt forbids or limits another one, or holds up the next of its key.
func (s *Sender) limitsRepeat(n *message) bool {
	w := &s.cfg.Settings.Classes[n.Class]
	return w.Repeat != choice.Idempotent || w.ByArrival && n.Key != choice.NoKey
}

// answerAdmitted tells the clients whose messages are lasting now.
func (s *Sender) answerAdmitted() {
	for _, n := range s.admitted {
		if n.reply != nil {
			s.counts.accepted++
			s.countSubmission(n)
			r := n.reply
			n.reply = nil
			s.setReply(r, resp.AppendSimple(nil, "OK"))
		}
	}
	clear(s.admitted)
	s.admitted = s.admitted[:0]
}
