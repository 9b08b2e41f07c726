package live

// This file writes the HTTP answers of endpoints.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"flaxcove/choice"
	"flaxcove/lab/world"
)

// writeTimeout is the longest time that an answer may take to write, in case the sender does not read it.
const writeTimeout = 100 * time.Millisecond

// Answered writes an endpoint's answer to its connection.
func (e *engine) Answered(c *world.Conn, call *world.Call, a world.Answer) {
	s, ok := c.Engine.(*socket)
	if !ok {
		return
	}
	s.answeredAt = time.Now()
	s.conn.SetWriteDeadline(s.answeredAt.Add(writeTimeout))
	if _, err := s.conn.Write(answerBytes(call, a)); err != nil || a.Close {
		s.conn.Close()
	}
}

// maxSecondAnswerLag is the longest time between writing an answer and its second copy. A copy comes right after its answer;
// on a busy machine this engine may be late.
const maxSecondAnswerLag = 25 * time.Millisecond

// AnsweredAgain writes a second copy of an endpoint's answer to its connection, unless it is late.
func (e *engine) AnsweredAgain(c *world.Conn, call *world.Call, a world.Answer) {
	if s, ok := c.Engine.(*socket); ok && time.Since(s.answeredAt) < maxSecondAnswerLag {
		e.Answered(c, call, a)
	}
}

// answerBytes returns an answer in HTTP, or the incomplete or malformed bytes that a fault makes of it.
func answerBytes(call *world.Call, a world.Answer) []byte {
	switch {
	case a.Incomplete:
		return []byte("HTTP/1.")
	case a.Malformed:
		return []byte("HTTP/1.1 gone wrong\r\nContent-Length: -7\r\n\r\n{{{")
	}
	var body []byte
	if len(call.Messages) > 1 && a.Status == http.StatusOK {
		body = bulkBody(call, a)
	}
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", a.Status, http.StatusText(a.Status), len(body))
	if a.RetryAfter > 0 {
		fmt.Fprintf(&out, "Retry-After: %s\r\n", strconv.FormatFloat(float64(a.RetryAfter)/float64(choice.Second), 'f', 4, 64))
	}
	if a.Report.Known {
		fmt.Fprintf(&out, "X-Load: x0=%.4f,x1=%.4f\r\n", a.Report.Left, a.Report.Limit)
	}
	if a.Close {
		out.WriteString("Connection: close\r\n")
	}
	out.WriteString("\r\n")
	out.Write(body)
	return out.Bytes()
}

// bulkBody returns the body of the answer to a bulk call, with the state of each message.
func bulkBody(call *world.Call, a world.Answer) []byte {
	states := map[int]string{http.StatusOK: "ok", http.StatusInternalServerError: "error"}
	items := make([]map[string]string, 0, len(call.Messages))
	for i, h := range call.Messages {
		state := "ok"
		if a.Statuses != nil {
			state = states[a.Statuses[i]]
		}
		items = append(items, map[string]string{"id": string(h.ID), "state": state})
	}
	body, _ := json.Marshal(items) // cannot fail, since the items hold only strings
	return body
}
