// Package folder stores a process's identity in the cluster across restarts: its incarnation, which grows with each
// start, and an id of the folder itself.
//
// It owns the file life.json and a lock in the folder; other files there belong to other packages. An incarnation is on
// disk before it is announced, so that no two starts share one. It must never replace a file that it cannot read: whose
// folder it was is then unknown, and an operator must decide.
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
	// idBytes is the length of a random id; two folders practically never draw the same.
	idBytes = 16
	// maxFileBytes is far above the file's length: a longer one is another file.
	maxFileBytes = 4 << 10
)

// idPattern matches a folder's id.
var idPattern = regexp.MustCompile(`^[0-9a-f]{32}$`)

// lifeRecord is the content of life.json.
type lifeRecord struct {
	Folder      string           `json:"folder"`
	Incarnation view.Incarnation `json:"incarnation"`
}

// Folder is an open folder, locked for this process until Close. It is not safe for concurrent use.
type Folder struct {
	Path        string
	ID          string           // random, drawn when the folder was created
	Empty       bool             // created by Open: what the process had stored before, if anything, is lost
	Incarnation view.Incarnation // of this start; on disk

	lock *os.File
}

// Open locks a folder, creates it if missing, and starts a new incarnation in it. It fails if another process has it,
// if life.json cannot be read, or if there is none but other files exist; the error names the file in question.
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
	if err := f.startLife(); err != nil {
		lock.Close()
		return nil, err
	}
	return f, nil
}

// startLife reads or creates the record, and stores the next incarnation.
func (f *Folder) startLife() error {
	record, err := f.readRecord()
	switch {
	case errors.Is(err, fs.ErrNotExist):
		if record, err = f.newRecord(); err != nil {
			return err
		}
	case err != nil:
		return err
	default:
		record.Incarnation++
	}
	f.ID, f.Incarnation = record.Folder, record.Incarnation
	return f.writeRecord(record)
}

// newRecord returns the record of a new folder. Its incarnation is taken from the clock, so that a process that lost its
// disk starts above the lost folder's incarnation; it is never read as a time. Should the clock have gone back, the
// other processes reject the incarnation and report what they know, and Raise goes above that.
func (f *Folder) newRecord() (lifeRecord, error) {
	entries, err := os.ReadDir(f.Path)
	if err != nil {
		return lifeRecord{}, err
	}
	for _, e := range entries {
		if e.Name() != tempFile && e.Name() != lockFile {
			return lifeRecord{}, fmt.Errorf("%s: missing, and the folder holds %s: it is another's, or was damaged",
				filepath.Join(f.Path, lifeFile), e.Name())
		}
	}
	id := make([]byte, idBytes)
	if _, err := rand.Read(id); err != nil {
		return lifeRecord{}, err
	}
	f.Empty = true
	return lifeRecord{hex.EncodeToString(id), view.Incarnation(max(1, time.Now().UnixMilli()))}, nil
}

// readRecord reads and checks life.json.
func (f *Folder) readRecord() (record lifeRecord, err error) {
	path := filepath.Join(f.Path, lifeFile)
	text, err := os.ReadFile(path)
	if err != nil {
		return record, err
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	switch err := d.Decode(&record); {
	case len(text) > maxFileBytes:
		return record, fmt.Errorf("%s: %d bytes; it is not this file", path, len(text))
	case err != nil:
		return record, fmt.Errorf("%s: torn or damaged: %w", path, err)
	case d.More():
		return record, fmt.Errorf("%s: damaged: more behind its end", path)
	case !idPattern.MatchString(record.Folder):
		return record, fmt.Errorf("%s: field folder: %q is no id of a folder", path, record.Folder)
	case record.Incarnation == 0 || record.Incarnation >= math.MaxInt64:
		return record, fmt.Errorf("%s: field incarnation: %d was never told", path, record.Incarnation)
	}
	return record, nil
}

// writeRecord replaces the file atomically and durably: it writes and syncs a temporary file, renames it, and syncs the
// folder.
func (f *Folder) writeRecord(record lifeRecord) error {
	text, err := json.Marshal(record)
	if err != nil {
		return err
	}
	tempPath := filepath.Join(f.Path, tempFile)
	file, err := os.OpenFile(tempPath, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o640)
	if err != nil {
		return err
	}
	_, err = file.Write(append(text, '\n'))
	if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
		return err
	}
	if err := os.Rename(tempPath, filepath.Join(f.Path, lifeFile)); err != nil {
		return err
	}
	dir, err := os.Open(f.Path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// Raise raises the incarnation above one that others know of this process's name, as after an old folder was restored.
// Only a process that no other has accepted yet may do so: one that was accepted and is now rejected has a successor, and
// two that raise in turn would never end.
func (f *Folder) Raise(above view.Incarnation) error {
	if above >= math.MaxInt64-1 {
		return fmt.Errorf("%s: incarnation %d was never told", f.Path, above)
	}
	if above < f.Incarnation {
		return nil
	}
	if err := f.writeRecord(lifeRecord{f.ID, above + 1}); err != nil {
		return err
	}
	f.Incarnation = above + 1
	return nil
}

// Close unlocks the folder.
func (f *Folder) Close() error { return f.lock.Close() }
