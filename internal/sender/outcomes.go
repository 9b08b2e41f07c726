package sender

// This file reports the outcome of each call to package choice. No attempt is reported twice, and an attempt is reported
// as not run only if that is certain.
//
// The table lists the ends of a call, the result of each, and whether its message has run. "The last byte" is the last
// byte of the request. send.go and call.go detect which end it was; TestCallOutcomes tests the rows.
//
//	how the call ended                                                  result          has it run?
//	connection refused or never established, or no address              ConnectFailed   no
//	no capacity for a connection in this process until the timeout      NotRun          no
//	connected too late: timed out, endpoint moved, drained or paused    NotRun          no
//	deadline or repeat window of a message over before the first byte   NotRun          no
//	link ended or had input before the first byte, on any link          ConnectFailed   no
//	reset, closed or abandoned before the last byte, whatever the input ConnectFailed   no, except for a 200 below
//	reset or closed after the last byte, at most interim answers        Reset           maybe
//	timed out after the last byte, at most interim answers              TimedOut        maybe, now or later
//	deadline of one message of a bulk call that was written             Cancelled       maybe, now or later
//	complete first line with 200, call with one message                 Done            yes, whatever followed
//	answer without a length, completed by an end without a reset        like a complete answer, see below
//	any other beginning of an answer, or noise                          Unreadable      maybe
//	complete answer with 200                                            Done            yes; bulk call: by its states
//	429, 503                                                            Rejected        no
//	503 with X-No-Slot, 400, 404, 410, 413, 504                         NotRun          no
//	any other status                                                    Errored         maybe
//	200 to a bulk call without the message's state, or without any      Unreadable      maybe

import (
	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/sender/withdrawal"
)

// onAnswer handles a complete answer on a link.
func (s *Sender) onAnswer(l *link, a answer) {
	c := l.call
	if c == nil || c.done {
		s.closeLink(l, badAnswer) // the call was abandoned a moment ago, or there was none
		return
	}
	c.done = true
	l.answeredAt = s.sinceStart()
	if a.result == choice.Done {
		c.endpoint.callTimes.add(c.reused, s.sinceStart()-c.sendingSince)
	}
	switch {
	case a.close || a.lacksStates(c):
		l.call = nil
		s.closeLink(l, endpointCloses)
	case l.writing:
		s.boundEarlyWrite(l, c)
	default:
		s.makeIdle(l)
	}
	s.finishCall(c, a)
}

// finishCall cancels a call's timers and reports the outcome of each of its messages, or of the probe.
func (s *Sender) finishCall(c *call, a answer) {
	s.eventsPending = true // package choice may act on the outcome, in this turn or the next
	for _, t := range c.timers {
		s.cancelTimer(t)
	}
	if c.probe {
		s.choice.ProbeEnded(c.endpoint.id, a.result)
		return
	}
	s.countCall(c, a)
	took := s.Now() - c.beganAt
	for _, m := range c.messages {
		if m.inFlight == c { // else the message was cancelled before
			s.reportOutcome(c, m, c.outcome(m, a, took), a.report)
		}
	}
}

// outcome returns the outcome of one message of a call that was answered with a.
func (c *call) outcome(m *message, a answer, took choice.Time) choice.Outcome {
	o := choice.Outcome{Message: m.ID, Attempt: m.attempts - 1, Endpoint: c.endpoint.id, Duration: took, Result: a.result,
		Final: a.final, RetryAfter: a.retryAfter, NoSlot: a.noSlot, Report: a.loadReport(), Reused: c.reused, Closed: a.close}
	o.FormRefused = a.formRefused && len(c.messages) > 1 // a call with one message has no other form
	if len(c.messages) > 1 && a.result == choice.Done {
		o.Result, o.Final = choice.Unreadable, false // if the answer lacks the message's state
		if status, known := bulkStates[a.states[m.ID]]; known {
			o.Result, o.Final = resultOf(status)
		}
	}
	if len(c.messages) == 1 && o.Result != choice.Rejected {
		o.RetryAfter = 0 // Retry-After counts with every answer to a bulk call, but for one message only with a rejection
	}
	return o
}

// reportOutcome reports the outcome of an attempt to package choice, and closes the message if the outcome is final. report
// holds the values of the load report for the log.
func (s *Sender) reportOutcome(c *call, m *message, o choice.Outcome, report []float64) {
	m.inFlight = nil
	s.log.Debug("attempt ended", zap.String("id", string(m.ID)), zap.String("to", string(c.endpoint.id)),
		zap.String("result", resultNames[o.Result]), zap.Float64("took_ms", float64(o.Duration)/float64(choice.Millisecond)),
		zap.Float64("wait_ms", float64(o.RetryAfter)/float64(choice.Millisecond)), zap.Float64s("report", report))
	mayRunBefore := m.MayRun
	s.recordOutcome(m, c, o)
	s.choice.AttemptEnded(o)
	if m.withdrawn {
		s.endWithdrawn(m, withdrawal.EndOfHeld(o, mayRunBefore))
	} else if o.Final {
		s.closeMessage(m)
	}
}

// recordOutcome counts an outcome and remembers in m whether the attempt may have run. If it has not run, but the journal
// says that it may have, a record that corrects this is added.
func (s *Sender) recordOutcome(m *message, c *call, o choice.Outcome) {
	s.counts.outcomes[o.Result]++
	switch o.Result {
	case choice.Errored, choice.TimedOut, choice.Reset, choice.Cancelled, choice.Unreadable:
		if !m.MayRun {
			m.MayRun, m.RanAt, m.RanIn, m.ranInZoneName = true, c.beganAt, c.endpoint.zone, c.endpoint.zoneName
		}
	default:
		if m.attemptOnRecord && !m.MayRun && !o.Final {
			m.attemptOnRecord = false
			s.journal.Add(idRecord(recNotRun, m.ID))
		}
	}
}
