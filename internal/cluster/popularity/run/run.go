// Package run exchanges the popularity of destinations, and learned state, between the processes of one region. Counts are sent
// up the tree and rankings down (counts.go). Large processes send their learned state to the region's coordinator
// (lessons.go), and small ones request it from there (requests.go). At a small process the sender evicts the destinations with
// the lowest priority weight (eviction.go).
//
// A Runner has one goroutine that runs every two seconds or when it is woken, and one for each call in flight, of which there are
// at most five. All of them end with Close. The decisions are made by packages count, merge, score, evict and recall. The lock
// is never held during a call to another process, the sender never waits, and nothing is sent to another region.
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
	// renewTicks is the number of ticks after which counts and rankings are sent again although they have hardly changed. It
	// is short compared with the half-life of counts.
	renewTicks = 5
	// wantTicks is the number of ticks for which a process that has asked for rankings counts as wanting them: three renewals.
	wantTicks        = 15
	callTimeout      = 700 * time.Millisecond // of one call to another process
	maxQueuedDigests = 16                     // digests of the sender that are not counted yet, which is eight seconds of them
	maxQueuedLoads   = 256                    // destinations loaded by the sender for which no request was sent yet
)

// Link calls other processes and receives calls of them.
type Link interface {
	Call(ctx context.Context, to view.Name, path string, in, out any) error
	Handle(path string, h func(ctx context.Context, from view.Instance, body []byte) (any, error))
}

// Orders is the part of clusterapi.Orders that a Runner uses to control the sender.
type Orders interface {
	Evict(all []choice.DestinationID, done func(retained []choice.DestinationID))
	ListHeldState(done func([]clusterapi.HeldState))
	AdoptLearnedState(learned []clusterapi.LearnedEndpoint)
	GetLearnedState(of []choice.DestinationID, done func([]clusterapi.LearnedEndpoint))
}

// Options configures a Runner. Bounds, TickInterval and Log are optional.
type Options struct {
	Self         view.Member
	Now          func() view.Uptime // time since the process started; monotonic
	Link         Link
	Orders       Orders
	View         func() *view.View // may return nil
	Tree         func() *tree.Tree // may return nil
	Bounds       evict.Bounds      // on the destinations that the sender of a small process caches
	TickInterval time.Duration     // 0 for two seconds; all other intervals except callTimeout are multiples of it
	Log          *zap.Logger       // nil for none
}

// Status is the state of a Runner as it is shown to operators. Counters are since the start of the process.
type Status struct {
	Region           view.Region   `json:"region"`
	Coordinator      view.Name     `json:"head"`       // coordinator of the region; empty if unknown
	Isolated         bool          `json:"cut"`        // no recent ranking; the last one and this process's own counts are used
	RankingAge       time.Duration `json:"scores_age"` // -1 if there is no ranking
	RankedProcesses  int           `json:"scored"`     // processes whose counts the ranking includes
	Counted          float64       `json:"counted"`    // messages submitted at this process, decayed
	SummarySize      int           `json:"summary"`    // destinations with learned state in the region's summary here
	BoundExceeded    bool          `json:"over"`       // protected destinations exceed a bound
	Held             int           `json:"held"`       // destinations cached by the sender after the last check
	Evicted          uint64        `json:"evicted"`    // destinations selected for eviction
	Retained         uint64        `json:"kept"`       // destinations selected for eviction but retained by the sender
	Loaded           uint64        `json:"woke"`       // destinations that the sender loaded without learned state
	Asked            uint64        `json:"asked"`      // destinations requested from the region's coordinator
	EndpointsApplied uint64        `json:"taught"`     // endpoints whose learned state was handed to the sender
	DestinationsSent uint64        `json:"passed"`     // destinations whose learned state was sent to the region's coordinator
	Calls            uint64        `json:"calls"`      // calls to other processes
	Failed           uint64        `json:"failed"`     // calls that failed
	Malformed        uint64        `json:"bad"`        // received messages that could not be decoded or are invalid
	Dropped          uint64        `json:"dropped"`    // digests and loaded destinations dropped because a queue was full
}

// Runner runs the popularity feature at one process. Its methods are safe for concurrent use.
type Runner struct {
	options        Options
	ctx            context.Context
	cancel         context.CancelFunc
	goroutines     sync.WaitGroup
	digests        chan []clusterapi.ClientCount
	loaded         chan choice.DestinationID
	wake           chan struct{}
	holdings       chan holdings
	learnedBatches chan learnedBatch
	dropped        atomic.Uint64
	retained       atomic.Uint64

	// Used only by the loop's goroutine.
	evictor  *evict.Evictor
	eviction evictionState
	upload   uploadState
	requests requestState

	// mu guards the fields below. It is popularity.mu in the lock order of package cluster; no other lock is taken under it.
	mu               sync.Mutex
	closed           bool
	counts           *count.Table
	merged           *merge.Table
	scores           *score.Table
	summary          *recall.Summary
	countReport      countReportState
	requestsInFlight int                    // calls that request learned state
	batchesInFlight  int                    // batches of learned state being sent
	batchFailed      bool                   // sending a batch failed, so all learned state is to be sent again
	finishedRequests []choice.DestinationID // requested destinations whose call has ended
	status           Status
	bounds           evict.Bounds
}

// New returns a Runner and registers its handlers on the link. Its loop does not run before Start.
func New(o Options) *Runner {
	if o.TickInterval <= 0 {
		o.TickInterval = defaultTickInterval
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	r := &Runner{
		options:        o,
		bounds:         o.Bounds,
		digests:        make(chan []clusterapi.ClientCount, maxQueuedDigests),
		loaded:         make(chan choice.DestinationID, maxQueuedLoads),
		wake:           make(chan struct{}, 1),
		holdings:       make(chan holdings, 1),
		learnedBatches: make(chan learnedBatch, 1),
		evictor:        evict.New(),
		counts:         count.NewTable(count.Bounds{}),
		merged:         merge.NewTable(count.HalfLife),
		scores:         score.NewTable(count.HalfLife),
		summary:        recall.NewSummary(0),
	}
	r.requests.pending = map[choice.DestinationID]bool{}
	r.upload.sent = map[choice.DestinationID]sentDestination{}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	o.Link.Handle(countsPath, r.handleCounts)
	o.Link.Handle(requestPath, r.handleRequest)
	o.Link.Handle(learnedStatePath, r.handleLearnedState)
	return r
}

// Start starts the Runner's loop, which runs until Close.
func (r *Runner) Start() { r.startGoroutine(r.loop) }

// Close cancels all calls in flight, ends all goroutines and waits for them.
func (r *Runner) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.cancel()
	r.goroutines.Wait()
}

// AddCounts adds the counts of a sender's digest. It never blocks: if the queue of digests is full, the digest is
// dropped and counted in Status.Dropped.
func (r *Runner) AddCounts(d clusterapi.Digest) {
	if len(d.Counts) == 0 {
		return
	}
	select {
	case r.digests <- d.Counts:
	default:
		r.dropped.Add(1)
	}
}

// RequestLearnedState requests the region's learned state of a destination of which the sender has none. It never
// blocks. The answer is handed to the sender by Orders.AdoptLearnedState; there may be none.
func (r *Runner) RequestLearnedState(d choice.DestinationID) {
	select {
	case r.loaded <- d:
	default:
		r.dropped.Add(1)
	}
}

// SetBounds replaces the bounds and makes the loop check them at once.
func (r *Runner) SetBounds(b evict.Bounds) {
	r.mu.Lock()
	r.bounds = b
	r.mu.Unlock()
	r.wakeLoop()
}

// Forget drops the learned state of a destination from the region's summary here, because it was purged.
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
		s.Coordinator = t.RegionCoordinator(s.Region)
	}
	return s
}

// startGoroutine starts a goroutine that Close waits for. After Close it starts none and returns false.
func (r *Runner) startGoroutine(f func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.goroutines.Go(f)
	}
	return !r.closed
}

// wakeLoop makes the loop run at once. It never blocks.
func (r *Runner) wakeLoop() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// isSmall reports whether this process is a small one.
func (r *Runner) isSmall() bool { return r.options.Self.Size == view.Small }

// loop processes digests, answers of the sender and ticks until Close.
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
		case b := <-r.learnedBatches:
			r.sendBatch(b)
		case <-r.wake:
		case <-tick.C:
			r.countsTick()
			r.startBatch()
			r.checkBounds(true)
		}
		r.sendRequests()
		r.checkBounds(false)
	}
}

// call makes a call to another process with callTimeout, and counts it and its failure.
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

// countMalformed counts an invalid message and returns err.
func (r *Runner) countMalformed(err error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status.Malformed++
	return err
}
