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
		shortest = min(shortest, max(1, w.LatencyObjective))
	}
	return shortest
}

// topValue is the highest value of all.
func topValue(classes []Class) (top float64) {
	for _, w := range classes {
		top = max(top, w.Value)
	}
	return top
}

const forever = Time(math.MaxInt64)

func ceil(t float64) Time { return Time(math.Ceil(t)) }

// chance draws from the seed, an id and a counter.
type chance struct {
	seed  []byte
	drawn uint64
}

func newChance(id SenderID, seed int64) chance {
	return chance{seed: binary.LittleEndian.AppendUint64([]byte(id), uint64(seed))}
}

// share is uniform in [0, 1).
func (c *chance) share(id string) float64 {
	c.drawn++
	sum := crc32.ChecksumIEEE(c.seed)
	sum = crc32.Update(sum, crc32.IEEETable, []byte(id))
	sum = crc32.Update(sum, crc32.IEEETable, binary.LittleEndian.AppendUint64(nil, c.drawn))
	return float64(sum) / (1 << 32)
}

// upTo is uniform in (0, ceiling].
func (c *chance) upTo(id string, ceiling Time) Time {
	return max(1, ceil(c.share(id)*float64(ceiling)))
}

// bucket fills at rate a second up to a size given at each look.
type bucket struct {
	rate, level float64
	at          Time
}

// fillAt goes on filling at another rate.
func (b *bucket) fillAt(now Time, rate, size float64) float64 {
	b.rate = rate
	return b.fill(now, size)
}

func (b *bucket) fill(now Time, size float64) float64 {
	if now > b.at {
		b.level += b.rate * seconds(now-b.at)
		b.at = now
	}
	b.level = min(b.level, size)
	return b.level
}

// take draws one where there is one, at a rate from now on; the fill of a span of seconds is kept.
func (b *bucket) take(now Time, rate, span float64) bool {
	is := b.fillAt(now, rate, max(1, span*rate)) >= 1
	b.level -= one(is)
	return is
}

// meter counts events a second, older ones fading over a span given at each use.
type meter struct {
	rate float64
	at   Time
}

func (m *meter) read(now, span Time) float64 {
	return m.rate * math.Exp(-seconds(now-m.at)/seconds(span))
}

func (m *meter) count(now, span Time) {
	m.rate, m.at = m.read(now, span)+1/seconds(span), now
}

// Fade is the share of a class's value left when an answer comes so long after the message was handed in.
func (w *Class) Fade(after Time, halving bool) float64 {
	late := float64(after - w.LatencyObjective)
	if late <= 0 {
		return 1
	}
	if halving {
		return max(w.LateValue, math.Exp2(-late/float64(max(1, w.LatencyObjective))))
	}
	return max(0, 1-(1-w.LateValue)*late/float64(max(1, w.Deadline-w.LatencyObjective)))
}

func (s *Sender) class(n *message) *Class { return &s.set.Classes[n.Class] }

// value is less for what was past its account's share when it came.
func (s *Sender) value(n *message) float64 {
	return s.class(n).Value * either(n.past, s.set.OverShareValue, 1)
}

// worth is what is left of the value of a message that is answered so long from now.
func (s *Sender) worth(n *message, in Time) float64 {
	return s.value(n) * s.class(n).Fade(s.now+in-n.born, s.set.Halving)
}

// fee is what a route apart in a zone costs, 0 where nothing is told.
func (set *Settings) fee(zone ZoneNo) float64 {
	if z := int(zone); z >= 0 && z < len(set.RouteFees) {
		return set.RouteFees[z]
	}
	return 0
}

// tried is whether it was sent, in this life or an earlier one.
func (n *message) tried() bool { return n.tries > 0 || n.MayRun }

// life is the time that a message was taken on with, as far as that is known.
func (n *message) life() Time { return cmp.Or(n.Span, n.Deadline-n.born) }

// sign stands for an endpoint in notes, which are three bytes long: a sign, and a wait in noteUnits; the shortest one
// stands for none told.
type sign [2]byte

const noteUnit = 20 * Millisecond

func signOf(id EndpointID) sign {
	return sign(binary.LittleEndian.AppendUint32(nil, crc32.ChecksumIEEE([]byte(id)))[:len(sign{})])
}

func write(id EndpointID, wait Time) []byte {
	g := signOf(id)
	return append(g[:], byte(min(255, (wait+noteUnit-1)/noteUnit)))
}

// read gives a wait below 0 for what is no note.
func read(note []byte) (sign, Time) {
	if len(note) != len(sign{})+1 {
		return sign{}, -1
	}
	return sign(note), Time(note[len(sign{})]) * noteUnit
}

// luck is by how much two shares of so many draws, alike but for chance, lie apart: one deviation.
func luck(share, a, b float64) float64 {
	return math.Sqrt(share * (1 - share) * (1/max(1, a) + 1/max(1, b)))
}

// meanBelow is the mean of a count by chance that lies so many deviations below a bound.
func meanBelow(bound, deviations float64) float64 {
	root := (math.Sqrt(deviations*deviations+4*bound) - deviations) / 2
	return root * root
}

// times are what calls took: mean and spread of late, and the mean over a long past.
type times struct{ mean, dev, past, seen float64 }

// even are times of which nothing is known but a guess.
func even(guess float64) times { return times{mean: guess, dev: guess, past: guess} }

// measure weighs a new time by the weights of late and past, the first ones evenly.
func (m *times) measure(took, late, past float64) {
	m.seen++
	m.dev += max(late, 1/m.seen) * (max(math.Abs(took-m.mean), m.mean/2/m.seen) - m.dev)
	m.mean += max(late, 1/m.seen) * (took - m.mean)
	m.past += max(past, 1/m.seen) * (took - m.past)
}
