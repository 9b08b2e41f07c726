package journal

// Benchmarks behind docs/CAPACITY.md: the file by records of a message as a sender writes it.

import (
	"bytes"
	"fmt"
	"testing"

	"flaxcove/lab/capacity/bench"
)

const (
	capacityRecord = 250 // bytes: an id, a class, times and a body of 200
	capacityLimit  = int64(1) << 40
)

func capacityRecords(b *testing.B, n int) string {
	dir := b.TempDir()
	j, _, err := Open(dir, capacityLimit, func([]byte) {})
	if err != nil {
		b.Fatal(err)
	}
	for i := range n {
		j.Add(append(fmt.Appendf(nil, "%020d", i), bytes.Repeat([]byte{'x'}, capacityRecord-20)...))
		if i%1000 == 999 {
			if err := j.Flush(); err != nil {
				b.Fatal(err)
			}
		}
	}
	if err := j.Close(); err != nil {
		b.Fatal(err)
	}
	return dir
}

var capacityRecordCounts = []int{1_000, 10_000, 100_000, 1_000_000}

// BenchmarkCapacityOpen reads a file; alloc-B is what one opening allocates, which all lives at once: the whole file.
func BenchmarkCapacityOpen(b *testing.B) {
	bench.Sizes(b, "records", capacityRecordCounts, func(b *testing.B, n int) {
		dir := capacityRecords(b, n)
		var size int64
		for b.Loop() {
			read := 0
			j, _, err := Open(dir, capacityLimit, func(record []byte) { read += len(record) })
			if err != nil || read != n*capacityRecord {
				b.Fatal(read, err)
			}
			size = j.Size()
			j.Close()
		}
		b.ReportMetric(float64(size), "disk-B")
		b.ReportMetric(bench.Allocated(func() {
			j, _, err := Open(dir, capacityLimit, func([]byte) {})
			if err != nil {
				b.Fatal(err)
			}
			j.Close()
		}), "alloc-B")
	})
}

// BenchmarkCapacityRewrite writes the whole file anew, as a sender's loop does when it nears its limit.
func BenchmarkCapacityRewrite(b *testing.B) {
	bench.Sizes(b, "records", capacityRecordCounts, func(b *testing.B, n int) {
		j, _, err := Open(capacityRecords(b, n), capacityLimit, func([]byte) {})
		if err != nil {
			b.Fatal(err)
		}
		record := bytes.Repeat([]byte{'x'}, capacityRecord)
		all := func(add func([]byte)) {
			for range n {
				add(record)
			}
		}
		for b.Loop() {
			if err := j.Rewrite(all); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(bench.Allocated(func() {
			if err := j.Rewrite(all); err != nil {
				b.Fatal(err)
			}
		}), "alloc-B")
		j.Close()
	})
}

// BenchmarkCapacityAppend is one tick's flush by records in it.
func BenchmarkCapacityAppend(b *testing.B) {
	bench.Sizes(b, "records", []int{1, 10, 100, 1000}, func(b *testing.B, n int) {
		j, _, err := Open(b.TempDir(), capacityLimit, func([]byte) {})
		if err != nil {
			b.Fatal(err)
		}
		record := bytes.Repeat([]byte{'x'}, capacityRecord)
		for b.Loop() {
			for range n {
				j.Add(record)
			}
			if err := j.Flush(); err != nil {
				b.Fatal(err)
			}
		}
		j.Close()
	})
}
