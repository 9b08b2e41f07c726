package live

// This file writes the answers of endpoints.

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

// writeTimeout is for an answer to a sender that does not read.
const writeTimeout = 100 * time.Millisecond

// Answered writes an answer as an endpoint would.
func (e *engine) Answered(c *world.Conn, call *world.Call, a world.Answer) {
	s, ok := c.Engine.(*socket)
	if !ok {
		return
	}
	s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.conn.Write(answerBytes(call, a)); err != nil || a.Close {
		s.conn.Close()
	}
}

// answerBytes is an answer in HTTP, or what a fault makes of it.
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
	if a.Wait > 0 {
		fmt.Fprintf(&out, "Retry-After: %s\r\n", strconv.FormatFloat(float64(a.Wait)/float64(choice.Second), 'f', 4, 64))
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

// bulkBody says of each message of a bulk call whether it succeeded.
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
	body, _ := json.Marshal(items) // strings always marshal
	return body
}
