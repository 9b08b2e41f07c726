package http1

import (
	"bytes"
	"net/http"
	"strconv"
)

// Head is the head of one answer.
type Head struct {
	Status     int
	Close      bool  // the connection ends after this answer
	Length     int64 // of the body; lengthUnknown where it follows from chunks or from the connection's end
	Chunked    bool
	fields     [maxFields]field
	fieldCount int
}

// lengthUnknown is the Length of a head that does not say it.
const lengthUnknown = -1

const (
	versionPrefix = "HTTP/1."
	minorVersion  = len(versionPrefix) // where in a status line the digit of the minor version stands
	statusAt      = len("HTTP/1.1 ")   // where the status stands
	statusEnd     = statusAt + 3
	firstFinal    = 200 // statuses below belong to interim answers
)

type field struct{ name, value []byte }

// Get returns a field's first value, nil if there is none.
func (h *Head) Get(name string) []byte {
	for _, f := range h.fields[:h.fieldCount] {
		if bytes.EqualFold(f.name, []byte(name)) {
			return f.value
		}
	}
	return nil
}

// parseStatus reads the status line alone from the start of buf; 0 while it is not complete.
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

// checkStatusStart checks a status line that is not complete, so that a peer that sends something else without a line end
// is not waited for.
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

// Parse reads a head from the start of buf and returns the bytes it took, 0 while it is not complete.
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

// setFraming sets, from the fields, how the end of the answer is found.
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
			// With two lengths that differ it is unknown where the answer ends.
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
