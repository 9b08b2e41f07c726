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

// sampleFrom returns a sample over the last second: witness w of zone from saw calls done and failed at destination d in
// zone z.
func sampleFrom(from view.Zone, w int, d choice.DestinationID, z view.Zone, done, failed float64) healthreport.Sample {
	return healthreport.Sample{Locality: healthreport.Locality{Destination: d, Zone: z}, ReporterZone: from,
		Reporter: view.Name(fmt.Sprint(from, w)), Span: time.Second, Sent: done + failed, Done: done, Failed: failed,
		Endpoints: 2}
}

// statesOf returns the states that follow from samples of zones a, b and c. The key of an overall state is the
// destination followed by the zone, as in "1a". The key of the state seen from a zone adds "<" and that zone, as in
// "1a<b".
func statesOf(samples ...healthreport.Sample) map[string]assess.State {
	var reports []assess.Report
	for _, from := range []view.Zone{"a", "b", "c"} {
		reports = append(reports, assess.SummarizeZone(from, samples, defaultBounds)...)
	}
	states := map[string]assess.State{}
	for _, s := range assess.CombineReports(reports, defaultBounds) {
		key := fmt.Sprint(s.Destination, s.Zone)
		states[key] = s.State
		for _, p := range s.ByZone {
			states[key+"<"+string(p.From)] = p.State
		}
	}
	return states
}

// expectStates reports an error for each key of want whose state differs.
func expectStates(t *testing.T, got map[string]assess.State, want map[string]assess.State) {
	t.Helper()
	for k, w := range want {
		if got[k] != w {
			t.Errorf("state of %s is %v, want %v", k, got[k], w)
		}
	}
}

// TestAllWitnessesOfTheOwnZone checks that a locality is failing if all witnesses in its own zone see it fail.
func TestAllWitnessesOfTheOwnZone(t *testing.T) {
	expectStates(t, statesOf(sampleFrom("a", 1, 1, "a", 0, 9), sampleFrom("a", 2, 1, "a", 0, 9)),
		map[string]assess.State{"1a": assess.Failing, "1a<a": assess.Failing})
}

// TestTwoZonesAgree checks that failures seen from other zones count for all zones only if two zones see them.
func TestTwoZonesAgree(t *testing.T) {
	expectStates(t, statesOf(sampleFrom("b", 1, 1, "a", 0, 9), sampleFrom("c", 1, 1, "a", 0, 9)), map[string]assess.State{"1a": assess.Failing})
	expectStates(t, statesOf(sampleFrom("b", 1, 1, "a", 0, 9)), map[string]assess.State{"1a": assess.Unknown, "1a<b": assess.Failing})
}

// TestOneFaultySenderMovesNothing checks that a sender all of whose calls fail, while others of its zone get answers,
// changes no state.
func TestOneFaultySenderMovesNothing(t *testing.T) {
	got := statesOf(sampleFrom("a", 1, 1, "a", 0, 30), sampleFrom("a", 1, 2, "a", 0, 30), sampleFrom("a", 2, 1, "a", 9, 0),
		sampleFrom("a", 3, 2, "a", 9, 0))
	expectStates(t, got, map[string]assess.State{"1a": assess.Healthy, "2a": assess.Healthy, "1a<a": assess.Healthy})
}

// TestFailingLinkConcernsOneZone checks that a locality that answers two zones is failing only for a third zone whose
// calls fail.
func TestFailingLinkConcernsOneZone(t *testing.T) {
	got := statesOf(sampleFrom("b", 1, 1, "a", 0, 9), sampleFrom("b", 2, 1, "a", 0, 9), sampleFrom("a", 1, 1, "a", 9, 0),
		sampleFrom("c", 1, 1, "a", 9, 0))
	expectStates(t, got, map[string]assess.State{"1a": assess.Healthy, "1a<b": assess.Failing, "1a<c": assess.Healthy})
}

// TestIsolatedZone checks that failures seen by a zone that is cut off, all of whose calls fail, do not count for other
// zones.
func TestIsolatedZone(t *testing.T) {
	got := statesOf(sampleFrom("a", 1, 1, "a", 0, 9), sampleFrom("a", 1, 1, "b", 0, 9), sampleFrom("b", 1, 1, "b", 9, 0))
	expectStates(t, got, map[string]assess.State{"1a<a": assess.Failing, "1a": assess.Unknown, "1b": assess.Healthy})
}

// TestRejectionsAreNoOutageUnansweredCallsAre checks that a locality that rejects all calls is healthy, while one that
// answers no call is failing even before the calls time out.
func TestRejectionsAreNoOutageUnansweredCallsAre(t *testing.T) {
	rejecting := sampleFrom("a", 1, 1, "a", 0, 0)
	rejecting.Sent, rejecting.Rejected = 40, 40
	unanswered := sampleFrom("a", 1, 2, "a", 0, 0)
	unanswered.Sent = 8 // all still in flight after a second without any answer
	expectStates(t, statesOf(rejecting, unanswered), map[string]assess.State{"1a": assess.Healthy, "2a": assess.Failing})
}

// TestFewCalls checks that three failures of three calls make one locality only degraded, as they may be random, but that
// a few failures at each locality of a zone together make these localities failing.
func TestFewCalls(t *testing.T) {
	expectStates(t, statesOf(sampleFrom("a", 1, 1, "a", 0, 3)), map[string]assess.State{"1a<a": assess.Degraded})
	expectStates(t, statesOf(sampleFrom("a", 1, 1, "a", 0, 1), sampleFrom("a", 2, 2, "a", 0, 2), sampleFrom("a", 3, 3, "a", 0, 2)),
		map[string]assess.State{"1a": assess.Failing, "2a": assess.Failing})
	expectStates(t, statesOf(sampleFrom("a", 1, 1, "a", 5, 5), sampleFrom("a", 2, 1, "a", 5, 5)), map[string]assess.State{"1a": assess.Degraded})
}

// TestOldReportsExpire checks that samples and reports older than Bounds.MaxAge do not count, and that a ReportTable deletes
// reports that are minutes old.
func TestOldReportsExpire(t *testing.T) {
	old := sampleFrom("a", 1, 1, "a", 0, 9)
	old.Age = 6 * time.Second
	expectStates(t, statesOf(old), map[string]assess.State{"1a": assess.Unknown})
	table := assess.NewReportTable(defaultBounds)
	table.Put(0, assess.SummarizeZone("a", []healthreport.Sample{sampleFrom("a", 1, 1, "a", 0, 9)}, defaultBounds))
	for at, want := range map[view.Uptime]assess.State{time.Second: assess.Failing, 6 * time.Second: assess.Unknown} {
		if got := assess.CombineReports(table.Fresh(at), defaultBounds)[0].State; got != want {
			t.Errorf("state at %v is %v, want %v", at, got, want)
		}
	}
	if n := len(table.Fresh(2 * time.Minute)); n > 0 {
		t.Errorf("%d reports are still stored after two minutes", n)
	}
}

// TestReportTableSendsChanges checks that unchanged reports are seldom due, that a report of a new failure is due at once,
// and that a report older than the stored one does not replace it.
func TestReportTableSendsChanges(t *testing.T) {
	table := assess.NewReportTable(defaultBounds)
	healthy := assess.SummarizeZone("a", []healthreport.Sample{sampleFrom("a", 1, 1, "a", 9, 0), sampleFrom("a", 1, 2, "b", 0, 0)}, defaultBounds)
	sent := 0
	for i := range 20 { // ten seconds
		table.Put(view.Uptime(i)*500*time.Millisecond, healthy)
		sent += len(table.TakeDue(view.Uptime(i)*500*time.Millisecond, 9))
	}
	if sent > 7 {
		t.Errorf("%d reports were due in ten seconds without a change", sent)
	}
	table.Put(10*time.Second, assess.SummarizeZone("a", []healthreport.Sample{sampleFrom("a", 1, 1, "a", 0, 9)}, defaultBounds))
	if due := table.TakeDue(10*time.Second, 9); len(due) != 1 || due[0].FailingWitnesses != 1 {
		t.Errorf("want only the report of the new failure, got %+v", due)
	}
	older := healthy
	older[0].Age = 3 * time.Second
	table.Put(11*time.Second, older)
	if got := table.Fresh(11 * time.Second)[0]; got.FailingWitnesses != 1 {
		t.Errorf("an older report replaced a newer one: %+v", got)
	}
}
