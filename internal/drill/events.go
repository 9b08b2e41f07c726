package drill

import (
	"bytes"
	"encoding/json"

	"flaxcove/choice"
	"flaxcove/internal/config"
	"flaxcove/internal/fielderror"
)

// handlers maps the name of an event on the wire to its handler.
var handlers = map[string]func(*hostedSender, *fields) error{
	"start":         (*hostedSender).start,
	"targets":       (*hostedSender).updateEndpoints,
	"knock":         (*hostedSender).acceptMessage,
	"left":          (*hostedSender).withdrawMessage,
	"inbox":         (*hostedSender).receiveGossip,
	"crash_now":     (*hostedSender).crash,
	"finished":      (*hostedSender).endAttempt,
	"timeout_fired": (*hostedSender).fireTimer,
	"health_result": (*hostedSender).endHealthCheck,
	"started":       (*hostedSender).startStream,
}

// stages maps the name of an endpoint's stage on the wire to the stage.
var stages = map[string]choice.Stage{
	"ready": choice.Ready, "draining": choice.Draining, "gone": choice.Gone,
}

// results maps the name of an outcome on the wire to the result.
var results = map[string]choice.Result{
	"OK": choice.Done, "INTERNAL": choice.Errored, "RESOURCE_EXHAUSTED": choice.Rejected,
	"DEADLINE_EXCEEDED": choice.TimedOut, "UNAVAILABLE": choice.ConnectFailed,
	"ABORTED": choice.Reset, "CANCELLED": choice.Cancelled, "TOO_LATE": choice.NotRun,
}

// hostedSender is one sender, with the lines that it has written in the current batch.
type hostedSender struct {
	id           choice.SenderID
	server       *server
	core         *choice.Sender // makes the decisions; nil while the sender is down
	reportFields []string       // names of the fields of load reports
	classCount   int
	output       bytes.Buffer
	hadEvent     bool // whether the current batch has an event of the sender
}

func lookUp[V any](f *fields, field string, values map[string]V) V {
	text := f.text(field)
	v, known := values[text]
	if !known {
		f.fail(field, "unknown value %q", text)
	}
	return v
}

// readItem reads one endpoint of a list.
func readItem(f *fields) (choice.Entry, error) {
	var e choice.Entry
	f.next("readyAt")
	e.Kind = choice.KindNo(f.integerOr("generationHw", 0))
	e.Rating = f.numberOr("rating", 1)
	e.Endpoint = choice.EndpointID(f.text("endpoint"))
	e.Zone = choice.ZoneNo(f.integerOr("failureDomain", 0))
	e.Destination = choice.DestinationID(f.numberOr("ownerNo", 0))
	e.Stage = lookUp(f, "stageState", stages)
	return e, f.end()
}

func (s *hostedSender) start(f *fields) error {
	seed := f.integer("rngSeed")
	text := f.remainder("bootInfo")
	if f.err != nil {
		return f.err
	}
	var b config.Boot // the JSON decoder prints the name Boot in its errors
	if err := json.Unmarshal([]byte(text), &b); err != nil {
		return &fielderror.Error{Field: "bootInfo", Err: err}
	}
	settings, err := b.Settings(false)
	if err != nil {
		return &fielderror.Error{Field: "bootInfo", Err: err}
	}
	s.output.Reset()
	s.reportFields, s.classCount = b.Stats.Fields, len(b.Classes)
	s.core = choice.NewSender(s, s.id, seed, settings)
	return nil
}

func (s *hostedSender) updateEndpoints(f *fields) error {
	scope := f.text("scope")
	f.integerOr("index", 0)
	catalog := f.integerOr("rosterId", 0)
	if err := f.end(); err != nil || s.core == nil {
		return err
	}
	if scope == "X" {
		return nil // there is nobody to ask for a list, as the simulator sends lists on its own; the old one remains in force
	}
	if scope != "D" && scope != "F" && scope != "C" {
		return fielderror.New("scope", "unknown value %q", scope)
	}
	if catalog < 0 || catalog >= catalogCount {
		return fielderror.New("rosterId", "there is no list %d", catalog)
	}
	s.core.UpdateEndpoints(s.server.catalogs[catalog], scope != "D")
	return nil
}

func (s *hostedSender) acceptMessage(f *fields) error {
	m := choice.Message{ID: choice.MessageID(f.text("rid"))}
	m.Class = choice.ClassNo(f.integer("cls"))
	m.Account = choice.AccountNo(f.integerOr("project", 0))
	m.Key = choice.OrderKey(f.integerOr("pathKey", int64(choice.NoKey)))
	m.Deadline = config.RoundDown(f.integer("dropDead"))
	f.integerOr("effort", 0)
	m.Destination = choice.DestinationID(f.numberOr("destination", 0))
	f.integerOr("options", 0)
	if err := f.end(); err != nil || s.core == nil {
		return err
	}
	if m.Class < 0 || int(m.Class) >= s.classCount {
		return fielderror.New("cls", "there is no class %d", m.Class)
	}
	s.core.Accept(m)
	return nil
}

func (s *hostedSender) withdrawMessage(f *fields) error {
	id := f.text("rid")
	if err := f.end(); err != nil || s.core == nil {
		return err
	}
	s.core.Withdraw(choice.MessageID(id))
	return nil
}

func (s *hostedSender) receiveGossip(f *fields) error {
	f.integer("neighbour")
	note := f.bytes("contents")
	if err := f.end(); err != nil || s.core == nil {
		return err
	}
	s.core.ReceiveNote(note)
	return nil
}

func (s *hostedSender) crash(f *fields) error {
	s.core = nil
	s.output.Reset()
	return f.end()
}

func (s *hostedSender) endAttempt(f *fields) error {
	o := choice.Outcome{Message: choice.MessageID(f.text("rid"))}
	o.Duration = config.RoundUp(f.integerOr("duration", 0))
	o.Attempt = int(f.integer("shot"))
	o.Endpoint = choice.EndpointID(f.text("endpoint"))
	o.Final = f.boolean("terminal")
	o.Result = lookUp(f, "outcome", results)
	detail := f.integerOr("detail", 0)
	if o.Result == choice.Rejected && detail > 0 {
		// Retry-After is counted from a clock whose time may lie between two values of choice.Time, so it is rounded
		// up.
		o.RetryAfter = choice.Time(detail)*choice.Millisecond + 1
	}
	o.NoSlot = o.Result == choice.NotRun && detail == 1
	o.Report = s.report(f.numbers("healthInfo"))
	if err := f.end(); err != nil || s.core == nil {
		return err
	}
	s.core.AttemptEnded(o)
	return nil
}

func (s *hostedSender) report(values []float64) choice.Report {
	var r choice.Report
	for i, field := range s.reportFields {
		if i >= len(values) {
			break
		}
		switch field {
		case "x0":
			r.Known, r.Left = true, values[i]
		case "x1":
			r.Known, r.Limit = true, values[i]
		}
	}
	return r
}

func (s *hostedSender) fireTimer(f *fields) error {
	id := f.integer("nonce")
	if err := f.end(); err != nil || s.core == nil {
		return err
	}
	s.core.TimerFired(choice.TimerID(id))
	return nil
}

func (s *hostedSender) endHealthCheck(f *fields) error {
	id := choice.EndpointID(f.text("endpoint"))
	result := lookUp(f, "outcome", results)
	f.integerOr("duration", 0)
	f.numbers("healthInfo")
	if err := f.end(); err != nil || s.core == nil {
		return err
	}
	s.core.ProbeEnded(id, result)
	return nil
}

// startStream reads the event and ignores it, since no class of this protocol streams its answers.
func (s *hostedSender) startStream(f *fields) error {
	f.text("rid")
	f.integer("shot")
	f.text("endpoint")
	f.integerOr("duration", 0)
	return f.end()
}
