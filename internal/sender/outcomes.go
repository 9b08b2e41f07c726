package sender

// This file reports the outcome of each call to package choice. No attempt is reported twice, and none is said not to
// have run where that is not certain.
//
// What the end of a call says of its message (send.go and call.go find out which end it was; TestEnds has the rows):
//
//	how it ended                                                        result          has it run?
//	connection refused or never up, no address                          ConnectFailed   never
//	no capacity for a connection in this process until its time is over Moot            never
//	up too late: call over, endpoint moved, drained or to be waited for Moot            never
//	one message's time or window over before the first byte             Moot            never
//	link ended, or bytes came, before the first byte, on any link       ConnectFailed   never
//	reset, closed or abandoned before the last byte, whatever had come  ConnectFailed   never, but for a 200 below
//	reset or closed after it, nothing had come but interim answers      Reset           may have
//	its time over after it, likewise                                    TimedOut        may have; may yet run
//	one message's time over in a bulk call that was written             Cancelled       may have; may yet run
//	a complete first line with 200, of a call with one message          Done            yes, whatever followed
//	any other beginning of an answer, and noise                         Spoilt          may have
//	a complete answer: 200                                              Done            yes; a bulk call as it says
//	429, 503                                                            Full            never
//	503 with X-No-Slot, 400, 404, 410, 413, 504                         Moot            never
//	any other status                                                    Errored         may have
//	a bulk call's 200 that leaves a message out, or has no states       Spoilt          may have

import (
	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/sender/withdrawal"
)

// onAnswer is called for a complete answer on a link.
func (s *Sender) onAnswer(l *link, a answer) {
	c := l.call
	if c == nil || c.done {
		s.closeLink(l, badAnswer) // its call was abandoned a moment ago, or nothing was asked
		return
	}
	c.done = true
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

// finishCall reports how a call ended, message by message.
func (s *Sender) finishCall(c *call, a answer) {
	s.eventsPending = true // what choice makes of it is for the next turn, if not for this one
	for _, t := range c.timers {
		s.cancelTimer(t)
	}
	if c.probe {
		s.choice.Probed(c.endpoint.id, a.result)
		return
	}
	s.countCall(c, a)
	took := s.Now() - c.beganAt
	for _, m := range c.messages {
		if m.inFlight == c { // else it was cancelled before
			s.reportOutcome(c, m, c.outcome(m, a, took), a.report)
		}
	}
}

// outcome is what the answer to a call says of one of its messages.
func (c *call) outcome(m *message, a answer, took choice.Time) choice.Outcome {
	o := choice.Outcome{Message: m.ID, Attempt: m.attempts - 1, Endpoint: c.endpoint.id, Took: took, Result: a.result,
		Final: a.final, RetryAfter: a.wait, NoSlot: a.noSlot, Report: a.loadReport(), Reused: c.reused, Closed: a.close}
	if len(c.messages) > 1 && a.result == choice.Done {
		o.Result, o.Final = choice.Unreadable, false // unless the answer has its state
		if status, known := bulkStates[a.states[m.ID]]; known {
			o.Result, o.Final = resultOf(status)
		}
	}
	if len(c.messages) == 1 && o.Result != choice.Rejected {
		o.RetryAfter = 0 // Retry-After counts with a rejection only, but with any answer to a bulk call
	}
	return o
}

// reportOutcome reports the outcome of an attempt to package choice, and ends the message where nothing more is to be done.
func (s *Sender) reportOutcome(c *call, m *message, o choice.Outcome, report []float64) {
	m.inFlight = nil
	s.log.Debug("outcome", zap.String("id", string(m.ID)), zap.String("to", string(c.endpoint.id)),
		zap.String("result", resultNames[o.Result]), zap.Float64("took_ms", float64(o.Took)/float64(choice.Millisecond)),
		zap.Float64("wait_ms", float64(o.RetryAfter)/float64(choice.Millisecond)), zap.Float64s("report", report))
	mayRunBefore := m.MayRun
	s.recordOutcome(m, c, o)
	s.choice.Ended(o)
	if m.withdrawn {
		s.endWithdrawn(m, withdrawal.Ends(o, mayRunBefore))
	} else if o.Final {
		s.closeMessage(m)
	}
}

// recordOutcome notes whether an attempt may have run, and records it where an earlier record says that it may have and
// it has not.
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
