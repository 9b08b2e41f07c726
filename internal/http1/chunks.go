package http1

import (
	"bytes"
	"strconv"
)

// Chunks decodes the chunked transfer coding from data that arrives in pieces. The zero value is ready to use.
type Chunks struct {
	left  int64 // bytes of the current chunk that are still to come
	state chunkState
}

// chunkState says what the decoder expects next.
type chunkState int

const (
	chunkSize    chunkState = iota // the line with a chunk's size
	chunkData                      // data of a chunk
	chunkEnd                       // the line end after a chunk's data
	chunkTrailer                   // a line of the trailer, which ends with an empty line
	chunkDone                      // nothing; the body is complete
)

// Next decodes from the start of buf, which must continue where the last call stopped. It returns the next data, a part
// of buf, the number of bytes of buf that it took, and whether the last chunk and its trailer are complete. If it
// returns neither data nor done, it needs more input; took is 0 if no part of buf could be decoded. The error is ErrBody.
func (c *Chunks) Next(buf []byte) (data []byte, took int, done bool, err error) {
	for {
		rest := buf[took:]
		switch c.state {
		case chunkDone:
			return nil, took, true, nil
		case chunkData:
			if len(rest) == 0 {
				return nil, took, false, nil
			}
			data = c.takeData(rest)
			return data, took + len(data), false, nil
		}
		line, size, err := c.takeLine(rest)
		if size == 0 || err != nil {
			return nil, took, false, err
		}
		took += size
		if err := c.readLine(line); err != nil {
			return nil, took, false, err
		}
	}
}

// takeData returns the part of the current chunk that is at the start of rest.
func (c *Chunks) takeData(rest []byte) []byte {
	n := min(c.left, int64(len(rest)))
	c.left -= n
	if c.left == 0 {
		c.state = chunkEnd
	}
	return rest[:n]
}

// takeLine returns the first line without its line end and the number of bytes it took, which is 0 if the line is
// incomplete.
func (c *Chunks) takeLine(rest []byte) (line []byte, size int, err error) {
	end := bytes.IndexByte(rest[:min(len(rest), MaxHead)], '\n')
	if end < 0 {
		if len(rest) >= MaxHead || c.state != chunkTrailer && len(rest) > maxChunkLine {
			return nil, 0, ErrBody
		}
		return nil, 0, nil
	}
	return bytes.TrimSuffix(rest[:end], []byte{'\r'}), end + 1, nil
}

// readLine parses a line that is not data of a chunk.
func (c *Chunks) readLine(line []byte) error {
	switch c.state {
	case chunkEnd:
		if len(line) != 0 {
			return ErrBody
		}
		c.state = chunkSize
	case chunkSize:
		digits, _, _ := bytes.Cut(line, []byte{';'})
		n, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
		if err != nil {
			return ErrBody
		}
		c.left, c.state = int64(n), chunkData
		if n == 0 {
			c.state = chunkTrailer
		}
	case chunkTrailer:
		if len(line) == 0 {
			c.state = chunkDone
		}
	}
	return nil
}
