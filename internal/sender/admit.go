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
	// The file is rewritten before it fills fillShare of the disk, into one that holds what is owed, which may
	// take liveShare; while both exist both count. The gap between the two keeps rewritings rare.
	fillShare  = 0.58
	liveShare  = 0.38
	endRecords = 3 * (maxID + 64) // bytes of the later records of one message, at most
	// An id handed in once more after its message has ended must not make a single-use one run again. So many are
	// remembered; at three times the usual rate that is longer than a message may be held.
	mostEnded = 8192
	mostOver  = 1024 // ended ones left among those in order, but for as many as are owed
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
	lasting                bool   // its record is written, or waits in the batch
	tries                  int    // attempts of this process
	out                    *call
	takenAt                choice.Time // by the wall clock of its process; 0 where an older record does not tell
	sure                   bool        // an attempt that may have run is on record
	ranIn                  string      // the zone's name, where an attempt may have run: numbers are the settings', and may change
	ending                 ending
	// withdrawn tells that a purge meant it. Where its call is out, its ending is on record, but waits for the answer.
	withdrawn bool
	size      int64
}

type admission struct {
	journal  *journal.Journal
	owed     map[choice.MessageID]*message
	order    []*message  // those owed in the order taken on, with ended ones among them until a rewriting
	admitted []*message  // of this turn
	live     int64       // bytes that a rewriting would keep, at most
	coming   int64       // what this turn's messages will add to that
	latest   choice.Time // that a record tells, while the start reads them
	unnamed  []*message  // whose record tells a zone by number alone, until the start has written their names

	ended    map[choice.MessageID]struct{} // taken on and over; the oldest leaves for the newest
	endedIDs []choice.MessageID            // in a ring
	endedAt  int
}

func (a *admission) remember(id choice.MessageID) {
	if _, known := a.ended[id]; known {
		return
	}
	if len(a.endedIDs) < mostEnded {
		a.endedIDs = append(a.endedIDs, id)
	} else {
		delete(a.ended, a.endedIDs[a.endedAt])
		a.endedIDs[a.endedAt] = id
		a.endedAt = (a.endedAt + 1) % mostEnded
	}
	a.ended[id] = struct{}{}
}

// told is a message as the module takes it.
func (n *message) told() choice.Message { return n.Message }

// room tells whether the journal can hold one more message together with its later records. What came in the same turn
// counts: a burst that passes the limit all at once could not be written at all, and nobody would have an answer.
func (s *Sender) room(n *message) bool {
	return s.live+s.coming+n.size+endRecords <= int64(liveShare*float64(s.journal.Limit()))
}

// admit lays a message up for the turn's end. Its client waits until then.
func (s *Sender) admit(n *message) {
	s.owed[n.ID] = n
	s.admitted = append(s.admitted, n)
	s.coming += n.size + endRecords
}

// commit writes what the turn must not forget. It tells whether anything may leave.
func (s *Sender) commit() bool {
	for _, n := range s.admitted {
		if n.reply != nil && !n.lasting {
			n.lasting = true
			s.journal.Add(n.record())
			s.keep(n)
		}
	}
	s.coming = 0
	for _, c := range s.starting {
		if len(c.e.idle) > 0 {
			s.recordOut(c)
		}
	}
	for _, a := range s.connected {
		s.recordOut(a.c)
	}
	if len(s.order) > 2*len(s.owed)+mostOver {
		// On a large disk a rewriting may be long in coming.
		s.order = deleteEnded(s.order)
	}
	var err error
	if s.journal.Size() > int64(fillShare*float64(s.journal.Limit())) {
		s.order = deleteEnded(s.order)
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

// recordOut lays up that a call may have run.
func (s *Sender) recordOut(c *call) {
	c.recorded = true
	for _, n := range c.messages {
		if s.limitsRepeat(n) && !n.sure && n.out == c {
			n.sure = true
			s.journal.Add(outRecord(n.ID, c.began, c.e.zone, c.e.zoneName))
		}
	}
}

func (s *Sender) keep(n *message) {
	s.order = append(s.order, n)
	s.live += n.size + endRecords
}

func deleteEnded(order []*message) []*message {
	kept := order[:0]
	for _, n := range order {
		if n.ending.what != endOver {
			kept = append(kept, n)
		}
	}
	clear(order[len(kept):])
	return kept
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
			s.counts.takenOn++
			s.handIn(n)
			r := n.reply
			n.reply = nil
			s.setReply(r, resp.AppendSimple(nil, "OK"))
		}
	}
	clear(s.admitted)
	s.admitted = s.admitted[:0]
}
