package folder

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func open(t *testing.T, path string) *Folder {
	t.Helper()
	f, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	return f
}

// TestIncarnations checks that the incarnation grows with each Open and Raise, that the id stays, and that a folder can
// be opened only once at a time.
func TestIncarnations(t *testing.T) {
	path := filepath.Join(t.TempDir(), "deep", "anna")
	first := open(t, path)
	if !first.Empty || first.Incarnation == 0 {
		t.Fatal(first)
	}
	if _, err := Open(path); err == nil || !strings.Contains(err.Error(), lockFile) {
		t.Fatal("a folder was opened twice", err)
	}
	first.Close()
	second := open(t, path)
	if second.Empty || second.ID != first.ID || second.Incarnation != first.Incarnation+1 {
		t.Fatal(second, first)
	}
	if err := second.Raise(second.Incarnation + 40); err != nil || second.Incarnation != first.Incarnation+42 {
		t.Fatal(second, err)
	}
	if err := second.Raise(3); err != nil || second.Incarnation != first.Incarnation+42 {
		t.Fatal("raising to a lower incarnation changed it or failed", second, err)
	}
	second.Close()
	if third := open(t, path); third.Incarnation != first.Incarnation+43 {
		t.Fatal("the raised incarnation was not stored", third)
	}
	if other := open(t, filepath.Join(t.TempDir(), "anna")); !other.Empty || other.ID == first.ID {
		t.Fatal("another folder is not empty or has the same id", other)
	}
}

// TestDamagedOrForeignFolder checks that Open returns an error that names life.json, and does not change it, if it is
// truncated at any byte, damaged or another program's file.
func TestDamagedOrForeignFolder(t *testing.T) {
	path := t.TempDir()
	open(t, path).Close()
	file := filepath.Join(path, lifeFile)
	whole, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	bad := []string{strings.Repeat("\x00", len(whole)), string(whole) + "{}", `{"folder":"x","incarnation":1}`,
		strings.Replace(string(whole), `"incarnation":`, `"incarnation":-`, 1),
		strings.Repeat(" ", maxFileBytes) + string(whole)}
	for n := range len(whole) - 1 {
		bad = append(bad, string(whole[:n]))
	}
	for _, text := range bad {
		if err := os.WriteFile(file, []byte(text), 0o640); err != nil {
			t.Fatal(err)
		}
		if f, err := Open(path); err == nil || !strings.Contains(err.Error(), file) {
			t.Fatalf("%q: %v %v", text, f, err)
		}
		if left, _ := os.ReadFile(file); string(left) != text {
			t.Fatal("the damaged file was replaced")
		}
	}
	os.Remove(file)
	// A process that is killed during its first write leaves only a part of the temporary file.
	os.WriteFile(filepath.Join(path, tempFile), whole[:9], 0o640)
	if f := open(t, path); !f.Empty {
		t.Fatal(f)
	} else {
		f.Close()
	}
	os.Rename(file, filepath.Join(path, "raft.db"))
	if _, err := Open(path); err == nil || !strings.Contains(err.Error(), file) {
		t.Fatal("a folder with files of other packages and no life.json was accepted", err)
	}
}
