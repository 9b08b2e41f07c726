package leadercall

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"flaxcove/internal/cluster/view"
)

// unreachableLink is a link over which nobody answers; it records whom it called.
type unreachableLink struct{ called []view.Name }

var errUnreachable = errors.New("not reached")

func (u *unreachableLink) Call(_ context.Context, to view.Name, _ string, _, _ any) error {
	u.called = append(u.called, to)
	return errUnreachable
}
func (u *unreachableLink) Handle(string, Handler) {}
func (u *unreachableLink) Public() *http.ServeMux { return nil }

func newCaller(u *unreachableLink, whom func() []view.Name) *Caller {
	return &Caller{Part: "part", Link: u, Consensus: NoConsensus{}, Self: "self",
		Life: func() view.Life { return view.Life{Name: "self", Incarnation: 3} }, Candidates: whom, Done: make(chan struct{}),
		CallTimeout: time.Minute, MinBackoff: time.Millisecond, MaxBackoff: time.Millisecond,
		ErrNoCandidate: errors.New("nobody"), ErrUndecided: errors.New("undone")}
}

// A message to this process itself goes to its own handler, from its current incarnation.
func TestCallSelfUsesOwnHandler(t *testing.T) {
	u := &unreachableLink{}
	c := newCaller(u, nil)
	c.Handle(map[string]Handler{"/p": func(_ context.Context, from view.Life, body []byte) (any, error) {
		return []any{from.Incarnation, json.RawMessage(body)}, nil
	}})
	var got []int
	if err := c.Call(t.Context(), "self", "/p", 7, &got); err != nil || !slices.Equal(got, []int{3, 7}) || u.called != nil {
		t.Errorf("%v %v, over the link: %v", got, err, u.called)
	}
}

// The error of a failed proposal is what a candidate answered, even if none is known any more at the deadline, and it
// tells what ended the retries.
func TestRetryReportsTheCause(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	attempts := 0
	c := newCaller(&unreachableLink{}, func() []view.Name {
		if attempts++; attempts == 1 {
			return []view.Name{"a", "b"}
		}
		stop()
		return nil
	})
	if err := c.Propose(ctx, nil, "/p", 1, nil); !errors.Is(err, errUnreachable) || !strings.HasPrefix(err.Error(), "part: not known to be decided: ") {
		t.Error(err)
	}
	if err := c.Propose(ctx, nil, "/p", 1, nil); !errors.Is(err, c.ErrUndecided) {
		t.Error(err)
	}
	if err := c.Query(ctx, time.Millisecond, nil, "/p", 1, nil); !errors.Is(err, c.ErrNoCandidate) {
		t.Error(err)
	}
	ended := make(chan struct{})
	close(ended)
	c.Done = ended
	if err := c.Query(t.Context(), time.Hour, nil, "/p", 1, nil); err == nil || !strings.HasPrefix(err.Error(), "part: this process ends: ") {
		t.Error(err)
	}
}

// A wait ends when the state is settled, at its timeout, and when the process ends. The lock is held again each time.
func TestWaitUntil(t *testing.T) {
	var mu sync.Mutex
	s := NewSignals(&mu)
	never := func() bool { return false }
	mu.Lock()
	defer mu.Unlock()

	looks := 0
	s.WaitUntil(t.Context(), nil, time.Hour, func() bool {
		if looks++; looks < 3 {
			go func() { // not before the one that waits has let go of the lock
				mu.Lock()
				defer mu.Unlock()
				s.NotifyChange()
			}()
		}
		return looks == 3
	})
	s.WaitUntil(t.Context(), nil, time.Millisecond, never)
	ended, end := context.WithCancel(t.Context())
	end()
	s.WaitUntil(t.Context(), ended.Done(), time.Hour, never)
	s.WaitUntil(ended, nil, time.Hour, never)
	if mu.TryLock() {
		t.Error("the lock is not held after a wait")
	}
	if looks != 3 || len(s.Wakeups()) != 1 {
		t.Errorf("%d looks, %d wakes kept", looks, len(s.Wakeups()))
	}
}

// Ready stays closed.
func TestMarkReadyTwice(t *testing.T) {
	s := NewSignals(&sync.Mutex{})
	select {
	case <-s.Ready():
		t.Error("ready before it was opened")
	default:
	}
	s.MarkReady()
	s.MarkReady()
	<-s.Ready()
}

// A request over the limit gets 503, and a slot is free again once its request was answered.
func TestLimiter(t *testing.T) {
	g := make(Limiter, 1)
	var inner int
	var h http.HandlerFunc
	h = g.Limit(func(w http.ResponseWriter, q *http.Request) {
		second := httptest.NewRecorder()
		h(second, q)
		inner = second.Code
		WriteJSON(w, http.StatusOK, 1)
	})
	for range 2 {
		w := httptest.NewRecorder()
		h(w, httptest.NewRequest("GET", "/", nil))
		if w.Code != http.StatusOK || inner != http.StatusServiceUnavailable {
			t.Errorf("%d, and while it was under way %d", w.Code, inner)
		}
	}
}

func TestParseWait(t *testing.T) {
	for query, want := range map[string]struct {
		wait  time.Duration
		field string
	}{
		"":                    {},
		"wait=done":           {wait: 5 * time.Second},
		"wait=done&for=200ms": {wait: 200 * time.Millisecond},
		"wait=done&for=60s":   {wait: time.Minute},
		"wait=done&for=61s":   {field: "for"},
		"wait=done&for=0s":    {field: "for"},
		"wait=done&for=soon":  {field: "for"},
		"wait=else":           {field: "wait"},
	} {
		w := httptest.NewRecorder()
		wait, ok := ParseWait(w, httptest.NewRequest("GET", "/?"+query, nil), "done", 5*time.Second)
		var why ErrorResponse
		if !ok && (w.Code != http.StatusBadRequest || json.Unmarshal(w.Body.Bytes(), &why) != nil) {
			t.Errorf("%s: %d %s", query, w.Code, w.Body)
		}
		if wait != want.wait || why.Field != want.field || ok != (want.field == "") {
			t.Errorf("%s: %v %v %+v", query, wait, ok, why)
		}
	}
}

func TestReadOrderNamesTheField(t *testing.T) {
	for body, field := range map[string]string{`{"a":"text"}`: "a", `{"b":1}`: "", `{"a":1`: "", `{"a":12345678901}`: ""} {
		var order struct {
			A int64 `json:"a"`
		}
		w := httptest.NewRecorder()
		ok := ReadOrder(w, httptest.NewRequest("POST", "/", strings.NewReader(body)), 15, &order)
		var why ErrorResponse
		if ok || json.Unmarshal(w.Body.Bytes(), &why) != nil || w.Code != http.StatusBadRequest || why.Field != field || why.Error == "" {
			t.Errorf("%s: %v %d %+v", body, ok, w.Code, why)
		}
	}
}

// Candidates lists members with raft records before others, up to the limit, and never the process itself.
func TestCandidates(t *testing.T) {
	member := func(name view.Name, voted bool) view.Member {
		return view.Member{Life: view.Life{Name: name, Incarnation: 1}, HasRecords: voted}
	}
	v := view.New("self", 1, []view.Member{member("a", false), member("b", true), member("c", false), member("self", true)})
	for _, one := range []struct {
		likely []view.Name
		spoke  view.Name
		want   []view.Name
	}{
		{nil, "", []view.Name{"b", "a"}},
		{nil, "c", []view.Name{"c", "b"}},
		{[]view.Name{"a"}, "c", []view.Name{"a", "b"}},
	} {
		if got := Candidates(one.likely, one.spoke, v, "self", 3); !slices.Equal(got, one.want) {
			t.Errorf("%v: %v", one, got)
		}
	}
	if got := Candidates(nil, "c", nil, "self", 3); !slices.Equal(got, []view.Name{"c"}) {
		t.Error(got)
	}
}
