// Package http1 writes the requests that a sender makes and reads what comes back, in HTTP/1.1.
//
// It owns the form of both: heads, lengths and chunks. Heads are parsed in place; what it returns lies in the
// caller's buffer. It opens no connection, sends nothing again and follows nothing. It must never take a part of
// an answer for a whole one, nor hold more of it than the limits below.
package http1

import (
	"bytes"
	"errors"
	"strconv"
)

const (
	MaxHead  = 8 << 10
	MaxBody  = 256 << 10 // an answer to a bulk call, or the list; far above what either needs
	maxLine  = 64        // a chunk's length with its extensions
	maxField = 128
)

// What is wrong with an answer; each ends its connection.
var (
	ErrHead = errors.New("broken answer head")
	ErrSize = errors.New("answer too large")
	ErrBody = errors.New("broken answer body")
)

// Head is the head of one answer.
type Head struct {
	Status   int
	Close    bool  // the connection ends after this answer
	Length   int64 // of the body; -1 where only chunks or the connection's end tell
	Chunked  bool
	fields   [maxField]field
	fieldCut int
}

type field struct{ name, value []byte }

// Get returns a field's first value, nil if there is none.
func (h *Head) Get(name string) []byte {
	for _, f := range h.fields[:h.fieldCut] {
		if bytes.EqualFold(f.name, []byte(name)) {
			return f.value
		}
	}
	return nil
}

// Status reads the status line alone from the start of buf; 0 if it has not come whole.
func Status(buf []byte) (int, error) {
	end := bytes.IndexByte(buf, '\n')
	if end < 0 {
		// Known early, or whoever sends noise without a line end is waited for.
		if start := "HTTP/1."; string(buf[:min(len(buf), len(start))]) != start[:min(len(buf), len(start))] {
			return 0, ErrHead
		}
		if len(buf) >= MaxHead {
			return 0, ErrSize
		}
		return 0, nil
	}
	line := bytes.TrimSuffix(buf[:end], []byte{'\r'})
	if len(line) < 12 || !bytes.HasPrefix(line, []byte("HTTP/1.")) || line[8] != ' ' ||
		len(line) > 12 && line[12] != ' ' {
		return 0, ErrHead
	}
	n, err := strconv.Atoi(string(line[9:12]))
	if err != nil || n < 100 {
		return 0, ErrHead
	}
	return n, nil
}

// Parse reads a head from the start of buf and returns the bytes it took, 0 while it has not come whole.
func (h *Head) Parse(buf []byte) (int, error) {
	status, err := Status(buf)
	if status == 0 || err != nil {
		return 0, err
	}
	*h = Head{Status: status, Length: -1, Close: buf[7] == '0'}
	at := bytes.IndexByte(buf, '\n') + 1
	for {
		end := bytes.IndexByte(buf[at:], '\n')
		if end < 0 || at+end >= MaxHead {
			if len(buf) >= MaxHead {
				return 0, ErrSize
			}
			return 0, nil
		}
		line := bytes.TrimSuffix(buf[at:at+end], []byte{'\r'})
		at += end + 1
		if len(line) == 0 {
			return at, h.read()
		}
		name, value, found := bytes.Cut(line, []byte{':'})
		if !found || len(name) == 0 || bytes.ContainsAny(name, " \t") {
			return 0, ErrHead
		}
		if h.fieldCut == maxField {
			return 0, ErrSize
		}
		h.fields[h.fieldCut] = field{name, bytes.TrimSpace(value)}
		h.fieldCut++
	}
}

// read draws from the fields what tells where the answer ends.
func (h *Head) read() error {
	if v := h.Get("Connection"); v != nil {
		h.Close = bytes.EqualFold(v, []byte("close")) || h.Close && !bytes.EqualFold(v, []byte("keep-alive"))
	}
	for _, f := range h.fields[:h.fieldCut] {
		switch {
		case bytes.EqualFold(f.name, []byte("Transfer-Encoding")):
			if !bytes.EqualFold(f.value, []byte("chunked")) {
				return ErrHead
			}
			h.Chunked = true
		case bytes.EqualFold(f.name, []byte("Content-Length")):
			n, err := strconv.ParseUint(string(f.value), 10, 62)
			// Two lengths that differ leave it open where the answer ends.
			if err != nil || h.Length >= 0 && h.Length != int64(n) {
				return ErrHead
			}
			h.Length = int64(n)
		}
	}
	if h.Chunked {
		h.Length = -1
	} else if h.Status < 200 || h.Status == 204 || h.Status == 304 {
		h.Length = 0
	}
	return nil
}

// Chunks undoes chunked coding, fed piece by piece.
type Chunks struct {
	left  int64 // of the chunk at hand
	state chunkState
}

type chunkState int

const (
	chunkSize chunkState = iota
	chunkData
	chunkEnd
	chunkTrailer
	chunkDone
)

// Next reads on from buf. It returns data, which lies in buf, the bytes it took, and whether the last chunk and
// its trailer are over; no data and 0 bytes mean that more is needed.
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
			n := int(min(c.left, int64(len(rest))))
			if c.left -= int64(n); c.left == 0 {
				c.state = chunkEnd
			}
			return rest[:n], took + n, false, nil
		}
		end := bytes.IndexByte(rest[:min(len(rest), MaxHead)], '\n')
		if end < 0 {
			if len(rest) >= MaxHead || c.state != chunkTrailer && len(rest) > maxLine {
				return nil, took, false, ErrBody
			}
			return nil, took, false, nil
		}
		line := bytes.TrimSuffix(rest[:end], []byte{'\r'})
		took += end + 1
		switch c.state {
		case chunkEnd:
			if len(line) != 0 {
				return nil, took, false, ErrBody
			}
			c.state = chunkSize
		case chunkSize:
			digits, _, _ := bytes.Cut(line, []byte{';'})
			n, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
			if err != nil {
				return nil, took, false, ErrBody
			}
			if c.left, c.state = int64(n), chunkData; n == 0 {
				c.state = chunkTrailer
			}
		case chunkTrailer:
			if len(line) == 0 {
				c.state = chunkDone
			}
		}
	}
}

// Answer gathers one answer from pieces of any size. The zero value is ready; what comes behind the answer is only
// counted.
type Answer struct {
	Head
	Body   []byte // whole once Done; lies in the buffer
	Done   bool
	buf    []byte
	status int
	head   int // bytes of the head, 0 while it is not whole
	at     int // bytes of buf read so far
	body   []byte
	chunks Chunks
}

// Status is that of the status line, 0 while it has not come whole.
func (a *Answer) Status() int { return a.status }

// Began tells whether anything has come.
func (a *Answer) Began() bool { return len(a.buf) > 0 }

// Feed adds a piece and reads as far as it goes. Interim answers are passed over.
func (a *Answer) Feed(piece []byte) error {
	a.buf = append(a.buf, piece...)
	return a.read(false)
}

// End tells that the connection has ended, which ends some bodies.
func (a *Answer) End() error { return a.read(true) }

func (a *Answer) read(ended bool) error {
	for a.head == 0 && !a.Done {
		var err error
		if a.status, err = Status(a.buf); err != nil {
			return err
		}
		if a.head, err = a.Parse(a.buf); err != nil || a.head == 0 {
			return err
		}
		if a.Head.Status < 200 {
			a.buf, a.head, a.status = a.buf[a.head:], 0, 0
			continue
		}
		a.at = a.head
	}
	if a.Done {
		return nil
	}
	switch {
	case a.Length > MaxBody || len(a.body) > MaxBody || !a.Chunked && len(a.buf)-a.head > MaxBody+MaxHead:
		return ErrSize
	case a.Chunked:
		for !a.Done {
			data, took, done, err := a.chunks.Next(a.buf[a.at:])
			if err != nil {
				return err
			}
			if a.body = append(a.body, data...); len(a.body) > MaxBody {
				return ErrSize
			}
			a.at += took
			if done {
				a.Body, a.Done = a.body, true
			} else if len(data) == 0 {
				return nil
			}
		}
	case a.Length >= 0:
		if end := a.head + int(a.Length); len(a.buf) >= end {
			a.Body, a.at, a.Done = a.buf[a.head:end], end, true
		}
	case ended:
		a.Body, a.at, a.Done = a.buf[a.head:], len(a.buf), true
	default:
		a.Close = true
	}
	return nil
}

// Left is how many bytes have come behind the answer, which nobody asked for.
func (a *Answer) Left() int { return len(a.buf) - a.at }

// AppendRequest adds a request's head. Fields come as name, value, name, value; a body of size bytes follows,
// and no body where size is below 0.
func AppendRequest(out []byte, method, path, host string, size int, fields ...string) []byte {
	out = append(append(append(append(out, method...), ' '), path...), " HTTP/1.1\r\nHost: "...)
	out = append(append(out, host...), "\r\n"...)
	for i := 0; i+1 < len(fields); i += 2 {
		out = append(append(append(append(out, fields[i]...), ": "...), fields[i+1]...), "\r\n"...)
	}
	if size >= 0 {
		out = append(strconv.AppendInt(append(out, "Content-Length: "...), int64(size), 10), "\r\n"...)
	}
	return append(out, "\r\n"...)
}
