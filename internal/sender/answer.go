package sender

// This file interprets the answers of endpoints.

import (
	"bytes"
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strconv"

	"flaxcove/choice"
	"flaxcove/internal/http1"
)

const (
	// maxReportedLimit is the highest plausible limit in a load report, in calls a second.
	maxReportedLimit = 1e6
	// maxRetryAfter is the highest plausible Retry-After, in seconds.
	maxRetryAfter = 1e6
	// The fields of a load report that are used: the fraction of the capacity that is left, and the limit in calls a second.
	reportLeft  = "x0"
	reportLimit = "x1"
)

// answer is the interpretation of an endpoint's answer to a call.
type answer struct {
	result       choice.Result
	final        bool                        // nothing more is to be done for the message
	noSlot       bool                        // a 503 with the header X-No-Slot: 1
	retryAfter   choice.Time                 // of the header Retry-After; 0 for none
	report       []float64                   // values of the load report, in the order of reportFields
	reportFields []string                    // names of the load report's fields
	states       map[choice.MessageID]string // states of a bulk call's messages; nil if the answer has none
	close        bool                        // the connection must not carry another call
	formRefused  bool                        // the endpoint can't take the request as it was sent
}

// resultOf returns the result for an HTTP status, and whether it is final. A call answered with a status that is not listed
// here may have run.
func resultOf(status int) (result choice.Result, final bool) {
	switch status {
	case http.StatusOK:
		return choice.Done, true
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return choice.Rejected, false
	case http.StatusGone:
		return choice.NotRun, true
	case http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusGatewayTimeout:
		return choice.NotRun, false
	}
	return choice.Errored, false
}

// refusesForm reports whether an answer's status says that the endpoint can't take a request as it was sent, so that it would
// refuse the same request again.
func refusesForm(status int) bool {
	return status == http.StatusBadRequest || status == http.StatusNotFound || status == http.StatusRequestEntityTooLarge
}

// bulkStates maps each state of a message in the answer to a bulk call to the HTTP status of the same meaning.
var bulkStates = map[string]int{
	"ok":        http.StatusOK,
	"error":     http.StatusInternalServerError,
	"later":     http.StatusServiceUnavailable,
	"gone":      http.StatusGone,
	"exhausted": http.StatusGatewayTimeout,
}

// readAnswer interprets a complete answer. It copies everything it needs, since the parser's buffer is reused.
func readAnswer(h *http1.Answer) answer {
	a := answer{close: h.Close}
	a.result, a.final = resultOf(h.Head.Status)
	a.formRefused = refusesForm(h.Head.Status)
	if v := h.Get("Retry-After"); v != nil {
		a.retryAfter = parseRetryAfter(v)
	}
	a.noSlot = h.Head.Status == http.StatusServiceUnavailable && bytes.Equal(h.Get("X-No-Slot"), []byte("1"))
	if a.noSlot {
		a.result = choice.NotRun
	}
	a.reportFields, a.report = parseReport(h.Get("X-Load"))
	if h.Head.Status == http.StatusOK {
		a.states = parseBulkStates(h.Body)
	}
	return a
}

// parseBulkStates returns the states of a bulk call's messages; nil if the body is not a JSON array of them.
func parseBulkStates(body []byte) map[choice.MessageID]string {
	if !bytes.HasPrefix(bytes.TrimLeft(body, " \r\n\t"), []byte("[")) {
		return nil
	}
	var items []struct{ ID, State string }
	if json.Unmarshal(body, &items) != nil {
		return nil
	}
	states := map[choice.MessageID]string{}
	for _, item := range items {
		states[choice.MessageID(item.ID)] = item.State
	}
	return states
}

// parseRetryAfter parses decimal seconds. It rounds up, since a wait must not end early, and returns 0 for an invalid or
// implausible value.
func parseRetryAfter(text []byte) choice.Time {
	v, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !(v > 0) || v > maxRetryAfter {
		return 0
	}
	return choice.Time(math.Ceil(v*float64(choice.Second))) + 1
}

// parseReport parses a load report: name=number pairs separated by commas. It skips a pair if its value is not a finite
// number.
func parseReport(text []byte) (fields []string, values []float64) {
	for len(text) > 0 {
		var pair []byte
		pair, text, _ = bytes.Cut(text, []byte{','})
		name, value, _ := bytes.Cut(pair, []byte{'='})
		v, err := strconv.ParseFloat(string(bytes.TrimSpace(value)), 64)
		if err == nil && !math.IsNaN(v) && !math.IsInf(v, 0) {
			fields = append(fields, string(bytes.TrimSpace(name)))
			values = append(values, v)
		}
	}
	return fields, values
}

// loadReport returns the load report of the answer if it is complete and plausible, else the zero Report. A report without
// one of its fields would be read as one without a limit.
func (a *answer) loadReport() choice.Report {
	left, limit := slices.Index(a.reportFields, reportLeft), slices.Index(a.reportFields, reportLimit)
	if left < 0 || limit < 0 {
		return choice.Report{}
	}
	r := choice.Report{Known: true, Left: a.report[left], Limit: a.report[limit]}
	if r.Left < 0 || r.Left > 1 || r.Limit < 0 || r.Limit > maxReportedLimit {
		return choice.Report{}
	}
	return r
}

// lacksStates reports whether the answer is a 200 to a bulk call without the states of its messages.
func (a *answer) lacksStates(c *call) bool {
	return len(c.messages) > 1 && a.result == choice.Done && a.states == nil
}

// cutOffAnswer returns the answer of a call whose link ended. If the end does not complete the answer, it is the one to
// assume: a complete first line with status 200 proves that a call with one message was delivered; any other part proves
// nothing. unsent says that the call's last byte was not sent, so that an answer which leaves open whether the call has run
// is not needed.
func cutOffAnswer(c *call, unsent bool, part *partialAnswer) answer {
	switch {
	case part.completed != nil && (!unsent || part.completed.result != choice.Errored):
		return *part.completed
	case part.status == http.StatusOK && len(c.messages) == 1:
		return answer{result: choice.Done, final: true}
	case unsent:
		return answer{result: choice.ConnectFailed}
	case part.begun:
		return answer{result: choice.Unreadable}
	}
	return answer{result: choice.Reset}
}
