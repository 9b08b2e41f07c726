package referee

// This file owns what is said of a run, its form in JSON among it, and how the figures are reckoned from what was
// counted. It must never hear the ledger.

import (
	"cmp"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"flaxcove/lab/world"
)

// Verdict is all that is said of a run. Service is the value delivered over the value asked for, from the first second
// on; Figure is Service less the scenario's prices for refused calls and runs of no use, or 0 where a rule was broken.
type Verdict struct {
	Scenario   string       `json:"scenario"`
	Engine     string       `json:"engine"`
	Seed       uint64       `json:"seed"`
	Figure     float64      `json:"figure"`
	Service    float64      `json:"service"`
	Rules      map[Rule]int `json:"rules"`
	Violations []Violation  `json:"breaks,omitempty"`
	Void       string       `json:"void,omitempty"` // why the run says nothing of the senders

	Asked          int `json:"asked"`
	HandedIn       int `json:"handed_in"`
	Accepted       int `json:"taken_on"`
	Shed           int `json:"shed"`
	Errors         int `json:"errors"`
	Unanswered     int `json:"unheard"`
	NoSender       int `json:"no_sender"`
	Delivered      int `json:"delivered"`
	InTime         int `json:"in_time"`
	HandedBack     int `json:"handed_back"`
	Failed         int `json:"given_up"`
	Calls          int `json:"calls"`
	Probes         int `json:"probes"`
	Attempts       int `json:"dispatches"`
	Refusals       int `json:"refusals"`
	FailedCalls    int `json:"failures"`
	Runs           int `json:"runs"`
	Wasted         int `json:"wasted"` // runs beyond one for each message delivered
	Outages        int `json:"outages"`
	PushedOver     int `json:"pushed_over"`
	FalselyRefused int `json:"lied,omitempty"` // second effects of single-use messages whose first a partner had denied

	Classes         []Class        `json:"workloads"`
	AcceptLatencyMS Latency        `json:"taken_on_ms"`
	Seconds         []Second       `json:"seconds,omitempty"`
	Faults          []Span         `json:"troubles,omitempty"`
	Returns         []Return       `json:"returns,omitempty"`
	EngineFigures   *EngineFigures `json:"engine_figures,omitempty"`
}

// EngineFigures are figures of how a run was played rather than of what came of it.
type EngineFigures struct {
	WallS    float64 `json:"wall_s"`
	CPUS     float64 `json:"cpu_s"`
	MemoryMB float64 `json:"memory_mb"`
	Events   int64   `json:"events"`
	LateMS   float64 `json:"late_ms,omitempty"` // the latest that the world was behind real time
}

// Class is one class's part.
type Class struct {
	Name       string  `json:"name"`
	Asked      int     `json:"asked"`
	Delivered  int     `json:"delivered"`
	ValueAsked float64 `json:"gain_asked"`
	Value      float64 `json:"gain"`
	Delivery   Latency `json:"delivery_ms"` // from the time at which its client first wanted it
}

// Latency is a histogram's outline in milliseconds.
type Latency struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// Second is one line of the timeline.
type Second struct {
	Asked       int     `json:"asked"`
	Delivered   int     `json:"delivered"`
	Shed        int     `json:"shed"`
	Failed      int     `json:"given_up"`
	Calls       int     `json:"calls"`
	Refused     int     `json:"refused"`
	FailedCalls int     `json:"failed"`
	P50         float64 `json:"p50_ms"`
	P99         float64 `json:"p99_ms"`
}

// Span is a fault as it happened.
type Span struct {
	Kind  string  `json:"kind"`
	From  float64 `json:"from_s"`
	To    float64 `json:"to_s"`
	Parts int     `json:"parts"`

	no *world.Fault
}

// Return is what came to an endpoint after its outages, in times of what would push it over.
type Return struct {
	Endpoint string       `json:"endpoint"`
	Bound    float64      `json:"bound"` // calls a second when warm
	Times    int          `json:"times"`
	At       []float64    `json:"at_s"`
	Most     float64      `json:"most"`
	Loads    [][2]float64 `json:"loads"` // second, highest load in it
}

// OutlineOf reads the quantiles of a histogram that counts tenths of a millisecond.
func OutlineOf(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 10 }
	if h.TotalCount() == 0 {
		return Latency{}
	}
	return Latency{at(50), at(90), at(99), at(99.9), float64(h.Max()) / 10}
}

// Verdict is the judgement once the run is over. The world must have gone on past the last deadline.
func (r *Referee) Verdict() *Verdict {
	r.judgeDue()
	v := &r.v
	asked, got := 0.0, 0.0
	for i := range v.Classes {
		w := &v.Classes[i]
		w.Delivery = OutlineOf(r.delivery[i])
		asked += w.ValueAsked
		got += w.Value
	}
	if asked > 0 {
		v.Service = round(got / asked)
	}
	v.Wasted = max(0, v.Runs-v.Delivered)
	v.Figure = v.Service
	if v.Asked > 0 {
		p := &r.spec.Prices
		v.Figure = round(max(0, v.Service-(p.Refused*float64(v.Refusals)+p.Wasted*float64(v.Wasted))/float64(v.Asked)))
	}
	for _, rule := range Rules {
		if v.Rules[rule] > 0 {
			v.Figure = 0
		}
	}
	v.Scenario = r.spec.Name
	v.AcceptLatencyMS = OutlineOf(r.acceptLatency)
	v.Seconds = r.seconds
	for i, h := range r.bySecond {
		if h != nil {
			v.Seconds[i].P50, v.Seconds[i].P99 = float64(h.ValueAtQuantile(50))/10, float64(h.ValueAtQuantile(99))/10
		}
	}
	v.Returns = r.sortedReturns()
	return v
}

// Broken tells whether any rule was.
func (v *Verdict) Broken() bool {
	for _, n := range v.Rules {
		if n > 0 {
			return true
		}
	}
	return false
}

// sortedReturns is a map's values in an order that does not hang on the map.
func (r *Referee) sortedReturns() (all []Return) {
	for _, ret := range r.returns {
		all = append(all, *ret)
	}
	slices.SortFunc(all, func(a, b Return) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return all
}
