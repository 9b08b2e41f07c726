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

// This file measures the host's own process.

// measure measures this process. It collects garbage first only if collect is set, since that takes processor time.
func measure(collect bool) (u Used) {
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

// RSS is the resident memory of a process in bytes; 0 if that is not known.
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

// heapByPart sums the sampled heap in use by the innermost part of the cluster, or the library, that allocated it.
func heapByPart() map[string]int64 {
	records := make([]runtime.MemProfileRecord, 4096)
	n, ok := runtime.MemProfile(records, false)
	for !ok {
		records = make([]runtime.MemProfileRecord, n+n/4)
		n, ok = runtime.MemProfile(records, false)
	}
	parts := map[string]int64{}
	for _, r := range records[:n] {
		parts[partOf(r.Stack())] += unsampled(&r)
	}
	return parts
}

// unsampled estimates the bytes that a sampled record stands for: the probability to be sampled grows with the size.
func unsampled(r *runtime.MemProfileRecord) int64 {
	if r.InUseObjects() <= 0 || r.InUseBytes() <= 0 {
		return 0
	}
	size := float64(r.InUseBytes()) / float64(r.InUseObjects())
	chance := 1 - math.Exp(-size/float64(runtime.MemProfileRate))
	return int64(float64(r.InUseBytes()) / chance)
}

// prefixes maps the beginnings of function names to parts.
var prefixes = []struct{ prefix, part string }{
	{"flaxcove/lab/", "laboratory"},
	{"flaxcove/internal/cluster/", ""}, // the next element of the path
	{"flaxcove/internal/cluster.", "feed"},
	{"github.com/hashicorp/memberlist", "member"},
	{"github.com/hashicorp/raft", "council"},
	{"go.etcd.io/bbolt", "council"},
	{"net/http", "link"},
}

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
