// Package sim is the laboratory's engine in simulated time: it plays a world and many senders as a sequence of events.
//
// node.go models the parts of a sender that internal/sender implements with sockets: ticks, connections, timeouts, and the
// record of messages that survives a kill. Decisions come from a Policy, which is choice.Sender or a baseline. The package
// must not depend on real time, start a goroutine or depend on the order of a map, so that the same seed replays a run
// exactly.
package sim

import (
	"fmt"
	"runtime"
	"syscall"
	"time"

	"flaxcove/choice"
	"flaxcove/lab/load"
	"flaxcove/lab/referee"
	"flaxcove/lab/world"
)

// Policy makes the decisions of a sender. choice.Sender implements it and documents the methods.
type Policy interface {
	UpdateEndpoints(entries []choice.Entry, whole bool)
	Accept(choice.Message)
	Withdraw(choice.MessageID)
	AttemptEnded(choice.Outcome)
	ProbeEnded(choice.EndpointID, choice.Result)
	TimerFired(choice.TimerID)
	TurnEnd()
	MaySend(choice.EndpointID, ...choice.MessageID) bool
}

// NewPolicy starts a policy for one incarnation of a sender. The parameter w is for baselines that may see the true state of
// the world.
type NewPolicy func(h choice.Host, id choice.SenderID, seed int64, set choice.Settings, w *world.World) Policy

// ChoicePolicy starts choice.Sender, which real senders use.
func ChoicePolicy(h choice.Host, id choice.SenderID, seed int64, set choice.Settings, _ *world.World) Policy {
	return choice.NewSender(h, id, seed, set)
}

// Options are the inputs of a run.
type Options struct {
	Spec   *world.Spec
	Seed   uint64
	Policy NewPolicy              // nil for ChoicePolicy
	Adjust func(*choice.Settings) // changes the settings of each incarnation, for a variant; nil for no change
	Trace  []load.Arrival         // arrivals that replace the spec's load; nil for none
	Until  func() bool            // called once each simulated second; true ends the run with ErrStopped; nil for never
	Watch  func(now choice.Time)  // called once each simulated second; nil for none
	// Outcome, if not nil, is called when an endpoint's part in a call ends. The status is 0 if there is no answer.
	Outcome func(now choice.Time, c *world.Call, status int)
	// Allowed, if not nil, reports whether a sender may use an endpoint for a message, as a routing plan does.
	Allowed func(now choice.Time, by world.SenderNo, n choice.MessageID, e choice.EndpointID) bool
}

// ErrStopped is the error of a run that Options.Until ended.
var ErrStopped = fmt.Errorf("stopped")

// Run plays a scenario to its end, and on until every message has been judged.
func Run(o Options) (*referee.Verdict, error) {
	began, cpu := time.Now(), cpuTime()
	e, judge, err := newEngine(o)
	if err != nil {
		return nil, err
	}
	for _, n := range e.nodes {
		if err := n.start(e.w.InitialList()); err != nil {
			return nil, err
		}
	}
	e.w.Begin()
	events, err := e.play()
	if err != nil {
		return nil, err
	}
	v := judge.Verdict()
	v.Engine, v.Seed = "simulated", o.Seed
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	v.EngineFigures = &referee.EngineFigures{WallS: time.Since(began).Seconds(), CPUS: (cpuTime() - cpu).Seconds(),
		MemoryMB: float64(mem.Sys) / (1 << 20), Events: events}
	return v, nil
}

// newEngine creates the world, its referee and the senders. It starts none of the senders.
func newEngine(o Options) (*engine, *referee.Referee, error) {
	e := &engine{opts: o}
	if o.Policy == nil {
		e.opts.Policy = ChoicePolicy
	}
	events := &ledger{}
	w, err := world.New(o.Spec, o.Seed, e, events, o.Trace)
	if err != nil {
		return nil, nil, err
	}
	judge := referee.New(o.Spec, w.Now, 0)
	events.Ledger = judge
	if o.Outcome != nil {
		events.onOutcome = func(c *world.Call, status int) { o.Outcome(w.Now(), c, status) }
	}
	e.w = w
	for i := range o.Spec.Senders {
		e.nodes = append(e.nodes, &node{e: e, no: world.SenderNo(i)})
	}
	return e, judge, nil
}

// play runs the world's events until every message has been judged, and returns the number of events.
func (e *engine) play() (events int64, err error) {
	w, second := e.w, choice.Time(0)
	end := w.End() + timeAfterEnd(e.opts.Spec)
	for {
		at, more := w.Next()
		if !more || at > end {
			break
		}
		w.Advance(at)
		events++
		if at/choice.Second > second {
			second = at / choice.Second
			if e.opts.Until != nil && e.opts.Until() {
				return events, ErrStopped
			}
			if e.opts.Watch != nil {
				e.opts.Watch(at)
			}
		}
	}
	w.Advance(end)
	return events, nil
}

// timeAfterEnd returns how long a run continues after the last new message: the longest deadline, Rules.LateMS, and 2.5 s in
// which late events reach the referee.
func timeAfterEnd(spec *world.Spec) choice.Time {
	longest := 0.0
	for i := range spec.Classes {
		longest = max(longest, spec.Classes[i].DeadlineMS)
	}
	return choice.Time((longest + spec.Rules.LateMS + 2500) * float64(choice.Millisecond))
}

// cpuTime returns the CPU time that this process has used, or 0 if that cannot be read.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// ledger forwards events to the referee. It resolves a cycle at the start: the world needs a ledger, and the referee needs
// the world's clock.
type ledger struct {
	world.Ledger
	onOutcome func(c *world.Call, status int) // Options.Outcome; nil for none
}

func (l *ledger) Outcome(c *world.Call, status int) {
	l.Ledger.Outcome(c, status)
	if l.onOutcome != nil {
		l.onOutcome(c, status)
	}
}

// engine implements world.Wire for senders in simulated time.
type engine struct {
	opts  Options
	w     *world.World
	nodes []*node
}

func (e *engine) ConnUp(c *world.Conn)                      { e.nodes[c.Sender].connUp(c) }
func (e *engine) ConnDown(c *world.Conn, why world.ConnEnd) { e.nodes[c.Sender].connDown(c, why) }
func (e *engine) Answered(c *world.Conn, _ *world.Call, a world.Answer) {
	e.nodes[c.Sender].answered(c, a)
}

// AnsweredAgain does nothing: this engine has no bytes on a connection that could be taken for another answer.
func (e *engine) AnsweredAgain(*world.Conn, *world.Call, world.Answer) {}

func (e *engine) ListUpdate(to world.SenderNo, l world.List) { e.nodes[to].updateEndpoints(l) }
func (e *engine) ListFailed(world.SenderNo)                  {} // the old list stays in force
func (e *engine) HandIn(h *world.HandIn)                     { e.nodes[h.Sender].admit(h) }

// AcceptingChanged does nothing: world.World.Dial itself checks whether the endpoint accepts connections.
func (e *engine) AcceptingChanged(*world.Endpoint, bool) {}

// Datagram does nothing: senders in simulated time do not exchange datagrams.
func (e *engine) Datagram(world.SenderNo, world.SenderNo, []byte) {}

// Act performs the action of a fault on a sender's process.
func (e *engine) Act(on world.SenderNo, what world.Action) {
	n := e.nodes[on]
	switch what {
	case world.Kill:
		n.kill()
	case world.Start:
		if n.alive {
			return // of two overlapping faults that killed the process, the first to end has restarted it
		}
		// The new process knows only the list from the start of the run, as after a long outage.
		if err := n.start(e.w.InitialList()); err != nil {
			panic(err) // cannot fail, since the same settings were parsed at the start of the run
		}
	case world.Term:
		n.beginShutdown()
	case world.Pause:
		n.pause(true)
	case world.Continue:
		n.pause(false)
	case world.IdleConnectionsOn, world.IdleConnectionsOff, world.MalformedCommandsOn, world.MalformedCommandsOff, world.BreakConfig, world.ReloadConfig:
		// This engine models neither clients' connections nor configuration files; package live plays these faults.
	}
}
