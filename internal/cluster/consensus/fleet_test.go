package consensus

// This file is the fleet of the tests: several groups in one process, and a part that records what is applied.

import (
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"flaxcove/internal/cluster/consensus/machine"
	"flaxcove/internal/cluster/view"
)

// testTimeout bounds every wait of these tests; none takes nearly as long.
const testTimeout = 20 * time.Second

// recorder is a part that records words, with the index of each.
type recorder struct {
	Lines []line `json:"lines"`

	onApply func(line) // hears of each line as it is applied
}

type line struct {
	Index uint64
	At    time.Duration
	Word  string
}

func (b *recorder) Apply(index uint64, at time.Duration, kind string, body json.RawMessage) (json.RawMessage, error) {
	var word string
	if err := json.Unmarshal(body, &word); err != nil || kind != "write" {
		return nil, fmt.Errorf("%s %s: not written", kind, body)
	}
	b.Lines = append(b.Lines, line{index, at, word})
	if b.onApply != nil {
		b.onApply(b.Lines[len(b.Lines)-1])
	}
	return json.Marshal(len(b.Lines))
}

func (b *recorder) Snapshot() (json.RawMessage, error) { return json.Marshal(b) }

func (b *recorder) Restore(state json.RawMessage) error {
	b.Lines = nil
	return json.Unmarshal(state, b)
}

// fleet is several groups in this process, with links that can be cut.
type fleet struct {
	t         *testing.T
	mu        sync.Mutex
	cut       map[[2]view.Name]bool // from, to
	addresses map[view.Name]string
	processes map[view.Name]*process
	folders   int
	viewNo    uint64

	onApply func(line)
	logMost int
}

// testTiming is about twice as fast as the default timing.
var testTiming = Timing{HeartbeatTimeout: 400 * time.Millisecond, VoterCheckInterval: 50 * time.Millisecond, ReplaceDeadAfter: time.Second,
	BootstrapAfter: 100 * time.Millisecond}

type process struct {
	*Group
	recorder *recorder
	member   view.Member
	folder   string
}

var founders = []view.Name{"a", "b", "c", "d", "e"}

func newFleet(t *testing.T, names ...view.Name) *fleet {
	goleak.VerifyNone(t)
	f := &fleet{t: t, cut: map[[2]view.Name]bool{}, addresses: map[view.Name]string{}, processes: map[view.Name]*process{}}
	t.Cleanup(func() {
		for _, name := range f.names() {
			if err := f.processes[name].Close(); err != nil {
				t.Error(err)
			}
		}
		goleak.VerifyNone(t)
	})
	for i, name := range names {
		f.start(name, view.Zone("z"+strconv.Itoa(i)), t.TempDir(), f.newFolderName())
	}
	f.publishView()
	return f
}

func (f *fleet) newFolderName() string { f.folders++; return "f" + strconv.Itoa(f.folders) }

func (f *fleet) names() []view.Name {
	var names []view.Name
	for name := range f.processes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (f *fleet) start(name view.Name, zone view.Zone, folder, drawn string) {
	f.t.Helper()
	p := &process{recorder: &recorder{onApply: f.onApply}, folder: folder}
	p.member = view.Member{Life: view.Life{Name: name}, Zone: zone, Region: view.Region("r" + zone), Size: view.Large,
		Raft: "here", Folder: drawn}
	var err error
	p.Group, err = Start(Options{Self: p.member, Cluster: "test", Folder: filepath.Join(folder, drawn),
		Listen: "127.0.0.1:0", InitialVoters: founders, Parts: map[string]machine.Part{"book": p.recorder},
		AddressOf: func(to view.Name) (string, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.addresses[to], f.addresses[to] != "" && !f.cut[[2]view.Name{name, to}]
		},
		Timing: testTiming, maxLogBytes: f.logMost, trailingLogs: 4})
	if err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addresses[name], f.processes[name] = p.Addr(), p
}

// publishView gives all running processes a view of those that run.
func (f *fleet) publishView() {
	var members []view.Member
	f.viewNo++
	for _, p := range f.processes {
		p.member.HasRecords = p.HasRecords()
		members = append(members, p.member)
	}
	for _, p := range f.processes {
		p.SetView(view.New(p.member.Name, f.viewNo, members))
	}
}

// kill ends a process without a transfer of leadership, as a crash does, except that it unlocks its files.
func (f *fleet) kill(name view.Name) *process {
	f.t.Helper()
	p := f.processes[name]
	if err := p.halt(); err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	delete(f.processes, name)
	f.mu.Unlock()
	f.publishView()
	return p
}

func (f *fleet) waitFor(what string, holds func() bool) {
	f.t.Helper()
	for begun := time.Now(); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Since(begun) > testTimeout {
			f.t.Fatalf("not in %v: %s", testTimeout, what)
		}
	}
}

// leader waits until one of the named processes leads.
func (f *fleet) leader(of ...view.Name) *process {
	f.t.Helper()
	var found *process
	f.waitFor("a leader", func() bool {
		for _, name := range of {
			if p := f.processes[name]; p != nil && p.Leading() {
				found = p
			}
		}
		return found != nil
	})
	return found
}

// mustPropose proposes a word, numbered by attempt, until it is committed, and returns the word with its number.
func (f *fleet) mustPropose(word string, of ...view.Name) (decided string) {
	f.t.Helper()
	n := 0
	f.waitFor(word, func() bool {
		n++
		decided = fmt.Sprint(word, n)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_, err := f.leader(of...).Propose(ctx, "book", "write", decided)
		return err == nil
	})
	return decided
}

func (p *process) lines() (lines []line) {
	p.Read(func(uint64) { lines = slices.Clone(p.recorder.Lines) })
	return lines
}

// waitUntilEqual waits until all named processes have the same lines with all of these words, and checks that no word
// is there twice.
func (f *fleet) waitUntilEqual(words []string, of ...view.Name) {
	f.t.Helper()
	var first []line
	f.waitFor("all alike", func() bool {
		first = f.processes[of[0]].lines()
		for _, word := range words {
			if !slices.ContainsFunc(first, func(l line) bool { return l.Word == word }) {
				return false
			}
		}
		return !slices.ContainsFunc(of, func(n view.Name) bool { return !cmp.Equal(first, f.processes[n].lines()) })
	})
	seen := map[string]bool{}
	for i, l := range first {
		if seen[l.Word] || i > 0 && (l.Index <= first[i-1].Index || l.At < first[i-1].At) {
			f.t.Errorf("%v after %v", l, first[:i])
		}
		seen[l.Word] = true
	}
}

func (f *fleet) others(p *process) []view.Name {
	return slices.DeleteFunc(f.names(), func(n view.Name) bool { return n == p.member.Name })
}

// setPartition cuts all links between two sets of processes, or restores them, and closes open connections.
func (f *fleet) setPartition(one, other []view.Name, cut bool) {
	f.mu.Lock()
	for _, a := range one {
		for _, b := range other {
			f.cut[[2]view.Name{a, b}], f.cut[[2]view.Name{b, a}] = cut, cut
		}
	}
	f.mu.Unlock()
	for _, p := range f.processes {
		p.stream.closeConnections()
	}
}
