package http1

import (
	"bytes"
	"strconv"
)

// Chunks decodes the chunked transfer coding, fed piece by piece. The zero value is ready.
type Chunks struct {
	left  int64 // bytes of the current chunk
	state chunkState
}

// chunkState is what comes next.
type chunkState int

const (
	chunkSize    chunkState = iota // the line with a chunk's size
	chunkData                      // data of a chunk
	chunkEnd                       // the line end after a chunk's data
	chunkTrailer                   // a line of the trailer, which ends with an empty one
	chunkDone                      // nothing
)

// Next reads on from buf. It returns data, which lies in buf, the bytes it took, and whether the last chunk and its trailer
// are over; no data and 0 bytes mean that more is needed.
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

// takeData takes what has come of the current chunk.
func (c *Chunks) takeData(rest []byte) []byte {
	n := min(c.left, int64(len(rest)))
	c.left -= n
	if c.left == 0 {
		c.state = chunkEnd
	}
	return rest[:n]
}

// takeLine takes a line, without its end, and returns the bytes it took, 0 while it is not complete.
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

// readLine reads a line outside the data of chunks.
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
