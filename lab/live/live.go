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

	readyWithin = 20 * time.Second
	mostSenders = 120
	mostEnds    = 4000
)

// Options are what a run is played with.
type Options struct {
	Spec    *world.Spec
	Seed    uint64
	Command []string          // the sender's program and its arguments
	Binding map[string]string // more of its environment
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
	// With names further arguments of a sender's command; home is its own folder. Asked once, before any starts.
	With func(s world.SenderNo, home string) ([]string, error)
	// Ledger stands before the referee and hears all that it hears; nil for none.
	Ledger func(referee world.Ledger) world.Ledger
	// Ready returns once all that the caller waits for before the world begins is there; nil for nothing. It is called on a
	// goroutine of its own, and gives up as ctx ends.
	Ready func(ctx context.Context)
	// Begun is called as the world begins, on its goroutine, with a hold on the run.
	Begun func(*Hold)
	// Busy has the run go on past its end while it holds, for what the caller still waits for; nil for never.
	Busy func() bool
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
	o     Options
	ctx   context.Context
	w     *world.World
	judge *referee.Referee
	dir   string
	start time.Time
	began bool
	inbox chan func()
	done  chan struct{}
	wg    sync.WaitGroup

	port    int
	ends    map[endKey]*listener
	dirs    []*directory
	moves   []int // of each sender's discovery
	senders []*process
	pools   []*pool
	bodies  []byte
	fail    string
	slowEnd bool // fail tells of a slow end alone
	events  int64
	late    int64
	worst   time.Duration
	figures Figures
}

// Run plays a scenario on sockets. It returns once nothing more can be judged, or soon after ctx ends.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.Say == nil {
		o.Say = func(string, ...any) {}
	}
	if o.Spec.Senders > mostSenders {
		return nil, fmt.Errorf("%w: %d senders, %d at most", ErrTooLarge, o.Spec.Senders, mostSenders)
	}
	e := &engine{o: o, ctx: ctx, moves: make([]int, o.Spec.Senders), inbox: make(chan func(), 4096), done: make(chan struct{}), ends: map[endKey]*listener{}}
	late := &ledger{}
	w, err := world.New(o.Spec, o.Seed, e, late, o.Trace)
	if err != nil {
		return nil, err
	}
	if len(w.Endpoints)*o.Spec.Senders > mostEnds {
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
	e.endAll()
	v := e.judge.Verdict()
	v.Engine, v.Seed = "sockets", o.Seed
	share := float64(e.late) / float64(max(1, e.events))
	if share > lateShare || e.worst > worstLate {
		v.Void = fmt.Sprintf("the machine was too busy: %.1f%% of the world's events came over %v late, the worst by %v",
			100*share, lateAt, e.worst.Round(time.Millisecond))
	}
	e.figures.LateShare, e.figures.WorstLateMS = share, float64(e.worst)/1e6
	v.Engines = &referee.Engines{WallS: time.Since(began).Seconds(), CPUS: e.figures.CPUS, MemoryMB: e.figures.PeakMB, Events: e.events,
		LateMS: e.figures.WorstLateMS}
	if e.fail != "" {
		v.Figure = 0
	}
	if err := ctx.Err(); err != nil && !o.KeepVerdict {
		return nil, err
	}
	return &Result{v, e.figures, e.fail, e.slowEnd}, nil
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
	if !e.until(within, ready) && e.fail == "" && e.ctx.Err() == nil {
		e.fail = "not all senders were ready in time"
	}
	if e.fail != "" {
		e.endAll()
		return errors.New(e.fail)
	}
	if err := e.ctx.Err(); err != nil {
		e.endAll()
		return err
	}
	e.await()
	e.start, e.began = time.Now(), true
	e.w.Begin()
	if e.o.Begun != nil {
		e.o.Begun(&Hold{e})
	}
	return nil
}

// await waits for the caller, for as long as for senders to be ready at most.
func (e *engine) await() {
	if e.o.Ready == nil {
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, readyWithin)
	defer cancel()
	ready := false
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		e.o.Ready(ctx)
		e.post(func() { ready = true })
	}()
	e.until(readyWithin, func() bool { return ready })
}

// endAll ends the senders as an operator would, then by force, and keeps their figures.
func (e *engine) endAll() {
	for _, p := range e.senders {
		p.measure()
	}
	for _, p := range e.senders {
		p.end()
		e.figures.CPUS += p.used
	}
}

func (e *engine) close() {
	close(e.done)
	for _, p := range e.senders {
		p.kill()
	}
	for _, l := range e.ends {
		l.close()
	}
	for _, d := range e.dirs {
		d.close()
	}
	for _, p := range e.pools {
		p.close()
	}
}
