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
	"net"
	"os"
	"path/filepath"
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
	// Alone starts no senders: it writes a configuration for each to this folder and waits for somebody to start them.
	Alone string
	Say   func(format string, args ...any) // progress; nil for none
	Watch func(now choice.Time)
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
	Trouble string  `json:"trouble,omitempty"` // a sender that died, hung or would not start
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
	return &Result{v, e.figures, e.fail}, nil
}

type ledger struct{ world.Ledger }

// post hands the loop something to do.
func (e *engine) post(do func()) {
	select {
	case e.inbox <- do:
	case <-e.done:
	}
}

// now is the world's time by the machine's clock.
func (e *engine) now() choice.Time {
	if !e.began {
		return 0
	}
	return choice.Time(time.Since(e.start) / (100 * time.Microsecond))
}

// advance brings the world up to the present and counts how late it was.
func (e *engine) advance() {
	for {
		now := e.now()
		at, more := e.w.Next()
		if !more || at > now {
			e.w.Advance(max(now, e.w.Now()))
			return
		}
		e.events++
		if behind := time.Duration(now-at) * 100 * time.Microsecond; behind > 0 && e.began {
			if behind > lateAt {
				e.late++
			}
			e.worst = max(e.worst, behind)
		}
		e.w.Advance(at)
	}
}

// loop is the world's goroutine.
func (e *engine) loop() {
	wake := time.NewTimer(0)
	tail := 0.0
	for i := range e.o.Spec.Workloads {
		tail = max(tail, e.o.Spec.Workloads[i].HardStopMS)
	}
	end := e.w.End() + choice.Time((tail+e.o.Spec.Rules.LateMS+2000)*float64(choice.Millisecond))
	second := choice.Time(0)
	for e.fail == "" {
		e.advance()
		now := e.w.Now()
		if now/choice.Second > second {
			second = now / choice.Second
			if e.o.Watch != nil {
				e.o.Watch(now)
			}
		}
		over := now > end || now > e.w.End()+choice.Second/2 && e.judge.Pending() == 0
		if over && (e.o.Busy == nil || !e.o.Busy()) {
			return
		}
		in := time.Second / 4
		if at, more := e.w.Next(); more && e.began {
			in = min(in, time.Until(e.start.Add(time.Duration(at)*100*time.Microsecond)))
		}
		wake.Reset(max(0, in))
		select {
		case do := <-e.inbox:
			e.advance()
			do()
			for range len(e.inbox) {
				(<-e.inbox)()
			}
		case <-wake.C:
		case <-e.ctx.Done():
			return
		}
	}
}

// until runs the loop before the run begins, until cond holds or the time is over.
func (e *engine) until(within time.Duration, cond func() bool) bool {
	deadline := time.After(within)
	for !cond() {
		if e.fail != "" {
			return false
		}
		select {
		case do := <-e.inbox:
			do()
		case <-deadline:
			return false
		case <-e.ctx.Done():
			return false
		}
	}
	return true
}

// open finds a port that is free on all the run's addresses and listens there.
func (e *engine) open() error {
	var err error
	for try := range 50 {
		e.port = 20000 + (os.Getpid()*7+try*131)%10000
		if err = e.listenAll(); err == nil {
			return nil
		}
		for _, l := range e.ends {
			l.close()
		}
		for _, d := range e.dirs {
			d.close()
		}
		e.ends, e.dirs = map[endKey]*listener{}, nil
	}
	return err
}

func (e *engine) listenAll() error {
	for s := range e.o.Spec.Senders {
		d, err := e.newDirectory(world.SenderNo(s))
		if err != nil {
			return err
		}
		e.dirs = append(e.dirs, d)
		// The sender's own address must be free too.
		ln, err := net.Listen("tcp", e.senderAddr(world.SenderNo(s)))
		if err != nil {
			return err
		}
		ln.Close()
		for _, end := range e.w.Endpoints {
			if err := e.listenEnd(world.SenderNo(s), end); err != nil {
				return err
			}
		}
	}
	return nil
}

// Each party has an address of its own for each sender, all of them loopback.
func (e *engine) senderAddr(s world.SenderNo) string {
	return fmt.Sprintf("127.8.%d.%d:%d", int(s)/250, 1+int(s)%250, e.port)
}
func (e *engine) directoryAddr(s world.SenderNo) string {
	// A new configuration names the next address.
	return fmt.Sprintf("127.%d.%d.%d:%d", 9+e.moves[s]%2*2, int(s)/250+e.moves[s]/2*4, 1+int(s)%250, e.port)
}

// oldFor is how long a place that discovery has left still answers: a sender keeps its watch there until the new one
// has spoken.
const oldFor = 2 * choice.Second

// moveDirectory has a sender's discovery and platform go elsewhere, and tells its process by a new configuration.
func (e *engine) moveDirectory(s world.SenderNo) {
	p, old := e.senders[s], e.dirs[s]
	e.moves[s]++
	d, err := e.newDirectory(s)
	if err == nil {
		e.dirs[s] = d
		var text []byte
		if text, err = p.configuration(); err == nil {
			p.reload(text)
		}
	}
	if err != nil {
		e.fail = fmt.Sprintf("discovery of sender %d cannot move: %v", s, err)
		return
	}
	e.w.After(oldFor, old.close)
}
func (e *engine) endAddr(s world.SenderNo, end world.EndpointNo, addr int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 16+int(s), int(end)/250+20*(addr%12), 1+int(end)%250, e.port)
}

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
	if e.o.Alone != "" {
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

// folder makes one below the run's own, or where the caller wants it kept.
func (e *engine) folder(under, name string) (string, error) {
	if under == "" {
		under = e.dir
	}
	path := filepath.Join(under, name)
	return path, os.MkdirAll(path, 0o755)
}

// What follows is world.Wire.

func (e *engine) Up(*world.Conn) {} // connections come up by themselves

func (e *engine) Note(world.SenderNo, world.SenderNo, []byte) {} // this sender listens for none

func (e *engine) Act(on world.SenderNo, what world.Act) {
	p := e.senders[on]
	switch what {
	case world.Kill:
		p.expected = true
		p.kill()
		e.w.Ready(on, false)
	case world.Start:
		if !p.alive() { // two troubles that overlap have killed it once
			p.start()
		}
	case world.Term:
		p.term()
	case world.Pause, world.Continue:
		p.pause(what == world.Pause)
	case world.Break:
		p.reload([]byte("{"))
	case world.Reload:
		e.moveDirectory(on)
	case world.HoardOn:
		e.pools[on].hoard(e.amount("hoard"))
	case world.HoardOff:
		e.pools[on].letGo()
	case world.RubbishOn:
		e.pools[on].rubbish(e.amount("rubbish"))
	case world.RubbishOff:
		e.pools[on].noRubbish()
	}
}

func (e *engine) amount(kind string) float64 {
	for i := range e.o.Spec.Troubles {
		if t := &e.o.Spec.Troubles[i]; t.Kind == kind {
			return t.Amount
		}
	}
	return world.TroubleKinds[kind].Default
}

func (e *engine) HandIn(h *world.HandIn) { e.pools[h.Sender].handIn(h) }

func (e *engine) News(to world.SenderNo, l world.List) { e.dirs[to].news(l) }

func (e *engine) ListFailed(to world.SenderNo) { e.dirs[to].silence() }
