package choice

import "math"

// This file holds plain arithmetic for the rest of the package. It decides nothing and holds no tuned value.

// seconds converts a span to seconds.
func seconds(t Time) float64 { return float64(t) / float64(Second) }

// roundUp converts a span computed in floating point, in tenths of a millisecond, to the next whole Time.
func roundUp(t float64) Time { return Time(math.Ceil(t)) }

// tokenBucket fills at rate tokens a second, up to a size that is given at each look.
type tokenBucket struct {
	rate      float64
	tokens    float64
	updatedAt Time // may lie in the future: nothing flows in until then
}

// refill brings the bucket up to date and returns its tokens.
func (b *tokenBucket) refill(now Time, size float64) float64 {
	if now > b.updatedAt {
		b.tokens += b.rate * seconds(now-b.updatedAt)
		b.updatedAt = now
	}
	b.tokens = min(b.tokens, size)
	return b.tokens
}

// refillAt refills at a new rate, which also stands from then on.
func (b *tokenBucket) refillAt(now Time, rate, size float64) float64 {
	b.rate = rate
	return b.refill(now, size)
}

// take refills at a new rate and takes a token if there is one. The bucket holds what flows in over span seconds, and
// at least one token.
func (b *tokenBucket) take(now Time, rate, span float64) bool {
	size := max(1, span*rate)
	if b.refillAt(now, rate, size) < 1 {
		return false
	}
	b.tokens--
	return true
}

// rateMeter measures events a second. Older events fade exponentially over a span given at each use.
type rateMeter struct {
	rate      float64
	updatedAt Time
}

// read returns the rate faded up to now.
func (m *rateMeter) read(now, span Time) float64 {
	return m.rate * math.Exp(-seconds(now-m.updatedAt)/seconds(span))
}

// count adds one event.
func (m *rateMeter) count(now, span Time) {
	m.rate = m.read(now, span) + 1/seconds(span)
	m.updatedAt = now
}

// callTimes are how long calls took, in tenths of a millisecond.
type callTimes struct {
	mean      float64 // of late
	deviation float64 // of late: mean absolute deviation
	longMean  float64 // over a long past
	samples   float64 // how many calls were measured
}

// guessedTimes are the times assumed where no call was measured yet.
func guessedTimes(guess float64) callTimes {
	return callTimes{mean: guess, deviation: guess, longMean: guess}
}

// observe adds a measured time with the given weights in the recent and the long-term mean. The first samples weigh
// evenly.
func (t *callTimes) observe(took, recentWeight, longWeight float64) {
	t.samples++
	recentWeight = max(recentWeight, 1/t.samples)
	longWeight = max(longWeight, 1/t.samples)
	// Few samples say little of the spread, which is taken as no smaller than half the mean at the first one.
	deviation := max(math.Abs(took-t.mean), t.mean/2/t.samples)
	t.deviation += recentWeight * (deviation - t.deviation)
	t.mean += recentWeight * (took - t.mean)
	t.longMean += longWeight * (took - t.longMean)
}

// updateShare adds one case to an exponential mean of how often something happens.
func updateShare(share, weight float64, happened bool) float64 {
	value := 0.0
	if happened {
		value = 1
	}
	return share + weight*(value-share)
}

// shareDeviation is the standard deviation of the difference between the shares seen in two samples, of a and b draws,
// that have the same share in truth.
func shareDeviation(share, a, b float64) float64 {
	return math.Sqrt(share * (1 - share) * (1/max(1, a) + 1/max(1, b)))
}

// poissonMeanBelow is the mean of a Poisson count that lies the given number of its standard deviations below a bound.
func poissonMeanBelow(bound, deviations float64) float64 {
	root := (math.Sqrt(deviations*deviations+4*bound) - deviations) / 2
	return root * root
}
