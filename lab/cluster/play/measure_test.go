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

// This file measures a cluster of 30 processes (flag -cluster.measure): control traffic and processor time of a process, and the
// times until a purge and a plan reach all processes. The figures are logged and not checked.

var measure = flag.Int("cluster.measure", 0, "number of times to play the calm schedule and the zone outage with 30 processes, one after the other")

const (
	measureFrom = 8 * choice.Second // after all processes have joined and the consensus group is founded
	measureTo   = 28 * choice.Second
)

// rates holds the first and the last sample of each process within the measured span.
type rates struct {
	first, last map[view.Instance]trafficSample
}

// trafficSample holds the counters of a process at one time.
type trafficSample struct {
	at      choice.Time
	traffic status.Traffic
	// answerBytes is the length of all answers to the polls of this test, lastAnswerBytes that of the last answer, which the
	// process counts only after it has sent it.
	answerBytes, lastAnswerBytes int
}

// record updates the samples from the statuses of a poll.
func (r *rates) record(now choice.Time, all []*status.Status) {
	for _, s := range all {
		if now >= measureFrom && now <= measureTo {
			if _, is := r.first[s.Self.Instance]; !is {
				r.first[s.Self.Instance] = trafficSample{at: now, traffic: s.Traffic}
			}
			text, _ := json.Marshal(s)
			before := r.last[s.Self.Instance].answerBytes
			r.last[s.Self.Instance] = trafficSample{now, s.Traffic, before + len(text), len(text)}
		}
	}
}

// report logs the rates over the measured span, without the answers to the test's polls.
func (r *rates) report(t *testing.T) {
	var in, out, cpu []float64
	for instance, a := range r.first {
		b := r.last[instance]
		if over := float64(b.at-a.at) / float64(choice.Second); over > 0 {
			in = append(in, float64(b.traffic.In-a.traffic.In)/over)
			out = append(out, (float64(b.traffic.Out-a.traffic.Out)-float64(b.answerBytes-b.lastAnswerBytes))/over)
			cpu = append(cpu, 100*(b.traffic.CPU-a.traffic.CPU).Seconds()/over)
		}
	}
	t.Logf("%d processes: sent %s B/s, received %s B/s, processor time %s %% of a core", len(out), summarize(out), summarize(in), summarize(cpu))
}

// summarize formats the median, mean and maximum of values.
func summarize(all []float64) string {
	if len(all) == 0 {
		return "none"
	}
	slices.Sort(all)
	sum := 0.0
	for _, v := range all {
		sum += v
	}
	return fmt.Sprintf("median %.1f, mean %.1f, maximum %.1f", all[len(all)/2], sum/float64(len(all)), all[len(all)-1])
}

// TestMeasure plays a schedule with purges and one with an outage of a zone, and logs the measurements.
func TestMeasure(t *testing.T) {
	calm := schedule.Schedule{Name: "calm-30", Seed: 1, Processes: 30, Zones: 6, Regions: 3, Seconds: 28, Rate: 200}
	for i := range 8 {
		calm.Purges = append(calm.Purges, schedule.Purge{At: 9 + 2*float64(i), By: 7 * i % 30, Subject: "notices", Destination: i % 4})
	}
	fall := schedule.Schedule{Name: "fall-30", Seed: 2, Processes: 30, Zones: 6, Regions: 3, Seconds: 28, Rate: 300,
		Faults: []schedule.Fault{{Kind: "zone", At: 3, Seconds: 8, Zone: 1}}}
	for range *measure {
		for _, s := range []schedule.Schedule{calm, fall} {
			r := &rates{map[view.Instance]trafficSample{}, map[view.Instance]trafficSample{}}
			every := time.Duration(0)
			if len(s.Faults) == 0 {
				every = 9 * time.Second // an answer has about ten thousand bytes with 30 processes
			}
			_, wrong := runPolling(t, &s, every, r.record)
			t.Logf("%s: %q", s.Name, wrong)
			r.report(t)
		}
	}
}
