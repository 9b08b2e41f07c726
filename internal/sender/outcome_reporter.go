package sender

// This file keeps the books: it owns the ends of messages, what the platform is still to be told of them, and the
// counters. It must never forget an ending before the platform has answered 204, and never post two at once.

import (
	"encoding/json"
	"fmt"
	"time"

	"go.uber.org/zap"

	"flaxcove/choice"
)

const (
	maxEndingsPerPost = 256 // endings in one post
	minPostRetryPause = 20 * time.Millisecond
	maxPostRetryPause = 250 * time.Millisecond
)

type endKind byte

const (
	endNone endKind = iota
	endShed
	endFailed
	endClosed
)

// ending is how a message that was not delivered ends.
type ending struct {
	kind    endKind
	retryMS int64
}

type outcomeReporter struct {
	endings        []*message // owed to the platform; each leaves with its 204
	posting        bool
	retryPause     time.Duration
	oneAtATime     bool // the last post was not understood: one at a time until one is
	platform       platformConn
	postToPlatform func(addr string, body []byte) (status int, err error) // a test puts its own in place
	counts         counts
}

func (b *outcomeReporter) init() { b.retryPause = minPostRetryPause }

type counts struct {
	submitted, accepted, rejected, badCommands, replayed      int64
	attempts, probes, connects, connectsFailed, callsTimedOut int64
	delivered, shed, failed, endingsPosted, postsFailed       int64
	clientsEnded, linksEnded, watchesEnded, rewritings        int64
	reloads                                                   int64
	purges, withdrawn, withdrawnInFlight, evicted, taught     int64
	outcomes                                                  [choice.Spoilt + 1]int64
}

var resultNames = [choice.Spoilt + 1]string{"done", "errored", "full", "timed_out", "connect_failed", "reset", "cancelled", "moot", "spoilt"}

// Counters are a line each, name:value.
func (s *Sender) Counters() (lines []string) {
	add := func(name string, v int64) { lines = append(lines, fmt.Sprintf("%s:%d", name, v)) }
	n := &s.counts
	add("handed_in", n.submitted)
	add("taken_on", n.accepted)
	add("refused", n.rejected)
	add("bad_commands", n.badCommands)
	add("replayed", n.replayed)
	add("dispatches", n.attempts)
	for i, v := range n.outcomes {
		add("outcome_"+resultNames[i], v)
	}
	add("probes", n.probes)
	add("connects", n.connects)
	add("connects_failed", n.connectsFailed)
	add("calls_timed_out", n.callsTimedOut)
	add("delivered", n.delivered)
	add("handed_back", n.shed)
	add("given_up", n.failed)
	add("endings_posted", n.endingsPosted)
	add("posts_failed", n.postsFailed)
	add("clients", int64(s.clients.count()))
	add("clients_ended", n.clientsEnded)
	add("links", int64(s.openLinks))
	add("links_ended", n.linksEnded)
	add("watches_ended", n.watchesEnded)
	add("reloads", n.reloads)
	add("journal_bytes", s.journal.Size())
	add("journal_rewritings", n.rewritings)
	add("owed", int64(len(s.pending)))
	add("endings_owed", int64(len(s.endings)))
	s.addGossipCounters(add)
	if s.cluster != nil {
		add("configuration_version", int64(s.cfg.Version))
		add("purges", n.purges)
		add("withdrawn", n.withdrawn) // beside given_up, though the platform is told the same
		add("withdrawn_while_out", n.withdrawnInFlight)
		add("evicted", n.evicted)
		add("taught", n.taught)
		add("digest_left_out", s.leftOut)
	}
	return lines
}

// closeMessage ends a message for which nothing more is owed.
func (s *Sender) closeMessage(n *message) {
	if n.ending.kind == endClosed {
		return
	}
	if n.ending.kind == endNone {
		s.counts.delivered++
	}
	n.ending.kind = endClosed
	delete(s.pending, n.ID)
	if n.journaled {
		s.rememberEnded(n.ID)
		s.journal.Add(idRecord(recClosed, n.ID))
		s.liveBytes -= n.size + laterRecordBytes
	}
	n.body = nil
}

// endMessage is the module's word that a message ends undelivered. A client that still waits is told itself.
func (s *Sender) endMessage(n *message, how ending) {
	if n == nil || n.ending.kind != endNone {
		return
	}
	s.log.Debug("ends undelivered", zap.String("id", string(n.ID)), zap.Bool("handed_back", how.kind == endShed),
		zap.Int64("retry_ms", how.retryMS), zap.Int("tries", n.attempts), zap.Bool("may_have_run", n.MayRun),
		zap.Bool("client_waits", n.reply != nil))
	switch {
	case how.kind == endShed:
		s.counts.shed++
	case n.withdrawn:
		s.counts.withdrawn++
	default:
		s.counts.failed++
	}
	n.ending = how
	if n.reply != nil {
		r := n.reply
		n.reply = nil
		if how.kind == endShed {
			s.answerBusy(r, how.retryMS)
		} else {
			s.setReply(r, []byte("-ERR given up\r\n"))
		}
		s.closeMessage(n)
		return
	}
	s.journal.Add(endingRecord(n))
	s.endings = append(s.endings, n)
}

// postEndings tells the platform, one post at a time. It runs behind the turn's append, so that what is told is
// on record.
func (s *Sender) postEndings() {
	if s.posting || len(s.endings) == 0 {
		return
	}
	batch := s.endings[:min(len(s.endings), maxEndingsPerPost)]
	if s.oneAtATime {
		batch = batch[:1]
	}
	var body []byte
	for _, n := range batch {
		body = append(body, n.ending.line(n.ID)...)
	}
	s.posting = true
	count, addr := len(batch), s.discovery
	go func() {
		status, err := s.postToPlatform(addr, body)
		s.post(func() { s.postEnded(count, status, err) })
	}()
}

func (e ending) line(id choice.MessageID) []byte {
	line := struct {
		Message string `json:"message"`
		Outcome string `json:"outcome"`
		RetryIn int64  `json:"retry_in_ms,omitempty"`
	}{string(id), "given_up", 0}
	if e.kind == endShed {
		line.Outcome, line.RetryIn = "handed_back", e.retryMS
	}
	text, err := json.Marshal(line)
	if err != nil {
		return nil // two strings and a number always marshal
	}
	return append(text, '\n')
}

func (s *Sender) postEnded(count, status int, err error) {
	batch := s.endings[:count]
	if err == nil && status == 204 {
		for _, n := range batch {
			s.closeMessage(n)
		}
		s.counts.endingsPosted += int64(count)
		s.endings = append([]*message(nil), s.endings[count:]...)
		s.posting, s.oneAtATime, s.retryPause = false, false, minPostRetryPause
		return
	}
	s.counts.postsFailed++
	s.log.Warn("platform not told", zap.Int("status", status), zap.Int("endings", count), zap.Error(err))
	if err == nil {
		// One line that is not understood must not hold up the others.
		s.oneAtATime = true
		s.endings = append(append([]*message(nil), s.endings[count:]...), batch...)
	}
	s.after(s.retryPause, func() { s.posting = false })
	s.retryPause = min(2*s.retryPause, maxPostRetryPause)
}
