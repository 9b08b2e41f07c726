// Package resp reads the commands that clients send and writes the answers, in RESP2.
//
// It owns the form of both and nothing else: it knows no command by name. It parses in place, so what it returns lies in the
// caller's buffer and is valid until that changes. It does not read past the limits below, whatever lengths a client claims,
// and does not take a part of a command for a complete one.
package resp

import (
	"bytes"
	"errors"
	"strconv"
)

// Limits of a command: how many arguments it has, and how many bytes an argument has. The longest argument is a message's
// body; no other one comes near MaxBulk.
const (
	MaxArgs = 64
	MaxBulk = 64 << 10

	maxLengthLine = 32 // digits and line end of a length
)

// Marks of RESP2, the first byte of each element.
const (
	typeArray        = '*'
	typeBulk         = '$'
	typeSimpleString = '+'
	typeError        = '-'
)

const lineEnd = "\r\n"

// What is wrong with a command; each ends its connection, since it is unknown where the next one begins.
var (
	ErrNoArray = errors.New("a command is an array of bulk strings")
	ErrNoBulk  = errors.New("an argument is a bulk string")
	ErrLength  = errors.New("a length is not a number, or out of bounds")
	ErrEnd     = errors.New("a bulk string does not end where its length says")
)

// Command reads one command from the start of buf. It returns its arguments, in args, and how many bytes it took; 0 bytes
// with no error means that the command is not complete yet.
func Command(buf []byte, args [][]byte) ([][]byte, int, error) {
	count, at, err := parseLength(buf, 0, typeArray, MaxArgs, ErrNoArray)
	if at == 0 || err != nil {
		return nil, 0, err
	}
	args = args[:0]
	for range count {
		size, from, err := parseLength(buf, at, typeBulk, MaxBulk, ErrNoBulk)
		if from == 0 || err != nil {
			return nil, 0, err
		}
		end := from + size
		if len(buf) < end+len(lineEnd) {
			// Reported early, so that a client that sent a wrong length is not waited for.
			if len(buf) > end && buf[end] != lineEnd[0] {
				return nil, 0, ErrEnd
			}
			return nil, 0, nil
		}
		if string(buf[end:end+len(lineEnd)]) != lineEnd {
			return nil, 0, ErrEnd
		}
		args = append(args, buf[from:end])
		at = end + len(lineEnd)
	}
	return args, at, nil
}

// parseLength reads a line of a mark and a number, which is at most maximum. It returns the number and where the next line
// starts, 0 while the line is not complete.
func parseLength(buf []byte, at int, mark byte, maximum int, wrongMark error) (number, next int, err error) {
	if len(buf) <= at {
		return 0, 0, nil
	}
	if buf[at] != mark {
		return 0, 0, wrongMark
	}
	line := buf[at+1:]
	end := bytes.IndexByte(line[:min(len(line), maxLengthLine)], '\n')
	if end < 0 {
		if len(line) >= maxLengthLine {
			return 0, 0, ErrLength
		}
		return 0, 0, nil
	}
	digits, terminated := bytes.CutSuffix(line[:end], []byte{'\r'})
	if !terminated || len(digits) == 0 {
		return 0, 0, ErrLength
	}
	for _, c := range digits {
		if c < '0' || c > '9' || number > maximum {
			return 0, 0, ErrLength
		}
		number = number*10 + int(c-'0')
	}
	if number > maximum {
		return 0, 0, ErrLength
	}
	return number, at + 1 + end + 1, nil
}

// Reply reads one answer from the start of buf: a simple string, an error or a bulk string; its mark tells which. It took 0
// bytes while the answer is not complete.
func Reply(buf []byte) (mark byte, text []byte, took int, err error) {
	if len(buf) == 0 {
		return 0, nil, 0, nil
	}
	switch mark = buf[0]; mark {
	case typeSimpleString, typeError:
		end := bytes.Index(buf, []byte(lineEnd))
		if end < 0 {
			if len(buf) > MaxBulk {
				return 0, nil, 0, ErrLength
			}
			return 0, nil, 0, nil
		}
		return mark, buf[1:end], end + len(lineEnd), nil
	case typeBulk:
		size, from, err := parseLength(buf, 0, typeBulk, MaxBulk, ErrNoBulk)
		end := from + size + len(lineEnd)
		if from == 0 || err != nil || len(buf) < end {
			return 0, nil, 0, err
		}
		return mark, buf[from : from+size], end, nil
	}
	return 0, nil, 0, ErrNoBulk
}

// AppendSimple appends a simple string, which must not contain a line end.
func AppendSimple(out []byte, text string) []byte {
	out = append(out, typeSimpleString)
	out = append(out, text...)
	return append(out, lineEnd...)
}

// AppendError appends an error; line ends in text would break the stream and become blanks.
func AppendError(out []byte, text string) []byte {
	out = append(out, typeError)
	for i := range len(text) {
		if c := text[i]; c == '\r' || c == '\n' {
			out = append(out, ' ')
		} else {
			out = append(out, c)
		}
	}
	return append(out, lineEnd...)
}

// AppendBulk appends a bulk string.
func AppendBulk(out, data []byte) []byte {
	out = appendLength(out, typeBulk, len(data))
	out = append(out, data...)
	return append(out, lineEnd...)
}

// AppendCommand appends a command, as a client sends it.
func AppendCommand(out []byte, args ...[]byte) []byte {
	out = appendLength(out, typeArray, len(args))
	for _, arg := range args {
		out = AppendBulk(out, arg)
	}
	return out
}

// appendLength appends a line of a mark and a number.
func appendLength(out []byte, mark byte, number int) []byte {
	out = append(out, mark)
	out = strconv.AppendInt(out, int64(number), 10)
	return append(out, lineEnd...)
}
