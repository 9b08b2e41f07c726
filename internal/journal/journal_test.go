package journal

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// open opens the journal in dir, prints an error, and returns the records in the file.
func open(dir string, limit int64) (j *Journal, records []string, dropped int64) {
	j, dropped, err := Open(dir, limit, func(r []byte, _ int64) { records = append(records, string(r)) })
	if err != nil {
		fmt.Println(err)
	}
	return j, records, dropped
}

// write adds records to the journal in dir and closes it.
func write(dir string, records ...string) {
	j, _, _ := open(dir, 1<<20)
	for _, r := range records {
		j.Add([]byte(r))
	}
	j.Close()
}

// A process that is killed while it writes leaves an incomplete record. Open cuts that record off and keeps the records
// before it, and new records follow them. A damaged record is cut off with all records after it.
func Example_incompleteTail() {
	dir, _ := os.MkdirTemp("", "journal")
	defer os.RemoveAll(dir)
	write(dir, "one", "two")
	path := filepath.Join(dir, "notices.log")
	whole, _ := os.ReadFile(path)
	for cut := len(whole); cut >= 0; cut -= 6 {
		os.WriteFile(path, whole[:cut], 0o600)
		j, records, dropped := open(dir, 1<<20)
		j.Add([]byte("three"))
		j.Close()
		_, again, _ := open(dir, 1<<20)
		fmt.Println(cut, records, dropped, again)
	}
	flipped := bytes.Clone(whole)
	flipped[len(magic)+frameHeadSize] ^= 1
	os.WriteFile(path, flipped, 0o600)
	_, records, dropped := open(dir, 1<<20)
	fmt.Println("flipped", records, dropped)
	// Output:
	// 41 [one two] 0 [one two three]
	// 35 [one] 5 [one three]
	// 29 [] 10 [three]
	// 23 [] 4 [three]
	// 17 [] 17 [three]
	// 11 [] 11 [three]
	// 5 [] 5 [three]
	// flipped [] 22
}

// During a rewrite both files count against the limit, so a rewrite that would exceed it is rejected. Open removes a
// file left by an interrupted rewrite.
func Example_rewrite() {
	dir, _ := os.MkdirTemp("", "journal")
	defer os.RemoveAll(dir)
	j, _, _ := open(dir, 2048)
	for range 40 {
		j.Add([]byte("a record of some length"))
	}
	fmt.Println(j.Flush(), j.Size(), j.Rewrite(func(add func([]byte) int64) error { add(make([]byte, 600)); return nil }))
	j.Add([]byte("added since the last Flush"))
	fmt.Println(j.Rewrite(func(add func([]byte) int64) error { add([]byte("kept")); return nil }), j.Size())
	j.Add([]byte("later"))
	j.Close()
	os.WriteFile(filepath.Join(dir, "notices.new"), []byte("half"), 0o600)
	_, records, _ := open(dir, 2048)
	files, _ := os.ReadDir(dir)
	fmt.Println(records, len(files))
	// Output:
	// <nil> 1259 the journal is full
	// <nil> 31
	// [kept later] 1
}

// FuzzOpen checks that Open fails for no content of the file, and that opening the file again returns the same number of
// records and the one added.
func FuzzOpen(f *testing.F) {
	f.Add([]byte(magic + "\x03\x00\x00\x00aaaaone"))
	f.Fuzz(func(t *testing.T, data []byte) {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "notices.log"), data, 0o600); err != nil {
			t.Fatal(err)
		}
		var first, second int
		j, _, err := Open(dir, 1<<20, func([]byte, int64) { first++ })
		if err != nil {
			t.Fatal(err)
		}
		j.Add([]byte("more"))
		if err := errors.Join(j.Close()); err != nil {
			t.Fatal(err)
		}
		if _, _, err = Open(dir, 1<<20, func([]byte, int64) { second++ }); err != nil || second != first+1 {
			t.Fatalf("%d records, then %d, %v", first, second, err)
		}
	})
}
