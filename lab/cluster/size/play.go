package size

// This file plays one run in one mode.

import (
	"fmt"
	"hash/crc32"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/failover/plan"
	"flaxcove/internal/cluster/view"
	"flaxcove/lab/baseline"
	"flaxcove/lab/sim"
	"flaxcove/lab/world"
)

// Mode selects the policy of the senders.
type Mode string

const (
	Alone    Mode = "alone"    // each sender decides by itself, without a cluster
	Together Mode = "together" // senders with the cluster
	Oracle   Mode = "oracle"   // a policy that knows the true state of all endpoints
)

// Options are the inputs of a run.
type Options struct {
	Case
	Seed       uint64
	Mode       Mode
	Leader     int           // number of the first leader; process i is in zone i modulo the number of zones
	LeaderDies float64       // time in seconds at which the leader fails; 0 for never
	LeaderGone time.Duration // time from the leader's failure until the next process leads, which knows only the plan in force
	Bytes      bool          // count the bytes of messages
	Escape     bool          // experiment: a sender uses endpoints away from home while those at home fail, before a plan allows it
	Prompt     bool          // experiment: the coordinator of a zone evaluates reports of failures at once
	Span       time.Duration // experiment: the span of digest.Window; 0 for its default
}

// Play simulates a run and returns its figures.
func Play(o Options) (*Figures, error) {
	m := newMeasure(&o)
	f := &fleet{zoneNumbers: map[view.Zone]choice.ZoneNo{}, regions: map[view.Zone]view.Region{}, processes: map[view.Name]*process{},
		traffic: map[view.Name]*Traffic{}, countBytes: o.Bytes, settings: planSettings(&o)}
	for z := range o.Spec.Zones {
		f.zoneNumbers[zoneName(z)] = choice.ZoneNo(z)
		f.regions[zoneName(z)] = view.Region(fmt.Sprintf("r%d", o.Region(z)))
	}
	decide := sim.ChoicePolicy
	if o.Mode == Oracle {
		decide = baseline.Named("all_seen")
	}
	started := 0
	policy := func(h choice.Host, id choice.SenderID, seed int64, set choice.Settings, w *world.World) sim.Policy {
		c := newCountingSender(h, set, &m.value)
		c.escape = o.Escape
		c.policy = decide(c, id, seed, set, w)
		f.world, m.world = w, w
		if started++; o.Mode != Together || started > o.Spec.Senders {
			return c // only Together has processes; further senders would be restarted ones, which no case has
		}
		name := view.Name(fmt.Sprintf("p%04d", started-1))
		c.process = &process{fleet: f, name: name, zone: zoneName(int(set.Zone)), sender: c,
			clockOffset: time.Duration(crc32.ChecksumIEEE([]byte(name))%7200) * time.Second}
		f.processes[name], f.traffic[name] = c.process, &Traffic{}
		f.order = append(f.order, c.process)
		if started == o.Spec.Senders {
			f.digestSpan, f.prompt = o.Span, o.Prompt
			w.After(1, func() { f.begin(&o) })
		}
		return c
	}
	v, err := sim.Run(sim.Options{Spec: o.Spec, Seed: o.Seed, Policy: policy, Outcome: m.recordCall})
	if err != nil {
		return nil, err
	}
	return m.figures(v, f), nil
}

// planSettings returns the planner's settings as internal/cluster sets them.
func planSettings(o *Options) plan.Settings {
	set := plan.DefaultSettings()
	set.RatingIsRate = o.Spec.Sender.Rating == "nominal"
	k := &o.Spec.Partners[0]
	set.SlowStart, set.SlowStartFrom, set.OverloadMultiple = time.Duration(k.SlowStartS*float64(time.Second)), k.SlowStartFrom, o.Spec.Rules.FallMultiple
	return set
}
