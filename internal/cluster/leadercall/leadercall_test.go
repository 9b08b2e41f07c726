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

// unreachableLink is a link over which no process answers. It records which processes were called.
type unreachableLink struct{ called []view.Name }

var errUnreachable = errors.New("not reachable")

func (u *unreachableLink) Call(_ context.Context, to view.Name, _ string, _, _ any) error {
	u.called = append(u.called, to)
	return errUnreachable
}
func (u *unreachableLink) Handle(string, Handler) {}
func (u *unreachableLink) Public() *http.ServeMux { return nil }

// newCaller returns a Caller on a process outside the consensus group.
func newCaller(u *unreachableLink, candidates func() []view.Name) *Caller {
	return &Caller{Part: "part", Link: u, Consensus: NoConsensus{}, Self: "self",
		Instance: func() view.Instance { return view.Instance{Name: "self", Incarnation: 3} }, Candidates: candidates, Done: make(chan struct{}),
		CallTimeout: time.Minute, MinBackoff: time.Millisecond, MaxBackoff: time.Millisecond,
		ErrNoCandidate: errors.New("no candidate"), ErrUndecided: errors.New("undecided")}
}

// TestCallSelfUsesOwnHandler checks that a message of a process to itself is passed to its own handler without the
// link, with the current incarnation as its sender.
func TestCallSelfUsesOwnHandler(t *testing.T) {
	u := &unreachableLink{}
	c := newCaller(u, nil)
	c.Handle(map[string]Handler{"/p": func(_ context.Context, from view.Instance, body []byte) (any, error) {
		return []any{from.Incarnation, json.RawMessage(body)}, nil
	}})
	var got []int
	if err := c.Call(t.Context(), "self", "/p", 7, &got); err != nil || !slices.Equal(got, []int{3, 7}) || u.called != nil {
		t.Errorf("%v %v, over the link: %v", got, err, u.called)
	}
}

// TestRetryReportsTheCause checks that the error of a failed proposal contains the last candidate's error, even if
// there is no candidate at the deadline, and that the error says what ended the retries.
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
	if err := c.Propose(ctx, nil, "/p", 1, nil); !errors.Is(err, errUnreachable) || !strings.HasPrefix(err.Error(), "part: not known whether the order was committed: ") {
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
	if err := c.Query(t.Context(), time.Hour, nil, "/p", 1, nil); err == nil || !strings.HasPrefix(err.Error(), "part: this process is shutting down: ") {
		t.Error(err)
	}
}

// TestWaitUntil checks that a wait ends when the state is settled, at the timeout, when the context ends, and when the
// process ends, and that the lock is held after each wait.
func TestWaitUntil(t *testing.T) {
	var mu sync.Mutex
	s := NewSignals(&mu)
	never := func() bool { return false }
	mu.Lock()
	defer mu.Unlock()

	checks := 0
	s.WaitUntil(t.Context(), nil, time.Hour, func() bool {
		if checks++; checks < 3 {
			go func() { // acquires the lock only after WaitUntil has released it
				mu.Lock()
				defer mu.Unlock()
				s.NotifyChange()
			}()
		}
		return checks == 3
	})
	s.WaitUntil(t.Context(), nil, time.Millisecond, never)
	ended, end := context.WithCancel(t.Context())
	end()
	s.WaitUntil(t.Context(), ended.Done(), time.Hour, never)
	s.WaitUntil(ended, nil, time.Hour, never)
	if mu.TryLock() {
		t.Error("the lock is not held after a wait")
	}
	if checks != 3 || len(s.Wakeups()) != 1 {
		t.Errorf("%d checks of the condition, %d wakeups pending", checks, len(s.Wakeups()))
	}
}

// TestMarkReadyTwice checks that a second MarkReady has no effect.
func TestMarkReadyTwice(t *testing.T) {
	s := NewSignals(&sync.Mutex{})
	select {
	case <-s.Ready():
		t.Error("ready before MarkReady")
	default:
	}
	s.MarkReady()
	s.MarkReady()
	<-s.Ready()
}

// TestLimiter checks that a request beyond the limit is answered with 503, and that a slot is free again once its
// request was answered.
func TestLimiter(t *testing.T) {
	limiter := make(Limiter, 1)
	var inner int
	var h http.HandlerFunc
	h = limiter.Limit(func(w http.ResponseWriter, q *http.Request) {
		second := httptest.NewRecorder()
		h(second, q)
		inner = second.Code
		WriteJSON(w, http.StatusOK, 1)
	})
	for range 2 {
		w := httptest.NewRecorder()
		h(w, httptest.NewRequest("GET", "/", nil))
		if w.Code != http.StatusOK || inner != http.StatusServiceUnavailable {
			t.Errorf("status %d, and of a second request meanwhile %d", w.Code, inner)
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
		var response ErrorResponse
		if !ok && (w.Code != http.StatusBadRequest || json.Unmarshal(w.Body.Bytes(), &response) != nil) {
			t.Errorf("%s: %d %s", query, w.Code, w.Body)
		}
		if wait != want.wait || response.Field != want.field || ok != (want.field == "") {
			t.Errorf("%s: %v %v %+v", query, wait, ok, response)
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
		var response ErrorResponse
		if ok || json.Unmarshal(w.Body.Bytes(), &response) != nil || w.Code != http.StatusBadRequest || response.Field != field || response.Error == "" {
			t.Errorf("%s: %v %d %+v", body, ok, w.Code, response)
		}
	}
}

// TestCandidates checks that Candidates lists members with raft records before others, keeps the limit, and never lists
// the process itself.
func TestCandidates(t *testing.T) {
	member := func(name view.Name, hasRecords bool) view.Member {
		return view.Member{Instance: view.Instance{Name: name, Incarnation: 1}, HasRecords: hasRecords}
	}
	v := view.New("self", 1, []view.Member{member("a", false), member("b", true), member("c", false), member("self", true)})
	for _, one := range []struct {
		likely     []view.Name
		lastLeader view.Name
		want       []view.Name
	}{
		{nil, "", []view.Name{"b", "a"}},
		{nil, "c", []view.Name{"c", "b"}},
		{[]view.Name{"a"}, "c", []view.Name{"a", "b"}},
	} {
		if got := Candidates(one.likely, one.lastLeader, v, "self", 3); !slices.Equal(got, one.want) {
			t.Errorf("%v: %v", one, got)
		}
	}
	if got := Candidates(nil, "c", nil, "self", 3); !slices.Equal(got, []view.Name{"c"}) {
		t.Error(got)
	}
}
