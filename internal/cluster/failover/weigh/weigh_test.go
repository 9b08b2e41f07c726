package weigh_test

import (
	"fmt"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/failover/weigh"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

var usual = weigh.Usual()

// saw is what a witness of a zone saw of a destination's place in the last second.
func saw(from view.Zone, w int, d choice.DestinationID, z view.Zone, done, failed float64) healthreport.Sample {
	return healthreport.Sample{Locality: healthreport.Locality{Destination: d, Zone: z}, From: from,
		Witness: view.Name(fmt.Sprint(from, w)), Span: time.Second, Sent: done + failed, Done: done, Failed: failed,
		Endpoints: 2}
}

// judge weighs sightings of all zones named in them.
func judge(all ...healthreport.Sample) map[string]weigh.State {
	var reports []weigh.Report
	for _, from := range []view.Zone{"a", "b", "c"} {
		reports = append(reports, weigh.Zonal(from, all, usual)...)
	}
	states := map[string]weigh.State{}
	for _, s := range weigh.Judge(reports, usual) {
		key := fmt.Sprint(s.Destination, s.Zone)
		states[key] = s.State
		for _, p := range s.Pairs {
			states[key+"<"+string(p.From)] = p.State
		}
	}
	return states
}

func expect(t *testing.T, got map[string]weigh.State, want map[string]weigh.State) {
	t.Helper()
	for k, w := range want {
		if got[k] != w {
			t.Errorf("%s is seen as %v, not %v", k, got[k], w)
		}
	}
}

func TestAllOfTheZonesOwn(t *testing.T) {
	expect(t, judge(saw("a", 1, 1, "a", 0, 9), saw("a", 2, 1, "a", 0, 9)),
		map[string]weigh.State{"1a": weigh.Bad, "1a<a": weigh.Bad})
}

func TestTwoZones(t *testing.T) {
	expect(t, judge(saw("b", 1, 1, "a", 0, 9), saw("c", 1, 1, "a", 0, 9)), map[string]weigh.State{"1a": weigh.Bad})
	expect(t, judge(saw("b", 1, 1, "a", 0, 9)), map[string]weigh.State{"1a": weigh.Unknown, "1a<b": weigh.Bad})
}

func TestOneSickSenderMovesNothing(t *testing.T) {
	got := judge(saw("a", 1, 1, "a", 0, 30), saw("a", 1, 2, "a", 0, 30), saw("a", 2, 1, "a", 9, 0),
		saw("a", 3, 2, "a", 9, 0))
	expect(t, got, map[string]weigh.State{"1a": weigh.Well, "2a": weigh.Well, "1a<a": weigh.Well})
}

func TestOneBadLinkIsThatZonesAlone(t *testing.T) {
	got := judge(saw("b", 1, 1, "a", 0, 9), saw("b", 2, 1, "a", 0, 9), saw("a", 1, 1, "a", 9, 0),
		saw("c", 1, 1, "a", 9, 0))
	expect(t, got, map[string]weigh.State{"1a": weigh.Well, "1a<b": weigh.Bad, "1a<c": weigh.Well})
}

// A zone that is cut off sees all of them fail: its word closes a place for nobody else.
func TestZoneCutOff(t *testing.T) {
	got := judge(saw("a", 1, 1, "a", 0, 9), saw("a", 1, 1, "b", 0, 9), saw("b", 1, 1, "b", 9, 0))
	expect(t, got, map[string]weigh.State{"1a<a": weigh.Bad, "1a": weigh.Unknown, "1b": weigh.Well})
}

func TestRefusalsAreNoOutageAndSilenceIs(t *testing.T) {
	refused := saw("a", 1, 1, "a", 0, 0)
	refused.Sent, refused.Refused = 40, 40
	silent := saw("a", 1, 2, "a", 0, 0)
	silent.Sent = 8 // all still out after a second in which nothing came back
	expect(t, judge(refused, silent), map[string]weigh.State{"1a": weigh.Well, "2a": weigh.Bad})
}

// Three failures of three may be luck at one place, and are not where all places of the zone have the like.
func TestFewCalls(t *testing.T) {
	expect(t, judge(saw("a", 1, 1, "a", 0, 3)), map[string]weigh.State{"1a<a": weigh.Weak})
	expect(t, judge(saw("a", 1, 1, "a", 0, 1), saw("a", 2, 2, "a", 0, 2), saw("a", 3, 3, "a", 0, 2)),
		map[string]weigh.State{"1a": weigh.Bad, "2a": weigh.Bad})
	expect(t, judge(saw("a", 1, 1, "a", 5, 5), saw("a", 2, 1, "a", 5, 5)), map[string]weigh.State{"1a": weigh.Weak})
}

// Only ages count, and what is minutes old does not: the same rows a minute on say nothing.
func TestOldEvidence(t *testing.T) {
	old := saw("a", 1, 1, "a", 0, 9)
	old.Age = 6 * time.Second
	expect(t, judge(old), map[string]weigh.State{"1a": weigh.Unknown})
	b := weigh.NewBoard(usual)
	b.Put(0, weigh.Zonal("a", []healthreport.Sample{saw("a", 1, 1, "a", 0, 9)}, usual))
	for at, want := range map[view.Now]weigh.State{time.Second: weigh.Bad, 6 * time.Second: weigh.Unknown} {
		if got := weigh.Judge(b.Fresh(at), usual)[0].State; got != want {
			t.Errorf("at %v: %v, not %v", at, got, want)
		}
	}
	if n := len(b.Fresh(2 * time.Minute)); n > 0 {
		t.Errorf("%d reports are minutes old and still held", n)
	}
}

func TestBoardPassesOnWhatMatters(t *testing.T) {
	b := weigh.NewBoard(usual)
	well := weigh.Zonal("a", []healthreport.Sample{saw("a", 1, 1, "a", 9, 0), saw("a", 1, 2, "b", 0, 0)}, usual)
	sent := 0
	for i := range 20 { // ten seconds
		b.Put(view.Now(i)*500*time.Millisecond, well)
		sent += len(b.Up(view.Now(i)*500*time.Millisecond, 9))
	}
	if sent > 7 {
		t.Errorf("%d reports in ten seconds in which nothing changed", sent)
	}
	b.Put(10*time.Second, weigh.Zonal("a", []healthreport.Sample{saw("a", 1, 1, "a", 0, 9)}, usual))
	if up := b.Up(10*time.Second, 9); len(up) != 1 || up[0].Bad != 1 {
		t.Errorf("a place failed, and what goes up is %v", up)
	}
	older := well
	older[0].Age = 3 * time.Second
	b.Put(11*time.Second, older)
	if got := b.Fresh(11 * time.Second)[0]; got.Bad != 1 {
		t.Errorf("a late report took a newer one's place: %+v", got)
	}
}
