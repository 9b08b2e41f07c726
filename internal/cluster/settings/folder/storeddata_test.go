package folder_test

import (
	"os"
	"testing"

	"flaxcove/internal/cluster/settings/folder"
	"flaxcove/internal/cluster/view"
)

// What testdata/stored/life.json holds. Commit 485f0e4 wrote the file; it is never written anew.
const (
	storedID          = "00112233445566778899aabbccddeeff"
	storedIncarnation = view.Incarnation(1700000000123)
	storedNext        = `{"folder":"00112233445566778899aabbccddeeff","incarnation":1700000000124}` + "\n"
)

// TestReadsStoredFolder: a folder of an older program keeps its id and counts its lives on, in the same form.
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
		t.Errorf("id %q, incarnation %d, empty %v", f.ID, f.Incarnation, f.Empty)
	}
	written, err := os.ReadFile(path + "/life.json")
	if err != nil || string(written) != storedNext {
		t.Errorf("written %q, error %v", written, err)
	}
}
