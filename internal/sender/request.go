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

// request returns the HTTP request of a call: a single request for one message, a bulk request for several, or a probe.
func (s *Sender) request(c *call) (head, body []byte) {
	switch {
	case c.probe:
		return http1.AppendRequest(nil, "GET", probePath, c.endpoint.addr, -1), nil
	case len(c.messages) == 1:
		return c.singleRequest(s.deadlineMS(c))
	}
	return c.bulkRequest(s.deadlineMS(c))
}

// deadlineMS returns the time that a call has left, in milliseconds, rounded up, and at least 1.
func (s *Sender) deadlineMS(c *call) string {
	left := c.beganAt + c.timeout - s.Now()
	return strconv.FormatInt(int64(max(1, (left+choice.Millisecond-1)/choice.Millisecond)), 10)
}

// singleRequest returns the request of a call with one message.
func (c *call) singleRequest(deadlineMS string) (head, body []byte) {
	m := c.messages[0]
	fields := []string{"X-Request-Id", string(m.ID), "X-Deadline-Ms", deadlineMS}
	if m.idempotencyKey != "" {
		fields = append(fields, "Idempotency-Key", m.idempotencyKey)
	}
	return http1.AppendRequest(nil, "POST", singlePath, c.endpoint.addr, len(m.body), fields...), m.body
}

// bulkRequest returns the request of a call with several messages. The message with the latest deadline comes first: an
// endpoint may apply the deadline of the first message to the whole call, and an answer after that deadline counted for
// none of the other messages, though it reported each as done.
func (c *call) bulkRequest(deadlineMS string) (head, body []byte) {
	slices.SortStableFunc(c.messages, func(a, b *message) int { return cmp.Compare(b.Deadline, a.Deadline) })
	body = append(body, '[')
	for i, m := range c.messages {
		if i > 0 {
			body = append(body, ',')
		}
		body = m.appendBulkItem(body)
	}
	body = append(body, ']')
	return http1.AppendRequest(nil, "POST", bulkPath, c.endpoint.addr, len(body),
		"Content-Type", "application/json", "X-Deadline-Ms", deadlineMS), body
}

// appendBulkItem appends a message as JSON. Ids and keys consist of visible characters without quotes, so they need no
// escaping.
func (m *message) appendBulkItem(out []byte) []byte {
	out = append(out, `{"id":"`...)
	out = append(out, m.ID...)
	out = append(out, `","key":"`...)
	out = append(out, cmp.Or(m.idempotencyKey, m.key)...)
	out = append(out, `","body":"`...)
	out = base64.StdEncoding.AppendEncode(out, m.body)
	return append(out, `"}`...)
}
