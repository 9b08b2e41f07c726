package referee

// This file converts units of time: histograms hold tenths of a millisecond, texts and the timeline hold seconds.

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"

	"flaxcove/choice"
)

const (
	longestRecorded   = 9_000_000 // highest value of a histogram, in tenths of a millisecond: a quarter of an hour
	significantDigits = 2
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestRecorded, significantDigits)
}

// recordTime adds a time to a histogram. Times beyond longestRecorded count as the longest one.
func recordTime(h *hdrhistogram.Histogram, t Time) {
	_ = h.RecordValue(int64(max(1, min(t, longestRecorded-1)))) // cannot fail, since the value is within the histogram's range
}

func inSeconds(t Time) float64 { return float64(t) / float64(choice.Second) }

func milliseconds(v float64) Time { return Time(v * float64(choice.Millisecond)) }

// round rounds to four decimal places.
func round(v float64) float64 { return math.Round(v*1e4) / 1e4 }

// timelineEntry returns the timeline's entry for a time. Times after the end of the run belong to the last second.
func (r *Referee) timelineEntry(at Time) *Second {
	return &r.seconds[max(0, min(int(at/choice.Second), len(r.seconds)-1))]
}
