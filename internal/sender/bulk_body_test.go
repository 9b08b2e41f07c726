package sender

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flaxcove/choice"
)

// This file tests the size of the bodies of calls.

// mostBody is the largest body of a call in bytes, as the protocol has it.
const mostBody = 65536

// bulkItem is one message in the body of a bulk call.
type bulkItem struct {
	ID, Key string
	Body    []byte
}

func (m bulkItem) equal(other bulkItem) bool {
	return m.ID == other.ID && m.Key == other.Key && bytes.Equal(m.Body, other.Body)
}

// bulkHarness returns a sender whose endpoint b takes ten messages in a call.
func bulkHarness(t testing.TB) *harness {
	return startWith(loadedConfig(t, t.TempDir(), settingsWith(t, `"bundleMax":[1,3]`, `"bundleMax":[1,10]`), knownList(t)))
}

// add hands in a message of the class status for endpoint b.
func (h *harness) add(t interface{ Fatalf(string, ...any) }, m bulkItem, idempotencyKey string) {
	c := newClient()
	c.count()
	fields := "c=status,d=6000,dest=2"
	if idempotencyKey != "" {
		fields += ",k=" + idempotencyKey
	}
	h.s.handleCommand(c, [][]byte{[]byte("OUT.ADD"), []byte(m.Key), []byte(m.ID), []byte(fields), m.Body})
	if h.s.pending[choice.MessageID(m.ID)] == nil {
		t.Fatalf("message %s of %d bytes is not accepted: %s", m.ID, len(m.Body), c.output)
	}
}

// answerFirst answers the first call in flight, which carries the given messages, as delivered.
func (h *harness) answerFirst(items []bulkItem) {
	c := h.calls[0]
	h.calls = h.calls[1:]
	a := answer{result: choice.Done, final: true, states: map[choice.MessageID]string{}}
	for _, m := range items {
		a.states[choice.MessageID(m.ID)] = "ok"
	}
	c.done = true
	h.s.finishCall(c, a)
}

// readCall returns the messages that a call's request carries, and the size that its body has or would have as a bulk call.
func readCall(t interface{ Fatalf(string, ...any) }, h *harness, c *call) (items []bulkItem, bulkSize int) {
	head, body, err := h.s.request(c)
	if err != nil {
		t.Fatalf("%v", err)
	}
	request, err := http.ReadRequest(bufio.NewReader(io.MultiReader(bytes.NewReader(head), bytes.NewReader(body))))
	if err != nil || request.ContentLength != int64(len(body)) {
		t.Fatalf("request with a body of %d bytes: %q, %v", len(body), head, err)
	}
	if len(body) > mostBody {
		t.Fatalf("%s with a body of %d bytes", request.URL.Path, len(body))
	}
	if request.URL.Path == singlePath {
		m := c.messages[0]
		item := bulkItem{ID: request.Header.Get("X-Request-Id"), Key: cmp.Or(m.idempotencyKey, m.key), Body: body}
		return []bulkItem{item}, len(`[{"id":"","key":"","body":""}]`) + len(item.ID+item.Key) + base64.StdEncoding.EncodedLen(len(body))
	}
	if err := json.Unmarshal(body, &items); err != nil {
		t.Fatalf("body of a bulk call: %v", err)
	}
	return items, len(body)
}

// TestBulkBodyLimit guards against bodies of calls that endpoints close on: of a clump of messages of 12,000 bytes, ten
// travelled in one body of 160,521 bytes, and all of them failed. The limit is exact.
func TestBulkBodyLimit(t *testing.T) {
	const item, separator = len(`{"id":"","key":"","body":""}`), len(`,`)
	const twoIDs, twoKeys = 2, 2 // bytes of ids and keys of one character each
	// Base64 has 4 bytes for 3, so that two ids, which may have any length, fill up the rest.
	const frame = len(`[]`) + 2*item + separator + twoIDs + twoKeys
	const encoded = (mostBody - frame) / 4 * 4
	const rest = mostBody - frame - encoded
	clump := func(size int) (all []int) {
		for range 10 {
			all = append(all, size)
		}
		return all
	}
	for name, test := range map[string]struct {
		sizes []int // of the messages' bodies
		more  int   // bytes by which the first message's id is longer than one
		want  []int // number of messages in each call
	}{
		"clump":              {sizes: clump(12000), want: []int{4, 4, 2}},
		"small":              {sizes: clump(1), want: []int{10}},
		"two just fit":       {sizes: []int{encoded / 4 * 3 / 2 / 3 * 3, encoded/4*3 - encoded/4*3/2/3*3}, more: rest, want: []int{2}},
		"two are one more":   {sizes: []int{encoded / 4 * 3 / 2 / 3 * 3, encoded/4*3 - encoded/4*3/2/3*3}, more: rest + 1, want: []int{1, 1}},
		"not in Base64":      {sizes: []int{1, 49152, 1}, want: []int{2, 1}},
		"largest":            {sizes: []int{1, 65536, 1}, want: []int{2, 1}},
		"alone but in array": {sizes: []int{0, 49000, 0}, want: []int{3}},
	} {
		for _, restarted := range []bool{false, true} {
			h := bulkHarness(t)
			var sent []bulkItem
			for i, size := range test.sizes {
				id := fmt.Sprint(i)
				if i == 0 {
					id += strings.Repeat("x", test.more)
				}
				sent = append(sent, bulkItem{ID: id, Key: "0", Body: bytes.Repeat([]byte{'b'}, size)})
			}
			for _, m := range sent {
				h.add(t, m, "")
			}
			if restarted { // the sizes then come from the journal
				h.s.commit()
				h = startWith(h.s.cfg)
			}
			h.advanceQuietly(5 * time.Millisecond)
			var counts []int
			var got []bulkItem
			for len(h.calls) > 0 || len(got) < len(sent) {
				if len(h.calls) == 0 {
					h.advanceQuietly(5 * time.Millisecond)
				}
				items, _ := readCall(t, h, h.calls[0])
				counts, got = append(counts, len(items)), append(got, items...)
				h.answerFirst(items)
			}
			if !slices.Equal(counts, test.want) {
				t.Errorf("%s, restarted %v: calls with %v messages, want %v", name, restarted, counts, test.want)
			}
			slices.SortFunc(got, func(a, b bulkItem) int { return strings.Compare(a.ID, b.ID) })
			if !slices.EqualFunc(got, sent, bulkItem.equal) {
				t.Errorf("%s, restarted %v: the messages sent are not the accepted ones", name, restarted)
			}
		}
	}
}

// TestBulkBodies draws bodies, ids and keys. No body is too long, each message is sent once and unchanged, no call is split
// without need, and the calls of a turn are as many as package choice has counted.
func TestBulkBodies(t *testing.T) {
	outer := t
	rapid.Check(t, func(t *rapid.T) {
		h := bulkHarness(outer)
		sizes := rapid.OneOf(rapid.IntRange(0, 300), rapid.IntRange(3000, 16000), rapid.IntRange(16000, 65536))
		text := rapid.StringMatching(`[!#-\[\]-~]{0,120}`)
		sent := map[string]bulkItem{}
		for i := range rapid.IntRange(1, 25).Draw(t, "messages") {
			m := bulkItem{ID: fmt.Sprint(i, ".") + text.Draw(t, "id"), Key: fmt.Sprint("z", i) + text.Draw(t, "key")}
			m.Body = bytes.Repeat([]byte{byte(i)}, sizes.Draw(t, "size"))
			idempotencyKey := strings.ReplaceAll(text.Draw(t, "idempotency key"), ",", "")
			h.add(t, m, idempotencyKey)
			if idempotencyKey != "" {
				m.Key = idempotencyKey
			}
			sent[m.ID] = m
		}
		for left := len(sent); left > 0; {
			h.advanceQuietly(5 * time.Millisecond)
			if len(h.calls) == 0 {
				t.Fatalf("%d messages are not sent", left)
			}
			var bodies []int
			for _, c := range h.calls {
				items, size := readCall(t, h, c)
				for _, m := range items {
					for i, earlier := range bodies {
						_, alone := readCall(t, h, &call{endpoint: c.endpoint, messages: []*message{h.s.pending[choice.MessageID(m.ID)]}})
						if len(h.calls[i].messages) < 10 && earlier+alone-len(`[]`)+len(`,`) <= mostBody {
							t.Errorf("message of %d bytes in Base64 opens a call, and fits into one of %d bytes", alone, earlier)
						}
					}
					if !m.equal(sent[m.ID]) {
						t.Errorf("message %s was not accepted like this, or is sent twice", m.ID)
					}
					delete(sent, m.ID)
				}
				bodies = append(bodies, size)
			}
			for len(h.calls) > 0 {
				items, _ := readCall(t, h, h.calls[0])
				h.answerFirst(items)
			}
			left = len(sent)
		}
	})
}
