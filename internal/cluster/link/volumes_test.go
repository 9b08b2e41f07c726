package link

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"flaxcove/internal/cluster/view"
)

// TestVolumesAndPartition checks that both sides count the bodies of a call alike, and that during a partition no call
// between the two processes is answered.
func TestVolumesAndPartition(t *testing.T) {
	all := addresses{}
	var partitioned atomic.Bool
	b, err := Start(Options{Cluster: "ours", Self: view.Instance{Name: "b", Incarnation: 1}, Listen: "127.0.0.1:0", Reach: all.reach,
		Partitioned: func(name view.Name) bool { return partitioned.Load() && name == "a" }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeLink(t, b) })
	a := startLink(t, all, "ours", "a", 1, "127.0.0.1:0")
	all["a"], all["b"] = a.Addr(), b.Addr()
	var answered atomic.Int64
	for _, l := range []*Link{a, b} {
		l.Handle("/echo", func(_ context.Context, _ view.Instance, body []byte) (any, error) {
			answered.Add(1)
			return json.RawMessage(body), nil
		})
	}
	ctx := context.Background()
	if err := a.Call(ctx, "b", "/echo", "four", nil); err != nil {
		t.Fatal(err)
	}
	caller, answerer := a.Volumes()["/echo"], b.Volumes()["/echo"]
	if want := (Volume{Calls: 1, Out: 6, In: 6}); caller != want {
		t.Errorf("the caller counted %+v, want %+v", caller, want)
	}
	if want := (Volume{Answers: 1, In: 6, Out: 6}); answerer != want {
		t.Errorf("the called process counted %+v, want %+v", answerer, want)
	}
	partitioned.Store(true)
	for _, way := range []struct {
		from *Link
		to   view.Name
	}{{a, "b"}, {b, "a"}} {
		soon, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		if err := way.from.Call(soon, way.to, "/echo", 1, nil); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("a call to %s during the partition: %v, want a deadline error", way.to, err)
		}
		cancel()
	}
	if n := answered.Load(); n != 1 {
		t.Errorf("%d calls were answered, want only the one before the partition", n)
	}
	partitioned.Store(false)
	if err := b.Call(ctx, "a", "/echo", 1, nil); err != nil {
		t.Errorf("after the partition: %v", err)
	}
}
