// Package journal stores the records of a sender in one file of its state folder, so that they outlive the process.
//
// It defines the format of the file, and it bounds and rewrites the file; it does not interpret the records. A file that
// a killed process left behind can always be opened: an incomplete record at its end is dropped. A rewrite never makes
// the files exceed the limit and never replaces a valid file by an incomplete one. Neither an open nor a rewrite holds
// more than one record of the file in memory (replay.go, rewrite.go).
package journal

import (
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
	frameHeadSize = 8                      // bytes of the length and the checksum
	maxRecord     = 1 << 20                // bytes of a record; a message with the largest body is far smaller
	blockSize     = 512                    // bytes; the size of a file counts against the limit rounded up to blocks

	currentFile = "notices.log"
	rewriteFile = "notices.new" // written by Rewrite and then renamed to currentFile

	folderMode = 0o700
	fileMode   = 0o600
)

// ErrFull is returned by Rewrite if the old and the new file together would exceed the limit.
var ErrFull = errors.New("the journal is full")

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// Journal is an open file of records. It must not be used by more than one goroutine at a time.
type Journal struct {
	dir   string
	file  *os.File
	size  int64  // of the file in bytes
	limit int64  // in bytes, for all files in dir that hold records
	batch []byte // frames that were added since the last Flush
}

// Open opens the file in dir and creates it, and dir, if they do not exist. It calls replay with each valid record, in
// order, and with the position of the record in the file; the record is valid only during the call. Open cuts the file off
// at the first damaged or incomplete record and returns the number of dropped bytes. limit is in bytes.
func Open(dir string, limit int64, replay func(record []byte, at int64)) (j *Journal, dropped int64, err error) {
	j = &Journal{dir: dir, limit: limit}
	dropped, err = j.open(replay)
	if err != nil {
		return nil, 0, fmt.Errorf("state folder: %w", err)
	}
	if j.size == 0 {
		j.batch = append(j.batch, magic...)
		if err := j.Flush(); err != nil {
			return nil, 0, errors.Join(err, j.file.Close())
		}
	}
	return j, dropped, nil
}

// open replays the file and opens it for writing after the last valid record.
func (j *Journal) open(replay func(record []byte, at int64)) (dropped int64, err error) {
	if err := os.MkdirAll(j.dir, folderMode); err != nil {
		return 0, err
	}
	// A file left by an interrupted rewrite would count against the limit, and all its records are in the current file
	// too.
	if err := os.Remove(j.path(rewriteFile)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return 0, err
	}
	if j.file, err = os.OpenFile(j.path(currentFile), os.O_RDWR|os.O_CREATE, fileMode); err != nil {
		return 0, err
	}
	if dropped, err = j.replayFile(replay); err != nil {
		return 0, errors.Join(err, j.file.Close())
	}
	return dropped, nil
}

// path returns the path of a file in the folder of the journal.
func (j *Journal) path(name string) string { return filepath.Join(j.dir, name) }

// appendFrame appends a record with its length and checksum to out.
func appendFrame(out, record []byte) []byte {
	out = binary.LittleEndian.AppendUint32(out, uint32(len(record)))
	out = binary.LittleEndian.AppendUint32(out, crc32.Checksum(record, checksumTable))
	return append(out, record...)
}

// Size returns the size of the file in bytes, including the records added since the last Flush.
func (j *Journal) Size() int64 { return j.size + int64(len(j.batch)) }

// Limit returns the limit that was passed to Open, in bytes.
func (j *Journal) Limit() int64 { return j.limit }

// FramedSize returns the number of bytes that a record of n bytes adds to the file.
func FramedSize(n int) int64 { return int64(n) + frameHeadSize }

// inBlocks returns the size of a file rounded up to whole blocks, in bytes.
func inBlocks(size int64) int64 { return (size + blockSize - 1) / blockSize * blockSize }

// Buffered returns the size in bytes of the memory that holds the records added since the last Flush.
func (j *Journal) Buffered() int64 { return int64(cap(j.batch)) }

// Add adds a record, which the next Flush writes. It copies the record, and returns its position in the file. A Rewrite
// gives records other positions.
func (j *Journal) Add(record []byte) (at int64) {
	at = j.Size() + frameHeadSize
	j.batch = appendFrame(j.batch, record)
	return at
}

// ReadAt fills part with bytes of the file from a position on. Records that were added since the last Flush are not in the
// file yet.
func (j *Journal) ReadAt(part []byte, at int64) error {
	if _, err := j.file.ReadAt(part, at); err != nil {
		return fmt.Errorf("journal: %d bytes at %d: %w", len(part), at, err)
	}
	return nil
}

// Flush writes all added records with a single write. It does not sync: data that the operating system has accepted
// outlives the process. After an error the records remain to be written by the next Flush.
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

// Put atomically replaces the small file name in the folder of the journal. The file does not count against the limit;
// the caller must bound its size.
func (j *Journal) Put(name string, data []byte) error {
	path := filepath.Join(j.dir, name)
	if err := os.WriteFile(path+".new", data, fileMode); err != nil {
		return errors.Join(err, os.Remove(path+".new"))
	}
	return os.Rename(path+".new", path)
}

// Get reads a file that was written by Put into the folder dir.
func Get(dir, name string) ([]byte, error) { return os.ReadFile(filepath.Join(dir, name)) }

// Close flushes the added records and closes the file.
func (j *Journal) Close() error { return errors.Join(j.Flush(), j.file.Close()) }
