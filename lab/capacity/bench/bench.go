// Package bench holds what the capacity benchmarks of all packages share: the sizes that they run and how heap is
// measured.
//
// It owns no figure and no plan. It imports nothing of the program, so that the tests of any package may use it, and
// must never be imported by what serves.
package bench

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"testing"
)

// MostVariable names the environment variable that lifts the bound on sizes for the long runs of docs/CAPACITY.md.
const MostVariable = "CAPACITY_MOST"

// usualMost keeps a plain `go test -bench .` short and small.
const usualMost = 100_000

// most is the largest size that is run.
func most() int {
	if n, err := strconv.Atoi(os.Getenv(MostVariable)); err == nil && n > 0 {
		return n
	}
	return usualMost
}

// Sizes runs f as a sub-benchmark for each size within the bound, named AXIS=SIZE as lab/capacity reads it.
func Sizes(b *testing.B, axis string, sizes []int, f func(b *testing.B, n int)) {
	for _, n := range sizes {
		if n > most() {
			continue
		}
		b.Run(fmt.Sprintf("%s=%d", axis, n), func(b *testing.B) { f(b, n) })
	}
}

// Heap is how many bytes of live heap build leaves behind in what it returns. Other goroutines should be at rest.
func Heap(build func() any) float64 {
	before := live()
	built := build()
	after := live()
	runtime.KeepAlive(built)
	return float64(after) - float64(before)
}

func live() uint64 {
	// Twice: what finalizers and pools hold on to goes with the second.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Allocated is how many bytes of heap f allocates.
func Allocated(f func()) float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc - before.TotalAlloc)
}
