package run

import (
	"slices"
	"strings"
	"testing"
	"time"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/cluster/configuration/spread"
)

// shortAnswerTimeout is Options.AnswerWithin in these tests, after which a sender counts as silent.
const shortAnswerTimeout = 50 * time.Millisecond

// block makes a sender leave orders unanswered until unblock is called.
func (s *fakeSender) block() (unblock func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	blocked := make(chan struct{})
	s.blocked = blocked
	return func() {
		s.mu.Lock()
		s.blocked = nil
		s.mu.Unlock()
		close(blocked)
	}
}

// handedOverVersions returns the versions in the order in which the sender got them.
func (s *fakeSender) handedOverVersions() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.handedOver)
}

// newFleetWithBlockedSender returns a fleet of four processes. The sender of the last one, p03, was handed version 2
// and does not answer until unblock is called.
func newFleetWithBlockedSender(t *testing.T) (f *fleet, blocked *fakeSender, unblock func()) {
	f = newFleet(t, 4)
	f.mustChangePace("a", 0)
	f.answerWithin = shortAnswerTimeout
	f.restart(3)
	f.waitReady(f.runners[3])
	blocked = f.senders[3]
	unblock = blocked.block()
	f.postWithoutWait("b", 1, 2)
	f.waitFor("p03 is shown with a silent sender", func() bool {
		s := f.mustStatus()
		return len(s.Laggards) == 1 && s.Laggards[0].Name == "p03" && s.Laggards[0].Version == 1 &&
			s.Laggards[0].Reason == spread.Rejected && strings.Contains(s.Laggards[0].Text, "has not answered")
	})
	return f, blocked, unblock
}

// postWithoutWait orders a change without waiting until it is in force.
func (f *fleet) postWithoutWait(id string, base, pace int) {
	f.t.Helper()
	var got orderResponse
	body := `{"id":"` + id + `","base":` + string(rune('0'+base)) + `,"patch":{"pace":` + string(rune('0'+pace)) + `},"who":"ops","why":"try"}`
	if code := f.request("p01", "POST", "/v1/configuration", body, &got); code != 202 {
		f.t.Fatalf("%d %+v", code, got)
	}
}

// TestSilentSender checks that a sender that does not answer within the timeout is shown as silent and is handed no
// newer version, because it is unknown which version it runs. Once it answers it gets the versions in their order.
func TestSilentSender(t *testing.T) {
	f, blocked, unblock := newFleetWithBlockedSender(t)
	f.postWithoutWait("c", 2, 3)
	f.waitFor("the others have version 3", func() bool { return running(f.mustStatus(), 3, 3) })
	if got := blocked.handedOverVersions(); !slices.Equal(got, []uint64{1, 2}) {
		t.Errorf("the sender got %v", got)
	}
	if cached, err := configuration.LoadCached(blocked.folder); err != nil || cached.Version != 2 {
		t.Errorf("the stored version is %+v, error %v", cached, err)
	}
	unblock()
	f.waitFor("p03 has version 3", func() bool { return f.runners[3].Status().Version == 3 })
	if ran := blocked.history(); !slices.Equal(ran, []uint64{0, 1, 1, 2, 3}) {
		t.Errorf("the sender ran %v", ran)
	}
}

// TestSilentSenderRejects checks that when a sender rejects a version late, the version before it is stored again.
func TestSilentSenderRejects(t *testing.T) {
	f, blocked, unblock := newFleetWithBlockedSender(t)
	blocked.mu.Lock()
	blocked.failsAtField = `"pace":2`
	blocked.mu.Unlock()
	unblock()
	f.waitFor("the rejected version is no longer stored", func() bool {
		cached, err := configuration.LoadCached(blocked.folder)
		return err == nil && cached.Version == 1
	})
	f.postWithoutWait("c", 2, 3)
	f.waitFor("p03 has version 3", func() bool { return f.runners[3].Status().Version == 3 })
	if ran := blocked.history(); !slices.Equal(ran, []uint64{0, 1, 1, 3}) {
		t.Errorf("the sender ran %v", ran)
	}
}

// TestRestartWhileSenderIsSilent checks that a process that ends before its sender has answered restarts with the
// version that the sender may have put in force.
func TestRestartWhileSenderIsSilent(t *testing.T) {
	f, blocked, unblock := newFleetWithBlockedSender(t)
	f.runners[3].Close()
	unblock()
	f.members[3].Incarnation++
	f.start(3)
	f.publishView()
	f.waitReady(f.runners[3])
	if status := f.runners[3].Status(); status.Version != 2 {
		t.Errorf("p03 restarted with %+v", status)
	}
	if ran := blocked.history(); !slices.IsSorted(ran) {
		t.Errorf("the sender ran %v", ran)
	}
}
