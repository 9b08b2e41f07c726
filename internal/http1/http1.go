// Package http1 formats HTTP/1.1 requests of a sender and parses the answers.
//
// Heads are parsed in place: the results refer to the caller's buffer. The package opens no connection, retries nothing
// and follows no redirect. It never reports an incomplete answer as complete, and it stores no more of an answer than
// the limits below allow.
//
// head.go parses the head of an answer, chunks.go a chunked body, and answer.go a whole answer from pieces.
package http1

import (
	"errors"
	"strconv"
)

// Limits of an answer in bytes. MaxHead bounds the head, and MaxBody the body. The largest bodies are those of bulk
// calls and lists of endpoints; both are far below MaxBody.
const (
	MaxHead = 8 << 10
	MaxBody = 256 << 10

	maxChunkLine = 64  // bytes of the line with a chunk's length and extensions
	maxFields    = 128 // number of fields of a head
)

// Errors in an answer. After each of them the connection must be closed.
var (
	ErrHead = errors.New("malformed answer head")
	ErrSize = errors.New("answer too large")
	ErrBody = errors.New("malformed answer body")
)

// NoBody is the size that AppendRequest takes for a request without a body.
const NoBody = -1

// AppendRequest appends the head of a request to out. fields holds name, value, name, value. size is the length of the
// body in bytes, which the caller sends after the head; NoBody, or any other value below 0, stands for a request without
// a body.
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

// appendField appends the line of one header field.
func appendField(out []byte, name, value string) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}
