package host

import (
	"math"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// This file measures the process of the host.

// measure returns the resource usage of this process. It runs a garbage collection first if collect is set, since that
// takes processor time.
func measure(collect bool) (u Usage) {
	var used syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &used) == nil {
		u.CPU = time.Duration(used.Utime.Nano() + used.Stime.Nano())
	}
	u.RSS = RSS(os.Getpid())
	var memory runtime.MemStats
	if collect {
		runtime.GC()
	}
	runtime.ReadMemStats(&memory)
	u.Heap, u.Goroutines = memory.HeapAlloc, runtime.NumGoroutine()
	if files, err := os.ReadDir("/proc/self/fd"); err == nil {
		u.Files = len(files)
	}
	return u
}

// RSS returns the resident memory of a process in bytes, or 0 if it cannot be read.
func RSS(pid int) uint64 {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, is := strings.CutPrefix(line, "VmRSS:"); is {
			kb, _ := strconv.ParseUint(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// heapByPart returns the bytes of the heap in use by part of the program. An allocation counts for the innermost function on its
// stack that belongs to a part of the cluster or to one of its libraries.
func heapByPart() map[string]int64 {
	records := make([]runtime.MemProfileRecord, 4096)
	n, ok := runtime.MemProfile(records, false)
	for !ok {
		records = make([]runtime.MemProfileRecord, n+n/4)
		n, ok = runtime.MemProfile(records, false)
	}
	parts := map[string]int64{}
	for _, r := range records[:n] {
		parts[partOf(r.Stack())] += estimateBytes(&r)
	}
	return parts
}

// estimateBytes estimates the bytes in use that a record of the sampled profile represents. It divides by the probability of a
// sample, which grows with the size of the object.
func estimateBytes(r *runtime.MemProfileRecord) int64 {
	if r.InUseObjects() <= 0 || r.InUseBytes() <= 0 {
		return 0
	}
	size := float64(r.InUseBytes()) / float64(r.InUseObjects())
	chance := 1 - math.Exp(-size/float64(runtime.MemProfileRate))
	return int64(float64(r.InUseBytes()) / chance)
}

// prefixes maps prefixes of function names to the names of parts.
var prefixes = []struct{ prefix, part string }{
	{"flaxcove/lab/", "laboratory"},
	{"flaxcove/internal/cluster/", ""}, // the part is the next element of the import path
	{"flaxcove/internal/cluster.", "feed"},
	{"github.com/hashicorp/memberlist", "member"},
	{"github.com/hashicorp/raft", "council"},
	{"go.etcd.io/bbolt", "council"},
	{"net/http", "link"},
}

// partOf returns the part that a stack's innermost matching function belongs to, or "other".
func partOf(stack []uintptr) string {
	frames := runtime.CallersFrames(stack)
	for {
		frame, more := frames.Next()
		for _, p := range prefixes {
			rest, is := strings.CutPrefix(frame.Function, p.prefix)
			switch {
			case is && p.part != "":
				return p.part
			case is:
				part, _, _ := strings.Cut(rest, "/")
				part, _, _ = strings.Cut(part, ".")
				return part
			}
		}
		if !more {
			return "other"
		}
	}
}
