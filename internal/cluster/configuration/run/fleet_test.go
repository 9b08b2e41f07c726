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
	"flaxcove/internal/cluster/ordering/orderingtest"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/together"
)

// This file is processes in one; their senders keep on a map.

const long = 20 * time.Second // bounds what must come; nothing is judged by how soon

type fleet struct {
	t       *testing.T
	net     *orderingtest.Net
	ledger  *ledger.Ledger
	members []view.Member
	senders []*sender
	runners []*Runner
	// answerWithin is how long each waits for its sender; 0 for the default.
	answerWithin time.Duration
}

// sender outlives a Runner as its folder does.
type sender struct {
	folder string

	mu      sync.Mutex
	ran     []uint64      // versions, in the order in which they came into force
	refuses string        // a field that this program does not know
	fails   string        // a field at which the loop refuses what the check let pass
	stands  chan struct{} // until it is closed the loop takes nothing; nil where it does
	given   []uint64      // versions, in the order in which they were handed over
}

func (s *sender) check(_, proposed json.RawMessage) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wrong(proposed, s.refuses)
}

func (s *sender) wrong(settings json.RawMessage, field string) error {
	if field != "" && strings.Contains(string(settings), field) {
		return fmt.Errorf("field %s: not known here", field)
	}
	if strings.Contains(string(settings), `"pace":-1`) {
		return errors.New("field pace: -1 is not within 0 and 9")
	}
	return nil
}

func (s *sender) Configure(c together.Configuration, done func(error)) {
	s.mu.Lock()
	stands := s.stands
	s.given = append(s.given, c.Version)
	s.mu.Unlock()
	go func() {
		if stands != nil {
			<-stands
		}
		s.mu.Lock()
		err := s.wrong(c.Settings, s.fails)
		if err == nil {
			s.ran = append(s.ran, c.Version)
		}
		s.mu.Unlock()
		done(err)
	}()
}

func (s *sender) history() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]uint64(nil), s.ran...)
}

const own = `{"pace":0,"workloads":{"a":1,"b":2,"c":"a longer text that makes a change cheaper than the whole of it"}}`

func newFleet(t *testing.T, size int) *fleet {
	l := ledger.New()
	f := &fleet{t: t, net: orderingtest.New(l, "p02"), ledger: l, senders: make([]*sender, size), runners: make([]*Runner, size)}
	for i := range size {
		f.members = append(f.members, view.Member{Life: view.Life{Name: view.Name(fmt.Sprintf("p%02d", i)), Incarnation: 1}, Region: "r", Zone: "z"})
		f.senders[i] = &sender{folder: t.TempDir()}
		f.start(i)
	}
	t.Cleanup(f.close)
	f.see()
	for _, r := range f.runners {
		f.ready(r)
	}
	return f
}

func (f *fleet) start(i int) {
	s, m := f.senders[i], f.members[i]
	l := f.net.Link(m.Life)
	running, err := configuration.LoadCached(s.folder)
	if err != nil {
		f.t.Log(err)
	}
	s.mu.Lock()
	s.ran = append(s.ran, running.Version)
	s.mu.Unlock()
	r, err := Start(Options{Self: m, Link: l, Consensus: f.net.Consensus(m.Name), Ledger: f.ledger, Orders: s, Folder: s.folder, Running: running,
		Own: json.RawMessage(own), Check: s.check, CatchUp: long, AnswerWithin: f.answerWithin})
	if err != nil {
		f.t.Fatal(err)
	}
	f.net.Join(l)
	f.runners[i] = r
}

// restart ends a life and begins the next.
func (f *fleet) restart(i int) {
	f.runners[i].Close()
	f.members[i].Incarnation++
	f.start(i)
	f.see()
}

func (f *fleet) ready(r *Runner) {
	f.t.Helper()
	select {
	case <-r.Ready():
	case <-time.After(long):
		f.t.Fatalf("%s is not ready", r.o.Self.Name)
	}
}

func (f *fleet) see() {
	here := slices.DeleteFunc(slices.Clone(f.members), func(m view.Member) bool { return !m.Here() })
	for _, r := range f.runners {
		if r != nil {
			r.SetView(view.Make(r.o.Self.Name, 1, f.members), orderingtest.Tree(here))
		}
	}
}

// close ends all, and checks the first promise.
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

// ask calls the public part of a process.
func (f *fleet) ask(at view.Name, method, url, body string, out any) int {
	f.t.Helper()
	return orderingtest.Ask(f.t, f.net.Mux(at), method, url, body, out)
}

// change orders a patch upon a base and waits until it is in force.
func (f *fleet) change(id string, base uint64, patch string) taken {
	f.t.Helper()
	var got taken
	body := fmt.Sprintf(`{"id":%q,"base":%d,"patch":%s,"who":"ops","why":"try"}`, id, base, patch)
	if code := f.ask("p07", "POST", "/v1/configuration?wait=in_force&for=20s", body, &got); code != 200 || got.Version != base+1 {
		f.t.Fatalf("%d %+v", code, got)
	}
	return got
}

// until looks until something is so.
func (f *fleet) until(what string, is func() bool) {
	f.t.Helper()
	for end := time.Now().Add(long); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatal("never so: " + what)
		}
	}
}

func (f *fleet) shown() (s Shown) {
	f.t.Helper()
	if code := f.ask("p01", "GET", "/v1/configuration", "", &s); code != 200 {
		f.t.Fatalf("%d %+v", code, s)
	}
	return s
}
