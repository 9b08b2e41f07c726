// Package folder keeps what lasts of one process's lives in the cluster: a number that grows with each, and an id of
// the folder itself.
//
// It owns the file life.json and a lock in the folder; what else is there belongs to others. A number is on disk
// before it is told, so that no two lives share one. It must never make up for a file that it cannot read: who that
// folder belonged to is not known then, and a person decides.
package folder

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"syscall"
	"time"

	"flaxcove/internal/cluster/view"
)

const (
	lifeFile = "life.json"
	tempFile = "life.json.new"
	lockFile = "life.lock"
	// idBytes makes two folders of one id unthinkable.
	idBytes = 16
	// mostBytes is far over the file's length: what is longer is another file.
	mostBytes = 4 << 10
)

var isID = regexp.MustCompile(`^[0-9a-f]{32}$`)

// kept is the file.
type kept struct {
	Folder      string           `json:"folder"`
	Incarnation view.Incarnation `json:"incarnation"`
}

// Folder is an open one, of this process alone until Close. It is for one goroutine, at the process's start.
type Folder struct {
	Path        string
	ID          string           // drawn when it was made
	Empty       bool             // it was made just now: what its name held before, if anything, is lost
	Incarnation view.Incarnation // of this life; on disk

	lock *os.File
}

// Open takes a folder, makes it if there is none, and begins a life in it. It fails if another process has it, if its
// file cannot be read, or if it holds files of others but none of ours; the error names what is in the way.
func Open(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o750); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFile), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, err
	}
	f := &Folder{Path: path, lock: lock}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("%s: another process has this folder: %w", lock.Name(), err)
	}
	if err := f.begin(); err != nil {
		lock.Close()
		return nil, err
	}
	return f, nil
}

// begin reads or draws what lasts, and grows the number.
func (f *Folder) begin() error {
	k, err := f.read()
	switch {
	case errors.Is(err, fs.ErrNotExist):
		if k, err = f.first(); err != nil {
			return err
		}
	case err != nil:
		return err
	default:
		k.Incarnation++
	}
	f.ID, f.Incarnation = k.Folder, k.Incarnation
	return f.write(k)
}

// first is what a new folder begins with. Its number is drawn from the clock, so that a name that lost its disk
// begins above what the lost folder had counted to; it is never read as a time. Where the clock went back, the others
// still refuse it, tell what they have seen, and Raise goes above.
func (f *Folder) first() (kept, error) {
	entries, err := os.ReadDir(f.Path)
	if err != nil {
		return kept{}, err
	}
	for _, e := range entries {
		if e.Name() != tempFile && e.Name() != lockFile {
			return kept{}, fmt.Errorf("%s: missing, and the folder holds %s: it is another's, or was damaged",
				filepath.Join(f.Path, lifeFile), e.Name())
		}
	}
	id := make([]byte, idBytes)
	if _, err := rand.Read(id); err != nil {
		return kept{}, err
	}
	f.Empty = true
	return kept{hex.EncodeToString(id), view.Incarnation(max(1, time.Now().UnixMilli()))}, nil
}

func (f *Folder) read() (k kept, err error) {
	path := filepath.Join(f.Path, lifeFile)
	text, err := os.ReadFile(path)
	if err != nil {
		return k, err
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	switch err := d.Decode(&k); {
	case len(text) > mostBytes:
		return k, fmt.Errorf("%s: %d bytes; it is not this file", path, len(text))
	case err != nil:
		return k, fmt.Errorf("%s: torn or damaged: %w", path, err)
	case d.More():
		return k, fmt.Errorf("%s: damaged: more behind its end", path)
	case !isID.MatchString(k.Folder):
		return k, fmt.Errorf("%s: field folder: %q is no id of a folder", path, k.Folder)
	case k.Incarnation == 0 || k.Incarnation >= math.MaxInt64:
		return k, fmt.Errorf("%s: field incarnation: %d was never told", path, k.Incarnation)
	}
	return k, nil
}

// write replaces the file whole, on disk when it returns: a file aside, its bytes, its name, then the folder.
func (f *Folder) write(k kept) error {
	text, err := json.Marshal(k)
	if err != nil {
		return err
	}
	aside := filepath.Join(f.Path, tempFile)
	file, err := os.OpenFile(aside, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o640)
	if err != nil {
		return err
	}
	_, err = file.Write(append(text, '\n'))
	if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
		return err
	}
	if err := os.Rename(aside, filepath.Join(f.Path, lifeFile)); err != nil {
		return err
	}
	dir, err := os.Open(f.Path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// Raise puts this life above one that others have seen of the name, as after an old folder was put back. Only a life
// that nobody has taken in yet may: one that was, and is refused now, has a successor, and two that raise in turn
// would never settle.
func (f *Folder) Raise(above view.Incarnation) error {
	if above >= math.MaxInt64-1 {
		return fmt.Errorf("%s: incarnation %d was never told", f.Path, above)
	}
	if above < f.Incarnation {
		return nil
	}
	if err := f.write(kept{f.ID, above + 1}); err != nil {
		return err
	}
	f.Incarnation = above + 1
	return nil
}

// Close lets another process have the folder.
func (f *Folder) Close() error { return f.lock.Close() }
