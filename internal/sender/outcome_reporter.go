package sender

// This file reports to the platform how messages ended that were not delivered. No ending is dropped before the platform
// has answered 204, and no two posts are under way at once.

import (
	"encoding/json"
	"net/http"
	"time"

	"go.uber.org/zap"

	"flaxcove/choice"
)

const (
	maxEndingsPerPost = 256
	minPostRetryPause = 20 * time.Millisecond
	maxPostRetryPause = 250 * time.Millisecond
)

// outcomeReporter is the part of a Sender that posts endings.
type outcomeReporter struct {
	endings        []*message // to be reported; each is removed with its 204
	posting        bool
	retryPause     time.Duration
	oneAtATime     bool // the last post was rejected: one ending a post until one is accepted
	platform       platformConn
	postToPlatform func(addr string, body []byte) (status int, err error) // tests replace it
}

func (r *outcomeReporter) init() { r.retryPause = minPostRetryPause }

// postEndings starts a post of endings unless one is under way. It is called after the turn's append, so that what is
// reported is on record.
func (s *Sender) postEndings() {
	if s.posting || len(s.endings) == 0 {
		return
	}
	batch := s.endings[:min(len(s.endings), maxEndingsPerPost)]
	if s.oneAtATime {
		batch = batch[:1]
	}
	var body []byte
	for _, m := range batch {
		body = append(body, m.ending.line(m.ID)...)
	}
	s.posting = true
	count, addr := len(batch), s.discovery
	go func() {
		status, err := s.postToPlatform(addr, body)
		s.post(func() { s.onPosted(count, status, err) })
	}()
}

// line is the ending of one message in the body of a post.
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
		return nil // can't be: two strings and a number always marshal
	}
	return append(text, '\n')
}

// onPosted is called when the post of the first endings has ended. A failed one is repeated after a backoff.
func (s *Sender) onPosted(count, status int, err error) {
	batch := s.endings[:count]
	if err == nil && status == http.StatusNoContent {
		for _, m := range batch {
			s.closeMessage(m)
		}
		s.counts.endingsPosted += int64(count)
		s.endings = append([]*message(nil), s.endings[count:]...)
		s.posting, s.oneAtATime, s.retryPause = false, false, minPostRetryPause
		return
	}
	s.counts.postsFailed++
	s.log.Warn("platform not notified", zap.Int("status", status), zap.Int("endings", count), zap.Error(err))
	if err == nil {
		// One ending that the platform rejects must not hold up the others.
		s.oneAtATime = true
		s.endings = append(append([]*message(nil), s.endings[count:]...), batch...)
	}
	s.after(s.retryPause, func() { s.posting = false })
	s.retryPause = min(2*s.retryPause, maxPostRetryPause)
}
