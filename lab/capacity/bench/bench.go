// Package bench provides the helpers that the capacity benchmarks of all packages share: the choice of sizes and the
// measurement of heap memory.
//
// It imports no other package of the module, so that the tests of every package can use it. Only tests and lab/capacity may
// import it.
package bench

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"testing"
)

// MaxSizeVariable is the name of the environment variable that sets the largest size to run. The long runs for docs/CAPACITY.md
// use it to raise the default.
const MaxSizeVariable = "CAPACITY_MOST"

// defaultMaxSize is the largest size to run by default, which keeps a plain `go test -bench .` short.
const defaultMaxSize = 100_000

// maxSize returns the largest size to run.
func maxSize() int {
	if n, err := strconv.Atoi(os.Getenv(MaxSizeVariable)); err == nil && n > 0 {
		return n
	}
	return defaultMaxSize
}

// Sizes runs f as a sub-benchmark for each size up to maxSize. The sub-benchmark is named AXIS=SIZE, as lab/capacity expects.
func Sizes(b *testing.B, axis string, sizes []int, f func(b *testing.B, n int)) {
	for _, n := range sizes {
		if n > maxSize() {
			continue
		}
		b.Run(fmt.Sprintf("%s=%d", axis, n), func(b *testing.B) { f(b, n) })
	}
}

// Heap returns the size in bytes of the live heap that the result of build occupies. Other goroutines should be idle.
func Heap(build func() any) float64 {
	before := liveHeap()
	built := build()
	after := liveHeap()
	runtime.KeepAlive(built)
	return float64(after) - float64(before)
}

// liveHeap returns the size of the live heap in bytes.
func liveHeap() uint64 {
	// The second collection frees objects that finalizers and pools still referenced during the first.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Allocated returns the number of bytes that f allocates on the heap.
func Allocated(f func()) float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc - before.TotalAlloc)
}
