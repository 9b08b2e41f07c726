package folder_test

import (
	"os"
	"testing"

	"flaxcove/internal/cluster/settings/folder"
	"flaxcove/internal/cluster/view"
)

// Content of testdata/stored/life.json. Commit 485f0e4 wrote the file; it must never be regenerated.
const (
	storedID          = "00112233445566778899aabbccddeeff"
	storedIncarnation = view.Incarnation(1700000000123)
	storedNext        = `{"folder":"00112233445566778899aabbccddeeff","incarnation":1700000000124}` + "\n"
)

// TestReadsStoredFolder checks that a folder of an older version keeps its id, gets the next incarnation, and keeps the
// format of its life record.
func TestReadsStoredFolder(t *testing.T) {
	path := t.TempDir()
	if err := os.CopyFS(path, os.DirFS("testdata/stored")); err != nil {
		t.Fatal(err)
	}
	f, err := folder.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	})
	if f.ID != storedID || f.Incarnation != storedIncarnation+1 || f.Empty {
		t.Errorf("id %q, incarnation %d, empty %v, want id %q, incarnation %d, not empty", f.ID, f.Incarnation, f.Empty, storedID, storedIncarnation+1)
	}
	written, err := os.ReadFile(path + "/life.json")
	if err != nil || string(written) != storedNext {
		t.Errorf("life.json is %q, error %v, want %q", written, err, storedNext)
	}
}
