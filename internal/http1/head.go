package http1

import (
	"bytes"
	"net/http"
	"strconv"
)

// Head is the head of one answer. Its fields refer to the buffer that Parse got.
type Head struct {
	Status     int   // status code
	Close      bool  // the connection ends after this answer
	Length     int64 // of the body in bytes; lengthUnknown if chunks or the end of the connection determine it
	Chunked    bool  // the body has the chunked transfer coding
	fields     [maxFields]field
	fieldCount int
}

// lengthUnknown is the Length of a head that does not state the length of the body.
const lengthUnknown = -1

const (
	versionPrefix = "HTTP/1."
	minorVersion  = len(versionPrefix) // position of the minor version's digit in a status line
	statusAt      = len("HTTP/1.1 ")   // position of the status code
	statusEnd     = statusAt + 3
	firstFinal    = 200 // lower status codes are those of interim answers
)

// field is one header field.
type field struct{ name, value []byte }

// Get returns the value of the first field with the given name, in any case, or nil if there is none.
func (h *Head) Get(name string) []byte {
	for _, f := range h.fields[:h.fieldCount] {
		if bytes.EqualFold(f.name, []byte(name)) {
			return f.value
		}
	}
	return nil
}

// parseStatus returns the status code of the status line at the start of buf, or 0 if the line is incomplete.
func parseStatus(buf []byte) (int, error) {
	end := bytes.IndexByte(buf, '\n')
	if end < 0 {
		return 0, checkStatusStart(buf)
	}
	line := bytes.TrimSuffix(buf[:end], []byte{'\r'})
	switch {
	case len(line) < statusEnd,
		!bytes.HasPrefix(line, []byte(versionPrefix)),
		line[statusAt-1] != ' ',
		len(line) > statusEnd && line[statusEnd] != ' ':
		return 0, ErrHead
	}
	n, err := strconv.Atoi(string(line[statusAt:statusEnd]))
	if err != nil || n < 100 {
		return 0, ErrHead
	}
	return n, nil
}

// checkStatusStart checks an incomplete status line, so that the caller does not wait for the line end of a peer that
// sends something else.
func checkStatusStart(buf []byte) error {
	n := min(len(buf), len(versionPrefix))
	switch {
	case string(buf[:n]) != versionPrefix[:n]:
		return ErrHead
	case len(buf) >= MaxHead:
		return ErrSize
	}
	return nil
}

// Parse parses the head at the start of buf and returns its size in bytes, or 0 if it is incomplete. An error is ErrHead
// or ErrSize.
func (h *Head) Parse(buf []byte) (int, error) {
	status, err := parseStatus(buf)
	if status == 0 || err != nil {
		return 0, err
	}
	*h = Head{Status: status, Length: lengthUnknown, Close: buf[minorVersion] == '0'}
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
			return at, h.setFraming()
		}
		if err := h.addField(line); err != nil {
			return 0, err
		}
	}
}

// addField parses the line of one field and adds it.
func (h *Head) addField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found || len(name) == 0 || bytes.ContainsAny(name, " \t") {
		return ErrHead
	}
	if h.fieldCount == maxFields {
		return ErrSize
	}
	h.fields[h.fieldCount] = field{name, bytes.TrimSpace(value)}
	h.fieldCount++
	return nil
}

// setFraming sets Close, Chunked and Length, which determine the end of the answer, from the fields and the status.
func (h *Head) setFraming() error {
	if v := h.Get("Connection"); v != nil {
		h.Close = bytes.EqualFold(v, []byte("close")) || h.Close && !bytes.EqualFold(v, []byte("keep-alive"))
	}
	for _, f := range h.fields[:h.fieldCount] {
		switch {
		case bytes.EqualFold(f.name, []byte("Transfer-Encoding")):
			if !bytes.EqualFold(f.value, []byte("chunked")) {
				return ErrHead
			}
			h.Chunked = true
		case bytes.EqualFold(f.name, []byte("Content-Length")):
			n, err := strconv.ParseUint(string(f.value), 10, 62)
			// Two different lengths leave the end of the answer unknown.
			if err != nil || h.Length >= 0 && h.Length != int64(n) {
				return ErrHead
			}
			h.Length = int64(n)
		}
	}
	switch {
	case h.Chunked:
		h.Length = lengthUnknown
	case h.Status < firstFinal, h.Status == http.StatusNoContent, h.Status == http.StatusNotModified:
		h.Length = 0
	}
	return nil
}
