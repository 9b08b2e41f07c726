// Package bench holds what the capacity benchmarks of all packages share: the sizes that they run and how heap is
// measured.
//
// It imports nothing of the program, so that the tests of any package may use it. Code that serves must not import it.
package bench

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"testing"
)

// MaxSizeVariable names the environment variable that lifts the bound on sizes for the long runs of docs/CAPACITY.md.
const MaxSizeVariable = "CAPACITY_MOST"

// defaultMaxSize keeps a plain `go test -bench .` short.
const defaultMaxSize = 100_000

// maxSize returns the largest size that is run.
func maxSize() int {
	if n, err := strconv.Atoi(os.Getenv(MaxSizeVariable)); err == nil && n > 0 {
		return n
	}
	return defaultMaxSize
}

// Sizes runs f as a sub-benchmark for each size within the bound, named AXIS=SIZE as lab/capacity reads it.
func Sizes(b *testing.B, axis string, sizes []int, f func(b *testing.B, n int)) {
	for _, n := range sizes {
		if n > maxSize() {
			continue
		}
		b.Run(fmt.Sprintf("%s=%d", axis, n), func(b *testing.B) { f(b, n) })
	}
}

// Heap returns the bytes of live heap that the result of build holds. Other goroutines should be idle.
func Heap(build func() any) float64 {
	before := liveHeap()
	built := build()
	after := liveHeap()
	runtime.KeepAlive(built)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	// Twice: the second collection frees what finalizers and pools still held.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Allocated returns the bytes of heap that f allocates.
func Allocated(f func()) float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc - before.TotalAlloc)
}
