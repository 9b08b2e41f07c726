package consensus

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/raft"
	"go.uber.org/goleak"

	"flaxcove/internal/cluster/consensus/machine"
	"flaxcove/internal/cluster/view"
)

// long bounds every wait of these tests; none takes nearly as long.
const long = 20 * time.Second

// book is a part that writes words down, with the index of each.
type book struct {
	Lines []line `json:"lines"`

	also func(line) // hears of each line as it is applied
}

type line struct {
	Index uint64
	At    time.Duration
	Word  string
}

func (b *book) Apply(index uint64, at time.Duration, kind string, body json.RawMessage) (json.RawMessage, error) {
	var word string
	if err := json.Unmarshal(body, &word); err != nil || kind != "write" {
		return nil, fmt.Errorf("%s %s: not written", kind, body)
	}
	b.Lines = append(b.Lines, line{index, at, word})
	if b.also != nil {
		b.also(b.Lines[len(b.Lines)-1])
	}
	return json.Marshal(len(b.Lines))
}

func (b *book) Snapshot() (json.RawMessage, error) { return json.Marshal(b) }

func (b *book) Restore(state json.RawMessage) error {
	b.Lines = nil
	return json.Unmarshal(state, b)
}

// fleet is several councils in this process, with links that can be cut.
type fleet struct {
	t     *testing.T
	mu    sync.Mutex
	cut   map[[2]view.Name]bool // from, to
	port  map[view.Name]string
	all   map[view.Name]*process
	drawn int
	no    uint64

	also    func(line)
	logMost int
}

// hasty is a timing for tests, about half of what is tuned.
var hasty = Timing{Heartbeat: 400 * time.Millisecond, Adjust: 50 * time.Millisecond, DeadFor: time.Second,
	FoundAfter: 100 * time.Millisecond}

type process struct {
	*Group
	book   *book
	member view.Member
	folder string
}

var founders = []view.Name{"a", "b", "c", "d", "e"}

func newFleet(t *testing.T, names ...view.Name) *fleet {
	goleak.VerifyNone(t)
	f := &fleet{t: t, cut: map[[2]view.Name]bool{}, port: map[view.Name]string{}, all: map[view.Name]*process{}}
	t.Cleanup(func() {
		for _, name := range f.names() {
			if err := f.all[name].Close(); err != nil {
				t.Error(err)
			}
		}
		goleak.VerifyNone(t)
	})
	for i, name := range names {
		f.start(name, view.Zone("z"+strconv.Itoa(i)), t.TempDir(), f.draw())
	}
	f.show()
	return f
}

func (f *fleet) draw() string { f.drawn++; return "f" + strconv.Itoa(f.drawn) }

func (f *fleet) names() []view.Name {
	var names []view.Name
	for name := range f.all {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (f *fleet) start(name view.Name, zone view.Zone, folder, drawn string) {
	f.t.Helper()
	p := &process{book: &book{also: f.also}, folder: folder}
	p.member = view.Member{Life: view.Life{Name: name}, Zone: zone, Region: view.Region("r" + zone), Size: view.Large,
		Raft: "here", Folder: drawn}
	var err error
	p.Group, err = Start(Options{Self: p.member, Cluster: "test", Folder: filepath.Join(folder, drawn),
		Listen: "127.0.0.1:0", Founders: founders, Parts: map[string]machine.Part{"book": p.book},
		Reach: func(to view.Name) (string, bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.port[to], f.port[to] != "" && !f.cut[[2]view.Name{name, to}]
		},
		Timing: hasty, logMost: f.logMost, trailing: 4})
	if err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.port[name], f.all[name] = p.Addr(), p
}

// show tells all of those that run. Members not running are dead.
func (f *fleet) show() {
	var members []view.Member
	f.no++
	for _, p := range f.all {
		p.member.Voted = p.Voted()
		members = append(members, p.member)
	}
	for _, p := range f.all {
		p.SetView(view.Make(p.member.Name, f.no, members))
	}
}

// kill ends one at once, as a crash does but for its files' locks.
func (f *fleet) kill(name view.Name) *process {
	f.t.Helper()
	p := f.all[name]
	if err := p.halt(); err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	delete(f.all, name)
	f.mu.Unlock()
	f.show()
	return p
}

func (f *fleet) until(what string, holds func() bool) {
	f.t.Helper()
	for begun := time.Now(); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Since(begun) > long {
			f.t.Fatalf("not in %v: %s", long, what)
		}
	}
}

// leader waits for one that leads, among those named.
func (f *fleet) leader(of ...view.Name) *process {
	f.t.Helper()
	var found *process
	f.until("a leader", func() bool {
		for _, name := range of {
			if p := f.all[name]; p != nil && p.Leading() {
				found = p
			}
		}
		return found != nil
	})
	return found
}

// write proposes a word until it is decided, with a number for each attempt, and is what was decided.
func (f *fleet) write(word string, of ...view.Name) (decided string) {
	f.t.Helper()
	n := 0
	f.until(word, func() bool {
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
	p.Read(func(uint64) { lines = slices.Clone(p.book.Lines) })
	return lines
}

// same waits until all named hold the same lines, in which each of these words is once and no other twice.
func (f *fleet) same(words []string, of ...view.Name) {
	f.t.Helper()
	var first []line
	f.until("all alike", func() bool {
		first = f.all[of[0]].lines()
		for _, word := range words {
			if !slices.ContainsFunc(first, func(l line) bool { return l.Word == word }) {
				return false
			}
		}
		return !slices.ContainsFunc(of, func(n view.Name) bool { return !cmp.Equal(first, f.all[n].lines()) })
	})
	seen := map[string]bool{}
	for i, l := range first {
		if seen[l.Word] || i > 0 && (l.Index <= first[i-1].Index || l.At < first[i-1].At) {
			f.t.Errorf("%v after %v", l, first[:i])
		}
		seen[l.Word] = true
	}
}

// Founded once, decided at the leader, read at all; a leader that dies is replaced and nothing decided is lost; what
// it held comes back with it; the part's refusal, and one that does not lead, are told apart.
func TestDecides(t *testing.T) {
	f := newFleet(t, founders...)
	first := f.leader(founders...)
	one := f.write("one", founders...)
	f.same([]string{one}, founders...)
	var refused *machine.Refused
	if _, err := first.Propose(t.Context(), "book", "tear", "x"); !errors.As(err, &refused) {
		t.Errorf("torn: %v", err)
	}
	var not *NotLeader
	other := f.all[f.others(first)[0]]
	if _, err := other.Propose(t.Context(), "book", "write", "x"); !errors.As(err, &not) ||
		not.Leader != first.member.Name {
		t.Errorf("not the leader: %v", err)
	}
	rest := f.others(first)
	killed := time.Now()
	dead := f.kill(first.member.Name)
	second := f.leader(rest...)
	t.Logf("another leads after %v, at term %d", time.Since(killed), second.raft.CurrentTerm())
	two := f.write("two", rest...)
	f.start(dead.member.Name, dead.member.Zone, dead.folder, dead.member.Folder)
	f.show()
	f.same([]string{one, two}, founders...)
	if diff := cmp.Diff(founders, second.Voters()); diff != "" {
		t.Error(diff)
	}
}

func (f *fleet) others(p *process) []view.Name {
	return slices.DeleteFunc(f.names(), func(n view.Name) bool { return n == p.member.Name })
}

// sever cuts all links between two groups, or mends them, and closes what is open.
func (f *fleet) sever(one, other []view.Name, cut bool) {
	f.mu.Lock()
	for _, a := range one {
		for _, b := range other {
			f.cut[[2]view.Name{a, b}], f.cut[[2]view.Name{b, a}] = cut, cut
		}
	}
	f.mu.Unlock()
	for _, p := range f.all {
		p.stream.drop()
	}
}

// A leader cut off with one other decides nothing and says so in time; the rest go on; after the cut all hold the same,
// and what was unsure is there once or not at all.
func TestMinority(t *testing.T) {
	f := newFleet(t, founders...)
	old := f.leader(founders...)
	before := f.write("before", founders...)
	rest := f.others(old)
	few, many := append([]view.Name{old.member.Name}, rest[0]), rest[1:]
	f.sever(few, many, true)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	begun := time.Now()
	_, err := old.Propose(ctx, "book", "write", "alone")
	var unsure *Unsure
	var not *NotLeader
	if !errors.As(err, &unsure) && !errors.As(err, &not) || time.Since(begun) > 4*time.Second {
		t.Errorf("alone, after %v: %v", time.Since(begun), err)
	}
	during := f.write("during", many...)
	f.until("the old one knows", func() bool { return !old.Leading() })
	if _, err := old.Propose(t.Context(), "book", "write", "late"); !errors.As(err, &not) {
		t.Errorf("late: %v", err)
	}
	f.sever(few, many, false)
	f.same([]string{before, during, f.write("after", founders...)}, founders...)
}

// A voter that is dead for good is replaced by a sixth; its folder comes back and has no place, asks for votes rarely,
// and disturbs nobody.
func TestReplaced(t *testing.T) {
	f := newFleet(t, append(slices.Clone(founders), "f")...)
	first := f.leader(founders...)
	one := f.write("one", founders...)
	if slices.Contains(first.Voters(), "f") {
		t.Fatal("six votes")
	}
	name := f.others(first)[1]
	dead := f.kill(name)
	want := slices.DeleteFunc(f.names(), func(n view.Name) bool { return n == name })
	f.until("the sixth has a vote", func() bool { return cmp.Equal(want, f.leader(want...).Voters()) })
	f.same([]string{one, f.write("two", want...)}, want...)
	term := f.leader(want...).raft.CurrentTerm()
	f.mu.Lock()
	for _, other := range want { // none tells it: it has to ask
		f.cut[[2]view.Name{other, name}] = true
	}
	f.mu.Unlock()
	f.start(name, dead.member.Zone, dead.folder, dead.member.Folder)
	f.show()
	back := f.all[name]
	f.until("it asks rarely", func() bool { return back.raft.ReloadableConfig().ElectionTimeout == quietFor })
	f.write("three", want...)
	if now := f.leader(want...).raft.CurrentTerm(); now != term || back.Leading() {
		t.Errorf("it disturbed: term %d after %d", now, term)
	}
	if diff := cmp.Diff(want, f.leader(want...).Voters()); diff != "" {
		t.Error(diff)
	}
}

// A lost disk is another server: the old one loses its vote, the new one gets its own and all that was decided.
func TestLostDisk(t *testing.T) {
	f := newFleet(t, founders...)
	first := f.leader(founders...)
	one := f.write("one", founders...)
	name := f.others(first)[0]
	dead := f.kill(name)
	f.start(name, dead.member.Zone, t.TempDir(), f.draw())
	f.show()
	stands := raft.Server{Suffrage: raft.Voter, ID: idOf(f.all[name].self), Address: f.all[name].carry.LocalAddr()}
	f.until("the new one has the vote", func() bool {
		got := f.leader(founders...).raft.GetConfiguration().Configuration().Servers
		return len(got) == 5 && slices.Contains(got, stands)
	})
	f.same([]string{one}, founders...)
}

// The log is cut by its bytes, before there are many commands; who was away takes the snapshot.
func TestCut(t *testing.T) {
	f := newFleet(t)
	f.logMost = 64 << 10
	for _, name := range founders {
		f.start(name, "z", t.TempDir(), f.draw())
	}
	f.show()
	first := f.leader(founders...)
	one := f.write("one", founders...)
	name := f.others(first)[0]
	away := f.kill(name)
	large := strings.Repeat("x", f.logMost/8)
	for range 20 {
		var refused *machine.Refused
		if _, err := f.leader(f.names()...).Propose(t.Context(), "book", "tear", large); !errors.As(err, &refused) {
			t.Fatal(err)
		}
	}
	f.until("the log is cut", func() bool {
		at, err := first.store.FirstIndex()
		return err == nil && at > 2
	})
	f.start(name, away.member.Zone, away.folder, away.member.Folder)
	f.show()
	f.same([]string{one, f.write("two", f.names()...)}, f.names()...)
}

// Nobody founds while a founder is missing or holds records; what another cluster calls is not answered.
func TestNotFounded(t *testing.T) {
	f := newFleet(t, founders[:4]...)
	time.Sleep(400 * time.Millisecond)
	for name, p := range f.all {
		if _, known := p.Leader(); known || p.Voted() || len(p.Voters()) > 0 {
			t.Errorf("%s is founded", name)
		}
	}
	a, b := f.all["a"], f.all["b"]
	a.stream.cluster = "another"
	if _, err := a.stream.Dial(raft.ServerAddress(idOf(b.self)), time.Second); !errors.Is(err, errElsewhere) {
		t.Error(err)
	}
	if _, err := b.stream.Dial("c@gone", time.Second); !errors.Is(err, errElsewhere) {
		t.Error(err)
	}
}
