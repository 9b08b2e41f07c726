package play

import (
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/status"
	"flaxcove/internal/cluster/view"
	"flaxcove/lab/cluster/schedule"
)

// This file measures at size, by -cluster.measure: control traffic and processor time of a process, how long a purge
// takes to reach all, how long a plan does. Figures, no verdicts on them.

var measure = flag.Int("cluster.measure", 0, "play the calm and the fall at 30 processes so many times, one after the other")

const (
	measureFrom = 8 * choice.Second // what joins and is founded is over
	measureTo   = 28 * choice.Second
)

// rates keeps the first and the last status of each process within the measured span.
type rates struct {
	first, last map[view.Life]report
}

type report struct {
	at      choice.Time
	traffic status.Traffic
	// Bytes of answers to our own polls, and of the last one, which the process counts only after sending it.
	answers, lastAnswer int
}

func (r *rates) saw(now choice.Time, all []*status.Status) {
	for _, s := range all {
		if now >= measureFrom && now <= measureTo {
			if _, is := r.first[s.Self.Life]; !is {
				r.first[s.Self.Life] = report{at: now, traffic: s.Traffic}
			}
			text, _ := json.Marshal(s)
			before := r.last[s.Self.Life].answers
			r.last[s.Self.Life] = report{now, s.Traffic, before + len(text), len(text)}
		}
	}
}

func (r *rates) report(t *testing.T) {
	var in, out, cpu []float64
	for life, a := range r.first {
		b := r.last[life]
		if over := float64(b.at-a.at) / float64(choice.Second); over > 0 {
			in = append(in, float64(b.traffic.In-a.traffic.In)/over)
			out = append(out, (float64(b.traffic.Out-a.traffic.Out)-float64(b.answers-b.lastAnswer))/over)
			cpu = append(cpu, 100*(b.traffic.CPU-a.traffic.CPU).Seconds()/over)
		}
	}
	t.Logf("of %d processes: out %s B/s, in %s B/s, processor %s %% of a core", len(out), outline(out), outline(in), outline(cpu))
}

func outline(all []float64) string {
	if len(all) == 0 {
		return "none"
	}
	slices.Sort(all)
	sum := 0.0
	for _, v := range all {
		sum += v
	}
	return fmt.Sprintf("median %.1f, mean %.1f, most %.1f", all[len(all)/2], sum/float64(len(all)), all[len(all)-1])
}

func TestMeasure(t *testing.T) {
	calm := schedule.Schedule{Name: "calm-30", Seed: 1, Processes: 30, Zones: 6, Regions: 3, Seconds: 28, Rate: 200}
	for i := range 8 {
		calm.Purges = append(calm.Purges, schedule.Purge{At: 9 + 2*float64(i), By: 7 * i % 30, Subject: "notices", Destination: i % 4})
	}
	fall := schedule.Schedule{Name: "fall-30", Seed: 2, Processes: 30, Zones: 6, Regions: 3, Seconds: 28, Rate: 300,
		Faults: []schedule.Fault{{Kind: "zone", At: 3, Seconds: 8, Zone: 1}}}
	for range *measure {
		for _, s := range []schedule.Schedule{calm, fall} {
			r := &rates{map[view.Life]report{}, map[view.Life]report{}}
			every := time.Duration(0)
			if len(s.Faults) == 0 {
				every = 9 * time.Second // an answer is some ten thousand bytes at this size
			}
			_, wrong := runAsking(t, &s, every, r.saw)
			t.Logf("%s: %q", s.Name, wrong)
			r.report(t)
		}
	}
}
