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

// rough is a world with some of each fault that tempts a sender to break a rule.
func rough() *world.Spec {
	s := world.Base()
	s.Name, s.Seconds, s.Senders, s.Zones = "rough", 25, 3, 2
	s.Load.Rate, s.Load.Zipf = 60, 0.6
	s.Load.Keys = 2
	s.Classes = []world.Class{
		{Name: "status", Repeat: "replayable", Share: 2, LatencyObjectiveMS: 800, DeadlineMS: 5000, Value: 1, LateValue: 0.1},
		{Name: "order", Repeat: "single-use", Share: 1, LatencyObjectiveMS: 2000, DeadlineMS: 8000, Value: 3, LateValue: 0.5},
		{Name: "ledger", Repeat: "replayable", Share: 1, LatencyObjectiveMS: 2000, DeadlineMS: 8000, Value: 2, LateValue: 0.5, Ordered: true},
	}
	s.Partners = []world.Kind{{Name: "plain", Count: 5, Endpoints: world.Pair{1, 3}, SlowStartS: 10, SlowStartFrom: 0.1, Headroom: world.Pair{1.2, 1.6}},
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

// wrong is a sender's policy that goes wrong in one way.
type wrong struct {
	sim.Policy
	h   *host
	how string
}

type host struct {
	choice.Host
	how  string
	w    *world.World
	out  map[choice.MessageID]sent
	over map[choice.MessageID]bool // done, though its policy may not have heard
	last choice.EndpointID
}

type sent struct {
	to    choice.EndpointID
	at    choice.Time
	tries int
}

func (h *host) Fail(n choice.MessageID) {
	if h.how != "forgets ends" {
		h.Host.Fail(n)
	}
}

func (h *host) Shed(n choice.MessageID, in choice.Time) {
	if h.how != "forgets ends" {
		h.Host.Shed(n, in)
	}
}

func (h *host) Attempt(n choice.MessageID, to choice.EndpointID, timeOut choice.Time) {
	if h.how == "sends elsewhere" && h.last != "" {
		to, h.last = h.last, to
	} else {
		h.last = to
	}
	if h.over[n] {
		return
	}
	s := h.out[n]
	h.out[n] = sent{to, h.Now(), s.tries + 1}
	h.Host.Attempt(n, to, timeOut)
}

func (p *wrong) Ended(o choice.Outcome) {
	if o.Final {
		p.h.over[o.Message] = true
	}
	switch p.how {
	case "repeats what may have run":
		if o.Result == choice.Errored || o.Result == choice.Reset || o.Result == choice.TimedOut {
			o.Result = choice.Rejected
		}
	case "passes over waits":
		if o.Result == choice.Rejected {
			o.RetryAfter, o.Result = 0, choice.Errored
		}
	}
	p.Policy.Ended(o)
}

func (p *wrong) Taken(n choice.Message) {
	if p.how == "forgets keys" {
		n.Key = choice.NoKey
	}
	p.Policy.Taken(n)
}

func (p *wrong) UpdateEndpoints(entries []choice.Entry, whole bool) {
	if p.how == "passes over drains" {
		entries = append([]choice.Entry(nil), entries...)
		for i := range entries {
			entries[i].Stage = choice.Ready
		}
	}
	p.Policy.UpdateEndpoints(entries, whole)
}

func (p *wrong) TurnEnd() {
	if p.how == "sends twice at once" {
		for id, s := range p.h.out {
			if p.h.Now()-s.at > 60*choice.Millisecond {
				delete(p.h.out, id)
				p.Policy.Ended(choice.Outcome{Message: id, Attempt: s.tries - 1, Endpoint: s.to, Took: 1, Result: choice.ConnectFailed})
			}
		}
	}
	p.Policy.TurnEnd()
}

func play(t *testing.T, spec *world.Spec, how string) *referee.Verdict {
	t.Helper()
	make := func(h choice.Host, id choice.SenderID, seed int64, set choice.Settings, w *world.World) sim.Policy {
		if how == "pushes over" {
			return baseline.Named("one_try")(h, id, seed, set, w)
		}
		mine := &host{Host: h, how: how, w: w, out: map[choice.MessageID]sent{}, over: map[choice.MessageID]bool{}}
		return &wrong{sim.ChoicePolicy(mine, id, seed, set, w), mine, how}
	}
	v, err := sim.Run(sim.Options{Spec: spec, Seed: 3, Policy: make})
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// Each rule has a sender that breaks it, and is caught; the same sender with nothing wrong breaks none.
func TestRulesDetectViolations(t *testing.T) {
	if v := play(t, rough(), "not at all"); v.Broken() {
		t.Fatalf("a sender that is right breaks %v: %v", v.Rules, v.Violations)
	}
	for how, rule := range map[string]referee.Rule{
		"forgets ends":              referee.Lost,
		"repeats what may have run": referee.Twice,
		"sends twice at once":       referee.Twice,
		"passes over drains":        referee.Drains,
		"pushes over":               referee.Returns,
		"forgets keys":              referee.Order,
		"passes over waits":         referee.Waits,
		"sends elsewhere":           referee.Elsewhere,
	} {
		t.Run(how, func(t *testing.T) {
			spec := rough()
			if how == "pushes over" {
				spec.Load.Rate = 200
				spec.Partners[0].Headroom = world.Pair{1, 1}
				spec.Faults = spec.Faults[:1]
				spec.Defaults()
			}
			v := play(t, spec, how)
			if v.Rules[rule] == 0 || v.Figure != 0 {
				t.Errorf("not caught: %v, figure %g", v.Rules, v.Figure)
			}
		})
	}
}

// ledger reports events to a referee one at a time, to show how events of the same instant count.
type ledger struct {
	r       *referee.Referee
	now     choice.Time
	request *world.Request
	end     *world.Endpoint
}

func newLedger(repeat string) *ledger {
	s := rough()
	l := &ledger{}
	l.r = referee.New(s, func() choice.Time { return l.now }, 0)
	w := s.Classes[0]
	w.Repeat = repeat
	l.request = &world.Request{No: 1, Class: &w, Deadline: 50000}
	l.request.At = 20000
	kind := s.Partners[0]
	l.end = &world.Endpoint{ID: "e", Partner: &world.Partner{Kind: &kind}}
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
	c := &world.Call{Conn: &world.Conn{Endpoint: l.end}, Messages: []*world.HandIn{h}, SentAt: l.now}
	l.r.CallSent(c)
	l.r.InFlightChanged(c, true)
	return c
}

// Two things at one instant count in the order in which they left whoever caused them.
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
	l.r.Delivered(h, l.end)
	l.r.Ended(h, world.EndFailed) // its sender gave up at the instant of the answer
	show("answer, then time-out", l)

	l = newLedger("single-use")
	h = l.handIn()
	l.r.HandInAnswered(h, world.HandInAccepted)
	l.r.Sender(0, false) // killed at the instant of its +OK
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
	l.r.StageAnnounced(0, l.end, choice.Draining)
	l.now += 5000 // the grace of 500 ms to the tenth
	c = l.call(h)
	l.r.Outcome(c, 200)
	l.r.InFlightChanged(c, false)
	l.r.Delivered(h, l.end)
	show("drain, then a call as the grace ends", l)

	l = newLedger("replayable")
	h = l.handIn()
	l.r.HandInAnswered(h, world.HandInAccepted)
	l.r.StageAnnounced(0, l.end, choice.Draining)
	l.now += 5001
	c = l.call(h)
	l.r.Outcome(c, 200)
	l.r.InFlightChanged(c, false)
	l.r.Delivered(h, l.end)
	show("drain, then a call a tenth later", l)

	l = newLedger("replayable")
	h = l.handIn()
	l.r.HandInAnswered(h, world.HandInAccepted)
	c = l.call(h)
	l.r.Outcome(c, 503)
	l.r.InFlightChanged(c, false)
	c = l.call(h) // at the instant of the refusal: the first is over
	l.r.Outcome(c, 200)
	l.r.InFlightChanged(c, false)
	l.r.Delivered(h, l.end)
	show("refusal, then the next call", l)
	// Output:
	// answer, then time-out: delivered 1, broken map[]
	// +OK, then kill: delivered 0, broken map[lost:1]
	// kill, then no +OK: delivered 0, broken map[]
	// drain, then a call as the grace ends: delivered 1, broken map[]
	// drain, then a call a tenth later: delivered 1, broken map[drains:1]
	// refusal, then the next call: delivered 1, broken map[]
}
