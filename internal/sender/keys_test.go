package sender

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"flaxcove/choice"
)

// tenantHarness starts a sender whose settings have tenants with quotas, and a class with idempotency keys.
func tenantHarness(dir string) *harness {
	text := strings.Replace(fmt.Sprintf(twoClassSettings, 100), `{"balancers":2`,
		`{"accounts":[{"name":"left","quotaRps":5},{"name":"right/2","quotaRps":5}],"balancers":2`, 1)
	text = strings.Replace(text, `"name":"status","idempotency":"pure"`, `"name":"status","idempotency":"token","repeatWindow":4000000000`, 1)
	return startWith(testConfigWith(dir, text, twoEndpointList))
}

// TestKeysAndTenants checks that an idempotency key is sent to endpoints unchanged, in single and bulk calls and after a
// restart: without it, endpoints do not recognize repeats and reject the message as one that was never submitted. It also
// checks that a tenant's messages count towards its own quota, and those of a tenant that the settings do not name towards
// none; all messages once counted towards the first tenant's quota.
func TestKeysAndTenants(t *testing.T) {
	dir := t.TempDir()
	h := tenantHarness(dir).submit("OUT.ADD 0a one c=status,t=right/2,d=6000,k=b8f3df7e144ea1f2,dest=1 x")
	h.submit("OUT.ADD 0b two c=status,t=left,d=6000,k=k-2,dest=2 x", "OUT.ADD 0c three c=order,t=stranger,d=20000,dest=2 x")
	check := func(h *harness) {
		t.Helper()
		for id, want := range map[string][3]any{"one": {"b8f3df7e144ea1f2", "right/2", 1}, "two": {"k-2", "left", 0}, "three": {"", "stranger", -1}} {
			m := h.s.pending[choice.MessageID(id)]
			if m == nil || m.idempotencyKey != want[0] || m.tenant != want[1] || int(m.Account) != want[2] {
				t.Errorf("%s: %+v, want %v", id, m, want)
			}
		}
	}
	check(h)
	for _, c := range h.calls {
		head, body, _ := h.s.request(c)
		mustContain := func(text, part string) {
			t.Helper()
			if !strings.Contains(text, part) {
				t.Errorf("%q does not contain %q", text, part)
			}
		}
		switch {
		case len(c.messages) == 1 && c.messages[0].ID == "one":
			mustContain(string(head), "\r\nIdempotency-Key: b8f3df7e144ea1f2\r\n")
		case len(c.messages) == 2:
			mustContain(string(body), `"key":"k-2"`)
			mustContain(string(body), `"key":"0c"`)
		default:
			t.Errorf("unexpected call with %d messages", len(c.messages))
		}
	}
	check(startAt(h.s.cfg, h.clock))
	h.submit("OUT.ADD 0a bad c=status,d=6000,k=a\"b,dest=1 x")
	if h.s.pending["bad"] != nil {
		t.Error("a message was accepted whose idempotency key is not valid in a header")
	}
}

// TestBulkCallBeginsWithLatestDeadline checks that the message with the latest deadline is first in a bulk call: an
// endpoint may apply the deadline of the first message to the whole call.
func TestBulkCallBeginsWithLatestDeadline(t *testing.T) {
	h := start("", 100)
	defer os.RemoveAll(h.dir)
	h.submit("OUT.ADD 0 long c=order,d=20000,dest=2 x", "OUT.ADD 0 middle c=order,d=9000,dest=2 x", "OUT.ADD 0 short c=order,d=5000,dest=2 x")
	_, body, _ := h.s.request(h.calls[0])
	at := func(id string) int { return strings.Index(string(body), `"id":"`+id) }
	if len(h.calls[0].messages) != 3 || at("long") < 0 || at("long") > at("middle") || at("middle") > at("short") {
		t.Errorf("messages are missing or not in order of deadline, latest first: %s", body)
	}
	h.advance(5 * time.Millisecond)
}

// TestCancelledIsNotSent checks that a call is sent without a message that was cancelled while the call waited for its
// write, as happens when the process is stopped. The outcome of that message is already reported.
func TestCancelledIsNotSent(t *testing.T) {
	h := start("", 100)
	defer os.RemoveAll(h.dir)
	h.submit("OUT.ADD 0 stays c=order,d=20000,dest=2 x", "OUT.ADD 0 parts c=status,d=500,dest=2 x")
	c := h.calls[0]
	l := &link{sender: h.s, endpoint: c.endpoint, addr: c.endpoint.addr}
	c.link = l
	h.advance(600 * time.Millisecond)
	if len(c.messages) != 2 || c.messages[0].inFlight != c && c.messages[1].inFlight != c {
		t.Fatalf("%d messages in the call, want 2 with one of them cancelled", len(c.messages))
	}
	c.link = nil
	if !h.s.maySend(c, l) || len(c.messages) != 1 || c.messages[0].ID != "stays" {
		t.Errorf("the call has the messages %v, want [stays] alone", c.ids())
	}
}
