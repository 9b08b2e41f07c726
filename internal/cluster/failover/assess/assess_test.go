package assess_test

import (
	"fmt"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/failover/assess"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

var defaultBounds = assess.DefaultBounds()

// sampleFrom is what a witness of a zone saw of a destination's place in the last second.
func sampleFrom(from view.Zone, w int, d choice.DestinationID, z view.Zone, done, failed float64) healthreport.Sample {
	return healthreport.Sample{Locality: healthreport.Locality{Destination: d, Zone: z}, ReporterZone: from,
		Reporter: view.Name(fmt.Sprint(from, w)), Span: time.Second, Sent: done + failed, Done: done, Failed: failed,
		Endpoints: 2}
}

// statesOf judges sightings of all zones and returns the states by "destination zone", and by "destination zone<from"
// as a zone sees it.
func statesOf(all ...healthreport.Sample) map[string]assess.State {
	var reports []assess.Report
	for _, from := range []view.Zone{"a", "b", "c"} {
		reports = append(reports, assess.SummarizeZone(from, all, defaultBounds)...)
	}
	states := map[string]assess.State{}
	for _, s := range assess.Judge(reports, defaultBounds) {
		key := fmt.Sprint(s.Destination, s.Zone)
		states[key] = s.State
		for _, p := range s.ByZone {
			states[key+"<"+string(p.From)] = p.State
		}
	}
	return states
}

// expectStates fails where a place is not in the wanted state.
func expectStates(t *testing.T, got map[string]assess.State, want map[string]assess.State) {
	t.Helper()
	for k, w := range want {
		if got[k] != w {
			t.Errorf("%s is seen as %v, not %v", k, got[k], w)
		}
	}
}

func TestAllWitnessesOfTheOwnZone(t *testing.T) {
	expectStates(t, statesOf(sampleFrom("a", 1, 1, "a", 0, 9), sampleFrom("a", 2, 1, "a", 0, 9)),
		map[string]assess.State{"1a": assess.Failing, "1a<a": assess.Failing})
}

func TestTwoZonesAgree(t *testing.T) {
	expectStates(t, statesOf(sampleFrom("b", 1, 1, "a", 0, 9), sampleFrom("c", 1, 1, "a", 0, 9)), map[string]assess.State{"1a": assess.Failing})
	expectStates(t, statesOf(sampleFrom("b", 1, 1, "a", 0, 9)), map[string]assess.State{"1a": assess.Unknown, "1a<b": assess.Failing})
}

func TestOneFaultySenderMovesNothing(t *testing.T) {
	got := statesOf(sampleFrom("a", 1, 1, "a", 0, 30), sampleFrom("a", 1, 2, "a", 0, 30), sampleFrom("a", 2, 1, "a", 9, 0),
		sampleFrom("a", 3, 2, "a", 9, 0))
	expectStates(t, got, map[string]assess.State{"1a": assess.Healthy, "2a": assess.Healthy, "1a<a": assess.Healthy})
}

func TestFailingLinkConcernsOneZone(t *testing.T) {
	got := statesOf(sampleFrom("b", 1, 1, "a", 0, 9), sampleFrom("b", 2, 1, "a", 0, 9), sampleFrom("a", 1, 1, "a", 9, 0),
		sampleFrom("c", 1, 1, "a", 9, 0))
	expectStates(t, got, map[string]assess.State{"1a": assess.Healthy, "1a<b": assess.Failing, "1a<c": assess.Healthy})
}

// A zone that is cut off sees all calls fail: its reports fail a place for nobody else.
func TestIsolatedZone(t *testing.T) {
	got := statesOf(sampleFrom("a", 1, 1, "a", 0, 9), sampleFrom("a", 1, 1, "b", 0, 9), sampleFrom("b", 1, 1, "b", 9, 0))
	expectStates(t, got, map[string]assess.State{"1a<a": assess.Failing, "1a": assess.Unknown, "1b": assess.Healthy})
}

func TestRejectionsAreNoOutageUnansweredCallsAre(t *testing.T) {
	refused := sampleFrom("a", 1, 1, "a", 0, 0)
	refused.Sent, refused.Rejected = 40, 40
	silent := sampleFrom("a", 1, 2, "a", 0, 0)
	silent.Sent = 8 // all still out after a second in which nothing came back
	expectStates(t, statesOf(refused, silent), map[string]assess.State{"1a": assess.Healthy, "2a": assess.Failing})
}

// Three failures of three calls may be chance at one place, but not where all places of the zone show the like.
func TestFewCalls(t *testing.T) {
	expectStates(t, statesOf(sampleFrom("a", 1, 1, "a", 0, 3)), map[string]assess.State{"1a<a": assess.Degraded})
	expectStates(t, statesOf(sampleFrom("a", 1, 1, "a", 0, 1), sampleFrom("a", 2, 2, "a", 0, 2), sampleFrom("a", 3, 3, "a", 0, 2)),
		map[string]assess.State{"1a": assess.Failing, "2a": assess.Failing})
	expectStates(t, statesOf(sampleFrom("a", 1, 1, "a", 5, 5), sampleFrom("a", 2, 1, "a", 5, 5)), map[string]assess.State{"1a": assess.Degraded})
}

// Only ages count: the same rows say nothing a minute later.
func TestOldReportsExpire(t *testing.T) {
	old := sampleFrom("a", 1, 1, "a", 0, 9)
	old.Age = 6 * time.Second
	expectStates(t, statesOf(old), map[string]assess.State{"1a": assess.Unknown})
	b := assess.NewReportTable(defaultBounds)
	b.Put(0, assess.SummarizeZone("a", []healthreport.Sample{sampleFrom("a", 1, 1, "a", 0, 9)}, defaultBounds))
	for at, want := range map[view.Uptime]assess.State{time.Second: assess.Failing, 6 * time.Second: assess.Unknown} {
		if got := assess.Judge(b.Fresh(at), defaultBounds)[0].State; got != want {
			t.Errorf("at %v: %v, not %v", at, got, want)
		}
	}
	if n := len(b.Fresh(2 * time.Minute)); n > 0 {
		t.Errorf("%d reports are minutes old and still held", n)
	}
}

func TestReportTableSendsChanges(t *testing.T) {
	b := assess.NewReportTable(defaultBounds)
	well := assess.SummarizeZone("a", []healthreport.Sample{sampleFrom("a", 1, 1, "a", 9, 0), sampleFrom("a", 1, 2, "b", 0, 0)}, defaultBounds)
	sent := 0
	for i := range 20 { // ten seconds
		b.Put(view.Uptime(i)*500*time.Millisecond, well)
		sent += len(b.TakeDue(view.Uptime(i)*500*time.Millisecond, 9))
	}
	if sent > 7 {
		t.Errorf("%d reports in ten seconds in which nothing changed", sent)
	}
	b.Put(10*time.Second, assess.SummarizeZone("a", []healthreport.Sample{sampleFrom("a", 1, 1, "a", 0, 9)}, defaultBounds))
	if up := b.TakeDue(10*time.Second, 9); len(up) != 1 || up[0].FailingWitnesses != 1 {
		t.Errorf("a place failed, and what goes up is %v", up)
	}
	older := well
	older[0].Age = 3 * time.Second
	b.Put(11*time.Second, older)
	if got := b.Fresh(11 * time.Second)[0]; got.FailingWitnesses != 1 {
		t.Errorf("a late report took a newer one's place: %+v", got)
	}
}
