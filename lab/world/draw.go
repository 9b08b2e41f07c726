package world

// This file draws random numbers from the seed and the name of the draw. It must not keep state, since a number would then
// depend on the order of draws.

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// draw returns a number in [0, 1) that depends on the seed, the name and the numbers alone.
func (w *World) draw(name string, numbers ...int64) float64 {
	var buf [96]byte
	key := binary.LittleEndian.AppendUint64(buf[:0], w.seed)
	key = append(key, name...)
	for _, n := range numbers {
		key = binary.LittleEndian.AppendUint64(key, uint64(n))
	}
	return float64(xxhash.Sum64(key)>>11) / (1 << 53)
}

// drawWithin draws a number from a range.
func (w *World) drawWithin(p Pair, name string, numbers ...int64) float64 {
	return p[0] + (p[1]-p[0])*w.draw(name, numbers...)
}

// logNormal maps a uniform u to a log-normal distribution with the given mean.
func logNormal(mean, sigma, u float64) float64 {
	u = min(max(u, 1e-9), 1-1e-9)
	return mean * math.Exp(sigma*math.Sqrt2*math.Erfinv(2*u-1)-sigma*sigma/2)
}

// seconds converts a number of seconds to Time.
func seconds(s float64) Time { return Time(math.Round(s * float64(Second))) }

// ms converts a number of milliseconds to Time.
func ms(v float64) Time { return Time(math.Round(v * float64(Millisecond))) }
