package sender

// This file reads what an endpoint's answer says of a call.

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
	// maxReportedLimit is the highest limit, in calls a second, that a load report is believed.
	maxReportedLimit = 1e6
	maxRetryAfter    = 1e6 // seconds
	// The fields of a load report that are read: the part of the capacity that is left, and the limit in calls a second.
	reportLeft  = "x0"
	reportLimit = "x1"
)

// answer is what an endpoint's answer says of a call.
type answer struct {
	result       choice.Result
	final        bool
	noSlot       bool
	wait         choice.Time // of Retry-After
	report       []float64   // values of the load report, in the order of reportFields
	reportFields []string
	states       map[choice.MessageID]string // of a bulk call's messages; nil where the answer has none
	close        bool                        // the connection carries no other call
}

// resultOf is the result of an HTTP status. A call with a status that has no meaning here may have run.
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

// bulkStates are the states of a message in the answer to a bulk call, as the status that each stands for.
var bulkStates = map[string]int{
	"ok":        http.StatusOK,
	"error":     http.StatusInternalServerError,
	"later":     http.StatusServiceUnavailable,
	"gone":      http.StatusGone,
	"exhausted": http.StatusGatewayTimeout,
}

// readAnswer copies all that is needed of an answer, since its buffer is used for the next one.
func readAnswer(h *http1.Answer) answer {
	a := answer{close: h.Close}
	a.result, a.final = resultOf(h.Head.Status)
	if v := h.Get("Retry-After"); v != nil {
		a.wait = parseRetryAfter(v)
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

// parseBulkStates reads the states of a bulk call's messages; nil where the body is no JSON array of such.
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

// parseRetryAfter reads seconds with decimals, rounded up, since a wait must not end early; 0 for what makes no sense.
func parseRetryAfter(text []byte) choice.Time {
	v, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !(v > 0) || v > maxRetryAfter {
		return 0
	}
	return choice.Time(math.Ceil(v*float64(choice.Second))) + 1
}

// parseReport reads name=number pairs, separated by commas, and leaves out those whose value is no finite number.
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

// loadReport is the report of the answer where it is complete and plausible. Half of one would say that there is no limit.
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

// lacksStates reports whether the answer to a bulk call does not say what became of its messages.
func (a *answer) lacksStates(c *call) bool {
	return len(c.messages) > 1 && a.result == choice.Done && a.states == nil
}

// cutOffAnswer is what is known of a call whose link ended before its answer was complete. The first line of an answer
// says that a call with one message is delivered; any other part proves nothing.
func cutOffAnswer(c *call, unsent bool, end *partialAnswer) answer {
	switch {
	case end.status == http.StatusOK && len(c.messages) == 1:
		return answer{result: choice.Done, final: true}
	case unsent:
		return answer{result: choice.ConnectFailed}
	case end.begun:
		return answer{result: choice.Unreadable}
	}
	return answer{result: choice.Reset}
}
