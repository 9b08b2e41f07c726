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

func saw(d int, zone view.Zone, who view.Name, age time.Duration, sent float64) healthreport.Sample {
	return healthreport.Sample{Locality: healthreport.Locality{Destination: choice.DestinationID(d), Zone: zone}, Witness: who,
		Age: age, Span: time.Second, Sent: sent}
}

func settle(t *testing.T, e *Evidence) Stats {
	t.Helper()
	for begun := time.Now(); time.Since(begun) < 10*time.Second; time.Sleep(time.Millisecond) {
		if s := e.Stats(); s.Waiting == 0 {
			return s
		}
	}
	t.Fatal("workers are stuck")
	return Stats{}
}

// Many hand over, read, forget and look at once; in the end all that was told last is there, by whichever worker, and
// every sighting is accounted for. Under -race this drives the stated order of locks.
func TestManyAtOnce(t *testing.T) {
	e := Start(Options{Rows: 4000, Witnesses: 8, Shards: 4, Workers: 4, Queue: 8})
	defer e.Close()
	const tellers, rounds, ds = 8, 40, 50
	var all sync.WaitGroup
	var told [tellers]uint64
	for who := range tellers {
		all.Go(func() {
			for round := 1; round <= rounds; round++ {
				now := view.Now(round) * time.Second
				batch := make([]healthreport.Sample, 0, 2*ds)
				for d := range ds {
					name := view.Name(fmt.Sprint(who))
					batch = append(batch, saw(d, "e", name, 0, float64(round)), saw(d, "w", name, 0, 1))
				}
				told[who] += uint64(len(batch))
				for !e.Add(now, batch) && round == rounds { // the last comes in for sure
					told[who] += uint64(len(batch))
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
	for range 2 {
		all.Go(func() {
			for i := range 60 {
				for _, s := range e.Read(rounds * time.Second) {
					if s.Age < 0 || s.Span != time.Second {
						t.Error("torn", s)
					}
				}
				e.Forget(time.Millisecond, choice.DestinationID(1000+i))
				e.Stats()
			}
		})
	}
	all.Wait()
	s := settle(t, e)
	var sum uint64
	for _, n := range told {
		sum += n
	}
	if got := s.Taken + s.Same + s.Older + s.Void + s.Unsound + s.Left; got != sum || s.Rows != 2*ds {
		t.Fatal(got, sum, s)
	}
	kept := e.Read((rounds + 1) * time.Second)
	if len(kept) != 2*ds*tellers {
		t.Fatal(len(kept))
	}
	for _, s := range kept {
		if s.Age != time.Second || s.Zone == "e" && s.Sent != rounds {
			t.Fatal("not the last", s)
		}
	}
}

func TestForgetAndAges(t *testing.T) {
	e := Start(Options{Keep: 10 * time.Second})
	now := 100 * time.Second
	e.Add(now, []healthreport.Sample{saw(2, "e", "b", time.Second, 1), saw(1, "e", "a", 9*time.Second, 2),
		saw(3, "e", "a", 11*time.Second, 2)})
	settle(t, e)
	want := []healthreport.Sample{saw(1, "e", "a", 10*time.Second, 2), saw(2, "e", "b", 2*time.Second, 1)}
	if d := cmp.Diff(want, e.Read(now+time.Second)); d != "" {
		t.Fatal(d)
	}
	e.Forget(now, 2)
	e.Add(now+time.Second, []healthreport.Sample{saw(2, "e", "c", time.Second/2, 1), saw(2, "w", "c", 0, 1)})
	settle(t, e)
	if d := cmp.Diff([]healthreport.Sample{saw(2, "w", "c", time.Second, 1)}, e.Read(now+2*time.Second)); d != "" {
		t.Fatal(d)
	}
	e.Close()
	e.Close()
	if e.Add(now, []healthreport.Sample{saw(1, "e", "a", 0, 1)}) || len(e.Read(now)) != 1 {
		t.Fatal("a closed pool takes, or has lost what it held")
	}
}

// With no worker to empty it, the queue fills and what comes then is left out, without a wait.
func TestFullQueue(t *testing.T) {
	e := Start(Options{Workers: 1, Queue: 2, Shards: 1})
	defer e.Close()
	e.shards[0].mu.Lock() // the worker stands at its first sighting
	taken := 0
	for range 10 {
		if e.Add(0, []healthreport.Sample{saw(1, "e", "a", 0, 1)}) {
			taken++
		}
	}
	long := e.Add(0, make([]healthreport.Sample, mostBatch+1))
	e.shards[0].mu.Unlock()
	s := settle(t, e)
	if taken < 2 || taken > 3 || long || s.Left != uint64(10-taken+mostBatch+1) || s.Taken != 1 {
		t.Fatal(taken, s)
	}
}

// What a sighting costs a worker, and a reading of 3,000 places of one witness the planner.
func BenchmarkTables(b *testing.B) {
	e := Start(Options{})
	defer e.Close()
	var batch []healthreport.Sample
	for d := range 3000 {
		batch = append(batch, saw(d, "e", "a", 0, 1))
	}
	b.Run("take", func(b *testing.B) {
		for i := range b.N {
			e.take(view.Now(i)*time.Microsecond, &batch[i%len(batch)])
		}
	})
	b.Run("read", func(b *testing.B) {
		for range b.N {
			e.Read(time.Second)
		}
	})
}
