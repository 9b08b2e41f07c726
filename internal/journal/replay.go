package journal

// This file reads a journal's file from its start, one record at a time.

import (
	"bufio"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
)

// readBuffer is the size in bytes of the buffer through which the file is read.
const readBuffer = 64 << 10

// replayFile calls replay with each record of the file and with its position, cuts the file off at the first damaged or
// incomplete record, and returns the number of dropped bytes.
func (j *Journal) replayFile(replay func(record []byte, at int64)) (dropped int64, err error) {
	info, err := j.file.Stat()
	if err != nil {
		return 0, err
	}
	r := recordReader{in: bufio.NewReaderSize(io.NewSectionReader(j.file, 0, info.Size()), readBuffer), fileSize: info.Size()}
	if err := r.readMagic(); err != nil {
		return 0, err
	}
	for {
		record, err := r.next()
		if err != nil {
			return 0, err
		}
		if record == nil {
			break
		}
		replay(record, r.valid-int64(len(record)))
	}
	j.size = r.valid
	return info.Size() - j.size, j.file.Truncate(j.size)
}

// recordReader reads the records of a file in order.
type recordReader struct {
	in       *bufio.Reader
	fileSize int64  // in bytes
	valid    int64  // bytes from the start of the file that are valid
	record   []byte // the last record; the next one reuses its memory
}

// readMagic reads the text at the start of the file. Without it no part of the file is valid.
func (r *recordReader) readMagic() error {
	start := make([]byte, len(magic))
	whole, err := r.fill(start)
	if whole && string(start) == magic {
		r.valid = int64(len(magic))
	}
	return err
}

// next returns the next record, or nil if it is incomplete or damaged, or if the file has no more.
func (r *recordReader) next() ([]byte, error) {
	var head [frameHeadSize]byte
	if r.valid == 0 {
		return nil, nil
	}
	if whole, err := r.fill(head[:]); !whole {
		return nil, err
	}
	n := int64(binary.LittleEndian.Uint32(head[:]))
	if n == 0 || n > maxRecord || n > r.fileSize-r.valid-frameHeadSize {
		return nil, nil
	}
	if int64(cap(r.record)) < n {
		r.record = make([]byte, n)
	}
	r.record = r.record[:n]
	if whole, err := r.fill(r.record); !whole {
		return nil, err
	}
	if crc32.Checksum(r.record, checksumTable) != binary.LittleEndian.Uint32(head[checksumAt:]) {
		return nil, nil
	}
	r.valid += frameHeadSize + n
	return r.record, nil
}

// fill reads len(part) bytes, and reports whether the file has so many left.
func (r *recordReader) fill(part []byte) (whole bool, err error) {
	_, err = io.ReadFull(r.in, part)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return false, nil
	}
	return err == nil, err
}
