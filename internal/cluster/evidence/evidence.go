// Package evidence stores the health samples of this process and of others, by destination and zone, in sharded tables.
// A pool of workers writes to the tables; any goroutine may read them.
//
// The package owns the workers, their bounded queue and the shards. Package table decides which samples are retained.
// Add never blocks: if the queue is full, the batch is dropped and counted, since the next batch follows half a second
// later. The package makes no routing decision, and holds no lock during a channel operation, I/O or a call to another
// package other than table.
//
// Lock order: each shard has its own lock, held for one operation on its table. At most one shard is locked at a time,
// and no other lock is acquired while a shard is locked. Code that holds a lock listed before the shard locks in the
// lock order of package cluster may lock a shard, never the reverse. Read and Stats lock one shard after another, so
// their result is consistent within a shard but not across shards.
package evidence

import (
	"encoding/binary"
	"hash/crc32"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/evidence/table"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

// Defaults of Options.
const (
	defaultRows = 40_000
	// defaultWitnesses is per locality. Two witnesses from two zones suffice for a plan; the others show how many
	// senders a fault affects.
	defaultWitnesses = 32
	defaultShards    = 16 // eight times the workers, so that two workers seldom contend for a shard
	defaultWorkers   = 2
	defaultQueue     = 256 // batches; a coordinator has a few dozen children, each reporting twice a second
	// defaultMaxAge is the age up to which a sample is retained; decisions require a far lower age.
	defaultMaxAge = time.Minute
	// maxBatch is the maximum number of samples in one batch, and thereby bounds the queue's memory. It is more than
	// the body of one call can hold.
	maxBatch = 16_384
)

// Options bound the memory and the concurrency of an Evidence. A value of 0 or below selects the default.
type Options struct {
	Rows      int           // localities in all shards; each shard holds an equal part, so one may be full before others are
	Witnesses int           // samples per locality, one of each reporting process
	MaxAge    time.Duration // samples older than this are dropped
	Shards    int
	Workers   int
	Queue     int // batches
}

// Stats holds counters since the start, and the present values Rows and Waiting. A batch whose Add has returned is in Waiting
// or its samples are in the counters; a batch that ends while Stats are read may be in both.
type Stats struct {
	Accepted, Duplicate, Outdated, Forgotten, Invalid uint64 // samples by outcome; see table.Outcome
	Dropped                                           uint64 // samples dropped because the queue was full or their batch too long
	Rows, Waiting                                     int    // localities stored; batches queued or being applied
}

// Evidence stores health samples in sharded tables and runs the workers that fill them. Its methods are safe for
// concurrent use.
type Evidence struct {
	shards   []shard
	queue    chan batch
	stop     chan struct{}
	stopOnce sync.Once
	wg       sync.WaitGroup
	waiting  atomic.Int64                     // batches queued or being applied
	dropped  atomic.Uint64                    // samples
	outcomes [table.Invalid + 1]atomic.Uint64 // samples by table.Outcome
}

// shard holds the table of a part of all localities.
type shard struct {
	mu    sync.Mutex
	table *table.Table
}

// batch holds the samples of one call of Add.
type batch struct {
	now     view.Uptime
	samples []healthreport.Sample
}

// Start returns an empty Evidence with its workers running. The caller must call Close.
func Start(opts Options) *Evidence {
	setDefault := func(v *int, value int) {
		if *v <= 0 {
			*v = value
		}
	}
	setDefault(&opts.Rows, defaultRows)
	setDefault(&opts.Witnesses, defaultWitnesses)
	setDefault(&opts.Shards, defaultShards)
	setDefault(&opts.Workers, defaultWorkers)
	setDefault(&opts.Queue, defaultQueue)
	if opts.MaxAge <= 0 {
		opts.MaxAge = defaultMaxAge
	}
	opts.Shards = min(opts.Shards, opts.Rows)
	e := &Evidence{shards: make([]shard, opts.Shards), queue: make(chan batch, opts.Queue), stop: make(chan struct{})}
	for i := range e.shards {
		e.shards[i].table = table.NewTable(table.Bounds{Rows: opts.Rows / opts.Shards, Witnesses: opts.Witnesses, MaxAge: opts.MaxAge})
	}
	for range opts.Workers {
		e.wg.Go(e.runWorker)
	}
	return e
}

// Add queues samples, whose ages are as of now, and takes ownership of the slice. It never blocks. It returns false if
// the samples were dropped because the queue is full, there are more than maxBatch of them, or e is closed.
func (e *Evidence) Add(now view.Uptime, samples []healthreport.Sample) bool {
	select {
	case <-e.stop:
		return false
	default:
	}
	if len(samples) <= maxBatch {
		e.waiting.Add(1)
		select {
		case e.queue <- batch{now, samples}:
			return true
		default:
		}
		defer e.waiting.Add(-1) // after it is counted; see Stats
	}
	e.dropped.Add(uint64(len(samples)))
	return false
}

// runWorker applies queued batches until Close.
func (e *Evidence) runWorker() {
	for {
		select {
		case <-e.stop:
			return
		case b := <-e.queue:
			for i := range b.samples {
				e.outcomes[e.apply(b.now, &b.samples[i])].Add(1)
			}
			e.waiting.Add(-1)
		}
	}
}

// apply adds one sample to the table of its shard.
func (e *Evidence) apply(now view.Uptime, s *healthreport.Sample) table.Outcome {
	target := e.shardOf(s.Locality)
	target.mu.Lock()
	defer target.mu.Unlock()
	return target.table.Add(now, *s)
}

// shardOf returns the shard of a locality, which is the same one in every run.
func (e *Evidence) shardOf(locality healthreport.Locality) *shard {
	sum := crc32.ChecksumIEEE(binary.LittleEndian.AppendUint64(make([]byte, 0, 8), uint64(locality.Destination)))
	sum = crc32.Update(sum, crc32.IEEETable, []byte(locality.Zone))
	return &e.shards[sum%uint32(len(e.shards))]
}

// Read returns all samples with their ages as of now, sorted by destination, zone and reporter. The caller owns the
// slice.
func (e *Evidence) Read(now view.Uptime) []healthreport.Sample {
	var ordered []*healthreport.Sample
	for i := range e.shards {
		fromShard := e.shards[i].read(now)
		for j := range fromShard {
			ordered = append(ordered, &fromShard[j])
		}
	}
	slices.SortFunc(ordered, table.Compare)
	samples := make([]healthreport.Sample, len(ordered))
	for i, s := range ordered {
		samples[i] = *s
	}
	return samples
}

func (s *shard) read(now view.Uptime) []healthreport.Sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Read(now)
}

// Forget drops all samples of a destination that were observed up to now, including those that arrive later.
func (e *Evidence) Forget(now view.Uptime, d choice.DestinationID) {
	for i := range e.shards {
		e.shards[i].forget(now, d)
	}
}

func (s *shard) forget(now view.Uptime, d choice.DestinationID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Forget(now, d)
}

// Stats returns the counters of e.
func (e *Evidence) Stats() Stats {
	waiting := int(e.waiting.Load()) // first: a batch that ends from here on is still counted
	count := func(o table.Outcome) uint64 { return e.outcomes[o].Load() }
	s := Stats{Accepted: count(table.New) + count(table.Newer), Duplicate: count(table.Duplicate),
		Outdated: count(table.Outdated), Forgotten: count(table.Forgotten),
		Invalid: count(table.Invalid), Dropped: e.dropped.Load(), Waiting: waiting}
	for i := range e.shards {
		s.Rows += e.shards[i].rows()
	}
	return s
}

func (s *shard) rows() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Rows()
}

// Close stops the workers, each after its current batch, and discards queued batches. Read and Stats still work
// afterwards, and further calls of Close have no effect.
func (e *Evidence) Close() {
	e.stopOnce.Do(func() { close(e.stop) })
	e.wg.Wait()
}
