// Package live is the laboratory's engine in real time: it runs real sender processes, and serves a world to them on
// loopback sockets.
//
// One goroutine owns the world (loop.go). Other goroutines handle the senders' processes (process.go), the endpoints'
// sockets (endpoints.go), discovery and the platform (directory.go) and the clients' connections (clients.go), and post to
// the world's goroutine what they receive. The package must use loopback addresses only, leave no process or file behind,
// and not blame a sender for delays of a machine that is too busy.
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
	"flaxcove/lab/referee"
	"flaxcove/lab/world"
)

const (
	// slack is the longest delay with which the world may see an action of a sender.
	slack = 60 * choice.Millisecond
	// An event of the world is late if it runs more than lateThreshold after its time. A run is void if the share of late
	// events is above lateShare or an event is later than maxLateness, since the machine then causes delays that would be
	// attributed to the senders.
	lateThreshold = 40 * time.Millisecond
	lateShare     = 0.01
	maxLateness   = 400 * time.Millisecond

	readyWithin  = 20 * time.Second // longest time until all senders serve
	maxSenders   = 120
	maxEndpoints = 4000     // most listeners: the number of endpoints times the number of senders
	maxTasks     = 4096     // most tasks that wait for the world's goroutine; then post blocks
	maxBody      = 64 << 10 // longest body of a message, a call or an outcome callback in bytes
)

// ErrTooLarge is the error of Run for a scenario that needs too many sockets for one machine.
var ErrTooLarge = errors.New("the scenario needs too many sockets for one machine")

// engine implements world.Wire for sender processes. Its fields belong to the world's goroutine, except tasks, done and wg.
type engine struct {
	opts       Options
	ctx        context.Context
	w          *world.World
	judge      *referee.Referee
	tempDir    string
	startedAt  time.Time
	worldBegan bool
	tasks      chan func()
	done       chan struct{}
	wg         sync.WaitGroup

	port           int
	listeners      map[listenerKey]*listener
	discoveries    []*discoveryServer
	discoveryMoves []int // number of moves of each sender's discovery
	senders        []*process
	pools          []*pool
	bodyText       []byte
	failure        string
	slowEnd        bool // failure says only that a sender took too long to end
	events         int64
	lateEvents     int64
	worstDelay     time.Duration
	figures        Figures
}

// Run plays a scenario on sockets. It returns once every message has been judged, or soon after ctx ends. A failure of a
// sender during the run is in Result.Fault and is no error.
func Run(ctx context.Context, o Options) (*Result, error) {
	e, err := newEngine(ctx, o)
	if err != nil {
		return nil, err
	}
	if e.tempDir, err = os.MkdirTemp("", "flaxcove-lab-"); err != nil {
		return nil, err
	}
	defer os.RemoveAll(e.tempDir)
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
	result := e.result(began)
	if err := ctx.Err(); err != nil && !o.KeepVerdict {
		return nil, err
	}
	return result, nil
}

// newEngine creates the world and its referee. It starts no process and opens no socket.
func newEngine(ctx context.Context, o Options) (*engine, error) {
	if o.Progress == nil {
		o.Progress = func(string, ...any) {}
	}
	if o.Spec.Senders > maxSenders {
		return nil, fmt.Errorf("%w: it has %d senders, and at most %d are supported", ErrTooLarge, o.Spec.Senders, maxSenders)
	}
	e := &engine{
		opts:           o,
		ctx:            ctx,
		discoveryMoves: make([]int, o.Spec.Senders),
		tasks:          make(chan func(), maxTasks),
		done:           make(chan struct{}),
		listeners:      map[listenerKey]*listener{},
		bodyText:       make([]byte, maxBody),
	}
	for i := range e.bodyText {
		e.bodyText[i] = 'a' + byte(i%26)
	}
	events := &ledger{}
	w, err := world.New(o.Spec, o.Seed, e, events, o.Trace)
	if err != nil {
		return nil, err
	}
	if len(w.Endpoints)*o.Spec.Senders > maxEndpoints {
		return nil, fmt.Errorf("%w: it has %d endpoints for %d senders, and at most %d listeners are supported", ErrTooLarge, len(w.Endpoints), o.Spec.Senders, maxEndpoints)
	}
	e.w = w
	e.judge = referee.New(o.Spec, w.Now, slack)
	events.Ledger = e.judge
	if o.Ledger != nil {
		events.Ledger = o.Ledger(e.judge)
	}
	return e, nil
}

// result returns the verdict with the engine's figures. A run on a machine that was too busy is void. The figure of a run
// that failed is 0.
func (e *engine) result(began time.Time) *Result {
	v := e.judge.Verdict()
	v.Engine, v.Seed = "sockets", e.opts.Seed
	share := float64(e.lateEvents) / float64(max(1, e.events))
	if share > lateShare || e.worstDelay > maxLateness {
		v.Void = fmt.Sprintf("the machine was too busy: %.1f%% of the world's events came over %v late, the worst by %v",
			100*share, lateThreshold, e.worstDelay.Round(time.Millisecond))
	}
	e.figures.LateShare, e.figures.WorstLateMS = share, float64(e.worstDelay)/1e6
	v.EngineFigures = &referee.EngineFigures{WallS: time.Since(began).Seconds(), CPUS: e.figures.CPUS, MemoryMB: e.figures.PeakMB,
		Events: e.events, LateMS: e.figures.WorstLateMS}
	if e.failure != "" {
		v.Figure = 0
	}
	return &Result{v, e.figures, e.failure, e.slowEnd}
}

// ledger forwards events to the referee. It resolves a cycle at the start: the world needs a ledger, and the referee needs
// the world's clock.
type ledger struct{ world.Ledger }

// startAll starts the senders, waits until all of them serve, and then begins the world.
func (e *engine) startAll() error {
	for s := range e.opts.Spec.Senders {
		e.pools = append(e.pools, newPool(e, world.SenderNo(s)))
		p, err := e.newProcess(world.SenderNo(s))
		if err != nil {
			return err
		}
		e.senders = append(e.senders, p)
	}
	if err := e.startSenders(); err != nil {
		e.stopAll()
		return err
	}
	e.awaitReady()
	e.startedAt, e.worldBegan = time.Now(), true
	e.w.Begin()
	if e.opts.OnBegin != nil {
		e.opts.OnBegin(&RunControl{e})
	}
	return nil
}

// startSenders starts all senders and waits until all of them serve. With Options.WorldOnlyFolder it asks the user to start
// them instead.
func (e *engine) startSenders() error {
	within := readyWithin
	if e.opts.WorldOnlyFolder != "" {
		within = 24 * time.Hour
		e.opts.Progress("waiting for %d sender(s); start each with its configuration:", len(e.senders))
		for _, p := range e.senders {
			e.opts.Progress("  EDGE_CONFIG=%s flaxcove serve", p.config)
		}
	}
	for _, p := range e.senders {
		p.start()
	}
	allReady := func() bool {
		return !slices.ContainsFunc(e.senders, func(p *process) bool { return !p.ready })
	}
	if !e.runUntil(within, allReady) && e.failure == "" && e.ctx.Err() == nil {
		e.failure = fmt.Sprintf("not all senders answered a PING within %v of their start", within)
	}
	if e.failure != "" {
		return errors.New(e.failure)
	}
	return e.ctx.Err()
}

// awaitReady waits until Options.AwaitReady returns, for readyWithin at most.
func (e *engine) awaitReady() {
	if e.opts.AwaitReady == nil {
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, readyWithin)
	defer cancel()
	ready := false
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		e.opts.AwaitReady(ctx)
		e.post(func() { ready = true })
	}()
	e.runUntil(readyWithin, func() bool { return ready })
}

// stopAll measures the senders and stops them. Senders that do not end in time are killed.
func (e *engine) stopAll() {
	for _, p := range e.senders {
		p.measure()
	}
	for _, p := range e.senders {
		p.stop()
		e.figures.CPUS += p.cpuSeconds
	}
}

// close ends all goroutines, processes and sockets of the run.
func (e *engine) close() {
	close(e.done)
	for _, p := range e.senders {
		p.kill()
	}
	for _, l := range e.listeners {
		l.close()
	}
	for _, d := range e.discoveries {
		d.close()
	}
	for _, p := range e.pools {
		p.close()
	}
}
