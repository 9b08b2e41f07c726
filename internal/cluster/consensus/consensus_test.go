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

// TestCommitsSurviveLeaderLoss checks that a leader that dies is replaced, that no committed command is lost, and that
// the old leader catches up after its restart. It also checks the errors of Propose for a command that the part rejects
// and on a follower.
func TestCommitsSurviveLeaderLoss(t *testing.T) {
	f := newFleet(t, founders...)
	first := f.leader(founders...)
	one := f.mustPropose("one", founders...)
	f.waitUntilEqual([]string{one}, founders...)
	var rejected *machine.RejectedError
	if _, err := first.Propose(t.Context(), "recorder", "unknown", "x"); !errors.As(err, &rejected) {
		t.Errorf("a command of an unknown kind: %v", err)
	}
	var notLeader *NotLeaderError
	other := f.processes[f.others(first)[0]]
	if _, err := other.Propose(t.Context(), "recorder", "write", "x"); !errors.As(err, &notLeader) ||
		notLeader.Leader != first.member.Name {
		t.Errorf("a proposal on a follower: %v", err)
	}
	rest := f.others(first)
	killed := time.Now()
	dead := f.kill(first.member.Name)
	second := f.leader(rest...)
	t.Logf("new leader after %v, in term %d", time.Since(killed), second.raft.CurrentTerm())
	two := f.mustPropose("two", rest...)
	f.start(dead.member.Name, dead.member.Zone, dead.folder, dead.member.FolderID)
	f.publishView()
	f.waitUntilEqual([]string{one, two}, founders...)
	if diff := cmp.Diff(founders, second.Voters()); diff != "" {
		t.Error(diff)
	}
}

// TestMinorityCommitsNothing checks that a leader that is partitioned with one follower commits nothing and returns an
// error before the deadline, while the majority goes on. After the partition all processes have the same state, which
// has a proposal of uncertain outcome at most once.
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
	_, err := old.Propose(ctx, "recorder", "write", "alone")
	var uncertain *UncertainError
	var notLeader *NotLeaderError
	if !errors.As(err, &uncertain) && !errors.As(err, &notLeader) || time.Since(begun) > 4*time.Second {
		t.Errorf("a proposal in the minority, after %v: %v", time.Since(begun), err)
	}
	during := f.mustPropose("during", majority...)
	f.waitFor("the old leader knows that it does not lead", func() bool { return !old.Leading() })
	if _, err := old.Propose(t.Context(), "recorder", "write", "late"); !errors.As(err, &notLeader) {
		t.Errorf("a proposal on the old leader: %v", err)
	}
	f.setPartition(minority, majority, false)
	f.waitUntilEqual([]string{before, during, f.mustPropose("after", founders...)}, founders...)
}

// TestDeadVoterIsReplaced checks that a dead voter is replaced by a sixth server. When the old voter returns with its
// folder, it is not in the configuration, lengthens its election timeout, and causes no election.
func TestDeadVoterIsReplaced(t *testing.T) {
	f := newFleet(t, append(slices.Clone(founders), "f")...)
	first := f.leader(founders...)
	one := f.mustPropose("one", founders...)
	if slices.Contains(first.Voters(), "f") {
		t.Fatal("six voters")
	}
	name := f.others(first)[1]
	dead := f.kill(name)
	want := slices.DeleteFunc(f.names(), func(n view.Name) bool { return n == name })
	f.waitFor("the sixth server is a voter", func() bool { return cmp.Equal(want, f.leader(want...).Voters()) })
	f.waitUntilEqual([]string{one, f.mustPropose("two", want...)}, want...)
	term := f.leader(want...).raft.CurrentTerm()
	f.mu.Lock()
	for _, other := range want { // no leader calls the removed server, so it learns of its removal only by a pre-vote request
		f.cut[[2]view.Name{other, name}] = true
	}
	f.mu.Unlock()
	f.start(name, dead.member.Zone, dead.folder, dead.member.FolderID)
	f.publishView()
	back := f.processes[name]
	f.waitFor("the removed server has the longer election timeout", func() bool { return back.raft.ReloadableConfig().ElectionTimeout == removedElectionTimeout })
	f.mustPropose("three", want...)
	if now := f.leader(want...).raft.CurrentTerm(); now != term || back.Leading() {
		t.Errorf("the removed server caused an election: term %d after %d", now, term)
	}
	if diff := cmp.Diff(want, f.leader(want...).Voters()); diff != "" {
		t.Error(diff)
	}
}

// TestLostDiskMakesNewServer checks that a process that lost its disk is treated as a new server. The old server is
// removed, and the new one becomes a voter and gets everything that was committed.
func TestLostDiskMakesNewServer(t *testing.T) {
	f := newFleet(t, founders...)
	first := f.leader(founders...)
	one := f.mustPropose("one", founders...)
	name := f.others(first)[0]
	dead := f.kill(name)
	f.start(name, dead.member.Zone, t.TempDir(), f.newFolderName())
	f.publishView()
	want := raft.Server{Suffrage: raft.Voter, ID: raftID(f.processes[name].self), Address: f.processes[name].transport.LocalAddr()}
	f.waitFor("the new server is a voter", func() bool {
		got := f.leader(founders...).raft.GetConfiguration().Configuration().Servers
		return len(got) == 5 && slices.Contains(got, want)
	})
	f.waitUntilEqual([]string{one}, founders...)
}

// TestLogIsTruncatedByBytes checks that the log is truncated by its size in bytes, although it has few entries, and
// that a server that was down meanwhile gets the snapshot.
func TestLogIsTruncatedByBytes(t *testing.T) {
	f := newFleet(t)
	f.maxLogBytes = 64 << 10
	for _, name := range founders {
		f.start(name, "z", t.TempDir(), f.newFolderName())
	}
	f.publishView()
	first := f.leader(founders...)
	one := f.mustPropose("one", founders...)
	name := f.others(first)[0]
	down := f.kill(name)
	large := strings.Repeat("x", f.maxLogBytes/8)
	for range 20 {
		var rejected *machine.RejectedError
		if _, err := f.leader(f.names()...).Propose(t.Context(), "recorder", "unknown", large); !errors.As(err, &rejected) {
			t.Fatal(err)
		}
	}
	f.waitFor("the log is truncated", func() bool {
		at, err := first.store.FirstIndex()
		return err == nil && at > 2
	})
	f.start(name, down.member.Zone, down.folder, down.member.FolderID)
	f.publishView()
	f.waitUntilEqual([]string{one, f.mustPropose("two", f.names()...)}, f.names()...)
}

// TestNoBootstrapWithoutAllFounders checks that no group is bootstrapped while an initial voter is missing, and that
// connections from another cluster or for another server are rejected.
func TestNoBootstrapWithoutAllFounders(t *testing.T) {
	f := newFleet(t, founders[:4]...)
	time.Sleep(400 * time.Millisecond)
	for name, p := range f.processes {
		if _, known := p.Leader(); known || p.HasRecords() || len(p.Voters()) > 0 {
			t.Errorf("%s has bootstrapped a group", name)
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
