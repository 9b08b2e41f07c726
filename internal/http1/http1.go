// Package http1 writes the requests that a sender makes and reads the answers, in HTTP/1.1.
//
// It owns the form of both: heads, lengths and chunks. Heads are parsed in place; what it returns lies in the caller's
// buffer. It opens no connection, retries nothing and follows no redirect. It does not take a part of an answer for a
// complete one, nor hold more of it than the limits below.
//
// head.go reads the head of an answer, chunks.go a chunked body, and answer.go a whole answer from pieces.
package http1

import (
	"errors"
	"strconv"
)

// Limits of an answer in bytes. MaxHead bounds its head, MaxBody its body: that of a bulk call or the list of endpoints,
// far above what either needs.
const (
	MaxHead = 8 << 10
	MaxBody = 256 << 10

	maxChunkLine = 64  // a chunk's length with its extensions
	maxFields    = 128 // of a head
)

// What is wrong with an answer; each ends its connection.
var (
	ErrHead = errors.New("broken answer head")
	ErrSize = errors.New("answer too large")
	ErrBody = errors.New("broken answer body")
)

// NoBody is the size of the body of a request without one.
const NoBody = -1

// AppendRequest appends a request's head. Fields come as name, value, name, value; a body of size bytes follows, and no
// body where size is below 0.
func AppendRequest(out []byte, method, path, host string, size int, fields ...string) []byte {
	out = append(out, method...)
	out = append(out, ' ')
	out = append(out, path...)
	out = append(out, " HTTP/1.1\r\n"...)
	out = appendField(out, "Host", host)
	for i := 0; i+1 < len(fields); i += 2 {
		out = appendField(out, fields[i], fields[i+1])
	}
	if size >= 0 {
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, int64(size), 10)
		out = append(out, "\r\n"...)
	}
	return append(out, "\r\n"...)
}

func appendField(out []byte, name, value string) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}
