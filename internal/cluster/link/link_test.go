package link

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"flaxcove/internal/cluster/view"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout is far above the duration of any step, and short enough to detect an unbounded wait.
const testTimeout = 5 * time.Second

// addresses maps processes to the addresses at which they are dialled.
type addresses map[view.Name]string

func (a addresses) reach(name view.Name) (string, bool) { addr, known := a[name]; return addr, known }

func startLink(t *testing.T, all addresses, cluster string, name view.Name, no view.Incarnation, listen string) *Link {
	t.Helper()
	l, err := Start(Options{Cluster: cluster, Self: view.Instance{Name: name, Incarnation: no},
		Listen: listen, Reach: all.reach, BodyLimit: 4096})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeLink(t, l) })
	return l
}

func closeLink(t *testing.T, l *Link) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := l.Close(ctx); err != nil {
		t.Error(err)
	}
}

// status returns the status of a StatusError; 0 for any other error and for nil.
func status(err error) int {
	var refused *StatusError
	if errors.As(err, &refused) {
		return refused.Status
	}
	return 0
}

// echo is a handler that returns the caller and the body of the call.
func echo(_ context.Context, from view.Instance, body []byte) (any, error) {
	return map[string]any{"from": from, "body": string(body)}, nil
}

// TestAuthorization checks the status of calls from another cluster, of an outdated incarnation, to another process, to
// unknown paths and of failing handlers, and that public paths need no headers of a member.
func TestAuthorization(t *testing.T) {
	all := addresses{}
	b := startLink(t, all, "ours", "b", 1, "127.0.0.1:0")
	b.Handle("/echo", echo)
	b.Handle("/no", func(context.Context, view.Instance, []byte) (any, error) {
		return nil, &StatusError{Status: 410, Text: "gone"}
	})
	b.Handle("/bad", func(context.Context, view.Instance, []byte) (any, error) { return nil, errors.New("broken") })
	b.Public().HandleFunc("GET /v1/x", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("public")) })
	all["b"], all["c"] = b.Addr(), b.Addr()
	a := startLink(t, all, "ours", "a", 5, "127.0.0.1:0")
	ctx := context.Background()
	var got struct {
		From view.Instance
		Body string
	}
	if err := a.Call(ctx, "b", "/echo", 7, &got); err != nil || got.From != a.opts.Self || got.Body != "7" {
		t.Fatal(got, err)
	}
	in, out := a.Traffic()
	bIn, bOut := b.Traffic()
	if out == 0 || in == 0 || out > 160 || in > 160 || out != bIn || in != bOut {
		t.Fatal("a small call takes more than 160 bytes, or the two sides count differently", in, out, bIn, bOut)
	}
	outdated, otherCluster := startLink(t, all, "ours", "a", 3, "127.0.0.1:0"), startLink(t, all, "theirs", "d", 1, "127.0.0.1:0")
	sameName := startLink(t, all, "ours", "b", 0, "127.0.0.1:0")
	for _, c := range []struct {
		who  *Link
		to   view.Name
		path string
		want int
	}{{otherCluster, "b", "/echo", 403}, {outdated, "b", "/echo", 409}, {sameName, "b", "/echo", 409}, {a, "c", "/echo", 421},
		{a, "b", "/none", 404},
		{a, "b", "/no", 410}, {a, "b", "/bad", 500}} {
		if err := c.who.Call(ctx, c.to, c.path, nil, nil); status(err) != c.want {
			t.Errorf("call of %s to %s%s: error %v, want status %d", c.who.opts.Self.Name, c.to, c.path, err, c.want)
		}
	}
	var refused *StatusError
	if err := outdated.Call(ctx, "b", "/echo", nil, nil); !errors.As(err, &refused) || refused.HighestSeen != 5 {
		t.Fatal(err)
	}
	outdated.RaiseIncarnation(refused.HighestSeen + 1)
	if err := outdated.Call(ctx, "b", "/echo", nil, nil); err != nil {
		t.Fatal(err)
	}
	if err := a.Call(ctx, "b", "/echo", nil, nil); status(err) != 409 {
		t.Fatal("a call of an outdated incarnation was accepted", err)
	}
	if err := a.Call(ctx, "nobody", "/echo", nil, nil); err == nil || status(err) != 0 {
		t.Fatal(err)
	}
	for path, want := range map[string]int{"/v1/x": 200, "/v1/y": 404, "/echo": 403} {
		r, err := http.Get("http://" + b.Addr() + path)
		if err != nil || r.StatusCode != want {
			t.Error(path, err, r)
		}
		r.Body.Close()
	}
	http.DefaultClient.CloseIdleConnections()
}

// TestBodyLimits checks that a request body over the limit is rejected before it is sent and before it reaches a
// handler, and that a response body over the limit is not sent.
func TestBodyLimits(t *testing.T) {
	all := addresses{}
	b := startLink(t, all, "ours", "b", 1, "127.0.0.1:0")
	var calls atomic.Int32
	b.Handle("/take", func(context.Context, view.Instance, []byte) (any, error) { calls.Add(1); return nil, nil })
	b.Handle("/give", func(context.Context, view.Instance, []byte) (any, error) { return strings.Repeat("x", 5000), nil })
	all["b"] = b.Addr()
	a := startLink(t, all, "ours", "a", 1, "127.0.0.1:0")
	ctx := context.Background()
	if err := a.Call(ctx, "b", "/take", strings.Repeat("x", 5000), nil); err == nil || status(err) != 0 {
		t.Fatal("a request body over the caller's limit was sent", err)
	}
	a.opts.BodyLimit = 1 << 20
	if err := a.Call(ctx, "b", "/take", strings.Repeat("x", 5000), nil); status(err) != 413 || calls.Load() != 0 {
		t.Fatal(err, calls.Load())
	}
	if err := a.Call(ctx, "b", "/give", nil, nil); status(err) != 500 {
		t.Fatal(err)
	}
	if err := a.Call(ctx, "b", "/take", strings.Repeat("x", 3000), nil); err != nil || calls.Load() != 1 {
		t.Fatal(err, calls.Load())
	}
}

// TestStalledPeer checks that calls to a peer that accepts connections and never answers end with their timeout or
// their context, and do not delay calls to other peers.
func TestStalledPeer(t *testing.T) {
	mute, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer mute.Close()
	all := addresses{"mute": mute.Addr().String()}
	a := startLink(t, all, "ours", "a", 1, "127.0.0.1:0")
	a.Handle("/echo", echo)
	all["a"] = a.Addr()
	a.opts.CallTimeout = 50 * time.Millisecond
	begun := time.Now()
	if err := a.Call(context.Background(), "mute", "/x", nil, nil); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	ended := make(chan error, maxConnsPerPeer+1)
	for range maxConnsPerPeer + 1 { // the last one waits for a free connection
		go func() { ended <- a.Call(ctx, "mute", "/x", nil, nil) }()
	}
	if err := a.Call(ctx, "a", "/echo", nil, nil); err != nil {
		t.Fatal(err)
	}
	cancel()
	for range maxConnsPerPeer + 1 {
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Fatal(err)
		}
	}
	if took := time.Since(begun); took > testTimeout {
		t.Fatalf("took %v, limit is %v", took, testTimeout)
	}
}

// TestPeerRestart checks that a peer that is closed and starts again on the same address is reached over the same link,
// after one failed call at most, and that its address can be reused at once.
func TestPeerRestart(t *testing.T) {
	all := addresses{}
	b := startLink(t, all, "ours", "b", 1, "127.0.0.1:0")
	b.Handle("/echo", echo)
	addr := b.Addr()
	all["b"] = addr
	a := startLink(t, all, "ours", "a", 1, "127.0.0.1:0")
	for no := range 4 {
		failures := 0
		for err := error(nil); ; failures++ {
			if err = a.Call(context.Background(), "b", "/echo", nil, nil); err == nil {
				break
			}
			if failures > 1 {
				t.Fatal("more calls failed than the one that used the old connection", err)
			}
		}
		closeLink(t, b)
		if err := a.Call(context.Background(), "b", "/echo", nil, nil); err == nil {
			t.Fatal("a call to a closed link succeeded")
		}
		b = startLink(t, all, "ours", "b", view.Incarnation(no+2), addr)
		b.Handle("/echo", echo)
	}
}

// TestCloseCancelsCallsInFlight checks that Close cancels the calls and handlers in flight, and returns an error if a
// handler ignores its context.
func TestCloseCancelsCallsInFlight(t *testing.T) {
	all := addresses{}
	a, b := startLink(t, all, "ours", "a", 1, "127.0.0.1:0"), startLink(t, all, "ours", "b", 1, "127.0.0.1:0")
	all["a"], all["b"] = a.Addr(), b.Addr()
	entered, unblock := make(chan struct{}, 8), make(chan struct{})
	wait := func(ctx context.Context, _ view.Instance, _ []byte) (any, error) {
		entered <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	a.Handle("/wait", wait)
	b.Handle("/wait", wait)
	b.Handle("/ignores", func(context.Context, view.Instance, []byte) (any, error) {
		entered <- struct{}{}
		<-unblock
		return nil, nil
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	awaitEntry := func() {
		select {
		case <-entered:
		case <-ctx.Done():
			t.Fatal("a call did not reach its handler")
		}
	}
	ended := make(chan error, 2)
	go func() { ended <- a.Call(ctx, "b", "/wait", nil, nil) }()
	awaitEntry()
	go func() { b.Call(ctx, "a", "/wait", nil, nil); ended <- a.Call(ctx, "b", "/x", nil, nil) }()
	awaitEntry()
	closeLink(t, a)
	closeLink(t, a)
	for range 2 {
		if err := <-ended; !errors.Is(err, ErrClosed) {
			t.Fatal(err)
		}
	}
	c := startLink(t, all, "ours", "c", 1, "127.0.0.1:0")
	go func() { ended <- c.Call(ctx, "b", "/ignores", nil, nil) }()
	awaitEntry()
	short, done := context.WithTimeout(ctx, 20*time.Millisecond)
	defer done()
	if err := b.Close(short); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatal("Close returned no deadline error although a handler ignores its context", err)
	}
	if err := <-ended; err == nil {
		t.Fatal("a call to a closed link was answered")
	}
	close(unblock)
}

// TestIncarnationTableIsBounded checks that a name beyond the limit evicts the one that was observed longest ago.
func TestIncarnationTableIsBounded(t *testing.T) {
	s := &incarnationTable{limit: 3, byName: map[view.Name]*incarnationEntry{}}
	for _, name := range []view.Name{"a", "b", "c", "a", "d"} {
		s.observe(view.Instance{Name: name, Incarnation: 9})
	}
	if len(s.byName) != 3 || s.observe(view.Instance{Name: "a", Incarnation: 1}) != 9 ||
		s.observe(view.Instance{Name: "b", Incarnation: 1}) != 1 {
		t.Fatal(s.byName)
	}
}
