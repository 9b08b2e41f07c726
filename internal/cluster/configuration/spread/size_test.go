package spread

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChange reports the cost of one change in a fleet: the number of calls per member, the bytes of messages at a
// member (the mean, and at the busiest), and the simulated time until the leader knows that the change is in force
// everywhere. It also reports the bytes per second while nothing changes. One iteration is one change. A message takes
// 10 to 30 ms, and each of the three steps in a process (store, apply, record) 0 to 20 ms.
func BenchmarkChange(b *testing.B) {
	for _, size := range []int{66, 660, 6600} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			w := newSimulation(b, 3, size)
			w.maxChildren = 32
			w.updateTree()
			w.commit()
			w.run(8 * time.Second)
			w.measure = true
			calls, mean, busiest, known := 0, 0.0, 0.0, time.Duration(0)
			for b.Loop() {
				w.calls = 0
				clear(w.bytes)
				began := w.now
				w.commit()
				newest := uint64(len(w.committed))
				for w.leaderState.Summary(w.now).MembersAtLeast(newest) < size {
					w.run(step)
					if w.now-began > time.Minute {
						b.Fatal("not in force everywhere")
					}
				}
				known += w.now - began
				w.run(time.Second)
				calls += w.calls
				meanOf, most := w.bytesPerProcess()
				mean, busiest = mean+meanOf, max(busiest, most)
			}
			clear(w.bytes)
			w.run(2 * RefreshInterval)
			idleMean, idleMost := w.bytesPerProcess()
			perSecond := (2 * RefreshInterval).Seconds()
			b.ReportMetric(float64(calls)/float64(b.N*size), "calls/member")
			b.ReportMetric(mean/float64(b.N), "B/member")
			b.ReportMetric(busiest, "B/busiest")
			b.ReportMetric(known.Seconds()/float64(b.N)*1000, "known-ms")
			b.ReportMetric(idleMean/perSecond, "idle-B/s")
			b.ReportMetric(idleMost/perSecond, "idle-B/s-busiest")
		})
	}
}

// bytesPerProcess returns the mean number of bytes at a process, and the number at the busiest.
func (w *simulation) bytesPerProcess() (mean, most float64) {
	for _, n := range w.bytes {
		mean += float64(n) / float64(len(w.processes))
		most = max(most, float64(n))
	}
	return mean, most
}
