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

// fakeSender is a sender that applies purges at once and remembers them, like a disk, when its Runner is replaced.
type fakeSender struct {
	mu      sync.Mutex
	applied uint64
	found   map[uint64]clusterapi.PurgeResult
}

func (o *fakeSender) Purge(all []clusterapi.Purge, done func(uint64, []clusterapi.PurgeResult)) {
	o.mu.Lock()
	var found []clusterapi.PurgeResult
	for _, p := range all {
		if p.Seq > o.applied {
			o.applied, o.found[p.Seq] = p.Seq, clusterapi.PurgeResult{NotBegun: 1}
		}
		found = append(found, o.found[p.Seq])
	}
	applied := o.applied
	o.mu.Unlock()
	go done(applied, found)
}

func (o *fakeSender) LastAppliedSeq() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.applied
}
func (o *fakeSender) Evict([]choice.DestinationID, func([]choice.DestinationID))                 {}
func (o *fakeSender) ListHeldState(func([]clusterapi.HeldState))                                 {}
func (o *fakeSender) AdoptLearnedState([]clusterapi.LearnedEndpoint)                             {}
func (o *fakeSender) GetLearnedState([]choice.DestinationID, func([]clusterapi.LearnedEndpoint)) {}
func (o *fakeSender) Configure(clusterapi.Configuration, func(error))                            {}

// fleet is a simulated network, with a ledger that all Runners on it share.
type fleet struct {
	net    *leadercalltest.Net
	ledger *ledger.Ledger
}

func newFleet(leader view.Name) *fleet {
	l := ledger.New()
	return &fleet{leadercalltest.New(l, leader), l}
}

// start starts the Runner of a member. bound is its CatchUpTimeout.
func (f *fleet) start(t *testing.T, m view.Member, o *fakeSender, bound time.Duration) *Runner {
	t.Helper()
	l := f.net.Link(m.Instance)
	r, err := Start(Options{Self: m, Link: l, Consensus: f.net.Consensus(m.Name), Ledger: f.ledger, Orders: o,
		LongestDeadline: time.Minute, CatchUpTimeout: bound})
	if err != nil {
		t.Fatal(err)
	}
	f.net.Join(l)
	return r
}

// TestPurgesInFleet runs 13 processes and checks that an order, sent to any of them, becomes complete; that an order repeated after
// a lost answer opens no second purge; that invalid orders name the wrong field; that a purge stays open while a process is
// unreachable, until its next incarnation has applied it; and that purges continue under a new leader.
func TestPurgesInFleet(t *testing.T) {
	defer goleak.VerifyNone(t)
	f := newFleet("p2")
	var members []view.Member
	var senders []*fakeSender
	var all []*Runner
	for i := range 13 {
		members = append(members, view.Member{Instance: view.Instance{Name: view.Name(fmt.Sprintf("p%d", i)), Incarnation: 1},
			Zone: view.Zone(fmt.Sprintf("z%d", i%3)), Region: "r", FolderID: fmt.Sprint("f", i)})
		senders = append(senders, &fakeSender{found: map[uint64]clusterapi.PurgeResult{}})
		all = append(all, f.start(t, members[i], senders[i], 20*time.Second))
	}
	defer func() {
		for _, r := range all {
			r.Close()
		}
	}()
	updateViews := func() {
		for _, r := range all {
			r.SetView(view.New(r.options.Self.Name, 1, members), leadercalltest.Tree(members))
		}
	}
	updateViews()
	for _, r := range all {
		<-r.Ready()
		if !r.CaughtUp() {
			t.Fatalf("process %s is ready but has not caught up", r.options.Self.Name)
		}
	}
	mux := f.net.Mux("p7") // an order can be sent to any process
	order := func(id string) string {
		return fmt.Sprintf(`{"id":%q,"subject":"notices","match":{"key":"k"},"who":"billing","why":"cancelled"}`, id)
	}
	var got orderResponse
	var code int
	f.net.LoseNextAnswer(ledger.KindOpen) // the answer is lost after the commit, so the command is retried with the same id
	code = leadercalltest.Request(t, mux, "POST", "/v1/purges?wait=complete&for=20s", order("a"), &got)
	if code != 200 || got.State != ledger.Complete || got.Seq != 1 {
		t.Fatalf("order a: status %d, %+v", code, got)
	}
	if code := leadercalltest.Request(t, mux, "POST", "/v1/purges", order("a"), &got); code != 202 || !got.Duplicate || got.Seq != 1 {
		t.Errorf("order a repeated: status %d, %+v, want a duplicate", code, got)
	}
	var rejected leadercall.ErrorResponse
	for field, bad := range map[string]string{
		"why":     strings.Replace(order("a"), "cancelled", "moved", 1),
		"subject": strings.Replace(order("b"), "notices", "all", 1),
		"match":   strings.Replace(order("b"), `"key":"k"`, "", 1),
	} {
		if code := leadercalltest.Request(t, mux, "POST", "/v1/purges", bad, &rejected); code/100 != 4 || rejected.Field != field {
			t.Errorf("order with wrong %s: status %d, %+v", field, code, rejected)
		}
	}
	code = leadercalltest.Request(t, mux, "POST", "/v1/purges", `{"id":"b","whose":1}`, &rejected)
	if code != 400 || !strings.Contains(rejected.Error, "whose") {
		t.Errorf("order with an unknown field: status %d, %+v", code, rejected)
	}
	if code := leadercalltest.Request(t, mux, "GET", "/v1/purges/nobody", "", &rejected); code != 404 {
		t.Errorf("status of an unknown purge: status %d, %+v", code, rejected)
	}
	atRoot := f.net.Calls("p0", pathUpdate) + f.net.Calls("p0", pathReport)
	t.Logf("%d calls at the root, which has 3 children", atRoot)

	// A process that is unreachable is reported as such, and no purge is complete without it. Its next incarnation applies the
	// purge before it becomes ready.
	f.net.SetDown(true, "p5")
	code = leadercalltest.Request(t, mux, "POST", "/v1/purges?wait=complete&for=700ms", order("c"), &got)
	if code != 202 || got.State != ledger.Spreading {
		t.Fatalf("order c with an unreachable process: status %d, %+v", code, got)
	}
	var s PurgeStatus
	for end := time.Now().Add(20 * time.Second); s.Sums.Acknowledged < 12; time.Sleep(20 * time.Millisecond) {
		if code = leadercalltest.Request(t, mux, "GET", "/v1/purges/c", "", &s); code != 200 || time.Now().After(end) {
			t.Fatalf("12 acknowledgements not reported: status %d, %+v", code, s)
		}
	}
	if s.Sums.NotReached != 1 || s.Sums.Found.NotBegun != 12 {
		t.Fatalf("status of purge c: %+v, want one process not reached", s)
	}
	for _, z := range s.Regions[0].Zones {
		for _, p := range z.Processes {
			if p.Name == "p5" && p.AckState != ackPending {
				t.Errorf("status of the unreachable process: %+v", p)
			}
		}
	}
	all[5].Close()
	members[5].Incarnation = 2
	f.net.SetDown(false, "p5")
	all[5] = f.start(t, members[5], senders[5], 20*time.Second)
	<-all[5].Ready()
	if seq := senders[5].LastAppliedSeq(); seq < got.Seq {
		t.Errorf("process is ready with purges applied up to %d, want %d", seq, got.Seq)
	}
	updateViews()
	code = leadercalltest.Request(t, mux, "POST", "/v1/purges?wait=complete&for=20s", order("c"), &got)
	if code != 200 || got.State != ledger.Complete {
		t.Fatalf("order c after the restart: status %d, %+v", code, got)
	}
	code = leadercalltest.Request(t, mux, "GET", "/v1/purges/c", "", &s)
	if code != 200 || s.Sums.Acknowledged != 13 || s.Sums.Found.NotBegun != 13 {
		t.Errorf("final status of purge c: status %d, %+v", code, s)
	}
	// The leader changes, and the new one has received no acknowledgements.
	f.net.SetLeader("p9")
	code = leadercalltest.Request(t, mux, "POST", "/v1/purges?wait=complete&for=20s", order("d"), &got)
	if code != 200 || got.Seq != 3 {
		t.Fatalf("order d under the new leader: status %d, %+v", code, got)
	}
}

// TestParticipantsFitTheLog guards against participants that never join: the leader proposed all members that had not joined in
// one command, which is longer than the log takes if they are many and have long names.
func TestParticipantsFitTheLog(t *testing.T) {
	defer goleak.VerifyNone(t)
	const count = 1200
	long := func(prefix string, i int) string { return fmt.Sprintf("%s%04d", strings.Repeat(prefix, 59), i) }
	var members []view.Member
	for i := range count {
		members = append(members, view.Member{Instance: view.Instance{Name: view.Name(long("p", i)), Incarnation: 1},
			Zone: view.Zone(long("z", 1)), Region: view.Region(long("r", 1)), FolderID: strings.Repeat("f", 32)})
	}
	f := newFleet(members[0].Name)
	r := f.start(t, members[0], &fakeSender{found: map[uint64]clusterapi.PurgeResult{}}, 20*time.Second)
	defer r.Close()
	r.SetView(view.New(members[0].Name, 1, members), leadercalltest.Tree(members))
	joined := 0
	for began := time.Now(); joined < count && time.Since(began) < 20*time.Second; time.Sleep(20 * time.Millisecond) {
		r.options.Consensus.Read(func(uint64) { joined = len(f.ledger.Participants()) })
	}
	if joined < count {
		t.Errorf("%d of %d members are participants", joined, count)
	}
}

// TestProcessWithoutPeersBecomesReady checks that a process that reaches no other process becomes ready after CatchUpTimeout, and
// reports that it has not caught up.
func TestProcessWithoutPeersBecomesReady(t *testing.T) {
	defer goleak.VerifyNone(t)
	f := newFleet("")
	r := f.start(t, view.Member{Instance: view.Instance{Name: "p", Incarnation: 1}}, &fakeSender{}, 50*time.Millisecond)
	defer r.Close()
	select {
	case <-r.Ready():
	case <-time.After(20 * time.Second):
		t.Fatal("a process without peers does not become ready")
	}
	if r.CaughtUp() {
		t.Error("a process without peers reports that it has caught up")
	}
}
