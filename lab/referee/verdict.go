package referee

// This file declares the verdict with its JSON keys, and computes its figures from the referee's counts.

import (
	"cmp"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"flaxcove/lab/world"
)

// Verdict is the result of a run. Service is the value delivered as a share of the value requested, without the requests of
// the first second. Figure is Service less the scenario's prices for refused calls and useless executions, or 0 if a rule
// was broken.
type Verdict struct {
	Scenario   string       `json:"scenario"`
	Engine     string       `json:"engine"`
	Seed       uint64       `json:"seed"`
	Figure     float64      `json:"figure"`
	Service    float64      `json:"service"`
	Rules      map[Rule]int `json:"rules"`
	Violations []Violation  `json:"breaks,omitempty"`
	Void       string       `json:"void,omitempty"` // reason why the run cannot be judged; "" if it can

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
	Wasted         int `json:"wasted"` // executions beyond one for each message delivered
	Outages        int `json:"outages"`
	PushedOver     int `json:"pushed_over"`
	FalselyRefused int `json:"lied,omitempty"` // second executions of single-use messages, after a refusal of the first

	Classes         []Class        `json:"workloads"`
	AcceptLatencyMS Latency        `json:"taken_on_ms"`
	Seconds         []Second       `json:"seconds,omitempty"`
	Faults          []Span         `json:"troubles,omitempty"`
	Returns         []Return       `json:"returns,omitempty"`
	EngineFigures   *EngineFigures `json:"engine_figures,omitempty"`
}

// EngineFigures holds the resources that the engine used to play a run.
type EngineFigures struct {
	WallS    float64 `json:"wall_s"`
	CPUS     float64 `json:"cpu_s"`
	MemoryMB float64 `json:"memory_mb"`
	Events   int64   `json:"events"`
	LateMS   float64 `json:"late_ms,omitempty"` // largest delay of the world's events behind real time
}

// Class holds the figures of one class.
type Class struct {
	Name       string  `json:"name"`
	Asked      int     `json:"asked"`
	Delivered  int     `json:"delivered"`
	ValueAsked float64 `json:"gain_asked"`
	Value      float64 `json:"gain"`
	Delivery   Latency `json:"delivery_ms"` // time from the request to the delivery
}

// Latency holds quantiles of a histogram, in milliseconds.
type Latency struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// Second holds the figures of one second of the run.
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

// Span is the period in which a fault was active.
type Span struct {
	Kind  string  `json:"kind"`
	From  float64 `json:"from_s"`
	To    float64 `json:"to_s"`
	Parts int     `json:"parts"` // number of endpoints or senders affected

	fault *world.Fault
}

// Return describes the returns of an endpoint from outages, and its load in slow start. Loads are multiples of the load
// above which the endpoint goes down again.
type Return struct {
	Endpoint string       `json:"endpoint"`
	Bound    float64      `json:"bound"` // calls a second that the endpoint accepts after slow start
	Times    int          `json:"times"` // number of returns
	At       []float64    `json:"at_s"`  // time of each return
	Most     float64      `json:"most"`  // highest load
	Loads    [][2]float64 `json:"loads"` // pairs of a second of the run and the highest load in it
}

// LatencyOf returns the quantiles of a histogram that holds tenths of a millisecond.
func LatencyOf(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 10 }
	if h.TotalCount() == 0 {
		return Latency{}
	}
	return Latency{at(50), at(90), at(99), at(99.9), float64(h.Max()) / 10}
}

// Verdict computes the verdict of the run. The world must have run past the last deadline.
func (r *Referee) Verdict() *Verdict {
	r.checkDue()
	v := &r.verdict
	asked, got := 0.0, 0.0
	for i := range v.Classes {
		w := &v.Classes[i]
		w.Delivery = LatencyOf(r.delivery[i])
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
	v.AcceptLatencyMS = LatencyOf(r.acceptLatency)
	v.Seconds = r.seconds
	for i, h := range r.bySecond {
		if h != nil {
			v.Seconds[i].P50, v.Seconds[i].P99 = float64(h.ValueAtQuantile(50))/10, float64(h.ValueAtQuantile(99))/10
		}
	}
	v.Returns = r.sortedReturns()
	return v
}

// Broken reports whether any rule was broken.
func (v *Verdict) Broken() bool {
	for _, n := range v.Rules {
		if n > 0 {
			return true
		}
	}
	return false
}

// sortedReturns lists the returns sorted by endpoint, so that the order does not depend on the map.
func (r *Referee) sortedReturns() (all []Return) {
	for _, ret := range r.returns {
		all = append(all, *ret)
	}
	slices.SortFunc(all, func(a, b Return) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return all
}
