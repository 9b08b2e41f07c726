package run

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"flaxcove/choice"
	"flaxcove/internal/cluster/leadercall"
	"flaxcove/internal/cluster/leadercall/leadercalltest"
	"flaxcove/internal/cluster/purge/ledger"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

// fakeSender is a sender with a disk, which outlives a Runner.
type fakeSender struct {
	mu      sync.Mutex
	applied uint64
	found   map[uint64]clusterapi.Found
}

func (o *fakeSender) Purge(all []clusterapi.Purge, done func(uint64, []clusterapi.Found)) {
	o.mu.Lock()
	var found []clusterapi.Found
	for _, p := range all {
		if p.Seq > o.applied {
			o.applied, o.found[p.Seq] = p.Seq, clusterapi.Found{NotBegun: 1}
		}
		found = append(found, o.found[p.Seq])
	}
	applied := o.applied
	o.mu.Unlock()
	go done(applied, found)
}

func (o *fakeSender) Applied() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.applied
}
func (o *fakeSender) Evict([]choice.DestinationID, func([]choice.DestinationID))      {}
func (o *fakeSender) Holding(func([]clusterapi.Held))                                 {}
func (o *fakeSender) Teach([]clusterapi.LearnedEndpoint)                              {}
func (o *fakeSender) Know([]choice.DestinationID, func([]clusterapi.LearnedEndpoint)) {}
func (o *fakeSender) Configure(clusterapi.Configuration, func(error))                 {}

// fleet is several processes in one, with fake senders.
type fleet struct {
	net    *leadercalltest.Net
	ledger *ledger.Ledger
}

func newFleet(leader view.Name) *fleet {
	l := ledger.New()
	return &fleet{leadercalltest.New(l, leader), l}
}

func (f *fleet) start(t *testing.T, m view.Member, o *fakeSender, bound time.Duration) *Runner {
	t.Helper()
	l := f.net.Link(m.Life)
	r, err := Start(Options{Self: m, Link: l, Consensus: f.net.Consensus(m.Name), Ledger: f.ledger, Orders: o,
		LongestDeadline: time.Minute, CatchUpTimeout: bound})
	if err != nil {
		t.Fatal(err)
	}
	f.net.Join(l)
	return r
}

func TestPurgesInFleet(t *testing.T) {
	defer goleak.VerifyNone(t)
	f := newFleet("p2")
	var members []view.Member
	var disks []*fakeSender
	var all []*Runner
	for i := range 13 {
		members = append(members, view.Member{Life: view.Life{Name: view.Name(fmt.Sprintf("p%d", i)), Incarnation: 1},
			Zone: view.Zone(fmt.Sprintf("z%d", i%3)), Region: "r", Folder: fmt.Sprint("f", i)})
		disks = append(disks, &fakeSender{found: map[uint64]clusterapi.Found{}})
		all = append(all, f.start(t, members[i], disks[i], 20*time.Second))
	}
	defer func() {
		for _, r := range all {
			r.Close()
		}
	}()
	see := func() {
		for _, r := range all {
			r.SetView(view.New(r.options.Self.Name, 1, members), leadercalltest.Tree(members))
		}
	}
	see()
	for _, r := range all {
		<-r.Ready()
		if !r.CaughtUp() {
			t.Fatalf("%s has not caught up", r.options.Self.Name)
		}
	}
	door := f.net.Mux("p7") // any process takes the call
	order := func(id string) string {
		return fmt.Sprintf(`{"id":%q,"subject":"notices","match":{"key":"k"},"who":"billing","why":"cancelled"}`, id)
	}
	var got orderResponse
	var code int
	f.net.LoseNextAnswer(ledger.KindOpen) // killed between commit and answer: tried again under the same id
	code = leadercalltest.Request(t, door, "POST", "/v1/purges?wait=complete&for=20s", order("a"), &got)
	if code != 200 || got.State != ledger.Complete || got.Seq != 1 {
		t.Fatalf("%d %+v", code, got)
	}
	if code := leadercalltest.Request(t, door, "POST", "/v1/purges", order("a"), &got); code != 202 || !got.Duplicate || got.Seq != 1 {
		t.Errorf("the same again: %d %+v", code, got)
	}
	var no leadercall.ErrorResponse
	for field, bad := range map[string]string{
		"why":     strings.Replace(order("a"), "cancelled", "moved", 1),
		"subject": strings.Replace(order("b"), "notices", "all", 1),
		"match":   strings.Replace(order("b"), `"key":"k"`, "", 1),
	} {
		if code := leadercalltest.Request(t, door, "POST", "/v1/purges", bad, &no); code/100 != 4 || no.Field != field {
			t.Errorf("%s: %d %+v", field, code, no)
		}
	}
	code = leadercalltest.Request(t, door, "POST", "/v1/purges", `{"id":"b","whose":1}`, &no)
	if code != 400 || !strings.Contains(no.Error, "whose") {
		t.Errorf("%d %+v", code, no)
	}
	if code := leadercalltest.Request(t, door, "GET", "/v1/purges/nobody", "", &no); code != 404 {
		t.Errorf("%d %+v", code, no)
	}
	atRoot := f.net.Calls("p0", pathUpdate) + f.net.Calls("p0", pathReport)
	t.Logf("%d calls at the root, 3 children", atRoot)

	// One that nobody reaches is shown so, and nothing is complete without it; its next life applies, then answers.
	f.net.SetDown(true, "p5")
	code = leadercalltest.Request(t, door, "POST", "/v1/purges?wait=complete&for=700ms", order("c"), &got)
	if code != 202 || got.State != ledger.Spreading {
		t.Fatalf("%d %+v", code, got)
	}
	var s PurgeStatus
	for end := time.Now().Add(20 * time.Second); s.Sums.Acknowledged < 12; time.Sleep(20 * time.Millisecond) {
		if code = leadercalltest.Request(t, door, "GET", "/v1/purges/c", "", &s); code != 200 || time.Now().After(end) {
			t.Fatalf("%d %+v", code, s)
		}
	}
	if s.Sums.NotReached != 1 || s.Sums.Found.NotBegun != 12 {
		t.Fatalf("%+v", s)
	}
	for _, z := range s.Regions[0].Zones {
		for _, p := range z.Processes {
			if p.Name == "p5" && p.AckState != ackPending {
				t.Errorf("%+v", p)
			}
		}
	}
	all[5].Close()
	members[5].Incarnation = 2
	f.net.SetDown(false, "p5")
	all[5] = f.start(t, members[5], disks[5], 20*time.Second)
	<-all[5].Ready()
	if seq := disks[5].Applied(); seq < got.Seq {
		t.Errorf("ready with %d applied, %d was decided", seq, got.Seq)
	}
	see()
	code = leadercalltest.Request(t, door, "POST", "/v1/purges?wait=complete&for=20s", order("c"), &got)
	if code != 200 || got.State != ledger.Complete {
		t.Fatalf("%d %+v", code, got)
	}
	code = leadercalltest.Request(t, door, "GET", "/v1/purges/c", "", &s)
	if code != 200 || s.Sums.Acknowledged != 13 || s.Sums.Found.NotBegun != 13 {
		t.Errorf("%d %+v", code, s)
	}
	// The leader goes; the next asks anew.
	f.net.SetLeader("p9")
	code = leadercalltest.Request(t, door, "POST", "/v1/purges?wait=complete&for=20s", order("d"), &got)
	if code != 200 || got.Seq != 3 {
		t.Fatalf("%d %+v", code, got)
	}
}

// One that reaches nobody serves on, and says that it has not caught up.
func TestProcessWithoutPeersBecomesReady(t *testing.T) {
	defer goleak.VerifyNone(t)
	f := newFleet("")
	r := f.start(t, view.Member{Life: view.Life{Name: "p", Incarnation: 1}}, &fakeSender{}, 50*time.Millisecond)
	defer r.Close()
	select {
	case <-r.Ready():
	case <-time.After(20 * time.Second):
		t.Fatal("a process alone never serves")
	}
	if r.CaughtUp() {
		t.Error("caught up with nobody")
	}
}
