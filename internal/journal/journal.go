// Package journal stores the records of a sender in one file of the folder that outlives its process.
//
// It owns that folder: the file's frames, its size and its rewriting. It knows nothing of what the records mean. It does not
// fail on what a killed process left behind (an incomplete record at the end is dropped), does not grow beyond its limit, and
// does not replace a good file by an incomplete one.
package journal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
)

const (
	magic         = "flaxcove journal 1\n" // at the start of the file
	checksumAt    = 4                      // in a frame, after the record's length
	frameHeadSize = 8                      // length and checksum
	maxRecord     = 1 << 20                // far above a message with the largest body
	blockSize     = 512                    // files count against the limit in blocks

	currentFile = "notices.log"
	rewriteFile = "notices.new" // the file that a rewriting prepares

	folderMode = 0o700
	fileMode   = 0o600
)

// ErrFull says that a rewritten file does not fit under the limit.
var ErrFull = errors.New("the journal is full")

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// Journal is an open file of records. It is for one goroutine.
type Journal struct {
	dir   string
	file  *os.File
	size  int64  // of the file
	limit int64  // of the sizes of all files in dir that hold records
	batch []byte // added and not yet written
}

// Open reads the file in dir, if there is one, and hands each complete record to replay, in order. It drops what comes
// after the first damaged record and returns how many bytes that was.
func Open(dir string, limit int64, replay func(record []byte)) (j *Journal, dropped int64, err error) {
	j = &Journal{dir: dir, limit: limit}
	dropped, err = j.open(replay)
	if err != nil {
		return nil, 0, fmt.Errorf("state folder: %w", err)
	}
	if j.size == 0 {
		j.batch = append(j.batch, magic...)
		if err := j.Flush(); err != nil {
			return nil, 0, err
		}
	}
	return j, dropped, nil
}

// open replays the file and opens it for writing after its last good record.
func (j *Journal) open(replay func(record []byte)) (dropped int64, err error) {
	if err := os.MkdirAll(j.dir, folderMode); err != nil {
		return 0, err
	}
	// The file of a rewriting that was cut off counts against the limit and has no record that the current file lacks.
	if err := os.Remove(j.path(rewriteFile)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return 0, err
	}
	data, err := os.ReadFile(j.path(currentFile))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return 0, err
	}
	j.size = replayAll(data, replay)
	if j.file, err = os.OpenFile(j.path(currentFile), os.O_RDWR|os.O_CREATE, fileMode); err != nil {
		return 0, err
	}
	if err := j.file.Truncate(j.size); err != nil {
		return 0, err
	}
	return int64(len(data)) - j.size, nil
}

// replayAll hands each record of a file to replay, up to the first damaged one, and returns the size of the good part.
func replayAll(data []byte, replay func(record []byte)) (good int64) {
	if !bytes.HasPrefix(data, []byte(magic)) {
		return 0
	}
	rest := data[len(magic):]
	for record := firstRecord(rest); record != nil; record = firstRecord(rest) {
		replay(record)
		rest = rest[frameHeadSize+len(record):]
	}
	return int64(len(data) - len(rest))
}

func (j *Journal) path(name string) string { return filepath.Join(j.dir, name) }

// firstRecord is the record at the start of data, nil if there is no complete one.
func firstRecord(data []byte) []byte {
	if len(data) < frameHeadSize {
		return nil
	}
	n := binary.LittleEndian.Uint32(data)
	if n == 0 || n > maxRecord || int(n) > len(data)-frameHeadSize {
		return nil
	}
	record := data[frameHeadSize : frameHeadSize+int(n)]
	if crc32.Checksum(record, checksumTable) != binary.LittleEndian.Uint32(data[checksumAt:]) {
		return nil
	}
	return record
}

func appendFrame(out, record []byte) []byte {
	out = binary.LittleEndian.AppendUint32(out, uint32(len(record)))
	out = binary.LittleEndian.AppendUint32(out, crc32.Checksum(record, checksumTable))
	return append(out, record...)
}

// Size is the size in bytes of the records written and of those added since the last Flush.
func (j *Journal) Size() int64 { return j.size + int64(len(j.batch)) }

// Limit is the limit given to Open, in bytes.
func (j *Journal) Limit() int64 { return j.limit }

// Framed is how many bytes a record of n bytes adds to the file.
func Framed(n int) int64 { return int64(n) + frameHeadSize }

// inBlocks is a file's size in complete blocks.
func inBlocks(size int64) int64 { return (size + blockSize - 1) / blockSize * blockSize }

// Add adds a record to the batch that the next Flush writes.
func (j *Journal) Add(record []byte) { j.batch = appendFrame(j.batch, record) }

// Flush writes all that was added by one call. What the operating system has accepted outlives the process without a sync.
func (j *Journal) Flush() error {
	if len(j.batch) == 0 {
		return nil
	}
	n, err := j.file.WriteAt(j.batch, j.size)
	if err != nil {
		return fmt.Errorf("journal: %d of %d bytes written: %w", n, len(j.batch), err)
	}
	j.size += int64(n)
	j.batch = j.batch[:0]
	if cap(j.batch) > maxRecord {
		j.batch = nil
	}
	return nil
}

// Rewrite replaces the file by one that holds just the records that all adds; what was added since the last Flush must be
// among them. While both files exist both count against the limit, so a rewriting that would exceed it is not begun. If it
// fails, the old file and what waits for Flush are unchanged.
func (j *Journal) Rewrite(all func(add func(record []byte))) error {
	fresh := []byte(magic)
	all(func(record []byte) { fresh = appendFrame(fresh, record) })
	if inBlocks(int64(len(fresh)))+inBlocks(j.size) > j.limit {
		return ErrFull
	}
	if err := os.WriteFile(j.path(rewriteFile), fresh, fileMode); err != nil {
		return errors.Join(fmt.Errorf("journal: %w", err), os.Remove(j.path(rewriteFile)))
	}
	if err := os.Rename(j.path(rewriteFile), j.path(currentFile)); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	file, err := os.OpenFile(j.path(currentFile), os.O_RDWR, fileMode)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	j.file.Close()
	j.file, j.size, j.batch = file, int64(len(fresh)), j.batch[:0]
	return nil
}

// Put replaces a small file beside the records, completely or not at all. Its owner bounds its size: it does not count
// against the limit here.
func (j *Journal) Put(name string, data []byte) error {
	path := filepath.Join(j.dir, name)
	if err := os.WriteFile(path+".new", data, fileMode); err != nil {
		return errors.Join(err, os.Remove(path+".new"))
	}
	return os.Rename(path+".new", path)
}

// Get reads what Put wrote.
func Get(dir, name string) ([]byte, error) { return os.ReadFile(filepath.Join(dir, name)) }

// Close writes what was added and closes the file.
func (j *Journal) Close() error { return errors.Join(j.Flush(), j.file.Close()) }
