package choice

import "math"

// This file holds arithmetic for the rest of the package. It makes no decisions and has no tuned values.

// seconds converts a duration to seconds.
func seconds(t Time) float64 { return float64(t) / float64(Second) }

// roundUp rounds a duration in tenths of a millisecond up to a whole Time.
func roundUp(t float64) Time { return Time(math.Ceil(t)) }

// tokenBucket gains rate tokens a second, up to a size that the caller passes to each method.
type tokenBucket struct {
	rate      float64
	tokens    float64
	updatedAt Time // if in the future, no tokens are added until then
}

// refill adds the tokens of the time since the last update and returns the level.
func (b *tokenBucket) refill(now Time, size float64) float64 {
	if now > b.updatedAt {
		b.tokens += b.rate * seconds(now-b.updatedAt)
		b.updatedAt = now
	}
	b.tokens = min(b.tokens, size)
	return b.tokens
}

// refillAt sets a new rate and refills the bucket at it.
func (b *tokenBucket) refillAt(now Time, rate, size float64) float64 {
	b.rate = rate
	return b.refill(now, size)
}

// take refills the bucket at a new rate and takes one token if there is one. The size of the bucket is what the rate
// adds in span seconds, and at least one token.
func (b *tokenBucket) take(now Time, rate, span float64) bool {
	size := max(1, span*rate)
	if b.refillAt(now, rate, size) < 1 {
		return false
	}
	b.tokens--
	return true
}

// rateMeter measures a rate in events a second. Older events decay exponentially over a span that the caller passes to
// each method.
type rateMeter struct {
	rate      float64
	updatedAt Time
}

// read returns the rate, decayed up to now.
func (m *rateMeter) read(now, span Time) float64 {
	return m.rate * math.Exp(-seconds(now-m.updatedAt)/seconds(span))
}

// count adds one event.
func (m *rateMeter) count(now, span Time) {
	m.rate = m.read(now, span) + 1/seconds(span)
	m.updatedAt = now
}

// callTimes holds statistics of call times, in tenths of a millisecond.
type callTimes struct {
	mean         float64 // recent mean
	deviation    float64 // recent mean absolute deviation
	longTermMean float64 // long-term mean
	samples      float64 // number of measured calls
}

// assumedCallTimes returns the statistics of an endpoint that has no measured calls.
func assumedCallTimes(assumed float64) callTimes {
	return callTimes{mean: assumed, deviation: assumed, longTermMean: assumed}
}

// observe adds one measured time, with the given weights in the recent and in the long-term mean. The first samples
// have equal weights.
func (t *callTimes) observe(took, recentWeight, longWeight float64) {
	t.samples++
	recentWeight = max(recentWeight, 1/t.samples)
	longWeight = max(longWeight, 1/t.samples)
	// A few samples underestimate the deviation, so it is at least half the mean at the first sample, and less at later
	// ones.
	deviation := max(math.Abs(took-t.mean), t.mean/2/t.samples)
	t.deviation += recentWeight * (deviation - t.deviation)
	t.mean += recentWeight * (took - t.mean)
	t.longTermMean += longWeight * (took - t.longTermMean)
}

// updateShare adds one observation to an exponential mean of how often something happens.
func updateShare(share, weight float64, happened bool) float64 {
	value := 0.0
	if happened {
		value = 1
	}
	return share + weight*(value-share)
}

// shareDeviation returns the standard deviation of the difference between the shares observed in two samples of sizes a
// and b, if both come from the same true share.
func shareDeviation(share, a, b float64) float64 {
	return math.Sqrt(share * (1 - share) * (1/max(1, a) + 1/max(1, b)))
}

// poissonMeanBelow returns the mean of a Poisson distribution that lies the given number of its standard deviations
// below bound.
func poissonMeanBelow(bound, deviations float64) float64 {
	root := (math.Sqrt(deviations*deviations+4*bound) - deviations) / 2
	return root * root
}
