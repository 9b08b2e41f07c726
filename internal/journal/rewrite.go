package journal

// This file replaces a journal's file by one that holds fewer records.

import (
	"bufio"
	"errors"
	"fmt"
	"os"
)

// writeBuffer is the size in bytes of the buffer through which the new file is written.
const writeBuffer = 64 << 10

// Rewrite replaces the file by one that holds only the records that all passes to add, which returns the position of each
// in the new file. They must include the records added since the last Flush, which are otherwise lost. While all runs,
// ReadAt reads the old file. Both files exist for a while and count against the limit; if they would exceed it, Rewrite
// returns ErrFull. After an error, also one that all returns, the old file and the records to be flushed are unchanged,
// and the new positions are void.
func (j *Journal) Rewrite(all func(add func(record []byte) (at int64)) error) error {
	file, err := os.OpenFile(j.path(rewriteFile), os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	size, err := j.writeRecords(file, all)
	if err == nil {
		err = os.Rename(j.path(rewriteFile), j.path(currentFile))
	}
	if err != nil {
		return errors.Join(err, file.Close(), os.Remove(j.path(rewriteFile)))
	}
	j.file.Close()
	j.file, j.size, j.batch = file, size, nil
	return nil
}

// writeRecords writes a whole file with the records that all passes to add, and returns its size in bytes.
func (j *Journal) writeRecords(file *os.File, all func(add func(record []byte) (at int64)) error) (size int64, err error) {
	w := rewriter{out: bufio.NewWriterSize(file, writeBuffer), limit: j.limit - inBlocks(j.size)}
	w.write([]byte(magic))
	err = all(func(record []byte) (at int64) {
		w.frame = appendFrame(w.frame[:0], record)
		w.write(w.frame)
		return w.size - int64(len(record))
	})
	if err = errors.Join(err, w.err); err != nil {
		return 0, err
	}
	return w.size, w.out.Flush()
}

// rewriter writes a new file up to a limit. After its first error it writes nothing more.
type rewriter struct {
	out   *bufio.Writer
	limit int64 // in bytes
	size  int64 // bytes written, those in the buffer included
	frame []byte
	err   error
}

// write appends part to the file unless the file would exceed the limit.
func (w *rewriter) write(part []byte) {
	w.size += int64(len(part))
	if w.err == nil && inBlocks(w.size) > w.limit {
		w.err = ErrFull
	}
	if w.err == nil {
		_, w.err = w.out.Write(part)
	}
}
