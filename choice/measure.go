package choice

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"math"
)

// This file holds plain arithmetic for the rest of the module; no decision and no tuned value.

func seconds(t Time) float64 { return float64(t) / float64(Second) }

func one(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// shortestContract is the shortest contract time of all.
func shortestContract(classes []Class) Time {
	shortest := forever
	for _, w := range classes {
		shortest = min(shortest, max(1, w.ContractTime))
	}
	return shortest
}

// maxValue is the highest value of all.
func highestValue(classes []Class) (top float64) {
	for _, w := range classes {
		top = max(top, w.Value)
	}
	return top
}

const forever = Time(math.MaxInt64)

func roundUp(t float64) Time { return Time(math.Ceil(t)) }

// random draws from the seed, an id and a counter.
type randomSource struct {
	seed  []byte
	draws uint64
}

func newRandomSource(id SenderID, seed int64) randomSource {
	return randomSource{seed: binary.LittleEndian.AppendUint64([]byte(id), uint64(seed))}
}

// fraction is uniform in [0, 1).
func (c *randomSource) fraction(id string) float64 {
	c.draws++
	sum := crc32.ChecksumIEEE(c.seed)
	sum = crc32.Update(sum, crc32.IEEETable, []byte(id))
	sum = crc32.Update(sum, crc32.IEEETable, binary.LittleEndian.AppendUint64(nil, c.draws))
	return float64(sum) / (1 << 32)
}

// jitter is uniform in (0, ceiling].
func (c *randomSource) jitter(id string, ceiling Time) Time {
	return max(1, roundUp(c.fraction(id)*float64(ceiling)))
}

// tokenBucket fills at rate a second up to a size given at each look.
type tokenBucket struct {
	rate, tokens float64
	updatedAt    Time
}

// refillAt goes on filling at another rate.
func (b *tokenBucket) refillAt(now Time, rate, size float64) float64 {
	b.rate = rate
	return b.refill(now, size)
}

func (b *tokenBucket) refill(now Time, size float64) float64 {
	if now > b.updatedAt {
		b.tokens += b.rate * seconds(now-b.updatedAt)
		b.updatedAt = now
	}
	b.tokens = min(b.tokens, size)
	return b.tokens
}

// accept draws one where there is one, at a rate from now on; the fill of a span of seconds is kept.
func (b *tokenBucket) take(now Time, rate, span float64) bool {
	is := b.refillAt(now, rate, max(1, span*rate)) >= 1
	b.tokens -= one(is)
	return is
}

// rateMeter counts events a second, older ones fading over a span given at each use.
type rateMeter struct {
	rate      float64
	updatedAt Time
}

func (m *rateMeter) read(now, span Time) float64 {
	return m.rate * math.Exp(-seconds(now-m.updatedAt)/seconds(span))
}

func (m *rateMeter) count(now, span Time) {
	m.rate, m.updatedAt = m.read(now, span)+1/seconds(span), now
}

// Fade is the share of a class's value left when an answer comes so long after the message was handed in.
func (w *Class) Fade(after Time, halving bool) float64 {
	late := float64(after - w.ContractTime)
	if late <= 0 {
		return 1
	}
	if halving {
		return max(w.LateValue, math.Exp2(-late/float64(max(1, w.ContractTime))))
	}
	return max(0, 1-(1-w.LateValue)*late/float64(max(1, w.Deadline-w.ContractTime)))
}

func (s *Sender) class(msg *message) *Class { return &s.settings.Classes[msg.Class] }

// fullValue is less for what was past its account's share when it came.
func (s *Sender) fullValue(msg *message) float64 {
	return s.class(msg).Value * either(msg.overQuota, s.settings.OverShareValue, 1)
}

// valueAfter is what is left of the value of a message that is answered so long from now.
func (s *Sender) valueAfter(msg *message, in Time) float64 {
	return s.fullValue(msg) * s.class(msg).Fade(s.now+in-msg.acceptedAt, s.settings.Halving)
}

// fee is what a route apart in a zone costs, 0 where nothing is told.
func (set *Settings) fee(zone ZoneNo) float64 {
	if z := int(zone); z >= 0 && z < len(set.RouteFees) {
		return set.RouteFees[z]
	}
	return 0
}

// attempted is whether it was sent, in this life or an earlier one.
func (n *message) attempted() bool { return n.attempts > 0 || n.MayRun }

// lifetime is the time that a message was taken on with, as far as that is known.
func (n *message) lifetime() Time { return cmp.Or(n.Span, n.Deadline-n.acceptedAt) }

// endpointHash stands for an endpoint in notes, which are three bytes long: a sign, and a wait in noteUnits; the shortest one
// stands for none told.
type endpointHash [2]byte

const noteUnit = 20 * Millisecond

func hashOf(id EndpointID) endpointHash {
	return endpointHash(binary.LittleEndian.AppendUint32(nil, crc32.ChecksumIEEE([]byte(id)))[:len(endpointHash{})])
}

func encodeNote(id EndpointID, wait Time) []byte {
	g := hashOf(id)
	return append(g[:], byte(min(255, (wait+noteUnit-1)/noteUnit)))
}

// decodeNote gives a wait below 0 for what is no note.
func decodeNote(note []byte) (endpointHash, Time) {
	if len(note) != len(endpointHash{})+1 {
		return endpointHash{}, -1
	}
	return endpointHash(note), Time(note[len(endpointHash{})]) * noteUnit
}

// shareDeviation is by how much two shares of so many draws, alike but for chance, lie apart: one deviation.
func shareDeviation(share, a, b float64) float64 {
	return math.Sqrt(share * (1 - share) * (1/max(1, a) + 1/max(1, b)))
}

// poissonMeanBelow is the mean of a count by chance that lies so many deviations below a bound.
func poissonMeanBelow(bound, deviations float64) float64 {
	root := (math.Sqrt(deviations*deviations+4*bound) - deviations) / 2
	return root * root
}

// callTimes are what calls took: mean and spread of late, and the mean over a long past.
type callTimes struct{ mean, deviation, longMean, samples float64 }

// guessedTimes are times of which nothing is known but a guess.
func guessedTimes(guess float64) callTimes {
	return callTimes{mean: guess, deviation: guess, longMean: guess}
}

// observe weighs a new time by the weights of late and past, the first ones evenly.
func (t *callTimes) observe(took, late, past float64) {
	t.samples++
	t.deviation += max(late, 1/t.samples) * (max(math.Abs(took-t.mean), t.mean/2/t.samples) - t.deviation)
	t.mean += max(late, 1/t.samples) * (took - t.mean)
	t.longMean += max(past, 1/t.samples) * (took - t.longMean)
}
