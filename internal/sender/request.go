package sender

// This file builds the HTTP requests of calls.

import (
	"cmp"
	"encoding/base64"
	"slices"
	"strconv"

	"flaxcove/choice"
	"flaxcove/internal/http1"
)

const (
	probePath  = "/-/healthy"
	singlePath = "/inbox"
	bulkPath   = "/inbox/bulk"
)

// request returns the HTTP request of a call: a single request for one message, a bulk request for several, or a probe. It
// fails if the journal cannot be read.
func (s *Sender) request(c *call) (head, body []byte, err error) {
	switch {
	case c.probe:
		return http1.AppendRequest(nil, "GET", probePath, c.endpoint.addr, -1), nil, nil
	case len(c.messages) == 1:
		return s.singleRequest(c, s.deadlineMS(c))
	}
	return s.bulkRequest(c, s.deadlineMS(c))
}

// requestMemory returns the memory in bytes that it takes to build and to hold the request of a call.
func (c *call) requestMemory() (bytes int64) {
	for _, m := range c.messages {
		bytes += int64(base64.StdEncoding.EncodedLen(m.bodySize()))
	}
	return requestCopies * bytes
}

// deadlineMS returns the time that a call has left, in milliseconds, rounded up, and at least 1.
func (s *Sender) deadlineMS(c *call) string {
	left := c.beganAt + c.timeout - s.Now()
	return strconv.FormatInt(int64(max(1, (left+choice.Millisecond-1)/choice.Millisecond)), 10)
}

// singleRequest returns the request of a call with one message.
func (s *Sender) singleRequest(c *call, deadlineMS string) (head, body []byte, err error) {
	m := c.messages[0]
	if body, err = s.loadBody(m); err != nil {
		return nil, nil, err
	}
	fields := []string{"X-Request-Id", string(m.ID), "X-Deadline-Ms", deadlineMS}
	if m.idempotencyKey != "" {
		fields = append(fields, "Idempotency-Key", m.idempotencyKey)
	}
	return http1.AppendRequest(nil, "POST", singlePath, c.endpoint.addr, len(body), fields...), body, nil
}

// bulkRequest returns the request of a call with several messages. The message with the latest deadline comes first: an
// endpoint may apply the deadline of the first message to the whole call, and an answer after that deadline counted for
// none of the other messages, though it reported each as done.
func (s *Sender) bulkRequest(c *call, deadlineMS string) (head, body []byte, err error) {
	slices.SortStableFunc(c.messages, func(a, b *message) int { return cmp.Compare(b.Deadline, a.Deadline) })
	items := []byte{bulkBegin}
	for i, m := range c.messages {
		body, err := s.loadBody(m)
		if err != nil {
			return nil, nil, err
		}
		if i > 0 {
			items = append(items, bulkSeparator)
		}
		items = m.appendBulkItem(items, body)
	}
	items = append(items, bulkEnd)
	return http1.AppendRequest(nil, "POST", bulkPath, c.endpoint.addr, len(items),
		"Content-Type", "application/json", "X-Deadline-Ms", deadlineMS), items, nil
}
