// Package folder stores a process's identity in the cluster across restarts: its incarnation, which grows with each
// start, and a random id of the cluster folder.
//
// It owns the files life.json (the life record) and life.lock in the folder; other files there belong to other
// packages. An incarnation is on disk before it is announced, so that no two starts share one. The package must never
// replace a life record that it cannot read, as it is then unknown which process the folder belongs to, and an operator
// must decide.
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
	// idBytes is the length of a random id. It makes the same id in two folders practically impossible.
	idBytes = 16
	// maxFileBytes is far above the length of a life record. A longer file is not one.
	maxFileBytes = 4 << 10
)

// idPattern matches the id of a folder.
var idPattern = regexp.MustCompile(`^[0-9a-f]{32}$`)

// lifeRecord is the content of life.json.
type lifeRecord struct {
	Folder      string           `json:"folder"`      // id of the folder
	Incarnation view.Incarnation `json:"incarnation"` // of the last start
}

// Folder is an open cluster folder, locked for this process until Close. It is not safe for concurrent use.
type Folder struct {
	Path        string
	ID          string           // random; generated with the folder's first life record
	Empty       bool             // Open found no life record: data that the process stored before is lost
	Incarnation view.Incarnation // of this start; on disk

	lock *os.File
}

// Open locks a folder, which it creates if it is missing, and starts a new incarnation in it. It returns an error if
// another process has locked the folder, if life.json is invalid, or if it is missing while the folder holds other
// files. The error names the file.
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
		return nil, fmt.Errorf("%s: the folder is locked by another process: %w", lock.Name(), err)
	}
	if err := f.startIncarnation(); err != nil {
		lock.Close()
		return nil, err
	}
	return f, nil
}

// startIncarnation reads the life record and stores it with the next incarnation, or stores a new record if there is
// none.
func (f *Folder) startIncarnation() error {
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

// newRecord returns the life record of a new folder. It returns an error if the folder holds files of other packages.
//
// The incarnation is the wall-clock time in milliseconds, so that a process that lost its disk starts above the
// incarnation of the lost folder. It is never read as a time. If the clock was set back, the other processes reject the
// incarnation and report the highest one that they know, and Raise goes above that.
func (f *Folder) newRecord() (lifeRecord, error) {
	entries, err := os.ReadDir(f.Path)
	if err != nil {
		return lifeRecord{}, err
	}
	for _, e := range entries {
		if e.Name() != tempFile && e.Name() != lockFile {
			return lifeRecord{}, fmt.Errorf("%s: missing, although the folder holds %s: the folder is not a cluster folder or is damaged",
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

// readRecord reads and checks the life record. If there is none, the error is fs.ErrNotExist.
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
		return record, fmt.Errorf("%s: %d bytes, too long for a life record", path, len(text))
	case err != nil:
		return record, fmt.Errorf("%s: truncated or damaged: %w", path, err)
	case d.More():
		return record, fmt.Errorf("%s: damaged: data after the end of the record", path)
	case !idPattern.MatchString(record.Folder):
		return record, fmt.Errorf("%s: field folder: %q is not a folder id", path, record.Folder)
	case record.Incarnation == 0 || record.Incarnation >= math.MaxInt64:
		return record, fmt.Errorf("%s: field incarnation: %d is out of range", path, record.Incarnation)
	}
	return record, nil
}

// writeRecord replaces life.json atomically and durably: it writes and syncs a temporary file, renames it to life.json,
// and syncs the folder.
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

// Raise stores the incarnation above+1, unless the current one is higher than above already. It serves to go above an
// incarnation that other processes know of this process's name, as after an old copy of the folder was restored.
//
// Only a process that no other process has accepted yet may call it. A process that was accepted and is rejected now
// has a successor; if both raised their incarnations in turn, they would never stop.
func (f *Folder) Raise(above view.Incarnation) error {
	if above >= math.MaxInt64-1 {
		return fmt.Errorf("%s: cannot raise the incarnation above %d: out of range", f.Path, above)
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
