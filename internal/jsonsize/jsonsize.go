// Package jsonsize measures values by the length of their JSON encoding, for messages that are bounded in bytes.
//
// It encodes each value and keeps nothing. It never changes or drops a value: callers decide what becomes of those that do
// not fit.
package jsonsize

import "encoding/json"

// Prefix returns how many of the first items fit together into an array of at most maxBytes bytes. It is at least 1 if there
// are items, so that callers make progress: a single item that is too long shows as an error where the message is sent. An
// item that cannot be encoded counts as one of no length, for the same reason.
func Prefix[T any](items []T, maxBytes int) int {
	size := len("[]")
	for i := range items {
		text, err := json.Marshal(&items[i])
		if err == nil {
			size += len(text) + len(",")
		}
		if i > 0 && size-len(",") > maxBytes { // the last item has no comma
			return i
		}
	}
	return len(items)
}
