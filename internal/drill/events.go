package drill

import (
	"encoding/json"
	"fmt"

	"flaxcove/choice"
	"flaxcove/internal/config"
)

var events = map[string]func(*seat, *parts) error{
	"start":         (*seat).start,
	"targets":       (*seat).targets,
	"knock":         (*seat).knock,
	"left":          (*seat).left,
	"inbox":         (*seat).inbox,
	"crash_now":     (*seat).crash,
	"finished":      (*seat).finished,
	"timeout_fired": (*seat).timerFired,
	"health_result": (*seat).healthResult,
	"started":       (*seat).started,
}

var stages = map[string]choice.Stage{
	"ready": choice.Ready, "draining": choice.Draining, "gone": choice.Gone,
}

var results = map[string]choice.Result{
	"OK": choice.Done, "INTERNAL": choice.Errored, "RESOURCE_EXHAUSTED": choice.Full,
	"DEADLINE_EXCEEDED": choice.TimedOut, "UNAVAILABLE": choice.ConnectFailed,
	"ABORTED": choice.Reset, "CANCELLED": choice.Cancelled, "TOO_LATE": choice.Moot,
}

func lookUp[V any](p *parts, field string, words map[string]V) V {
	word := p.text(field)
	v, known := words[word]
	if !known {
		p.fail(field, "unknown word %q", word)
	}
	return v
}

func readItem(p *parts) (choice.Entry, error) {
	var e choice.Entry
	p.next("readyAt")
	e.Kind = choice.KindNo(p.wholeOr("generationHw", 0))
	e.Rating = p.realOr("rating", 1)
	e.Endpoint = choice.EndpointID(p.text("endpoint"))
	e.Zone = choice.ZoneNo(p.wholeOr("failureDomain", 0))
	e.Destination = choice.DestinationID(p.realOr("ownerNo", 0))
	e.Stage = lookUp(p, "stageState", stages)
	return e, p.end()
}

func (s *seat) start(p *parts) error {
	seed := p.whole("rngSeed")
	text := p.remainder("bootInfo")
	if p.err != nil {
		return p.err
	}
	var b config.Boot
	if err := json.Unmarshal([]byte(text), &b); err != nil {
		return fmt.Errorf("field bootInfo: %s", err)
	}
	set, err := b.Settings(false)
	if err != nil {
		return fmt.Errorf("field bootInfo: %w", err)
	}
	s.said.Reset()
	s.fields, s.classes = b.Stats.Fields, len(b.Classes)
	s.module = choice.Start(s, s.id, seed, set)
	return nil
}

func (s *seat) targets(p *parts) error {
	scope := p.text("scope")
	p.wholeOr("index", 0)
	no := p.wholeOr("rosterId", 0)
	if err := p.end(); err != nil || s.module == nil {
		return err
	}
	if scope == "X" {
		return nil // nothing is asked for, as the list is pushed; the old one stays in force
	}
	if scope != "D" && scope != "F" && scope != "C" {
		return fmt.Errorf("field scope: unknown word %q", scope)
	}
	if no < 0 || no >= int64(len(s.d.catalogs)) {
		return fmt.Errorf("field rosterId: no list %d", no)
	}
	s.module.UpdateEndpoints(s.d.catalogs[no], scope != "D")
	return nil
}

func (s *seat) knock(p *parts) error {
	n := choice.Message{ID: choice.MessageID(p.text("rid"))}
	n.Class = choice.ClassNo(p.whole("cls"))
	n.Account = choice.AccountNo(p.wholeOr("project", 0))
	n.Key = choice.OrderKey(p.wholeOr("pathKey", int64(choice.NoKey)))
	n.Deadline = config.Down(p.whole("dropDead"))
	p.wholeOr("effort", 0)
	n.Destination = choice.DestinationID(p.realOr("destination", 0))
	p.wholeOr("options", 0)
	if err := p.end(); err != nil || s.module == nil {
		return err
	}
	if n.Class < 0 || int(n.Class) >= s.classes {
		return fmt.Errorf("field cls: no class %d", n.Class)
	}
	s.module.Taken(n)
	return nil
}

func (s *seat) left(p *parts) error {
	id := p.text("rid")
	if err := p.end(); err != nil || s.module == nil {
		return err
	}
	s.module.Withdrawn(choice.MessageID(id))
	return nil
}

func (s *seat) inbox(p *parts) error {
	p.whole("neighbour")
	note := p.bytes("contents")
	if err := p.end(); err != nil || s.module == nil {
		return err
	}
	s.module.Heard(note)
	return nil
}

func (s *seat) crash(p *parts) error {
	s.module = nil
	s.said.Reset()
	return p.end()
}

func (s *seat) finished(p *parts) error {
	o := choice.Outcome{Message: choice.MessageID(p.text("rid"))}
	o.Took = config.Up(p.wholeOr("duration", 0))
	o.Attempt = int(p.whole("shot"))
	o.Endpoint = choice.EndpointID(p.text("endpoint"))
	o.Final = p.truth("terminal")
	o.Result = lookUp(p, "outcome", results)
	detail := p.wholeOr("detail", 0)
	if o.Result == choice.Full && detail > 0 {
		// A told wait is counted from a clock that may lie inside a tenth.
		o.Wait = choice.Time(detail)*choice.Millisecond + 1
	}
	o.NoSlot = o.Result == choice.Moot && detail == 1
	o.Report = s.report(p.row("healthInfo"))
	if err := p.end(); err != nil || s.module == nil {
		return err
	}
	s.module.Ended(o)
	return nil
}

func (s *seat) report(row []float64) choice.Report {
	var r choice.Report
	for i, field := range s.fields {
		if i >= len(row) {
			break
		}
		switch field {
		case "x0":
			r.Known, r.Left = true, row[i]
		case "x1":
			r.Known, r.Limit = true, row[i]
		}
	}
	return r
}

func (s *seat) timerFired(p *parts) error {
	id := p.whole("nonce")
	if err := p.end(); err != nil || s.module == nil {
		return err
	}
	s.module.TimerDue(choice.TimerID(id))
	return nil
}

func (s *seat) healthResult(p *parts) error {
	id := choice.EndpointID(p.text("endpoint"))
	result := lookUp(p, "outcome", results)
	p.wholeOr("duration", 0)
	p.row("healthInfo")
	if err := p.end(); err != nil || s.module == nil {
		return err
	}
	s.module.Probed(id, result)
	return nil
}

// started is legal on the wire, but no class of this family streams its answers.
func (s *seat) started(p *parts) error {
	p.text("rid")
	p.whole("shot")
	p.text("endpoint")
	p.wholeOr("duration", 0)
	return p.end()
}
