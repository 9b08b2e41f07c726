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

// Mode says who decides.
type Mode string

const (
	Alone    Mode = "alone"    // every sender by itself
	Together Mode = "together" // the senders with the cluster
	Oracle   Mode = "oracle"   // a policy that sees the true state of all endpoints
)

// Options are the inputs of a run.
type Options struct {
	Case
	Seed       uint64
	Mode       Mode
	Leader     int           // number of the first leader; process i is in zone i modulo the number of zones
	LeaderDies float64       // when, in seconds; 0 for never
	LeaderGone time.Duration // until the next process leads, which knows only the plan in force
	Bytes      bool          // count the bytes of messages
	Escape     bool          // trial: a sender leaves a home that it sees fail without waiting for a plan
	Prompt     bool          // trial: a zone's coordinator evaluates reports of failures at once
	Span       time.Duration // trial: the span of digest.Window; 0 for its default
}

// Play plays a run and computes its figures.
func Play(o Options) (*Figures, error) {
	m := newMeasure(&o)
	f := &fleet{numbers: map[view.Zone]choice.ZoneNo{}, regions: map[view.Zone]view.Region{}, processes: map[view.Name]*process{},
		traffic: map[view.Name]*Traffic{}, countBytes: o.Bytes, settings: planSettings(&o)}
	for z := range o.Spec.Zones {
		f.numbers[zoneName(z)] = choice.ZoneNo(z)
		f.regions[zoneName(z)] = view.Region(fmt.Sprintf("r%d", o.Region(z)))
	}
	decide := sim.ChoicePolicy
	if o.Mode == Oracle {
		decide = baseline.Named("all_seen")
	}
	started := 0
	policy := func(h choice.Host, id choice.SenderID, seed int64, set choice.Settings, w *world.World) sim.Policy {
		c := newCountingSender(h, set, &m.values)
		c.escape = o.Escape
		c.policy = decide(c, id, seed, set, w)
		f.w, m.w = w, w
		if started++; o.Mode != Together || started > o.Spec.Senders {
			return c // only Together has processes; no case restarts a sender
		}
		name := view.Name(fmt.Sprintf("p%04d", started-1))
		c.proc = &process{fleet: f, name: name, zone: zoneName(int(set.Zone)), sender: c,
			began: time.Duration(crc32.ChecksumIEEE([]byte(name))%7200) * time.Second}
		f.processes[name], f.traffic[name] = c.proc, &Traffic{}
		f.order = append(f.order, c.proc)
		if started == o.Spec.Senders {
			f.span, f.prompt = o.Span, o.Prompt
			w.After(1, func() { f.begin(&o) })
		}
		return c
	}
	v, err := sim.Run(sim.Options{Spec: o.Spec, Seed: o.Seed, Policy: policy, Outcome: m.outcome})
	if err != nil {
		return nil, err
	}
	return m.figures(v, f), nil
}

// planSettings are the planner's settings as internal/cluster/uses.go fills them in.
func planSettings(o *Options) plan.Settings {
	set := plan.DefaultSettings()
	set.RatingIsRate = o.Spec.Sender.Rating == "nominal"
	k := &o.Spec.Partners[0]
	set.SlowStart, set.SlowStartFrom, set.OverloadMultiple = time.Duration(k.SlowStartS*float64(time.Second)), k.SlowStartFrom, o.Spec.Rules.FallMultiple
	return set
}
