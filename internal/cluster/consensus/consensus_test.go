package consensus

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/raft"

	"flaxcove/internal/cluster/consensus/machine"
	"flaxcove/internal/cluster/view"
)

// The group bootstraps once, the leader commits, and all can read. A leader that dies is replaced, nothing committed is
// lost, and it catches up after its restart. A rejection by the part and a proposal on a follower are told apart.
func TestCommitsSurviveLeaderLoss(t *testing.T) {
	f := newFleet(t, founders...)
	first := f.leader(founders...)
	one := f.mustPropose("one", founders...)
	f.waitUntilEqual([]string{one}, founders...)
	var rejected *machine.RejectedError
	if _, err := first.Propose(t.Context(), "book", "tear", "x"); !errors.As(err, &rejected) {
		t.Errorf("torn: %v", err)
	}
	var notLeader *NotLeaderError
	other := f.processes[f.others(first)[0]]
	if _, err := other.Propose(t.Context(), "book", "write", "x"); !errors.As(err, &notLeader) ||
		notLeader.Leader != first.member.Name {
		t.Errorf("not the leader: %v", err)
	}
	rest := f.others(first)
	killed := time.Now()
	dead := f.kill(first.member.Name)
	second := f.leader(rest...)
	t.Logf("another leads after %v, at term %d", time.Since(killed), second.raft.CurrentTerm())
	two := f.mustPropose("two", rest...)
	f.start(dead.member.Name, dead.member.Zone, dead.folder, dead.member.Folder)
	f.publishView()
	f.waitUntilEqual([]string{one, two}, founders...)
	if diff := cmp.Diff(founders, second.Voters()); diff != "" {
		t.Error(diff)
	}
}

// A leader that is partitioned with one follower commits nothing and says so in time, and the majority goes on. After
// the partition all have the same state, in which a proposal of uncertain outcome is there at most once.
func TestMinorityCommitsNothing(t *testing.T) {
	f := newFleet(t, founders...)
	old := f.leader(founders...)
	before := f.mustPropose("before", founders...)
	rest := f.others(old)
	minority, majority := append([]view.Name{old.member.Name}, rest[0]), rest[1:]
	f.setPartition(minority, majority, true)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	begun := time.Now()
	_, err := old.Propose(ctx, "book", "write", "alone")
	var uncertain *UncertainError
	var notLeader *NotLeaderError
	if !errors.As(err, &uncertain) && !errors.As(err, &notLeader) || time.Since(begun) > 4*time.Second {
		t.Errorf("alone, after %v: %v", time.Since(begun), err)
	}
	during := f.mustPropose("during", majority...)
	f.waitFor("the old one knows", func() bool { return !old.Leading() })
	if _, err := old.Propose(t.Context(), "book", "write", "late"); !errors.As(err, &notLeader) {
		t.Errorf("late: %v", err)
	}
	f.setPartition(minority, majority, false)
	f.waitUntilEqual([]string{before, during, f.mustPropose("after", founders...)}, founders...)
}

// A dead voter is replaced by a sixth server. When it comes back with its folder it is not in the configuration, starts
// elections rarely and disturbs nobody.
func TestDeadVoterIsReplaced(t *testing.T) {
	f := newFleet(t, append(slices.Clone(founders), "f")...)
	first := f.leader(founders...)
	one := f.mustPropose("one", founders...)
	if slices.Contains(first.Voters(), "f") {
		t.Fatal("six votes")
	}
	name := f.others(first)[1]
	dead := f.kill(name)
	want := slices.DeleteFunc(f.names(), func(n view.Name) bool { return n == name })
	f.waitFor("the sixth has a vote", func() bool { return cmp.Equal(want, f.leader(want...).Voters()) })
	f.waitUntilEqual([]string{one, f.mustPropose("two", want...)}, want...)
	term := f.leader(want...).raft.CurrentTerm()
	f.mu.Lock()
	for _, other := range want { // none tells it: it has to ask
		f.cut[[2]view.Name{other, name}] = true
	}
	f.mu.Unlock()
	f.start(name, dead.member.Zone, dead.folder, dead.member.Folder)
	f.publishView()
	back := f.processes[name]
	f.waitFor("it asks rarely", func() bool { return back.raft.ReloadableConfig().ElectionTimeout == removedElectionTimeout })
	f.mustPropose("three", want...)
	if now := f.leader(want...).raft.CurrentTerm(); now != term || back.Leading() {
		t.Errorf("it disturbed: term %d after %d", now, term)
	}
	if diff := cmp.Diff(want, f.leader(want...).Voters()); diff != "" {
		t.Error(diff)
	}
}

// A process that lost its disk is a new server: the old one is removed, the new one gets a vote and all that was
// committed.
func TestLostDiskMakesNewServer(t *testing.T) {
	f := newFleet(t, founders...)
	first := f.leader(founders...)
	one := f.mustPropose("one", founders...)
	name := f.others(first)[0]
	dead := f.kill(name)
	f.start(name, dead.member.Zone, t.TempDir(), f.newFolderName())
	f.publishView()
	stands := raft.Server{Suffrage: raft.Voter, ID: raftID(f.processes[name].self), Address: f.processes[name].transport.LocalAddr()}
	f.waitFor("the new one has the vote", func() bool {
		got := f.leader(founders...).raft.GetConfiguration().Configuration().Servers
		return len(got) == 5 && slices.Contains(got, stands)
	})
	f.waitUntilEqual([]string{one}, founders...)
}

// The log is truncated by its size in bytes, before it has many entries; a server that was down gets the snapshot.
func TestLogIsTruncatedByBytes(t *testing.T) {
	f := newFleet(t)
	f.logMost = 64 << 10
	for _, name := range founders {
		f.start(name, "z", t.TempDir(), f.newFolderName())
	}
	f.publishView()
	first := f.leader(founders...)
	one := f.mustPropose("one", founders...)
	name := f.others(first)[0]
	away := f.kill(name)
	large := strings.Repeat("x", f.logMost/8)
	for range 20 {
		var rejected *machine.RejectedError
		if _, err := f.leader(f.names()...).Propose(t.Context(), "book", "tear", large); !errors.As(err, &rejected) {
			t.Fatal(err)
		}
	}
	f.waitFor("the log is cut", func() bool {
		at, err := first.store.FirstIndex()
		return err == nil && at > 2
	})
	f.start(name, away.member.Zone, away.folder, away.member.Folder)
	f.publishView()
	f.waitUntilEqual([]string{one, f.mustPropose("two", f.names()...)}, f.names()...)
}

// No group is bootstrapped while a founder is missing; calls of another cluster, or for another server, are rejected.
func TestNoBootstrapWithoutAllFounders(t *testing.T) {
	f := newFleet(t, founders[:4]...)
	time.Sleep(400 * time.Millisecond)
	for name, p := range f.processes {
		if _, known := p.Leader(); known || p.HasRecords() || len(p.Voters()) > 0 {
			t.Errorf("%s is founded", name)
		}
	}
	a, b := f.processes["a"], f.processes["b"]
	a.stream.cluster = "another"
	if _, err := a.stream.Dial(raft.ServerAddress(raftID(b.self)), time.Second); !errors.Is(err, errWrongServer) {
		t.Error(err)
	}
	if _, err := b.stream.Dial("c@gone", time.Second); !errors.Is(err, errWrongServer) {
		t.Error(err)
	}
}
