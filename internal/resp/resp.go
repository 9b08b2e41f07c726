// Package resp reads the commands that clients send and writes the answers, in RESP2.
//
// It owns the form of both and nothing else: it knows no command by name. It parses in place, so what it
// returns lies in the caller's buffer and is good until that is touched. It must never read past the limits
// below, whatever lengths a client claims, and never take a part of a command for a whole one.
package resp

import (
	"bytes"
	"errors"
	"strconv"
)

const (
	MaxArgs = 64
	MaxBulk = 64 << 10 // a body; no other argument comes near it
	maxLine = 32       // digits and line end of a length
)

// What is wrong with a command; each ends its connection, since nothing tells where the next one begins.
var (
	ErrNoArray = errors.New("a command is an array of bulk strings")
	ErrNoBulk  = errors.New("an argument is a bulk string")
	ErrLength  = errors.New("a length is not a number, or out of bounds")
	ErrEnd     = errors.New("a bulk string does not end where its length says")
)

// Command reads one command from the start of buf. It returns its arguments, laid into args, and how many bytes
// it took; 0 bytes with no error means that the command has not come whole yet.
func Command(buf []byte, args [][]byte) ([][]byte, int, error) {
	count, at, err := length(buf, 0, '*', MaxArgs, ErrNoArray)
	if at == 0 || err != nil {
		return nil, 0, err
	}
	args = args[:0]
	for range count {
		size, from, err := length(buf, at, '$', MaxBulk, ErrNoBulk)
		if from == 0 || err != nil {
			return nil, 0, err
		}
		end := from + size
		if len(buf) < end+2 {
			// Known early, or a client with a wrong length is waited for.
			if len(buf) > end && buf[end] != '\r' {
				return nil, 0, ErrEnd
			}
			return nil, 0, nil
		}
		if buf[end] != '\r' || buf[end+1] != '\n' {
			return nil, 0, ErrEnd
		}
		args = append(args, buf[from:end])
		at = end + 2
	}
	return args, at, nil
}

// length reads a line of a mark and a number; the second result is where the next line starts, 0 if unknown yet.
func length(buf []byte, at int, mark byte, most int, wrongMark error) (int, int, error) {
	if len(buf) <= at {
		return 0, 0, nil
	}
	if buf[at] != mark {
		return 0, 0, wrongMark
	}
	line := buf[at+1:]
	end := bytes.IndexByte(line[:min(len(line), maxLine)], '\n')
	if end < 0 {
		if len(line) >= maxLine {
			return 0, 0, ErrLength
		}
		return 0, 0, nil
	}
	digits, whole := bytes.CutSuffix(line[:end], []byte{'\r'})
	if !whole || len(digits) == 0 {
		return 0, 0, ErrLength
	}
	n := 0
	for _, c := range digits {
		if c < '0' || c > '9' || n > most {
			return 0, 0, ErrLength
		}
		n = n*10 + int(c-'0')
	}
	if n > most {
		return 0, 0, ErrLength
	}
	return n, at + 1 + end + 1, nil
}

// Reply reads one answer from the start of buf: a simple string, an error or a bulk string. Its mark tells which.
// It took 0 bytes while it has not come whole.
func Reply(buf []byte) (mark byte, text []byte, took int, err error) {
	if len(buf) == 0 {
		return 0, nil, 0, nil
	}
	switch mark = buf[0]; mark {
	case '+', '-':
		end := bytes.Index(buf, []byte("\r\n"))
		if end < 0 {
			if len(buf) > MaxBulk {
				return 0, nil, 0, ErrLength
			}
			return 0, nil, 0, nil
		}
		return mark, buf[1:end], end + 2, nil
	case '$':
		size, from, err := length(buf, 0, '$', MaxBulk, ErrNoBulk)
		if from == 0 || err != nil || len(buf) < from+size+2 {
			return 0, nil, 0, err
		}
		return mark, buf[from : from+size], from + size + 2, nil
	}
	return 0, nil, 0, ErrNoBulk
}

// AppendSimple adds a simple string, which must hold no line end.
func AppendSimple(out []byte, text string) []byte {
	return append(append(append(out, '+'), text...), "\r\n"...)
}

// AppendError adds an error; line ends in text would break the stream and become blanks.
func AppendError(out []byte, text string) []byte {
	out = append(out, '-')
	for i := range len(text) {
		if c := text[i]; c == '\r' || c == '\n' {
			out = append(out, ' ')
		} else {
			out = append(out, c)
		}
	}
	return append(out, "\r\n"...)
}

// AppendBulk adds a bulk string.
func AppendBulk(out, data []byte) []byte {
	out = strconv.AppendInt(append(out, '$'), int64(len(data)), 10)
	return append(append(append(out, "\r\n"...), data...), "\r\n"...)
}

// AppendCommand adds a command, as a client sends it.
func AppendCommand(out []byte, args ...[]byte) []byte {
	out = append(strconv.AppendInt(append(out, '*'), int64(len(args)), 10), "\r\n"...)
	for _, arg := range args {
		out = AppendBulk(out, arg)
	}
	return out
}
