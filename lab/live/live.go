// Package live is the laboratory's second engine: a world behind loopback listeners, in real time, and real senders.
//
// It owns the run: the one goroutine that holds the world, the processes of the senders (process.go), the endpoints'
// sockets (endpoints.go), discovery and platform (directory.go) and the programs' connections (clients.go). Everything
// else waits on sockets and posts what came. It must never listen on or call anything but loopback addresses, leave a
// process or a file behind, or blame a sender for a machine that was too busy.
package live

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"flaxcove/choice"
	"flaxcove/lab/load"
	"flaxcove/lab/referee"
	"flaxcove/lab/world"
)

const (
	// slack is how much later than in truth the world sees what a sender does.
	slack = 60 * choice.Millisecond
	// lateAt is from when on an event of the world is late, and lateShare the share of late ones that voids a run:
	// then delays are the machine's and not the senders'.
	lateAt    = 40 * time.Millisecond
	lateShare = 0.01
	worstLate = 400 * time.Millisecond

	readyWithin  = 20 * time.Second
	maxSenders   = 120
	maxEndpoints = 4000
)

// Options are what a run is played with.
type Options struct {
	Spec    *world.Spec
	Seed    uint64
	Command []string          // the sender's program and its arguments
	Env     map[string]string // more of its environment
	Trace   []load.Arrival
	Logs    string // a folder for the senders' logs; "" keeps none
	// WorldOnlyFolder starts no senders: it writes a configuration for each to this folder and waits for somebody to start them.
	WorldOnlyFolder string
	Say             func(format string, args ...any) // progress; nil for none
	Watch           func(now choice.Time)
	// KeepVerdict judges what was played until ctx ended, in place of an error.
	KeepVerdict bool
	// Settings changes the settings object that senders are told, for a variant; nil for none.
	Settings func(text []byte) []byte
	// SenderArgs names further arguments of a sender's command; home is its own folder. Asked once, before any starts.
	SenderArgs func(s world.SenderNo, home string) ([]string, error)
	// Ledger stands before the referee and hears all that it hears; nil for none.
	Ledger func(referee world.Ledger) world.Ledger
	// AwaitReady returns once all that the caller waits for before the world begins is there; nil for nothing. It is called on a
	// goroutine of its own, and gives up as ctx ends.
	AwaitReady func(ctx context.Context)
	// OnBegin is called as the world begins, on its goroutine, with a hold on the run.
	OnBegin func(*RunControl)
	// KeepRunning has the run go on past its end while it holds, for what the caller still waits for; nil for never.
	KeepRunning func() bool
}

// Figures are the senders' own, measured from outside.
type Figures struct {
	CPUS         float64            `json:"sender_cpu_s"` // all senders
	PeakMB       float64            `json:"sender_peak_mb"`
	JournalBytes int64              `json:"journal_bytes"`
	Descriptors  int                `json:"descriptors"`
	Counters     []map[string]int64 `json:"counters"`
	LateShare    float64            `json:"late_share"`
	WorstLateMS  float64            `json:"worst_late_ms"`
}

// Result is a verdict with what only this engine knows.
type Result struct {
	*referee.Verdict
	Figures Figures `json:"figures"`
	Fault   string  `json:"trouble,omitempty"` // a sender that died, hung, would not start, or was slow to end
	// SlowEnd says that Fault tells of no more than a sender that took longer to end after SIGTERM than it may.
	SlowEnd bool `json:"slow_end,omitempty"`
}

// ErrTooLarge says that a scenario does not fit on one machine's sockets.
var ErrTooLarge = errors.New("too large for sockets")

type engine struct {
	o         Options
	ctx       context.Context
	w         *world.World
	judge     *referee.Referee
	dir       string
	startedAt time.Time
	began     bool
	tasks     chan func()
	done      chan struct{}
	wg        sync.WaitGroup

	port           int
	listeners      map[listenerKey]*listener
	directories    []*directory
	directoryMoves []int // of each sender's discovery
	senders        []*process
	pools          []*pool
	bodies         []byte
	failure        string
	slowEnd        bool // fail tells of a slow end alone
	events         int64
	lateEvents     int64
	worstDelay     time.Duration
	figures        Figures
}

// Run plays a scenario on sockets. It returns once nothing more can be judged, or soon after ctx ends.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.Say == nil {
		o.Say = func(string, ...any) {}
	}
	if o.Spec.Senders > maxSenders {
		return nil, fmt.Errorf("%w: %d senders, %d at most", ErrTooLarge, o.Spec.Senders, maxSenders)
	}
	e := &engine{o: o, ctx: ctx, directoryMoves: make([]int, o.Spec.Senders), tasks: make(chan func(), 4096), done: make(chan struct{}), listeners: map[listenerKey]*listener{}}
	late := &ledger{}
	w, err := world.New(o.Spec, o.Seed, e, late, o.Trace)
	if err != nil {
		return nil, err
	}
	if len(w.Endpoints)*o.Spec.Senders > maxEndpoints {
		return nil, fmt.Errorf("%w: %d endpoints for %d senders", ErrTooLarge, len(w.Endpoints), o.Spec.Senders)
	}
	e.w = w
	e.judge = referee.New(o.Spec, w.Now, slack)
	late.Ledger = e.judge
	if o.Ledger != nil {
		late.Ledger = o.Ledger(e.judge)
	}
	e.bodies = make([]byte, 64<<10)
	for i := range e.bodies {
		e.bodies[i] = 'a' + byte(i%26)
	}
	if e.dir, err = os.MkdirTemp("", "flaxcove-lab-"); err != nil {
		return nil, err
	}
	defer os.RemoveAll(e.dir)
	defer e.wg.Wait()
	defer e.close()
	if err := e.open(); err != nil {
		return nil, err
	}
	began := time.Now()
	if err := e.startAll(); err != nil {
		return nil, err
	}
	e.loop()
	e.stopAll()
	v := e.judge.Verdict()
	v.Engine, v.Seed = "sockets", o.Seed
	share := float64(e.lateEvents) / float64(max(1, e.events))
	if share > lateShare || e.worstDelay > worstLate {
		v.Void = fmt.Sprintf("the machine was too busy: %.1f%% of the world's events came over %v late, the worst by %v",
			100*share, lateAt, e.worstDelay.Round(time.Millisecond))
	}
	e.figures.LateShare, e.figures.WorstLateMS = share, float64(e.worstDelay)/1e6
	v.EngineFigures = &referee.EngineFigures{WallS: time.Since(began).Seconds(), CPUS: e.figures.CPUS, MemoryMB: e.figures.PeakMB, Events: e.events,
		LateMS: e.figures.WorstLateMS}
	if e.failure != "" {
		v.Figure = 0
	}
	if err := ctx.Err(); err != nil && !o.KeepVerdict {
		return nil, err
	}
	return &Result{v, e.figures, e.failure, e.slowEnd}, nil
}

type ledger struct{ world.Ledger }

// startAll starts the senders and waits until each serves, then lets the world begin.
func (e *engine) startAll() error {
	for s := range e.o.Spec.Senders {
		e.pools = append(e.pools, newPool(e, world.SenderNo(s)))
		p, err := e.newProcess(world.SenderNo(s))
		if err != nil {
			return err
		}
		e.senders = append(e.senders, p)
	}
	within := readyWithin
	if e.o.WorldOnlyFolder != "" {
		within = 24 * time.Hour
		e.o.Say("waiting for %d sender(s); start each with its configuration:", len(e.senders))
		for _, p := range e.senders {
			e.o.Say("  EDGE_CONFIG=%s flaxcove serve", p.config)
		}
	}
	for _, p := range e.senders {
		p.start()
	}
	ready := func() bool {
		return !slices.ContainsFunc(e.senders, func(p *process) bool { return !p.ready })
	}
	if !e.until(within, ready) && e.failure == "" && e.ctx.Err() == nil {
		e.failure = "not all senders were ready in time"
	}
	if e.failure != "" {
		e.stopAll()
		return errors.New(e.failure)
	}
	if err := e.ctx.Err(); err != nil {
		e.stopAll()
		return err
	}
	e.awaitCaller()
	e.startedAt, e.began = time.Now(), true
	e.w.Begin()
	if e.o.OnBegin != nil {
		e.o.OnBegin(&RunControl{e})
	}
	return nil
}

// awaitCaller waits for the caller, for as long as for senders to be ready at most.
func (e *engine) awaitCaller() {
	if e.o.AwaitReady == nil {
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, readyWithin)
	defer cancel()
	ready := false
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		e.o.AwaitReady(ctx)
		e.post(func() { ready = true })
	}()
	e.until(readyWithin, func() bool { return ready })
}

// stopAll ends the senders as an operator would, then by force, and keeps their figures.
func (e *engine) stopAll() {
	for _, p := range e.senders {
		p.measure()
	}
	for _, p := range e.senders {
		p.stop()
		e.figures.CPUS += p.cpuSeconds
	}
}

func (e *engine) close() {
	close(e.done)
	for _, p := range e.senders {
		p.kill()
	}
	for _, l := range e.listeners {
		l.close()
	}
	for _, d := range e.directories {
		d.close()
	}
	for _, p := range e.pools {
		p.close()
	}
}
