package play

import (
	"context"
	"testing"
	"time"

	"flaxcove/choice"
	versions "flaxcove/internal/cluster/configuration/run"
	"flaxcove/internal/cluster/configuration/spread"
	"flaxcove/internal/cluster/status"
	"flaxcove/internal/cluster/view"
	"flaxcove/lab/cluster/schedule"
)

// TestCutOffIsShown cuts a process off during three changes. It checks that the configuration status reports the process as a
// laggard or as absent with the version that it runs, that it runs no version that was superseded before its return, and that it
// runs the newest version in the end.
func TestCutOffIsShown(t *testing.T) {
	t.Parallel()
	runSlots <- struct{}{}
	defer func() { <-runSlots }()
	const cut, from, to = view.Name("s6"), 4.0, 14.0
	s := &schedule.Schedule{Name: "cut-off-is-shown", Seed: 44, Processes: 7, Zones: 3, Regions: 2, Seconds: 18, Rate: 60,
		Faults:  []schedule.Fault{{Kind: "cut", At: from, Seconds: to - from, From: []int{6}}},
		Changes: []schedule.Change{{At: 1.5, By: 2}, {At: 5, By: 0}, {At: 7, By: 1}, {At: 9, By: 3}}}
	ran := map[uint64]bool{} // versions that the process ran, to compare them with those that are reported of it
	reported := 0
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	r, err := Run(ctx, Options{Schedule: s, Command: []string{binary, "serve"},
		OnStatuses: func(_ choice.Time, all []*status.Status) {
			for _, one := range all {
				if one.Self.Name == cut {
					ran[one.Configuration.Version] = true
				}
			}
		},
		OnConfiguration: func(now choice.Time, s versions.ConfigurationStatus) {
			version, is := lagging(s, cut)
			if !is {
				return
			}
			reported++
			if !ran[version] && version > 0 {
				t.Errorf("at %d %s is reported with version %d, which it never ran", now, cut, version)
			}
		}})
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range r.Breaches {
		t.Errorf("%s: %s", b.Promise, b.Detail)
	}
	for _, c := range r.Changes {
		t.Logf("%s ordered at %d ms, version %d in force at all processes at %d ms", c.ID, c.Ordered/10, c.Version, c.InForce/10)
	}
	if reported == 0 {
		t.Errorf("%s was never reported as a laggard or absent", cut)
	}
	for i, c := range r.Changes[:len(r.Changes)-1] {
		superseded := c.Decided > seconds(from) && r.Changes[i+1].Decided < seconds(to)
		if superseded && r.Changes[i+1].Version > c.Version && ran[c.Version] {
			t.Errorf("%s ran version %d, which was superseded before its return", cut, c.Version)
		}
	}
	if !ran[uint64(len(s.Changes))] {
		t.Errorf("%s never ran the newest version: %v", cut, ran)
	}
	t.Logf("reported %d times; ran versions %v", reported, ran)
}

// lagging returns the version with which a process is reported as a laggard or as absent, or false if it is not reported.
func lagging(s versions.ConfigurationStatus, name view.Name) (uint64, bool) {
	var all []spread.Laggard
	all = append(all, s.Laggards...)
	for _, away := range s.Absent {
		all = append(all, away.Laggard)
	}
	for _, l := range all {
		if l.Name == name {
			return l.Version, true
		}
	}
	return 0, false
}
