package sender

// This file reports the endings of undelivered messages to the platform. No ending is dropped before the platform has
// answered 204, only one post is in flight at a time, and no post is longer than maxBodyBytes. A post that failed is not
// repeated unchanged, so that an ending which the platform can't take holds up no other.

import (
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"
)

const (
	maxEndingsPerPost = 256
	// postGrowth is the factor by which posts grow again after one that was accepted.
	postGrowth = 4
	// Each failed post doubles the pause before the next one, from minPostRetryPause to maxPostRetryPause.
	minPostRetryPause = 20 * time.Millisecond
	maxPostRetryPause = 250 * time.Millisecond
)

// outcomeReporter is the part of a Sender that posts endings to the platform.
type outcomeReporter struct {
	endings        []*message    // messages whose ending is to be reported; each is removed after its 204
	refused        []*message    // those whose ending the platform has refused in a post of its own; they are posted after all others
	refusedPaused  bool          // the pause after a refused ending was refused again
	posting        bool          // a post is in flight, or the pause after a failed one
	postLimit      int           // most endings of the next post
	retryPause     time.Duration // pause after the next failed post
	platform       platformConn
	postToPlatform func(addr string, body []byte) (status int, err error) // posts endings; tests replace it
}

// outcomePost is one post of endings.
type outcomePost struct {
	messages      []*message
	body          []byte
	refusedBefore bool // it carries the first of the refused endings; else the first ones of the others
}

// init sets the size of the first post and the pause after the first failed one.
func (r *outcomeReporter) init() { r.postLimit, r.retryPause = maxEndingsPerPost, minPostRetryPause }

// unreported returns the number of endings that are to be reported.
func (r *outcomeReporter) unreported() int { return len(r.endings) + len(r.refused) }

// postEndings starts a post of endings unless one is in flight. It is called after the turn's append, so that the endings
// that it reports are on record unless this append has failed.
func (s *Sender) postEndings() {
	if s.posting {
		return
	}
	post := s.nextPost()
	if len(post.messages) == 0 {
		return
	}
	s.posting = true
	addr := s.discovery
	go func() {
		status, err := s.postToPlatform(addr, post.body)
		s.post(func() { s.onPosted(post, status, err) })
	}()
}

// nextPost returns the endings to post next, as many as fit. Without any, the post has no messages.
func (r *outcomeReporter) nextPost() (post outcomePost) {
	waiting := r.endings[:min(len(r.endings), r.postLimit)]
	if len(waiting) == 0 && len(r.refused) > 0 && !r.refusedPaused {
		waiting, post.refusedBefore = r.refused[:1], true
	}
	for i, m := range waiting {
		line := m.ending.line(m.ID)
		if i > 0 && len(post.body)+len(line) > maxBodyBytes {
			break
		}
		post.body = append(post.body, line...)
		post.messages = waiting[:i+1]
	}
	return post
}

// onPosted handles the end of a post.
func (s *Sender) onPosted(post outcomePost, status int, err error) {
	switch {
	case err == nil && status == http.StatusNoContent:
		s.onEndingsAccepted(post)
		return
	case err == nil && refusesForm(status):
		s.onEndingsRefused(post)
	default:
		s.onPostFailed(post, err)
	}
	s.counts.postsFailed++
	s.log.Warn("platform did not accept a post of endings; it is repeated", zap.Int("status", status),
		zap.Int("endings", len(post.messages)), zap.Int("next_limit", s.postLimit), zap.Error(err))
}

// onEndingsAccepted closes the messages of a post. If the platform accepts an ending that it refused before, it may accept
// the other ones too.
func (s *Sender) onEndingsAccepted(post outcomePost) {
	s.removePosted(post)
	for _, m := range post.messages {
		s.closeMessage(m)
	}
	if post.refusedBefore {
		s.endings, s.refused = append(s.endings, s.refused...), nil
	}
	s.counts.endingsPosted += int64(len(post.messages))
	s.posting, s.postLimit, s.retryPause = false, min(postGrowth*s.postLimit, maxEndingsPerPost), minPostRetryPause
}

// onEndingsRefused posts endings one by one, after a post of several that the platform could not take. An ending that it could
// not take alone is set aside. The next post is another one, so it needs no pause.
func (s *Sender) onEndingsRefused(post outcomePost) {
	s.posting, s.postLimit = false, 1
	if len(post.messages) > 1 {
		return
	}
	s.removePosted(post)
	s.refused = append(s.refused, post.messages...)
	if post.refusedBefore {
		s.refusedPaused = true
		s.after(s.nextRetryPause(), func() { s.refusedPaused = false })
	}
}

// onPostFailed repeats a post after a pause. If the platform may have received it, an ending in it may be the cause: then the
// next post carries one ending, and a single one goes behind the others.
func (s *Sender) onPostFailed(post outcomePost, err error) {
	s.after(s.nextRetryPause(), func() { s.posting = false })
	if errors.Is(err, errNotConnected) {
		return
	}
	s.postLimit = 1
	if len(post.messages) > 1 {
		return
	}
	s.removePosted(post)
	if post.refusedBefore {
		s.refused = append(s.refused, post.messages...)
	} else {
		s.endings = append(s.endings, post.messages...)
	}
}

// nextRetryPause returns the pause after a failed post, and doubles the next one.
func (r *outcomeReporter) nextRetryPause() time.Duration {
	pause := r.retryPause
	r.retryPause = min(2*pause, maxPostRetryPause)
	return pause
}

// removePosted removes the endings of a post from the list that they are the first ones of.
func (r *outcomeReporter) removePosted(post outcomePost) {
	if post.refusedBefore {
		r.refused = append([]*message(nil), r.refused[1:]...)
	} else {
		r.endings = append([]*message(nil), r.endings[len(post.messages):]...)
	}
}
