package http1

// Answer reads one answer from pieces of any size. The zero value is ready; what comes after the answer is only counted.
type Answer struct {
	Head
	Body []byte // complete once Done; lies in the buffer
	Done bool

	buf      []byte
	status   int
	headSize int // in bytes, 0 while the head is not complete
	parsed   int // bytes of buf read so far
	chunks   Chunks
	decoded  []byte // data of the chunks read so far
}

// Status is that of the status line, 0 while it is not complete.
func (a *Answer) Status() int { return a.status }

// Started reports whether anything has come.
func (a *Answer) Started() bool { return len(a.buf) > 0 }

// Feed adds a piece and reads as far as possible. Interim answers are skipped.
func (a *Answer) Feed(piece []byte) error {
	a.buf = append(a.buf, piece...)
	return a.read(false)
}

// End says that the connection has ended, which ends some bodies.
func (a *Answer) End() error { return a.read(true) }

// read reads on; ended says that nothing more will come.
func (a *Answer) read(ended bool) error {
	if a.Done {
		return nil
	}
	if err := a.readHead(); err != nil || a.headSize == 0 {
		return err
	}
	switch {
	case a.tooLarge():
		return ErrSize
	case a.Chunked:
		return a.readChunks()
	case a.Length >= 0:
		if end := a.headSize + int(a.Length); len(a.buf) >= end {
			a.finish(a.buf[a.headSize:end], end)
		}
	case ended:
		a.finish(a.buf[a.headSize:], len(a.buf))
	default:
		a.Close = true // the body ends with the connection
	}
	return nil
}

// readHead reads the head unless it has been read, and skips interim answers.
func (a *Answer) readHead() error {
	for a.headSize == 0 {
		var err error
		if a.status, err = parseStatus(a.buf); err != nil {
			return err
		}
		if a.headSize, err = a.Parse(a.buf); err != nil || a.headSize == 0 {
			return err
		}
		if a.Head.Status < firstFinal {
			a.buf, a.headSize, a.status = a.buf[a.headSize:], 0, 0
			continue
		}
		a.parsed = a.headSize
	}
	return nil
}

func (a *Answer) tooLarge() bool {
	return a.Length > MaxBody || len(a.decoded) > MaxBody || !a.Chunked && len(a.buf)-a.headSize > MaxBody+MaxHead
}

func (a *Answer) readChunks() error {
	for !a.Done {
		data, took, done, err := a.chunks.Next(a.buf[a.parsed:])
		if err != nil {
			return err
		}
		a.decoded = append(a.decoded, data...)
		if len(a.decoded) > MaxBody {
			return ErrSize
		}
		a.parsed += took
		switch {
		case done:
			a.finish(a.decoded, a.parsed)
		case len(data) == 0:
			return nil
		}
	}
	return nil
}

// finish ends the answer with its body; the next bytes of buf come after it.
func (a *Answer) finish(body []byte, at int) { a.Body, a.parsed, a.Done = body, at, true }

// BytesAfter is how many bytes have come after the answer, which were not asked for.
func (a *Answer) BytesAfter() int { return len(a.buf) - a.parsed }
