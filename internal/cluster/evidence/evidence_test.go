package evidence

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"flaxcove/choice"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// sample returns a sample over one second in which a reporter sent calls to a locality.
func sample(d int, zone view.Zone, reporter view.Name, age time.Duration, sent float64) healthreport.Sample {
	return healthreport.Sample{Locality: healthreport.Locality{Destination: choice.DestinationID(d), Zone: zone}, Reporter: reporter,
		Age: age, Span: time.Second, Sent: sent}
}

// awaitIdle waits until all queued batches are applied.
func awaitIdle(t *testing.T, e *Evidence) Stats {
	t.Helper()
	for started := time.Now(); time.Since(started) < 10*time.Second; time.Sleep(time.Millisecond) {
		if s := e.Stats(); s.Waiting == 0 {
			return s
		}
	}
	t.Fatal("batches are still queued after 10 seconds")
	return Stats{}
}

// TestConcurrentUse calls Add, Read, Forget and Stats concurrently. In the end the latest samples must be stored,
// whichever worker applied them, and the counters must account for every sample. With -race it also checks the locking.
func TestConcurrentUse(t *testing.T) {
	e := Start(Options{Rows: 4000, Witnesses: 8, Shards: 4, Workers: 4, Queue: 8})
	defer e.Close()
	const reporters, rounds, destinations = 8, 40, 50
	var wg sync.WaitGroup
	var reported [reporters]uint64
	for reporter := range reporters {
		wg.Go(func() {
			for round := 1; round <= rounds; round++ {
				now := view.Uptime(round) * time.Second
				batch := make([]healthreport.Sample, 0, 2*destinations)
				for d := range destinations {
					name := view.Name(fmt.Sprint(reporter))
					batch = append(batch, sample(d, "e", name, 0, float64(round)), sample(d, "w", name, 0, 1))
				}
				reported[reporter] += uint64(len(batch))
				for !e.Add(now, batch) && round == rounds { // the last round is retried until it is accepted
					reported[reporter] += uint64(len(batch))
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
	for range 2 {
		wg.Go(func() {
			for i := range 60 {
				for _, s := range e.Read(rounds * time.Second) {
					if s.Age < 0 || s.Span != time.Second {
						t.Errorf("sample with an impossible age or span: %+v", s)
					}
				}
				e.Forget(time.Millisecond, choice.DestinationID(1000+i))
				e.Stats()
			}
		})
	}
	wg.Wait()
	s := awaitIdle(t, e)
	var sum uint64
	for _, n := range reported {
		sum += n
	}
	if got := s.Accepted + s.Duplicate + s.Outdated + s.Forgotten + s.Invalid + s.Dropped; got != sum || s.Rows != 2*destinations {
		t.Fatalf("counters sum to %d for %d samples: %+v", got, sum, s)
	}
	retained := e.Read((rounds + 1) * time.Second)
	if len(retained) != 2*destinations*reporters {
		t.Fatalf("%d samples are stored, want %d", len(retained), 2*destinations*reporters)
	}
	for _, s := range retained {
		if s.Age != time.Second || s.Zone == "e" && s.Sent != rounds {
			t.Fatalf("stored sample is not the latest: %+v", s)
		}
	}
}

// TestForgetAndMaxAge checks that Read omits samples above MaxAge, that Forget drops stored samples and later ones whose
// span began before it, and that a closed Evidence rejects samples but can still be read.
func TestForgetAndMaxAge(t *testing.T) {
	e := Start(Options{MaxAge: 10 * time.Second})
	now := 100 * time.Second
	e.Add(now, []healthreport.Sample{sample(2, "e", "b", time.Second, 1), sample(1, "e", "a", 9*time.Second, 2),
		sample(3, "e", "a", 11*time.Second, 2)})
	awaitIdle(t, e)
	want := []healthreport.Sample{sample(1, "e", "a", 10*time.Second, 2), sample(2, "e", "b", 2*time.Second, 1)}
	if d := cmp.Diff(want, e.Read(now+time.Second)); d != "" {
		t.Fatal(d)
	}
	e.Forget(now, 2)
	e.Add(now+time.Second, []healthreport.Sample{sample(2, "e", "c", time.Second/2, 1), sample(2, "w", "c", 0, 1)})
	awaitIdle(t, e)
	if d := cmp.Diff([]healthreport.Sample{sample(2, "w", "c", time.Second, 1)}, e.Read(now+2*time.Second)); d != "" {
		t.Fatal(d)
	}
	e.Close()
	e.Close()
	if e.Add(now, []healthreport.Sample{sample(1, "e", "a", 0, 1)}) || len(e.Read(now)) != 1 {
		t.Fatal("after Close, Add accepts samples or Read has lost the stored ones")
	}
}

// TestFullQueueDrops blocks the only worker, so that the queue fills. Further batches must be dropped and counted, and Add
// must not block.
func TestFullQueueDrops(t *testing.T) {
	e := Start(Options{Workers: 1, Queue: 2, Shards: 1})
	defer e.Close()
	e.shards[0].mu.Lock() // the worker blocks at its first sample
	queued := 0
	for range 10 {
		if e.Add(0, []healthreport.Sample{sample(1, "e", "a", 0, 1)}) {
			queued++
		}
	}
	tooLongQueued := e.Add(0, make([]healthreport.Sample, maxBatch+1))
	e.shards[0].mu.Unlock()
	s := awaitIdle(t, e)
	if queued < 2 || queued > 3 || tooLongQueued || s.Dropped != uint64(10-queued+maxBatch+1) || s.Accepted != 1 {
		t.Fatalf("%d of 10 batches queued, too long a batch queued: %v, %+v", queued, tooLongQueued, s)
	}
}

// TestStatsMissNoBatch guards against a batch that Stats neither count nor show as waiting, because it ends while they are
// read: TestFullQueueDrops failed by it beside load.
func TestStatsMissNoBatch(t *testing.T) {
	e := Start(Options{Workers: 1, Queue: 1, Shards: 1})
	defer e.Close()
	const rounds = 20_000
	var offered uint64
	for range rounds {
		e.Add(0, []healthreport.Sample{sample(1, "e", "a", 0, 1)})
		offered++
		s := e.Stats()
		seen := s.Accepted + s.Duplicate + s.Outdated + s.Forgotten + s.Invalid + s.Dropped + uint64(s.Waiting)
		if seen < offered {
			t.Fatalf("%d of %d batches are seen: %+v", seen, offered, s)
		}
	}
}

// BenchmarkTables measures applying one sample, and reading 3,000 localities of one reporter.
func BenchmarkTables(b *testing.B) {
	e := Start(Options{})
	defer e.Close()
	var batch []healthreport.Sample
	for d := range 3000 {
		batch = append(batch, sample(d, "e", "a", 0, 1))
	}
	b.Run("take", func(b *testing.B) {
		for i := range b.N {
			e.apply(view.Uptime(i)*time.Microsecond, &batch[i%len(batch)])
		}
	})
	b.Run("read", func(b *testing.B) {
		for range b.N {
			e.Read(time.Second)
		}
	})
}
