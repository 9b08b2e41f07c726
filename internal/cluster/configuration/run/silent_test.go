package run

import (
	"slices"
	"strings"
	"testing"
	"time"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/cluster/configuration/spread"
)

// shortAnswerTimeout is after how long a sender counts as silent in these tests.
const shortAnswerTimeout = 50 * time.Millisecond

// block makes a sender take no orders until goOn is called.
func (s *fakeSender) block() (goOn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stands := make(chan struct{})
	s.blocked = stands
	return func() {
		s.mu.Lock()
		s.blocked = nil
		s.mu.Unlock()
		close(stands)
	}
}

func (s *fakeSender) handedOverVersions() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.handedOver)
}

// newFleetWithBlockedSender returns a fleet of four, of which the last one's sender was handed version 2 and has not
// answered.
func newFleetWithBlockedSender(t *testing.T) (f *fleet, halted *fakeSender, goOn func()) {
	f = newFleet(t, 4)
	f.mustChangePace("a", 0)
	f.answerWithin = shortAnswerTimeout
	f.restart(3)
	f.waitReady(f.runners[3])
	halted = f.senders[3]
	goOn = halted.block()
	f.postWithoutWait("b", 1, 2)
	f.waitFor("p03 is told as silent", func() bool {
		s := f.mustStatus()
		return len(s.Laggards) == 1 && s.Laggards[0].Name == "p03" && s.Laggards[0].Version == 1 &&
			s.Laggards[0].Reason == spread.Rejected && strings.Contains(s.Laggards[0].Text, "has not answered")
	})
	return f, halted, goOn
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

// A sender that does not answer is waited for with a bound, shown as silent and handed nothing newer, as it is not known
// what it runs. Once it answers it gets the versions in their order.
func TestSilentSender(t *testing.T) {
	f, halted, goOn := newFleetWithBlockedSender(t)
	f.postWithoutWait("c", 2, 3)
	f.waitFor("the others have version 3", func() bool { return running(f.mustStatus(), 3, 3) })
	if given := halted.handedOverVersions(); !slices.Equal(given, []uint64{1, 2}) {
		t.Errorf("it was given %v", given)
	}
	if cached, err := configuration.LoadCached(halted.folder); err != nil || cached.Version != 2 {
		t.Errorf("kept: %+v %v", cached, err)
	}
	goOn()
	f.waitFor("p03 has it, too", func() bool { return f.runners[3].Status().Version == 3 })
	if ran := halted.history(); !slices.Equal(ran, []uint64{0, 1, 1, 2, 3}) {
		t.Errorf("it ran %v", ran)
	}
}

// When a sender rejects a version late, the version that was stored before it is stored again.
func TestSilentSenderRejects(t *testing.T) {
	f, halted, goOn := newFleetWithBlockedSender(t)
	halted.mu.Lock()
	halted.failsAtField = `"pace":2`
	halted.mu.Unlock()
	goOn()
	f.waitFor("what was refused is no longer kept", func() bool {
		cached, err := configuration.LoadCached(halted.folder)
		return err == nil && cached.Version == 1
	})
	f.postWithoutWait("c", 2, 3)
	f.waitFor("p03 has the next", func() bool { return f.runners[3].Status().Version == 3 })
	if ran := halted.history(); !slices.Equal(ran, []uint64{0, 1, 1, 3}) {
		t.Errorf("it ran %v", ran)
	}
}

// A process that ends before its sender has answered restarts with the version that the sender may have put in force.
func TestRestartWhileSenderIsSilent(t *testing.T) {
	f, halted, goOn := newFleetWithBlockedSender(t)
	f.runners[3].Close()
	goOn()
	f.members[3].Incarnation++
	f.start(3)
	f.publishView()
	f.waitReady(f.runners[3])
	if status := f.runners[3].Status(); status.Version != 2 {
		t.Errorf("began again with %+v", status)
	}
	if ran := halted.history(); !slices.IsSorted(ran) {
		t.Errorf("it ran %v", ran)
	}
}
