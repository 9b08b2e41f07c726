package run

import (
	"slices"
	"strings"
	"testing"
	"time"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/cluster/configuration/spread"
)

// silence is what a sender that has not answered counts as in these tests.
const silence = 50 * time.Millisecond

// halt has a sender take no orders until it is told to go on.
func (s *sender) halt() (goOn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stands := make(chan struct{})
	s.stands = stands
	return func() {
		s.mu.Lock()
		s.stands = nil
		s.mu.Unlock()
		close(stands)
	}
}

func (s *sender) handed() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.given)
}

// haltedFleet is one of four, of which the last one's sender was given version 2 and has not answered.
func haltedFleet(t *testing.T) (f *fleet, halted *sender, goOn func()) {
	f = newFleet(t, 4)
	f.change3("a", 0)
	f.answerWithin = silence
	f.restart(3)
	f.ready(f.runners[3])
	halted = f.senders[3]
	goOn = halted.halt()
	f.order("b", 1, 2)
	f.until("p03 is told as silent", func() bool {
		s := f.shown()
		return len(s.Laggards) == 1 && s.Laggards[0].Name == "p03" && s.Laggards[0].Version == 1 &&
			s.Laggards[0].Reason == spread.Refused && strings.Contains(s.Laggards[0].Text, "has not answered")
	})
	return f, halted, goOn
}

// order has a change decided that nobody waits for.
func (f *fleet) order(id string, base, pace int) {
	f.t.Helper()
	var got taken
	body := `{"id":"` + id + `","base":` + string(rune('0'+base)) + `,"patch":{"pace":` + string(rune('0'+pace)) + `},"who":"ops","why":"try"}`
	if code := f.ask("p01", "POST", "/v1/configuration", body, &got); code != 202 {
		f.t.Fatalf("%d %+v", code, got)
	}
}

// A sender that does not answer is waited for with a bound, told as silent and given nothing newer, as nobody knows what
// it runs. Once it answers it has the versions in their order.
func TestSilentSender(t *testing.T) {
	f, halted, goOn := haltedFleet(t)
	f.order("c", 2, 3)
	f.until("the others have version 3", func() bool { return running(f.shown(), 3, 3) })
	if given := halted.handed(); !slices.Equal(given, []uint64{1, 2}) {
		t.Errorf("it was given %v", given)
	}
	if cached, err := configuration.LoadCached(halted.folder); err != nil || cached.Version != 2 {
		t.Errorf("kept: %+v %v", cached, err)
	}
	goOn()
	f.until("p03 has it, too", func() bool { return f.runners[3].Status().Version == 3 })
	if ran := halted.history(); !slices.Equal(ran, []uint64{0, 1, 1, 2, 3}) {
		t.Errorf("it ran %v", ran)
	}
}

// One that refuses after its time, the version that was kept before it is kept again.
func TestSilentSenderRefuses(t *testing.T) {
	f, halted, goOn := haltedFleet(t)
	halted.mu.Lock()
	halted.fails = `"pace":2`
	halted.mu.Unlock()
	goOn()
	f.until("what was refused is no longer kept", func() bool {
		cached, err := configuration.LoadCached(halted.folder)
		return err == nil && cached.Version == 1
	})
	f.order("c", 2, 3)
	f.until("p03 has the next", func() bool { return f.runners[3].Status().Version == 3 })
	if ran := halted.history(); !slices.Equal(ran, []uint64{0, 1, 1, 3}) {
		t.Errorf("it ran %v", ran)
	}
}

// A process that ends before its sender has answered begins again with the version that the sender may have taken.
func TestEndsWhileSenderIsSilent(t *testing.T) {
	f, halted, goOn := haltedFleet(t)
	f.runners[3].Close()
	goOn()
	f.members[3].Incarnation++
	f.start(3)
	f.see()
	f.ready(f.runners[3])
	if status := f.runners[3].Status(); status.Version != 2 {
		t.Errorf("began again with %+v", status)
	}
	if ran := halted.history(); !slices.IsSorted(ran) {
		t.Errorf("it ran %v", ran)
	}
}
