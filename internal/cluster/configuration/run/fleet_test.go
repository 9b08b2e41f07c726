package run

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/cluster/configuration/ledger"
	"flaxcove/internal/cluster/leadercall/leadercalltest"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/clusterapi"
)

// This file holds the test environment: a fleet of several runners in one process, with fake senders.

// testTimeout is the maximum duration of each wait. No test depends on how long a wait takes.
const testTimeout = 20 * time.Second

// fleet is several processes with their runners and senders, by index.
type fleet struct {
	t       *testing.T
	net     *leadercalltest.Net
	ledger  *ledger.Ledger
	members []view.Member
	senders []*fakeSender
	runners []*Runner
	// answerWithin is Options.AnswerWithin of processes that start from now on; 0 stands for the default.
	answerWithin time.Duration
}

// fakeSender is a sender with a cluster folder. Both outlive a restart of their Runner.
type fakeSender struct {
	folder string

	mu           sync.Mutex
	applied      []uint64      // versions in the order in which they came into force
	rejectsField string        // settings with this field fail the check
	failsAtField string        // settings with this field pass the check, but are rejected by Configure
	blocked      chan struct{} // Configure does not answer until it is closed; nil if not blocked
	handedOver   []uint64      // versions in the order in which they were handed over
}

// check is the sender's Options.Check.
func (s *fakeSender) check(_, proposed json.RawMessage) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.validate(proposed, s.rejectsField)
}

// validate rejects settings with a field, and a negative pace.
func (s *fakeSender) validate(settings json.RawMessage, field string) error {
	if field != "" && strings.Contains(string(settings), field) {
		return fmt.Errorf("field %s: unknown", field)
	}
	if strings.Contains(string(settings), `"pace":-1`) {
		return errors.New("field pace: -1 is not between 0 and 9")
	}
	return nil
}

// Configure puts a version in force in a goroutine of its own, once the sender is not blocked.
func (s *fakeSender) Configure(c clusterapi.Configuration, done func(error)) {
	s.mu.Lock()
	blocked := s.blocked
	s.handedOver = append(s.handedOver, c.Version)
	s.mu.Unlock()
	go func() {
		if blocked != nil {
			<-blocked
		}
		s.mu.Lock()
		err := s.validate(c.Settings, s.failsAtField)
		if err == nil {
			s.applied = append(s.applied, c.Version)
		}
		s.mu.Unlock()
		done(err)
	}()
}

// history returns the versions in the order in which they came into force, over all restarts.
func (s *fakeSender) history() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]uint64(nil), s.applied...)
}

// ownSettings is the settings object in each process's own file. The long text makes a patch shorter than half of it.
const ownSettings = `{"pace":0,"workloads":{"a":1,"b":2,"c":"a longer text that makes a change cheaper than the whole of it"}}`

// newFleet starts processes p00, p01 and so on, of which p02 leads, and waits until all are ready.
func newFleet(t *testing.T, size int) *fleet {
	l := ledger.New()
	f := &fleet{t: t, net: leadercalltest.New(l, "p02"), ledger: l, senders: make([]*fakeSender, size), runners: make([]*Runner, size)}
	for i := range size {
		f.members = append(f.members, view.Member{Instance: view.Instance{Name: view.Name(fmt.Sprintf("p%02d", i)), Incarnation: 1}, Region: "r", Zone: "z"})
		f.senders[i] = &fakeSender{folder: t.TempDir()}
		f.start(i)
	}
	t.Cleanup(f.close)
	f.publishView()
	for _, r := range f.runners {
		f.waitReady(r)
	}
	return f
}

// start starts a process with the version that is stored in its folder.
func (f *fleet) start(i int) {
	s, m := f.senders[i], f.members[i]
	l := f.net.Link(m.Instance)
	running, err := configuration.LoadCached(s.folder)
	if err != nil {
		f.t.Log(err)
	}
	s.mu.Lock()
	s.applied = append(s.applied, running.Version)
	s.mu.Unlock()
	r, err := Start(Options{Self: m, Link: l, Consensus: f.net.Consensus(m.Name), Ledger: f.ledger, Orders: s, Folder: s.folder, Running: running,
		OwnSettings: json.RawMessage(ownSettings), Check: s.check, CatchUp: testTimeout, AnswerWithin: f.answerWithin})
	if err != nil {
		f.t.Fatal(err)
	}
	f.net.Join(l)
	f.runners[i] = r
}

// restart ends a process and starts its next incarnation.
func (f *fleet) restart(i int) {
	f.runners[i].Close()
	f.members[i].Incarnation++
	f.start(i)
	f.publishView()
}

// waitReady waits until a process is ready.
func (f *fleet) waitReady(r *Runner) {
	f.t.Helper()
	select {
	case <-r.Ready():
	case <-time.After(testTimeout):
		f.t.Fatalf("%s is not ready", r.options.Self.Name)
	}
}

// publishView gives all processes a view of the members and a tree of the present ones.
func (f *fleet) publishView() {
	present := slices.DeleteFunc(slices.Clone(f.members), func(m view.Member) bool { return !m.Present() })
	for _, r := range f.runners {
		if r != nil {
			r.SetView(view.New(r.options.Self.Name, 1, f.members), leadercalltest.Tree(present))
		}
	}
}

// close ends all processes and checks that none ran an older version after a newer one.
func (f *fleet) close() {
	for _, r := range f.runners {
		r.Close()
	}
	for i, s := range f.senders {
		highest := uint64(0)
		for _, version := range s.history() {
			if version < highest {
				f.t.Errorf("%s ran %v", f.members[i].Name, s.history())
			}
			highest = max(highest, version)
		}
	}
}

// request makes an HTTP request to a process and returns the status code.
func (f *fleet) request(at view.Name, method, url, body string, out any) int {
	f.t.Helper()
	return leadercalltest.Request(f.t, f.net.Mux(at), method, url, body, out)
}

// mustChange orders a patch based on a version and waits until it is in force.
func (f *fleet) mustChange(id string, base uint64, patch string) orderResponse {
	f.t.Helper()
	var got orderResponse
	body := fmt.Sprintf(`{"id":%q,"base":%d,"patch":%s,"who":"ops","why":"try"}`, id, base, patch)
	if code := f.request("p07", "POST", "/v1/configuration?wait=in_force&for=20s", body, &got); code != 200 || got.Version != base+1 {
		f.t.Fatalf("%d %+v", code, got)
	}
	return got
}

// waitFor polls until a condition is true, for testTimeout at most.
func (f *fleet) waitFor(what string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("not within %v: %s", testTimeout, what)
		}
	}
}

// mustStatus returns the status of the newest version.
func (f *fleet) mustStatus() (s ConfigurationStatus) {
	f.t.Helper()
	if code := f.request("p01", "GET", "/v1/configuration", "", &s); code != 200 {
		f.t.Fatalf("%d %+v", code, s)
	}
	return s
}
