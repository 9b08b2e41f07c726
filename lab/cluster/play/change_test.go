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

// A process that is cut off during three changes is shown with the version that it runs, first as one that its parent
// does not reach or as one that is away; it runs that version and no other until it is back, and then the newest.
func TestCutOffIsShown(t *testing.T) {
	t.Parallel()
	turns <- struct{}{}
	defer func() { <-turns }()
	const cut, from, to = view.Name("s6"), 4.0, 14.0
	s := &schedule.Schedule{Name: "cut-off-is-shown", Seed: 44, Processes: 7, Zones: 3, Regions: 2, Seconds: 18, Rate: 60,
		Faults:  []schedule.Fault{{Kind: "cut", At: from, Seconds: to - from, From: []int{6}}},
		Changes: []schedule.Change{{At: 1.5, By: 2}, {At: 5, By: 0}, {At: 7, By: 1}, {At: 9, By: 3}}}
	ran := map[uint64]bool{} // by the process that is cut off, in order to be held against what is shown of it
	named := 0
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
			named++
			if !ran[version] && version > 0 {
				t.Errorf("at %d %s is shown with version %d, which it never ran", now, cut, version)
			}
		}})
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range r.Breaches {
		t.Errorf("%s: %s", b.Promise, b.Detail)
	}
	for _, c := range r.Changes {
		t.Logf("%s given at %d ms, version %d in force everywhere at %d ms", c.ID, c.Ordered/10, c.Version, c.InForce/10)
	}
	if named == 0 {
		t.Errorf("%s was never named", cut)
	}
	for i, c := range r.Changes[:len(r.Changes)-1] {
		overtaken := c.Decided > seconds(from) && r.Changes[i+1].Decided < seconds(to)
		if overtaken && r.Changes[i+1].Version > c.Version && ran[c.Version] {
			t.Errorf("%s ran version %d, which was overtaken before it was back", cut, c.Version)
		}
	}
	if !ran[uint64(len(s.Changes))] {
		t.Errorf("%s never ran the newest: %v", cut, ran)
	}
	t.Logf("named %d times; ran %v", named, ran)
}

// lagging is the version that a process is shown with as a laggard or as away; false where it is not named.
func lagging(s versions.ConfigurationStatus, name view.Name) (uint64, bool) {
	var all []spread.Laggard
	all = append(all, s.Laggards...)
	for _, away := range s.Away {
		all = append(all, away.Laggard)
	}
	for _, l := range all {
		if l.Name == name {
			return l.Version, true
		}
	}
	return 0, false
}
