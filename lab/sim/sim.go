// Package sim is the laboratory's first engine: a world and many senders in simulated time.
//
// It owns the run and, in node.go, a sender's part around its decisions as internal/sender plays it on sockets: turns,
// connections, time-outs, and what is on record when its process is killed. Decisions come from a Policy, which
// choice.Sender is; others are baselines. It must never look at a clock, start a goroutine or hang on the order of a
// map: one seed replays a whole run.
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

// Policy is what decides in a sender: the methods of choice.Sender.
type Policy interface {
	UpdateEndpoints(entries []choice.Entry, whole bool)
	Taken(choice.Message)
	Withdrawn(choice.MessageID)
	Ended(choice.Outcome)
	Probed(choice.EndpointID, choice.Result)
	TimerDue(choice.TimerID)
	TurnEnd()
	Open(choice.EndpointID, ...choice.MessageID) bool
}

// NewPolicy starts a policy for one life of one sender. The world is for those that may see the truth.
type NewPolicy func(h choice.Host, id choice.SenderID, seed int64, set choice.Settings, w *world.World) Policy

// ChoicePolicy makes the project's own decisions.
func ChoicePolicy(h choice.Host, id choice.SenderID, seed int64, set choice.Settings, _ *world.World) Policy {
	return choice.Start(h, id, seed, set)
}

// Options are what a run is played with.
type Options struct {
	Spec   *world.Spec
	Seed   uint64
	Policy NewPolicy
	Adjust func(*choice.Settings) // a variant's change of settings; nil for none
	Trace  []load.Arrival
	Until  func() bool           // asked now and then; true ends the run early
	Watch  func(now choice.Time) // told about once a simulated second
	// Outcome, where given, sees each call as its endpoint ended it; status is 0 for no answer.
	Outcome func(now choice.Time, c *world.Call, status int)
	// Allowed, where given, is whether a sender may use an endpoint for a message at that time: a plan under trial.
	Allowed func(now choice.Time, by world.SenderNo, n choice.MessageID, e choice.EndpointID) bool
}

// ErrStopped ends a run whose caller no longer wants it.
var ErrStopped = fmt.Errorf("stopped")

// Run plays a scenario to its end, and on until nothing more can be judged.
func Run(o Options) (*referee.Verdict, error) {
	began, cpu := time.Now(), cpuTime()
	e := &engine{o: o}
	if o.Policy == nil {
		e.o.Policy = ChoicePolicy
	}
	var judge *referee.Referee
	lateLedger := &ledger{}
	w, err := world.New(o.Spec, o.Seed, e, lateLedger, o.Trace)
	if err != nil {
		return nil, err
	}
	judge = referee.New(o.Spec, w.Now, 0)
	lateLedger.Ledger = judge
	if o.Outcome != nil {
		lateLedger.onOutcome = func(c *world.Call, status int) { o.Outcome(w.Now(), c, status) }
	}
	e.w = w
	for i := range o.Spec.Senders {
		n := &node{e: e, no: world.SenderNo(i)}
		e.nodes = append(e.nodes, n)
	}
	for _, n := range e.nodes {
		if err := n.start(w.InitialList()); err != nil {
			return nil, err
		}
	}
	w.Begin()
	events, second := int64(0), choice.Time(0)
	end := w.End() + timeAfterEnd(o.Spec)
	for {
		at, more := w.Next()
		if !more || at > end {
			break
		}
		w.Advance(at)
		events++
		if at/choice.Second > second {
			second = at / choice.Second
			if o.Until != nil && o.Until() {
				return nil, ErrStopped
			}
			if o.Watch != nil {
				o.Watch(at)
			}
		}
	}
	w.Advance(end)
	v := judge.Verdict()
	v.Engine, v.Seed = "simulated", o.Seed
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	v.EngineFigures = &referee.EngineFigures{WallS: time.Since(began).Seconds(), CPUS: (cpuTime() - cpu).Seconds(),
		MemoryMB: float64(mem.Sys) / (1 << 20), Events: events}
	return v, nil
}

// timeAfterEnd is how long a run goes on after the last hand-in: the longest deadline and what the rules allow behind it.
func timeAfterEnd(spec *world.Spec) choice.Time {
	longest := 0.0
	for i := range spec.Classes {
		longest = max(longest, spec.Classes[i].DeadlineMS)
	}
	return choice.Time((longest + spec.Rules.LateMS + 2500) * float64(choice.Millisecond))
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// ledger lets a world be made before its referee, which needs the world's clock.
type ledger struct {
	world.Ledger
	onOutcome func(c *world.Call, status int) // nil for nobody
}

func (l *ledger) Outcome(c *world.Call, status int) {
	l.Ledger.Outcome(c, status)
	if l.onOutcome != nil {
		l.onOutcome(c, status)
	}
}

type engine struct {
	o     Options
	w     *world.World
	nodes []*node
}

func (e *engine) ConnUp(c *world.Conn)                      { e.nodes[c.Sender].connUp(c) }
func (e *engine) ConnDown(c *world.Conn, why world.ConnEnd) { e.nodes[c.Sender].connDown(c, why) }
func (e *engine) Answered(c *world.Conn, _ *world.Call, a world.Answer) {
	e.nodes[c.Sender].answered(c, a)
}
func (e *engine) ListUpdate(to world.SenderNo, l world.List) { e.nodes[to].updateEndpoints(l) }
func (e *engine) ListFailed(world.SenderNo)                  {} // the old list stays in force
func (e *engine) HandIn(h *world.HandIn)                     { e.nodes[h.Sender].admit(h) }

// AcceptingChanged needs nothing here: Dial asks the world itself.
func (e *engine) AcceptingChanged(*world.Endpoint, bool) {}

// Datagram has nowhere to go: this sender listens for none.
func (e *engine) Datagram(world.SenderNo, world.SenderNo, []byte) {}

func (e *engine) Act(on world.SenderNo, what world.Act) {
	n := e.nodes[on]
	switch what {
	case world.Kill:
		n.kill()
	case world.Start:
		if n.alive {
			return // two faults that overlap have killed it once
		}
		// The list it finds is the one from the start of the run, as after a bad night.
		if err := n.start(e.w.InitialList()); err != nil {
			panic(err) // the same settings were read before
		}
	case world.Term:
		n.term()
	case world.Pause:
		n.pause(true)
	case world.Continue:
		n.pause(false)
	case world.HoardOn, world.HoardOff, world.RubbishOn, world.RubbishOff, world.Break, world.Reload:
		// Connections and bytes of clients, and files, are not modelled here; engine two plays them.
	}
}
