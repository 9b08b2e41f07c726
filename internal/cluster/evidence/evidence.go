// Package evidence holds what this process and others saw, by destination and zone: tables that a pool of workers
// fills and anyone reads.
//
// It owns the pool, its bounded queue and the shards; what a table keeps is package table's to say. Handing over
// never waits: what finds the queue full is left out and counted, as the next digest is half a second behind. It
// must never take a decision, nor hold a lock over a channel, I/O or a call out of its packages.
//
// Lock order: each shard has its lock, held for one look at its table. No two shards are ever held at once, and no
// other lock is taken while one is held, so that there is no order among them to keep; whoever holds a lock of
// internal/cluster's list above these may take one, never the other way round. Readers take shard after shard: what
// they read is of one moment by shard, not over all.
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

// What is taken where Options leave it out.
const (
	rows      = 40_000
	witnesses = 32 // a place; two of two zones settle a plan, the rest show how wide it is
	shards    = 16 // over eight times the workers, so that two seldom meet
	workers   = 2
	queue     = 256 // batches; a process of the root's has a few dozen children twice a second
	// keep is for how long a sighting may weigh at all; what decides asks for a far shorter age.
	keep = time.Minute
	// mostBatch bounds one batch, so that the queue's memory is bounded: more than a call's body can hold.
	mostBatch = 16_384
)

// Options are a pool's bounds; zero is the package's own.
type Options struct {
	Rows      int // places over all shards. Each shard holds its even part: one may be full before others are
	Witnesses int // sightings a place
	Keep      time.Duration
	Shards    int
	Workers   int
	Queue     int // batches
}

// Stats are counts since the start, but for Rows and Waiting, which are of now.
type Stats struct {
	Taken, Same, Older, Void, Unsound uint64 // sightings, by what became of them
	Left                              uint64 // sightings left out: the queue was full, or their batch too long
	Rows, Waiting                     int    // places held; batches handed over and not yet taken in
}

// Evidence is a running pool.
type Evidence struct {
	shards  []shard
	queue   chan batch
	stop    chan struct{}
	stopped sync.Once
	working sync.WaitGroup
	waiting atomic.Int64
	left    atomic.Uint64
	became  [table.Unsound + 1]atomic.Uint64
}

type shard struct {
	mu    sync.Mutex
	table *table.Table
}

type batch struct {
	now view.Now
	all []healthreport.Sample
}

// Start starts the workers.
func Start(o Options) *Evidence {
	def := func(v *int, own int) {
		if *v <= 0 {
			*v = own
		}
	}
	def(&o.Rows, rows)
	def(&o.Witnesses, witnesses)
	def(&o.Shards, shards)
	def(&o.Workers, workers)
	def(&o.Queue, queue)
	if o.Keep <= 0 {
		o.Keep = keep
	}
	o.Shards = min(o.Shards, o.Rows)
	e := &Evidence{shards: make([]shard, o.Shards), queue: make(chan batch, o.Queue), stop: make(chan struct{})}
	for i := range e.shards {
		e.shards[i].table = table.Make(table.Bounds{Rows: o.Rows / o.Shards, Witnesses: o.Witnesses, Keep: o.Keep})
	}
	for range o.Workers {
		e.working.Go(e.work)
	}
	return e
}

// Add hands sightings to the pool, whose they are from then on; their ages are of now. It never waits. False if they
// were left out: the queue is full, there are too many at once, or the pool is closed.
func (e *Evidence) Add(now view.Now, all []healthreport.Sample) bool {
	select {
	case <-e.stop:
		return false
	default:
	}
	if len(all) <= mostBatch {
		e.waiting.Add(1)
		select {
		case e.queue <- batch{now, all}:
			return true
		default:
			e.waiting.Add(-1)
		}
	}
	e.left.Add(uint64(len(all)))
	return false
}

func (e *Evidence) work() {
	for {
		select {
		case <-e.stop:
			return
		case b := <-e.queue:
			for i := range b.all {
				e.became[e.take(b.now, &b.all[i])].Add(1)
			}
			e.waiting.Add(-1)
		}
	}
}

// take is one sighting under its shard's lock.
func (e *Evidence) take(now view.Now, s *healthreport.Sample) table.Taken {
	h := e.of(s.Locality)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Take(now, *s)
}

// of is a place's shard, the same on each run.
func (e *Evidence) of(p healthreport.Locality) *shard {
	sum := crc32.ChecksumIEEE(binary.LittleEndian.AppendUint64(make([]byte, 0, 8), uint64(p.Destination)))
	sum = crc32.Update(sum, crc32.IEEETable, []byte(p.Zone))
	return &e.shards[sum%uint32(len(e.shards))]
}

// Read is all that is kept, ages as of now, by destination, zone and witness. The caller owns it.
func (e *Evidence) Read(now view.Now) []healthreport.Sample {
	var order []*healthreport.Sample
	for i := range e.shards {
		part := e.shards[i].read(now)
		for j := range part {
			order = append(order, &part[j])
		}
	}
	slices.SortFunc(order, table.Order)
	all := make([]healthreport.Sample, len(order))
	for i, s := range order {
		all[i] = *s
	}
	return all
}

func (h *shard) read(now view.Now) []healthreport.Sample {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Read(now)
}

// Forget drops what was seen of a destination up to now, also what is still on its way here.
func (e *Evidence) Forget(now view.Now, d choice.DestinationID) {
	for i := range e.shards {
		e.shards[i].forget(now, d)
	}
}

func (h *shard) forget(now view.Now, d choice.DestinationID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.Forget(now, d)
}

// Stats are for what is shown.
func (e *Evidence) Stats() Stats {
	count := func(t table.Taken) uint64 { return e.became[t].Load() }
	s := Stats{Taken: count(table.New) + count(table.Newer), Same: count(table.Same),
		Older: count(table.Older), Void: count(table.Void),
		Unsound: count(table.Unsound), Left: e.left.Load(), Waiting: int(e.waiting.Load())}
	for i := range e.shards {
		s.Rows += e.shards[i].rows()
	}
	return s
}

func (h *shard) rows() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Rows()
}

// Close ends the workers, each after the batch that it is at; what waits is dropped. What is kept may be read on.
func (e *Evidence) Close() {
	e.stopped.Do(func() { close(e.stop) })
	e.working.Wait()
}
