// Package resp parses the commands of clients and formats the answers, in the protocol RESP2.
//
// It knows no command by name. It parses in place: the results refer to the caller's buffer and are valid until the
// buffer changes. It reads no more than the limits below allow, whatever length a client declares, and never returns an
// incomplete command.
package resp

import (
	"bytes"
	"errors"
	"strconv"
)

// Limits of a command: the number of arguments, and the number of bytes of an argument. The longest argument is the body
// of a message; all others are far shorter than MaxBulk.
const (
	MaxArgs = 64
	MaxBulk = 64 << 10

	maxLengthLine = 32 // bytes of the digits and the line end of a length
)

// Types of RESP2 elements. The type is the first byte of an element.
const (
	typeArray        = '*'
	typeBulk         = '$'
	typeSimpleString = '+'
	typeError        = '-'
)

const lineEnd = "\r\n"

// Errors in a command. After each of them the connection must be closed, because it is unknown where the next command
// begins. The texts are sent to clients.
var (
	ErrNoArray = errors.New("a command is an array of bulk strings")
	ErrNoBulk  = errors.New("an argument is a bulk string")
	ErrLength  = errors.New("a length is not a number, or out of bounds")
	ErrEnd     = errors.New("a bulk string does not end where its length says")
)

// Command parses the command at the start of buf. It returns the arguments, reusing the memory of args, and the size of
// the command in bytes. A size of 0 without an error means that the command is incomplete.
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
			// The error is returned before the line end is complete: with a wrong length it may never be.
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

// parseLength parses the line at position at, which holds a type and a number. It returns the number and the position of
// the next line, or 0 for both if the line is incomplete. The error is wrongType if the line has another type, and
// ErrLength if it has no number or one above maximum.
func parseLength(buf []byte, at int, elementType byte, maximum int, wrongType error) (number, next int, err error) {
	if len(buf) <= at {
		return 0, 0, nil
	}
	if buf[at] != elementType {
		return 0, 0, wrongType
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

// Reply parses the answer at the start of buf, which is a simple string, an error or a bulk string. It returns the
// answer's type, its text, and its size in bytes, which is 0 if the answer is incomplete.
func Reply(buf []byte) (elementType byte, text []byte, took int, err error) {
	if len(buf) == 0 {
		return 0, nil, 0, nil
	}
	switch elementType = buf[0]; elementType {
	case typeSimpleString, typeError:
		end := bytes.Index(buf, []byte(lineEnd))
		if end < 0 {
			if len(buf) > MaxBulk {
				return 0, nil, 0, ErrLength
			}
			return 0, nil, 0, nil
		}
		return elementType, buf[1:end], end + len(lineEnd), nil
	case typeBulk:
		size, from, err := parseLength(buf, 0, typeBulk, MaxBulk, ErrNoBulk)
		end := from + size + len(lineEnd)
		if from == 0 || err != nil || len(buf) < end {
			return 0, nil, 0, err
		}
		return elementType, buf[from : from+size], end, nil
	}
	return 0, nil, 0, ErrNoBulk
}

// AppendSimple appends text to out as a simple string. The text must not contain a carriage return or line feed.
func AppendSimple(out []byte, text string) []byte {
	out = append(out, typeSimpleString)
	out = append(out, text...)
	return append(out, lineEnd...)
}

// AppendError appends text to out as an error. It replaces carriage returns and line feeds in the text by spaces,
// because they would end the error early.
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

// AppendBulk appends data to out as a bulk string.
func AppendBulk(out, data []byte) []byte {
	out = appendLength(out, typeBulk, len(data))
	out = append(out, data...)
	return append(out, lineEnd...)
}

// AppendCommand appends a command with the given arguments to out, in the form that a client sends.
func AppendCommand(out []byte, args ...[]byte) []byte {
	out = appendLength(out, typeArray, len(args))
	for _, arg := range args {
		out = AppendBulk(out, arg)
	}
	return out
}

// appendLength appends a line with a type and a number.
func appendLength(out []byte, elementType byte, number int) []byte {
	out = append(out, elementType)
	out = strconv.AppendInt(out, int64(number), 10)
	return append(out, lineEnd...)
}
