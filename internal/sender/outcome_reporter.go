package sender

// This file reports the endings of undelivered messages to the platform. No ending is dropped before the platform has
// answered 204, and only one post is in flight at a time.

import (
	"encoding/json"
	"net/http"
	"time"

	"go.uber.org/zap"

	"flaxcove/choice"
)

// Each failed post doubles the pause before the next one, from minPostRetryPause to maxPostRetryPause.
const (
	maxEndingsPerPost = 256
	minPostRetryPause = 20 * time.Millisecond
	maxPostRetryPause = 250 * time.Millisecond
)

// outcomeReporter is the part of a Sender that posts endings to the platform.
type outcomeReporter struct {
	endings        []*message    // messages whose ending is to be reported; each is removed after its 204
	posting        bool          // a post is in flight, or the pause after a failed one
	retryPause     time.Duration // pause after the next failed post
	oneAtATime     bool          // the last post was rejected: each post carries one ending until one is accepted
	platform       platformConn
	postToPlatform func(addr string, body []byte) (status int, err error) // posts endings; tests replace it
}

// init sets the pause after the first failed post.
func (r *outcomeReporter) init() { r.retryPause = minPostRetryPause }

// postEndings starts a post of endings unless one is in flight. It is called after the turn's append, so that the endings
// that it reports are on record unless this append has failed.
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

// line returns the ending of one message as a line of JSON for the body of a post.
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
		return nil // cannot happen: two strings and a number always marshal
	}
	return append(text, '\n')
}

// onPosted handles the end of a post of the first count endings. A failed post is repeated after a backoff.
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
	s.log.Warn("platform did not accept a post of endings; it is repeated", zap.Int("status", status), zap.Int("endings", count), zap.Error(err))
	if err == nil {
		// An ending that the platform rejects must not hold up the others.
		s.oneAtATime = true
		s.endings = append(append([]*message(nil), s.endings[count:]...), batch...)
	}
	s.after(s.retryPause, func() { s.posting = false })
	s.retryPause = min(2*s.retryPause, maxPostRetryPause)
}
