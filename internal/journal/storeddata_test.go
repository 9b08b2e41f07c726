package journal_test

import (
	"bytes"
	"os"
	"slices"
	"testing"

	"flaxcove/internal/journal"
)

// storedLimit is the limit in bytes. It is far above the size of the stored file.
const storedLimit = 1 << 20

// storedFolder returns a copy of the folder testdata/stored, which commit 485f0e4 wrote. The folder must never be
// regenerated: files of an older program have to stay readable.
func storedFolder(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("testdata/stored")); err != nil {
		t.Fatal(err)
	}
	return dir
}

// readRecords opens a journal, reads all its records and closes it.
func readRecords(t *testing.T, dir string) (records [][]byte, dropped int64) {
	t.Helper()
	j, dropped, err := journal.Open(dir, storedLimit, func(record []byte, _ int64) { records = append(records, bytes.Clone(record)) })
	if err != nil {
		t.Fatal(err)
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	return records, dropped
}

// storedRecords returns the records in the stored file.
func storedRecords() [][]byte {
	return [][]byte{[]byte("first"), {0}, bytes.Repeat([]byte("wide "), 60)}
}

// TestReadsStoredJournal checks that the records of an older program are read unchanged, both from its complete file and
// from one that is cut off in the last record.
func TestReadsStoredJournal(t *testing.T) {
	for _, c := range []struct {
		name    string
		cut     int
		want    int
		dropped int64
	}{{"whole", 0, 3, 0}, {"torn", 9, 2, 299}} {
		t.Run(c.name, func(t *testing.T) {
			dir := storedFolder(t)
			path := dir + "/notices.log"
			stored, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.Truncate(path, int64(len(stored)-c.cut)); err != nil {
				t.Fatal(err)
			}
			records, dropped := readRecords(t, dir)
			if !slices.EqualFunc(records, storedRecords()[:c.want], bytes.Equal) || dropped != c.dropped {
				t.Errorf("read %q, dropped %d", records, dropped)
			}
		})
	}
}

// TestWritesStoredJournal checks that the same records give the same file, so that an older program can read it after a
// downgrade.
func TestWritesStoredJournal(t *testing.T) {
	dir := t.TempDir()
	j, _, err := journal.Open(dir, storedLimit, func([]byte, int64) {})
	if err != nil {
		t.Fatal(err)
	}
	for _, record := range storedRecords() {
		j.Add(record)
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(dir + "/notices.log")
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/stored/notices.log")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("written %q, stored %q", got, want)
	}
}

// TestReadsStoredFileBeside checks that Get reads a file that an older program stored with Put.
func TestReadsStoredFileBeside(t *testing.T) {
	got, err := journal.Get(storedFolder(t), "beside.json")
	if err != nil || string(got) != `{"beside":1}` {
		t.Errorf("%q, %v", got, err)
	}
}
