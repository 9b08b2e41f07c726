package ordering

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

// unreached is a link over which nobody answers; it notes whom it called.
type unreached struct{ called []view.Name }

var errUnreached = errors.New("not reached")

func (u *unreached) Call(_ context.Context, to view.Name, _ string, _, _ any) error {
	u.called = append(u.called, to)
	return errUnreached
}
func (u *unreached) Handle(string, Handler) {}
func (u *unreached) Public() *http.ServeMux { return nil }

func newCaller(u *unreached, whom func() []view.Name) *Caller {
	return &Caller{Part: "part", Link: u, Consensus: Outsider{}, Self: "self",
		Life: func() view.Life { return view.Life{Name: "self", Incarnation: 3} }, Whom: whom, Ended: make(chan struct{}),
		CallFor: time.Minute, First: time.Millisecond, Most: time.Millisecond,
		Nobody: errors.New("nobody"), Undone: errors.New("undone")}
}

// A message to this process itself is taken as one over the link would be, and from the life that it has now.
func TestCallSelf(t *testing.T) {
	u := &unreached{}
	c := newCaller(u, nil)
	c.Handle(map[string]Handler{"/p": func(_ context.Context, from view.Life, body []byte) (any, error) {
		return []any{from.Incarnation, json.RawMessage(body)}, nil
	}})
	var got []int
	if err := c.Call(t.Context(), "self", "/p", 7, &got); err != nil || !slices.Equal(got, []int{3, 7}) || u.called != nil {
		t.Errorf("%v %v, over the link: %v", got, err, u.called)
	}
}

// An error tells what somebody answered, also where nobody is known any more when time is over; and which bound ended it.
func TestDecideTellsTheCause(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	tries := 0
	c := newCaller(&unreached{}, func() []view.Name {
		if tries++; tries == 1 {
			return []view.Name{"a", "b"}
		}
		stop()
		return nil
	})
	if err := c.Decide(ctx, nil, "/p", 1, nil); !errors.Is(err, errUnreached) || !strings.HasPrefix(err.Error(), "part: not known to be decided: ") {
		t.Error(err)
	}
	if err := c.Decide(ctx, nil, "/p", 1, nil); !errors.Is(err, c.Undone) {
		t.Error(err)
	}
	if err := c.Show(ctx, time.Millisecond, nil, "/p", 1, nil); !errors.Is(err, c.Nobody) {
		t.Error(err)
	}
	ended := make(chan struct{})
	close(ended)
	c.Ended = ended
	if err := c.Show(t.Context(), time.Hour, nil, "/p", 1, nil); err == nil || !strings.HasPrefix(err.Error(), "part: this process ends: ") {
		t.Error(err)
	}
}

// Who waits goes on when the state is settled, whatever it was before; when time is over; and when the process ends. The
// lock is held again each time.
func TestAwait(t *testing.T) {
	var mu sync.Mutex
	s := NewSignals(&mu)
	never := func() bool { return false }
	mu.Lock()
	defer mu.Unlock()

	looks := 0
	s.Await(t.Context(), nil, time.Hour, func() bool {
		if looks++; looks < 3 {
			go func() { // not before the one that waits has let go of the lock
				mu.Lock()
				defer mu.Unlock()
				s.Turn()
			}()
		}
		return looks == 3
	})
	s.Await(t.Context(), nil, time.Millisecond, never)
	ended, end := context.WithCancel(t.Context())
	end()
	s.Await(t.Context(), ended.Done(), time.Hour, never)
	s.Await(ended, nil, time.Hour, never)
	if mu.TryLock() {
		t.Error("the lock is not held after a wait")
	}
	if looks != 3 || len(s.Woken()) != 1 {
		t.Errorf("%d looks, %d wakes kept", looks, len(s.Woken()))
	}
}

// What is open stays so.
func TestOpenTwice(t *testing.T) {
	s := NewSignals(&sync.Mutex{})
	select {
	case <-s.Ready():
		t.Error("ready before it was opened")
	default:
	}
	s.Open()
	s.Open()
	<-s.Ready()
}

// An order beyond the bound is told to come back, and its place is free again once one is answered.
func TestGate(t *testing.T) {
	g := make(Gate, 1)
	var inner int
	var h http.HandlerFunc
	h = g.Bounded(func(w http.ResponseWriter, q *http.Request) {
		second := httptest.NewRecorder()
		h(second, q)
		inner = second.Code
		Tell(w, http.StatusOK, 1)
	})
	for range 2 {
		w := httptest.NewRecorder()
		h(w, httptest.NewRequest("GET", "/", nil))
		if w.Code != http.StatusOK || inner != http.StatusServiceUnavailable {
			t.Errorf("%d, and while it was under way %d", w.Code, inner)
		}
	}
}

func TestWaitOf(t *testing.T) {
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
		wait, ok := WaitOf(w, httptest.NewRequest("GET", "/?"+query, nil), "done", 5*time.Second)
		var why Refusal
		if !ok && (w.Code != http.StatusBadRequest || json.Unmarshal(w.Body.Bytes(), &why) != nil) {
			t.Errorf("%s: %d %s", query, w.Code, w.Body)
		}
		if wait != want.wait || why.Field != want.field || ok != (want.field == "") {
			t.Errorf("%s: %v %v %+v", query, wait, ok, why)
		}
	}
}

func TestReadNamesTheField(t *testing.T) {
	for body, field := range map[string]string{`{"a":"text"}`: "a", `{"b":1}`: "", `{"a":1`: "", `{"a":12345678901}`: ""} {
		var order struct {
			A int64 `json:"a"`
		}
		w := httptest.NewRecorder()
		ok := Read(w, httptest.NewRequest("POST", "/", strings.NewReader(body)), 15, &order)
		var why Refusal
		if ok || json.Unmarshal(w.Body.Bytes(), &why) != nil || w.Code != http.StatusBadRequest || why.Field != field || why.Error == "" {
			t.Errorf("%s: %v %d %+v", body, ok, w.Code, why)
		}
	}
}

// Whom asks those with a vote before others, at most so many, and never itself.
func TestWhom(t *testing.T) {
	member := func(name view.Name, voted bool) view.Member {
		return view.Member{Life: view.Life{Name: name, Incarnation: 1}, Voted: voted}
	}
	v := view.Make("self", 1, []view.Member{member("a", false), member("b", true), member("c", false), member("self", true)})
	for _, one := range []struct {
		likely []view.Name
		spoke  view.Name
		want   []view.Name
	}{
		{nil, "", []view.Name{"b", "a"}},
		{nil, "c", []view.Name{"c", "b"}},
		{[]view.Name{"a"}, "c", []view.Name{"a", "b"}},
	} {
		if got := Whom(one.likely, one.spoke, v, "self", 3); !slices.Equal(got, one.want) {
			t.Errorf("%v: %v", one, got)
		}
	}
	if got := Whom(nil, "c", nil, "self", 3); !slices.Equal(got, []view.Name{"c"}) {
		t.Error(got)
	}
}
