package http1

// Answer parses one answer from data that arrives in pieces of any size. The zero value is ready to use. Bytes after the
// end of the answer are counted but not parsed.
type Answer struct {
	Head
	Body []byte // valid only when Done is true; refers to an internal buffer
	Done bool   // the answer is complete

	buf      []byte // data received, without interim answers
	status   int
	headSize int // in bytes; 0 while the head is not complete
	parsed   int // number of bytes of buf that have been parsed
	chunks   Chunks
	decoded  []byte // data of the chunks parsed so far
}

// Status returns the status code, which is known as soon as the status line is complete. It is 0 before.
func (a *Answer) Status() int { return a.status }

// Started reports whether any data has been received.
func (a *Answer) Started() bool { return len(a.buf) > 0 }

// Buffered returns the size in bytes of the memory that holds the data received.
func (a *Answer) Buffered() int { return cap(a.buf) + cap(a.decoded) }

// Feed adds a piece of data and parses as far as possible. It skips interim answers. An error is ErrHead, ErrSize or
// ErrBody.
func (a *Answer) Feed(piece []byte) error {
	a.buf = append(a.buf, piece...)
	return a.read(false)
}

// End tells the Answer that the connection has ended. This completes a body that has neither a length nor chunks.
func (a *Answer) End() error { return a.read(true) }

// read parses as far as possible. ended says that no more data will arrive.
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
		a.Close = true // the end of the connection ends the body
	}
	return nil
}

// readHead parses the head unless that has been done, and skips interim answers.
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

// tooLarge reports whether the body exceeds MaxBody, as far as is known.
func (a *Answer) tooLarge() bool {
	return a.Length > MaxBody || len(a.decoded) > MaxBody || !a.Chunked && len(a.buf)-a.headSize > MaxBody+MaxHead
}

// readChunks decodes the chunks received so far.
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

// finish completes the answer with its body. at is the position in buf after the answer.
func (a *Answer) finish(body []byte, at int) { a.Body, a.parsed, a.Done = body, at, true }

// BytesAfter returns the number of bytes received after the end of the answer, which belong to no request.
func (a *Answer) BytesAfter() int { return len(a.buf) - a.parsed }
