package consensus

// This file holds the test environment: a fleet of several groups in one process, and a part that records commands.

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

// testTimeout is the maximum duration of each wait in these tests. A passing test waits much shorter.
const testTimeout = 20 * time.Second

// recorder is a part that records the words in its commands. It accepts only commands of kind "write".
type recorder struct {
	Lines []line `json:"lines"`

	onApply func(line) // called with each line when it is applied; may be nil
}

// line is one applied command.
type line struct {
	Index uint64
	At    time.Duration
	Word  string
}

func (r *recorder) Apply(index uint64, at time.Duration, kind string, body json.RawMessage) (json.RawMessage, error) {
	var word string
	if err := json.Unmarshal(body, &word); err != nil || kind != "write" {
		return nil, fmt.Errorf("command %q with body %s: not a word to write", kind, body)
	}
	r.Lines = append(r.Lines, line{index, at, word})
	if r.onApply != nil {
		r.onApply(r.Lines[len(r.Lines)-1])
	}
	return json.Marshal(len(r.Lines))
}

func (r *recorder) Snapshot() (json.RawMessage, error) { return json.Marshal(r) }

func (r *recorder) Restore(state json.RawMessage) error {
	r.Lines = nil
	return json.Unmarshal(state, r)
}

// fleet runs several groups in this process, with links that can be cut.
type fleet struct {
	t         *testing.T
	mu        sync.Mutex
	cut       map[[2]view.Name]bool // the links, from one process to another, that are cut
	addresses map[view.Name]string
	processes map[view.Name]*process
	folders   int    // number of folder names made
	viewNo    uint64 // number of the latest view

	onApply     func(line) // see recorder
	maxLogBytes int        // see Options
}

// testTiming is about twice as fast as the default timing.
var testTiming = Timing{HeartbeatTimeout: 400 * time.Millisecond, VoterCheckInterval: 50 * time.Millisecond, ReplaceDeadAfter: time.Second,
	BootstrapAfter: 100 * time.Millisecond}

// process is one process of a fleet with its group.
type process struct {
	*Group
	recorder *recorder
	member   view.Member
	folder   string // path that outlives restarts
}

// founders are the initial voters of each fleet.
var founders = []view.Name{"a", "b", "c", "d", "e"}

// newFleet starts the named processes and checks at the end of the test that no goroutine is left.
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

// newFolderName returns the random name of a new folder, as in view.Member.FolderID.
func (f *fleet) newFolderName() string { f.folders++; return "f" + strconv.Itoa(f.folders) }

// names returns the sorted names of the running processes.
func (f *fleet) names() []view.Name {
	var names []view.Name
	for name := range f.processes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// start starts a process on a path, with the random name of its folder.
func (f *fleet) start(name view.Name, zone view.Zone, folder, folderName string) {
	f.t.Helper()
	p := &process{recorder: &recorder{onApply: f.onApply}, folder: folder}
	p.member = view.Member{Instance: view.Instance{Name: name}, Zone: zone, Region: view.Region("r" + zone), Size: view.Large,
		ConsensusAddr: "here", FolderID: folderName}
	var err error
	p.Group, err = Start(Options{Self: p.member, Cluster: "test", Folder: filepath.Join(folder, folderName),
		Listen: "127.0.0.1:0", InitialVoters: founders, Parts: map[string]machine.Part{"recorder": p.recorder},
		AddressOf: func(to view.Name) (string, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.addresses[to], f.addresses[to] != "" && !f.cut[[2]view.Name{name, to}]
		},
		Timing: testTiming, maxLogBytes: f.maxLogBytes, trailingLogs: 4})
	if err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addresses[name], f.processes[name] = p.Addr(), p
}

// publishView gives all running processes a view with the running processes.
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

// kill ends a process without a transfer of leadership, as a crash does, except that the files are unlocked.
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

// waitFor polls until a condition is true, for testTimeout at most.
func (f *fleet) waitFor(what string, condition func() bool) {
	f.t.Helper()
	for begun := time.Now(); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Since(begun) > testTimeout {
			f.t.Fatalf("not within %v: %s", testTimeout, what)
		}
	}
}

// leader waits until one of the named processes leads, and returns it.
func (f *fleet) leader(names ...view.Name) *process {
	f.t.Helper()
	var found *process
	f.waitFor("a leader", func() bool {
		for _, name := range names {
			if p := f.processes[name]; p != nil && p.Leading() {
				found = p
			}
		}
		return found != nil
	})
	return found
}

// mustPropose proposes a word to the leader among the named processes until it is committed. It appends the number of
// the attempt to the word, and returns the committed text.
func (f *fleet) mustPropose(word string, names ...view.Name) (committed string) {
	f.t.Helper()
	n := 0
	f.waitFor(word, func() bool {
		n++
		committed = fmt.Sprint(word, n)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_, err := f.leader(names...).Propose(ctx, "recorder", "write", committed)
		return err == nil
	})
	return committed
}

// lines returns a copy of the lines that the process has recorded.
func (p *process) lines() (lines []line) {
	p.Read(func(uint64) { lines = slices.Clone(p.recorder.Lines) })
	return lines
}

// waitUntilEqual waits until all named processes have the same lines and these include all words. It checks that no
// word is recorded twice and that index and clock never go back.
func (f *fleet) waitUntilEqual(words []string, names ...view.Name) {
	f.t.Helper()
	var first []line
	f.waitFor("all processes have the same lines", func() bool {
		first = f.processes[names[0]].lines()
		for _, word := range words {
			if !slices.ContainsFunc(first, func(l line) bool { return l.Word == word }) {
				return false
			}
		}
		return !slices.ContainsFunc(names, func(n view.Name) bool { return !cmp.Equal(first, f.processes[n].lines()) })
	})
	seen := map[string]bool{}
	for i, l := range first {
		if seen[l.Word] || i > 0 && (l.Index <= first[i-1].Index || l.At < first[i-1].At) {
			f.t.Errorf("%v after %v", l, first[:i])
		}
		seen[l.Word] = true
	}
}

// others returns the sorted names of all running processes except one.
func (f *fleet) others(p *process) []view.Name {
	return slices.DeleteFunc(f.names(), func(n view.Name) bool { return n == p.member.Name })
}

// setPartition cuts or restores all links between two sets of processes, and closes all open connections.
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
