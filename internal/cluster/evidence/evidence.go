// Package evidence stores the health samples of this process and of others, by destination and zone, in sharded tables
// that a pool of workers fills and anyone reads.
//
// It owns the pool, its bounded queue and the shards; what a table retains is decided by package table. Add never
// waits: a batch that finds the queue full is dropped and counted, as the next one follows half a second later. It must
// never take a decision, nor hold a lock over a channel operation, I/O or a call out of its packages.
//
// Lock order: each shard has its own lock, held for one operation on its table. No two shards are ever locked at once,
// and no other lock is taken under one, so there is no order among them; a holder of a lock that is above these in the
// list of internal/cluster may take one, never the reverse. Readers lock one shard after another: what they read is of
// one moment within a shard, not across all.
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
	defaultRows      = 40_000
	defaultWitnesses = 32 // of a place; two from two zones suffice for a plan, the rest show how wide a fault is
	defaultShards    = 16 // eight times the workers, so that two seldom contend for one
	defaultWorkers   = 2
	defaultQueue     = 256 // batches; a coordinator has a few dozen children, each reporting twice a second
	// defaultMaxAge is the age up to which a sample is retained; decisions require a far lower age.
	defaultMaxAge = time.Minute
	// maxBatch bounds one batch, and so the queue's memory: more samples than the body of a call can hold.
	maxBatch = 16_384
)

// Options are a pool's bounds; zero values stand for defaults.
type Options struct {
	Rows      int // places over all shards; each shard holds an equal part, so one may be full before others are
	Witnesses int // samples of a place
	MaxAge    time.Duration
	Shards    int
	Workers   int
	Queue     int // batches
}

// Stats are counts since the start, except Rows and Waiting, which are present values.
type Stats struct {
	Accepted, Duplicate, Outdated, Forgotten, Invalid uint64 // samples, by their outcome
	Dropped                                           uint64 // samples dropped: the queue was full, or their batch too long
	Rows, Waiting                                     int    // places stored; batches queued or being applied
}

// Evidence is a running pool of workers with its sharded tables.
type Evidence struct {
	shards   []shard
	queue    chan batch
	stop     chan struct{}
	stopOnce sync.Once
	wg       sync.WaitGroup
	waiting  atomic.Int64
	dropped  atomic.Uint64
	outcomes [table.Invalid + 1]atomic.Uint64
}

// shard is the table of a part of all places.
type shard struct {
	mu    sync.Mutex
	table *table.Table
}

// batch is what one call of Add handed over, with ages as of now.
type batch struct {
	now     view.Uptime
	samples []healthreport.Sample
}

// Start starts the workers.
func Start(opts Options) *Evidence {
	setDefault := func(v *int, own int) {
		if *v <= 0 {
			*v = own
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

// Add hands samples to the pool, which owns the slice from then on; their ages are as of now. It never waits, and
// returns false if they were dropped: the queue is full, there are too many at once, or the pool is closed.
func (e *Evidence) Add(now view.Uptime, all []healthreport.Sample) bool {
	select {
	case <-e.stop:
		return false
	default:
	}
	if len(all) <= maxBatch {
		e.waiting.Add(1)
		select {
		case e.queue <- batch{now, all}:
			return true
		default:
			e.waiting.Add(-1)
		}
	}
	e.dropped.Add(uint64(len(all)))
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

// apply adds one sample to its shard's table.
func (e *Evidence) apply(now view.Uptime, s *healthreport.Sample) table.Outcome {
	target := e.shardOf(s.Locality)
	target.mu.Lock()
	defer target.mu.Unlock()
	return target.table.Add(now, *s)
}

// shardOf returns a place's shard, the same one in every run.
func (e *Evidence) shardOf(place healthreport.Locality) *shard {
	sum := crc32.ChecksumIEEE(binary.LittleEndian.AppendUint64(make([]byte, 0, 8), uint64(place.Destination)))
	sum = crc32.Update(sum, crc32.IEEETable, []byte(place.Zone))
	return &e.shards[sum%uint32(len(e.shards))]
}

// Read returns all samples with ages as of now, ordered by destination, zone and witness. The caller owns the slice.
func (e *Evidence) Read(now view.Uptime) []healthreport.Sample {
	var ordered []*healthreport.Sample
	for i := range e.shards {
		fromShard := e.shards[i].read(now)
		for j := range fromShard {
			ordered = append(ordered, &fromShard[j])
		}
	}
	slices.SortFunc(ordered, table.Order)
	all := make([]healthreport.Sample, len(ordered))
	for i, s := range ordered {
		all[i] = *s
	}
	return all
}

func (s *shard) read(now view.Uptime) []healthreport.Sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Read(now)
}

// Forget drops what was observed of a destination up to now, including samples that arrive later.
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

// Stats returns the pool's counters.
func (e *Evidence) Stats() Stats {
	count := func(t table.Outcome) uint64 { return e.outcomes[t].Load() }
	s := Stats{Accepted: count(table.New) + count(table.Newer), Duplicate: count(table.Duplicate),
		Outdated: count(table.Outdated), Forgotten: count(table.Forgotten),
		Invalid: count(table.Invalid), Dropped: e.dropped.Load(), Waiting: int(e.waiting.Load())}
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

// Close ends the workers, each after its present batch; queued batches are discarded. The tables can still be read.
func (e *Evidence) Close() {
	e.stopOnce.Do(func() { close(e.stop) })
	e.wg.Wait()
}
