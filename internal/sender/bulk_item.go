package sender

// This file defines the body of a bulk call, and the size of what each message adds to it. It never changes a message: what
// package choice was told of its size stays true for as long as the message is open.

import (
	"cmp"
	"encoding/base64"

	"flaxcove/choice"
)

// maxBodyBytes is the size of the largest body that an endpoint or the platform accepts.
const maxBodyBytes = 64 << 10

// The body of a bulk call is a JSON array.
const (
	bulkBegin     = '['
	bulkSeparator = ','
	bulkEnd       = ']'
	// maxBulkBytes is the size that all items of an array of maxBodyBytes may have together, each with a separator. The last
	// item has none.
	maxBulkBytes = maxBodyBytes - len(string(bulkBegin)) - len(string(bulkEnd)) + len(string(bulkSeparator))
)

// The texts of an item between its id, key and body.
const (
	bulkItemID   = `{"id":"`
	bulkItemKey  = `","key":"`
	bulkItemBody = `","body":"`
	bulkItemEnd  = `"}`
)

// withBodyLimit returns settings for package choice with the limit of a bulk call's body. The limit is one of the protocol, so
// the settings object doesn't have it.
func withBodyLimit(settings choice.Settings) choice.Settings {
	settings.MaxBulkBytes = maxBulkBytes
	return settings
}

// bulkKey returns the key of a message's item in a bulk call.
func (m *message) bulkKey() string { return cmp.Or(m.idempotencyKey, m.key) }

// bulkBytes returns the number of bytes that a message adds to the body of a bulk call, with a separator.
func (m *message) bulkBytes() int32 {
	const texts = len(bulkItemID) + len(bulkItemKey) + len(bulkItemBody) + len(bulkItemEnd) + len(string(bulkSeparator))
	return int32(texts + len(m.ID) + len(m.bulkKey()) + base64.StdEncoding.EncodedLen(m.bodySize()))
}

// appendBulkItem appends a message as JSON. Ids and keys consist of visible characters without quotes, so they need no
// escaping.
func (m *message) appendBulkItem(out, body []byte) []byte {
	out = append(out, bulkItemID...)
	out = append(out, m.ID...)
	out = append(out, bulkItemKey...)
	out = append(out, m.bulkKey()...)
	out = append(out, bulkItemBody...)
	out = base64.StdEncoding.AppendEncode(out, body)
	return append(out, bulkItemEnd...)
}
