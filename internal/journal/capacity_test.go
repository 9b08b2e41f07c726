package journal

// This file holds the benchmarks for docs/CAPACITY.md: the cost of the journal by the number of records, with the size
// of a message's record in a sender.

import (
	"bytes"
	"fmt"
	"testing"

	"flaxcove/lab/capacity/bench"
)

const (
	capacityRecord = 250 // bytes of a record: an id, a class, times and a body of 200 bytes
	capacityLimit  = int64(1) << 40
)

// capacityRecords writes a journal with n records and returns its folder.
func capacityRecords(b *testing.B, n int) string {
	dir := b.TempDir()
	j, _, err := Open(dir, capacityLimit, func([]byte, int64) {})
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

// BenchmarkCapacityOpen opens and replays files. alloc-B is the number of bytes that one Open allocates; they are all in
// use at the same time, because Open reads the whole file into memory.
func BenchmarkCapacityOpen(b *testing.B) {
	bench.Sizes(b, "records", capacityRecordCounts, func(b *testing.B, n int) {
		dir := capacityRecords(b, n)
		var size int64
		for b.Loop() {
			read := 0
			j, _, err := Open(dir, capacityLimit, func(record []byte, _ int64) { read += len(record) })
			if err != nil || read != n*capacityRecord {
				b.Fatal(read, err)
			}
			size = j.Size()
			j.Close()
		}
		b.ReportMetric(float64(size), "disk-B")
		b.ReportMetric(bench.Allocated(func() {
			j, _, err := Open(dir, capacityLimit, func([]byte, int64) {})
			if err != nil {
				b.Fatal(err)
			}
			j.Close()
		}), "alloc-B")
	})
}

// BenchmarkCapacityRewrite rewrites the whole file, as a sender does when the file is near its limit.
func BenchmarkCapacityRewrite(b *testing.B) {
	bench.Sizes(b, "records", capacityRecordCounts, func(b *testing.B, n int) {
		j, _, err := Open(capacityRecords(b, n), capacityLimit, func([]byte, int64) {})
		if err != nil {
			b.Fatal(err)
		}
		record := bytes.Repeat([]byte{'x'}, capacityRecord)
		all := func(add func([]byte) int64) error {
			for range n {
				add(record)
			}
			return nil
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

// BenchmarkCapacityAppend measures the flush of one tick by the number of records in it.
func BenchmarkCapacityAppend(b *testing.B) {
	bench.Sizes(b, "records", []int{1, 10, 100, 1000}, func(b *testing.B, n int) {
		j, _, err := Open(b.TempDir(), capacityLimit, func([]byte, int64) {})
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
