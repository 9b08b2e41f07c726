// Package run carries popularity between the processes of one region. Counts go up the tree and rankings come down
// (counts.go); larger processes send what they learned to the region's coordinator (lessons.go), and small ones ask it for
// that (requests.go); at a small process the sender evicts the destinations of the lowest priority weight (eviction.go).
//
// It owns one goroutine that ticks each two seconds or when woken, and one for each call in flight, at most five; all end
// with Close. Packages count, merge, score, evict and recall decide. The lock is never held over a call to another process,
// the sender never waits, and nothing is sent to another region.
package run

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/cluster/popularity/count"
	"flaxcove/internal/cluster/popularity/evict"
	"flaxcove/internal/cluster/popularity/merge"
	"flaxcove/internal/cluster/popularity/recall"
	"flaxcove/internal/cluster/popularity/score"
	"flaxcove/internal/cluster/tree"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

const (
	defaultTickInterval = 2 * time.Second
	// renewTicks: counts and rankings that changed little are sent again after so long, which the half-life of counts allows.
	renewTicks = 5
	// wantTicks: a process that asked for rankings still wants them for three renewals.
	wantTicks        = 15
	callTimeout      = 700 * time.Millisecond
	maxQueuedDigests = 16  // handed over and not yet counted: eight seconds of them
	maxQueuedLoads   = 256 // destinations loaded by the sender and not yet asked for
)

// Link carries calls to other processes.
type Link interface {
	Call(ctx context.Context, to view.Name, path string, in, out any) error
	Handle(path string, h func(ctx context.Context, from view.Life, body []byte) (any, error))
}

// Orders is what is asked of the sender; see clusterapi.Orders.
type Orders interface {
	Evict(all []choice.DestinationID, done func(retained []choice.DestinationID))
	Holding(done func([]clusterapi.Held))
	Teach(lessons []clusterapi.LearnedEndpoint)
	Know(of []choice.DestinationID, done func([]clusterapi.LearnedEndpoint))
}

// Options are what a runner is made with; all but Bounds, TickInterval and Log must be set.
type Options struct {
	Self         view.Member
	Now          func() view.Uptime // since the process began; monotonic
	Link         Link
	Orders       Orders
	View         func() *view.View
	Tree         func() *tree.Tree
	Bounds       evict.Bounds  // of a small process
	TickInterval time.Duration // defaultTickInterval if 0; all other spans but callTimeout are multiples of it
	Log          *zap.Logger
}

// Status is the state as operators see it; counts are since the start.
type Status struct {
	Region          view.Region   `json:"region"`
	Head            view.Name     `json:"head"`       // coordinator of the region
	Isolated        bool          `json:"cut"`        // no ranking lately: goes by the last one and its own counts
	RankingAge      time.Duration `json:"scores_age"` // -1 for no ranking
	RankedProcesses int           `json:"scored"`     // processes that the ranking is from
	Counted         float64       `json:"counted"`    // messages handed in here, decayed
	SummarySize     int           `json:"summary"`    // destinations of which lessons are stored here for the region
	BoundExceeded   bool          `json:"over"`       // by protected destinations
	Held            int           `json:"held"`       // destinations, at the last check
	Evicted         uint64        `json:"evicted"`
	Retained        uint64        `json:"kept"`   // selected for eviction and retained by the sender
	Loaded          uint64        `json:"woke"`   // destinations that the sender had nothing of
	Asked           uint64        `json:"asked"`  // destinations asked for
	LessonsApplied  uint64        `json:"taught"` // handed to the sender
	LessonsSent     uint64        `json:"passed"` // destinations whose lessons were sent to the region's coordinator
	Calls           uint64        `json:"calls"`
	Failed          uint64        `json:"failed"` // of these
	Malformed       uint64        `json:"bad"`    // messages that could not be read or were rejected
	Dropped         uint64        `json:"dropped"`
}

// Runner runs popularity at one process.
type Runner struct {
	options       Options
	ctx           context.Context
	cancel        context.CancelFunc
	goroutines    sync.WaitGroup
	digests       chan []clusterapi.Count
	loaded        chan choice.DestinationID
	wake          chan struct{}
	holdings      chan holdings
	lessonBatches chan lessonBatch
	dropped       atomic.Uint64
	retained      atomic.Uint64

	// Of the loop alone.
	evictor       *evict.Evictor
	eviction      evictionState
	lessonSending lessonState
	requests      requestState

	// mu is popularity.mu in the order of package cluster; no other lock is taken under it.
	mu               sync.Mutex
	closed           bool
	counts           *count.Table
	merged           *merge.Table
	scores           *score.Table
	summary          *recall.Summary
	countSending     countState
	requestsInFlight int  // calls that ask for lessons
	batchesInFlight  int  // calls with lessons
	batchFailed      bool // one of them did: all lessons are sent anew
	finishedRequests []choice.DestinationID
	status           Status
	bounds           evict.Bounds
}

// New makes a runner; its handlers are added to the link at once, and nothing runs before Start.
func New(o Options) *Runner {
	if o.TickInterval <= 0 {
		o.TickInterval = defaultTickInterval
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	r := &Runner{
		options:       o,
		bounds:        o.Bounds,
		digests:       make(chan []clusterapi.Count, maxQueuedDigests),
		loaded:        make(chan choice.DestinationID, maxQueuedLoads),
		wake:          make(chan struct{}, 1),
		holdings:      make(chan holdings, 1),
		lessonBatches: make(chan lessonBatch, 1),
		evictor:       evict.New(),
		counts:        count.NewTable(count.Bounds{}),
		merged:        merge.NewTable(count.HalfLife),
		scores:        score.NewTable(count.HalfLife),
		summary:       recall.NewSummary(0),
	}
	r.requests.pending = map[choice.DestinationID]bool{}
	r.lessonSending.sent = map[choice.DestinationID]sentLessons{}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	o.Link.Handle(countsPath, r.handleCounts)
	o.Link.Handle(requestPath, r.handleRequest)
	o.Link.Handle(lessonsPath, r.handleLessons)
	return r
}

// Start starts the loop.
func (r *Runner) Start() { r.startGoroutine(r.loop) }

// Close ends all goroutines and abandons calls in flight.
func (r *Runner) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.cancel()
	r.goroutines.Wait()
}

// Digest hands over what clients handed in. It never waits: a digest that finds the queue full is dropped and counted.
func (r *Runner) Digest(d clusterapi.Digest) {
	if len(d.Counts) == 0 {
		return
	}
	select {
	case r.digests <- d.Counts:
	default:
		r.dropped.Add(1)
	}
}

// Woke asks the region for what it knows of a destination that the sender holds nothing of. It never waits; the answer
// is handed to the sender as lessons, or never comes.
func (r *Runner) Woke(d choice.DestinationID) {
	select {
	case r.loaded <- d:
	default:
		r.dropped.Add(1)
	}
}

// SetBounds sets other bounds and makes the loop check them at once.
func (r *Runner) SetBounds(b evict.Bounds) {
	r.mu.Lock()
	r.bounds = b
	r.mu.Unlock()
	r.wakeLoop()
}

// Forget drops what the region's summary here has of a destination: what was learned of it is void.
func (r *Runner) Forget(d choice.DestinationID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.Forget(r.options.Now(), d)
}

// Status returns the current state.
func (r *Runner) Status() Status {
	now, t := r.options.Now(), r.options.Tree()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.status
	s.Isolated = r.scores.Isolated(now)
	s.Counted = r.counts.Total(now)
	s.SummarySize = r.summary.Len()
	s.RankingAge = -1
	if age, found := r.scores.Age(now); found {
		s.RankingAge = age
	}
	s.Dropped, s.Retained = r.dropped.Load(), r.retained.Load()
	s.Region = r.options.Self.Region
	if t != nil {
		s.Region = r.region(t)
		s.Head = t.RegionHead(s.Region)
	}
	return s
}

// startGoroutine starts a goroutine that Close waits for; false once closed.
func (r *Runner) startGoroutine(f func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.goroutines.Go(f)
	}
	return !r.closed
}

func (r *Runner) wakeLoop() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Runner) small() bool { return r.options.Self.Size == view.Small }

func (r *Runner) loop() {
	tick := time.NewTicker(r.options.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case all := <-r.digests:
			r.mu.Lock()
			r.counts.Add(r.options.Now(), all)
			r.mu.Unlock()
			continue
		case d := <-r.loaded:
			r.takeLoaded(d)
		case h := <-r.holdings:
			r.handleHoldings(h)
		case b := <-r.lessonBatches:
			r.sendBatch(b)
		case <-r.wake:
		case <-tick.C:
			r.countsTick()
			r.startBatch()
			r.checkBounds(true)
		}
		r.requestLessons()
		r.checkBounds(false)
	}
}

// call makes one call to another process, within callTimeout, and counts it.
func (r *Runner) call(to view.Name, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
	defer cancel()
	err := r.options.Link.Call(ctx, to, path, in, out)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status.Calls++
	if err != nil {
		r.status.Failed++
	}
	return err
}

func (r *Runner) countMalformed(err error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status.Malformed++
	return err
}
