package sender

// This file relays: it owns the meaning of endpoints' answers and tells the module each call's outcome. It must
// never tell of one attempt twice, nor call something proven not to have run where that is not certain.
//
// What the end of a call tells of its message (leave.go and call.go find out which end it was; TestEnds has the rows):
//
//	how it ended                                                        result          has it run?
//	refused, never up, no address                                       ConnectFailed   never
//	no room for a connection in this process until its time was over    Moot            never
//	up too late: call over, endpoint moved, drained or told to wait     Moot            never
//	one message's time or window over before the first byte             Moot            never
//	link ended or spoke before the first byte, on new and kept links    ConnectFailed   never
//	reset, closed or given up before the last byte, whatever had come   ConnectFailed   never, but for a 200 below
//	reset or closed after it, nothing had come but interim answers      Reset           may have
//	its time over after it, likewise                                    TimedOut        may have; may yet run
//	one message's time over in a bundle that was written                Cancelled       may have; may yet run
//	a first line with 200, whole, of a call with one message            Done            yes, however it went on
//	any other beginning of an answer, and noise                         Spoilt          may have
//	an answer, whole: 200                                               Done            yes; a bundle as it says
//	429, 503                                                            Full            never
//	503 with X-No-Slot, 400, 404, 410, 413, 504                         Moot            never
//	any other status                                                    Errored         may have
//	a bundle's 200 that leaves a message out, or is none                Spoilt          may have

import (
	"bytes"
	"encoding/json"
	"math"
	"slices"
	"strconv"

	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/http1"
	"flaxcove/internal/sender/withdrawal"
)

// maxReportedLimit is the highest limit, in calls a second, that a report is believed.
const maxReportedLimit = 1e6

// answer is what an endpoint's answer says of a call.
type answer struct {
	result choice.Result
	final  bool
	noSlot bool
	wait   choice.Time
	report []float64 // in the order of fields
	fields []string
	states map[choice.MessageID]string // of a bulk call whose messages fared apart
	close  bool
}

// resultOf is an outcome by status. What has no meaning here may have run.
func resultOf(status int) (result choice.Result, final bool) {
	switch status {
	case 200:
		return choice.Done, true
	case 429, 503:
		return choice.Full, false
	case 410:
		return choice.Moot, true
	case 400, 404, 413, 504:
		return choice.Moot, false
	}
	return choice.Errored, false
}

var bulkStates = map[string]int{"ok": 200, "error": 500, "later": 503, "gone": 410, "exhausted": 504}

// readAnswer takes out of an answer all that is needed, since its buffer goes on to the next one.
func readAnswer(h *http1.Answer) answer {
	a := answer{close: h.Close}
	a.result, a.final = resultOf(h.Head.Status)
	if v := h.Get("Retry-After"); v != nil {
		a.wait = parseRetryAfter(v)
	}
	if a.noSlot = h.Head.Status == 503 && bytes.Equal(h.Get("X-No-Slot"), []byte("1")); a.noSlot {
		a.result = choice.Moot
	}
	a.fields, a.report = parseReport(h.Get("X-Load"))
	if h.Head.Status == 200 && bytes.HasPrefix(bytes.TrimLeft(h.Body, " \r\n\t"), []byte("[")) {
		var items []struct{ ID, State string }
		if json.Unmarshal(h.Body, &items) == nil {
			a.states = map[choice.MessageID]string{}
			for _, item := range items {
				a.states[choice.MessageID(item.ID)] = item.State
			}
		}
	}
	return a
}

// parseRetryAfter reads seconds with decimals, rounded up: a wait must not end early.
func parseRetryAfter(text []byte) choice.Time {
	v, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !(v > 0) || v > 1e6 {
		return 0
	}
	return choice.Time(math.Ceil(v*float64(choice.Second))) + 1
}

func parseReport(text []byte) (fields []string, values []float64) {
	for len(text) > 0 {
		var pair []byte
		pair, text, _ = bytes.Cut(text, []byte{','})
		name, value, _ := bytes.Cut(pair, []byte{'='})
		if v, err := strconv.ParseFloat(string(bytes.TrimSpace(value)), 64); err == nil && !math.IsNaN(v) && !math.IsInf(v, 0) {
			fields, values = append(fields, string(bytes.TrimSpace(name))), append(values, v)
		}
	}
	return fields, values
}

// loadReport is the report where it is whole and makes sense. Half a one would say that there is no limit.
func (a *answer) loadReport() (r choice.Report) {
	left, limit := slices.Index(a.fields, "x0"), slices.Index(a.fields, "x1")
	if left < 0 || limit < 0 || a.report[left] < 0 || a.report[left] > 1 || a.report[limit] < 0 || a.report[limit] > maxReportedLimit {
		return r
	}
	return choice.Report{Known: true, Left: a.report[left], Limit: a.report[limit]}
}

// cutOffAnswer is the outcome of a call whose connection ended before its answer was whole.
func cutOffAnswer(c *call, unsent bool, end *partialAnswer) answer {
	a := answer{result: choice.Reset}
	switch {
	case end.status == 200 && len(c.messages) == 1:
		// The first line alone says that a call with one message is delivered; any other proves nothing.
		a.result, a.final = choice.Done, true
	case unsent:
		a.result = choice.ConnectFailed
	case end.begun:
		a.result = choice.Spoilt
	}
	return a
}

// isSpoilt tells whether a bundle's answer does not say how its messages fared.
func (a *answer) isSpoilt(c *call) bool {
	return len(c.messages) > 1 && a.result == choice.Done && a.states == nil
}

// onAnswer is told of a whole answer on a link.
func (s *Sender) onAnswer(l *link, a answer) {
	c := l.call
	if c == nil || c.done {
		// Given up a moment ago, or never asked for.
		s.closeLink(l, badAnswer)
		return
	}
	c.done = true
	switch {
	case a.close || a.isSpoilt(c):
		l.call = nil
		s.closeLink(l, endpointCloses)
	case l.writing:
		s.boundEarlyWrite(l, c)
	default:
		s.makeIdle(l)
	}
	s.finishCall(c, a)
}

// finishCall tells the module how a call ended, message by message.
func (s *Sender) finishCall(c *call, a answer) {
	s.eventsPending = true // what the module makes of it is for the next turn, if not for this one
	for _, t := range c.timers {
		s.cancelTimer(t)
	}
	if c.probe {
		s.module.Probed(c.endpoint.id, a.result)
		return
	}
	s.countCall(c, a)
	took := s.Now() - c.beganAt
	for _, n := range c.messages {
		if n.inFlight != c {
			continue // it has parted
		}
		o := choice.Outcome{Message: n.ID, Attempt: n.attempts - 1, Endpoint: c.endpoint.id, Took: took,
			Result: a.result, Final: a.final, Wait: a.wait, NoSlot: a.noSlot, Report: a.loadReport(), Kept: c.reused, Closed: a.close}
		if len(c.messages) > 1 && a.result == choice.Done {
			o.Result, o.Final = choice.Spoilt, false // unless the answer names it
			if status, known := bulkStates[a.states[n.ID]]; known {
				o.Result, o.Final = resultOf(status)
			}
		}
		if len(c.messages) == 1 && o.Result != choice.Full {
			o.Wait = 0 // a wait goes with a refusal, but with any answer to a bundle
		}
		s.messageEnded(c, n, o, a.report)
	}
}

func (s *Sender) messageEnded(c *call, n *message, o choice.Outcome, report []float64) {
	n.inFlight = nil
	s.log.Debug("outcome", zap.String("id", string(n.ID)), zap.String("to", string(c.endpoint.id)),
		zap.String("result", resultNames[o.Result]), zap.Float64("took_ms", float64(o.Took)/float64(choice.Millisecond)),
		zap.Float64("wait_ms", float64(o.Wait)/float64(choice.Millisecond)), zap.Float64s("report", report))
	mayRunBefore := n.MayRun
	s.recordOutcome(n, c, o)
	s.module.Ended(o)
	if n.withdrawn {
		s.endHeld(n, withdrawal.Ends(o, mayRunBefore))
	} else if o.Final {
		s.closeMessage(n)
	}
}

// recordOutcome keeps on paper whether an attempt that limits repeats has run.
func (s *Sender) recordOutcome(n *message, c *call, o choice.Outcome) {
	s.counts.outcomes[o.Result]++
	switch o.Result {
	case choice.Errored, choice.TimedOut, choice.Reset, choice.Cancelled, choice.Spoilt:
		if !n.MayRun {
			n.MayRun, n.RanAt, n.RanIn, n.ranInZoneName = true, c.beganAt, c.endpoint.zone, c.endpoint.zoneName
		}
	default:
		if n.attemptOnRecord && !n.MayRun && !o.Final {
			n.attemptOnRecord = false
			s.journal.Add(idRecord(recNotRun, n.ID))
		}
	}
}
