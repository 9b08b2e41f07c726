package referee

// This file converts units: tenths of a millisecond in histograms, seconds in text and in the timeline.

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"

	"flaxcove/choice"
)

const (
	longestRecorded = 9_000_000 // tenths of a millisecond: a quarter of an hour
	figuresRecorded = 2
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestRecorded, figuresRecorded)
}

func record(h *hdrhistogram.Histogram, t Time) {
	_ = h.RecordValue(int64(max(1, min(t, longestRecorded-1)))) // always within
}

func sec(t Time) float64 { return float64(t) / float64(choice.Second) }

func milliseconds(v float64) Time { return Time(v * float64(choice.Millisecond)) }

func round(v float64) float64 { return math.Round(v*1e4) / 1e4 }

// second is the entry of the timeline for a time; what comes after the end belongs to the last second.
func (r *Referee) second(at Time) *Second {
	return &r.seconds[max(0, min(int(at/choice.Second), len(r.seconds)-1))]
}
