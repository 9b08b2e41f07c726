package referee_test

import (
	"fmt"
	"testing"

	"flaxcove/choice"
	"flaxcove/lab/baseline"
	"flaxcove/lab/referee"
	"flaxcove/lab/sim"
	"flaxcove/lab/world"
)

// faultySpec returns a world with faults, limits and a drain, under which a sender with a defect breaks a rule.
func faultySpec() *world.Spec {
	s := world.DefaultSpec()
	s.Name, s.Seconds, s.Senders, s.Zones = "rough", 25, 3, 2
	s.Load.Rate, s.Load.Zipf = 60, 0.6
	s.Load.Keys = 2
	s.Classes = []world.Class{
		{Name: "status", Repeat: "replayable", Share: 2, LatencyObjectiveMS: 800, DeadlineMS: 5000, Value: 1, LateValue: 0.1},
		{Name: "order", Repeat: "single-use", Share: 1, LatencyObjectiveMS: 2000, DeadlineMS: 8000, Value: 3, LateValue: 0.5},
		{Name: "ledger", Repeat: "replayable", Share: 1, LatencyObjectiveMS: 2000, DeadlineMS: 8000, Value: 2, LateValue: 0.5, Ordered: true},
	}
	s.Partners = []world.PartnerKind{{Name: "plain", Count: 5, Endpoints: world.Pair{1, 3}, SlowStartS: 10, SlowStartFrom: 0.1, Headroom: world.Pair{1.2, 1.6}},
		{Name: "strict", Count: 3, Limit: "span", SpanS: 2, RetryAfterShare: 1, LimitTimes: world.Pair{0.8, 1.1}}}
	s.Faults = []world.Fault{
		{Kind: "crash", At: 4, Seconds: 3, Selector: world.Selector{Kind: "plain", Share: 0.4}},
		{Kind: "failing", At: 10, Seconds: 4, Amount: 0.4, Selector: world.Selector{Kind: "plain"}},
		{Kind: "sender_kill", At: 14, Seconds: 1, Selector: world.Selector{Share: 0.3}},
	}
	s.Changes = []world.ListEvent{{Change: "drain", At: 8, Selector: world.Selector{Kind: "plain", Endpoint: 1, Partners: []int{0, 1, 2, 3, 4}}},
		{Change: "back", At: 16, Selector: world.Selector{Kind: "plain", Endpoint: 1, Partners: []int{0, 1, 2, 3, 4}}}}
	s.Defaults()
	if p := s.Check(); p != nil {
		panic(p)
	}
	return &s
}

// faultyPolicy is the project's own policy with one defect.
type faultyPolicy struct {
	sim.Policy
	host   *faultyHost
	defect string
}

// faultyHost is the host of a faultyPolicy. It has those defects that concern the calls of the policy to its host.
type faultyHost struct {
	choice.Host
	defect       string
	w            *world.World
	inFlight     map[choice.MessageID]sent
	ended        map[choice.MessageID]bool // delivered, even if the policy has been told of another result
	lastEndpoint choice.EndpointID
}

// sent is the last attempt to deliver a message.
type sent struct {
	to       choice.EndpointID
	at       choice.Time
	attempts int
}

func (h *faultyHost) Fail(n choice.MessageID) {
	if h.defect != "reports no ends" {
		h.Host.Fail(n)
	}
}

func (h *faultyHost) Shed(n choice.MessageID, in choice.Time) {
	if h.defect != "reports no ends" {
		h.Host.Shed(n, in)
	}
}

func (h *faultyHost) Attempt(n choice.MessageID, to choice.EndpointID, in choice.CallID, timeOut choice.Time) {
	if h.defect == "sends to another partner" && h.lastEndpoint != "" {
		to, h.lastEndpoint = h.lastEndpoint, to
	} else {
		h.lastEndpoint = to
	}
	if h.ended[n] {
		return
	}
	s := h.inFlight[n]
	h.inFlight[n] = sent{to, h.Now(), s.attempts + 1}
	h.Host.Attempt(n, to, in, timeOut)
}

func (p *faultyPolicy) AttemptEnded(o choice.Outcome) {
	if o.Final {
		p.host.ended[o.Message] = true
	}
	switch p.defect {
	case "repeats uncertain attempts":
		if o.Result == choice.Errored || o.Result == choice.Reset || o.Result == choice.TimedOut {
			o.Result = choice.Rejected
		}
	case "ignores Retry-After":
		if o.Result == choice.Rejected {
			o.RetryAfter, o.Result = 0, choice.Errored
		}
	}
	p.Policy.AttemptEnded(o)
}

func (p *faultyPolicy) Accept(n choice.Message) {
	if p.defect == "ignores ordering keys" {
		n.Key = choice.NoKey
	}
	p.Policy.Accept(n)
}

func (p *faultyPolicy) UpdateEndpoints(entries []choice.Entry, whole bool) {
	if p.defect == "ignores drains" {
		entries = append([]choice.Entry(nil), entries...)
		for i := range entries {
			entries[i].Stage = choice.Ready
		}
	}
	p.Policy.UpdateEndpoints(entries, whole)
}

func (p *faultyPolicy) TurnEnd() {
	if p.defect == "makes two attempts at once" {
		for id, s := range p.host.inFlight {
			if p.host.Now()-s.at > 60*choice.Millisecond {
				delete(p.host.inFlight, id)
				p.Policy.AttemptEnded(choice.Outcome{Message: id, Attempt: s.attempts - 1, Endpoint: s.to, Duration: 1, Result: choice.ConnectFailed})
			}
		}
	}
	p.Policy.TurnEnd()
}

// runWithDefect plays a spec with senders that have the defect, and returns the verdict.
func runWithDefect(t *testing.T, spec *world.Spec, defect string) *referee.Verdict {
	t.Helper()
	make := func(h choice.Host, id choice.SenderID, seed int64, set choice.Settings, w *world.World) sim.Policy {
		if defect == "overloads in slow start" {
			return baseline.Named("one_try")(h, id, seed, set, w)
		}
		mine := &faultyHost{Host: h, defect: defect, w: w, inFlight: map[choice.MessageID]sent{}, ended: map[choice.MessageID]bool{}}
		return &faultyPolicy{sim.ChoicePolicy(mine, id, seed, set, w), mine, defect}
	}
	v, err := sim.Run(sim.Options{Spec: spec, Seed: 3, Policy: make})
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// For each rule, the referee detects a sender with a defect that breaks it. The same sender without a defect breaks no rule.
func TestRulesDetectViolations(t *testing.T) {
	if v := runWithDefect(t, faultySpec(), "none"); v.Broken() {
		t.Fatalf("a sender without a defect breaks %v: %v", v.Rules, v.Violations)
	}
	for defect, rule := range map[string]referee.Rule{
		"reports no ends":            referee.Lost,
		"repeats uncertain attempts": referee.Twice,
		"makes two attempts at once": referee.Twice,
		"ignores drains":             referee.Drains,
		"overloads in slow start":    referee.Returns,
		"ignores ordering keys":      referee.Order,
		"ignores Retry-After":        referee.Waits,
		"sends to another partner":   referee.Elsewhere,
	} {
		t.Run(defect, func(t *testing.T) {
			spec := faultySpec()
			if defect == "overloads in slow start" {
				spec.Load.Rate = 200
				spec.Partners[0].Headroom = world.Pair{1, 1}
				spec.Faults = spec.Faults[:1]
				spec.Defaults()
			}
			v := runWithDefect(t, spec, defect)
			if v.Rules[rule] == 0 || v.Figure != 0 {
				t.Errorf("rule %s: violations %v, want at least one of it; figure %g, want 0", rule, v.Rules, v.Figure)
			}
		})
	}
}

// ledger reports events to a referee one at a time. It shows how the referee counts events at the same time.
type ledger struct {
	r        *referee.Referee
	now      choice.Time
	request  *world.Request
	endpoint *world.Endpoint
}

func newLedger(repeat string) *ledger {
	s := faultySpec()
	l := &ledger{}
	l.r = referee.New(s, func() choice.Time { return l.now }, 0)
	w := s.Classes[0]
	w.Repeat = repeat
	l.request = &world.Request{No: 1, Class: &w, Deadline: 50000}
	l.request.At = 20000
	kind := s.Partners[0]
	l.endpoint = &world.Endpoint{ID: "e", Partner: &world.Partner{Kind: &kind}}
	l.now = 20000
	l.r.Sender(0, true)
	l.r.Requested(l.request)
	return l
}

func (l *ledger) handIn() *world.HandIn {
	h := &world.HandIn{ID: "n", Request: l.request, At: l.now, Deadline: 50000}
	l.r.HandedIn(h)
	return h
}

func (l *ledger) call(h *world.HandIn) *world.Call {
	c := &world.Call{Conn: &world.Conn{Endpoint: l.endpoint}, Messages: []*world.HandIn{h}, SentAt: l.now}
	l.r.CallSent(c)
	l.r.InFlightChanged(c, true)
	return c
}

// Events at the same time count in the order in which they left their origin.
func ExampleReferee() {
	show := func(what string, l *ledger) {
		l.now = 60000
		v := l.r.Verdict()
		fmt.Printf("%s: delivered %d, broken %v\n", what, v.Delivered, v.Rules)
	}

	l := newLedger("single-use")
	h := l.handIn()
	l.r.HandInAnswered(h, world.HandInAccepted)
	c := l.call(h)
	l.r.Outcome(c, 200)
	l.r.InFlightChanged(c, false)
	l.r.Delivered(h, l.endpoint)
	l.r.Ended(h, world.EndFailed) // the sender fails the message at the time of the answer
	show("answer, then timeout", l)

	l = newLedger("single-use")
	h = l.handIn()
	l.r.HandInAnswered(h, world.HandInAccepted)
	l.r.Sender(0, false) // the process is killed at the time of its +OK
	l.now += 10
	l.r.Sender(0, true)
	show("+OK, then kill", l)

	l = newLedger("single-use")
	h = l.handIn()
	l.r.Sender(0, false)
	l.r.HandInAnswered(h, world.HandInNoSender)
	show("kill, then no +OK", l)

	l = newLedger("replayable")
	h = l.handIn()
	l.r.HandInAnswered(h, world.HandInAccepted)
	l.r.StageAnnounced(0, l.endpoint, choice.Draining)
	l.now += 5000 // exactly the grace period of 500 ms
	c = l.call(h)
	l.r.Outcome(c, 200)
	l.r.InFlightChanged(c, false)
	l.r.Delivered(h, l.endpoint)
	show("drain, then a call at the end of the grace period", l)

	l = newLedger("replayable")
	h = l.handIn()
	l.r.HandInAnswered(h, world.HandInAccepted)
	l.r.StageAnnounced(0, l.endpoint, choice.Draining)
	l.now += 5001
	c = l.call(h)
	l.r.Outcome(c, 200)
	l.r.InFlightChanged(c, false)
	l.r.Delivered(h, l.endpoint)
	show("drain, then a call 0.1 ms after the grace period", l)

	l = newLedger("replayable")
	h = l.handIn()
	l.r.HandInAnswered(h, world.HandInAccepted)
	c = l.call(h)
	l.r.Outcome(c, 503)
	l.r.InFlightChanged(c, false)
	c = l.call(h) // at the time of the refusal, when the first call has ended
	l.r.Outcome(c, 200)
	l.r.InFlightChanged(c, false)
	l.r.Delivered(h, l.endpoint)
	show("refusal, then the next call", l)
	// Output:
	// answer, then timeout: delivered 1, broken map[]
	// +OK, then kill: delivered 0, broken map[lost:1]
	// kill, then no +OK: delivered 0, broken map[]
	// drain, then a call at the end of the grace period: delivered 1, broken map[]
	// drain, then a call 0.1 ms after the grace period: delivered 1, broken map[drains:1]
	// refusal, then the next call: delivered 1, broken map[]
}
