package world

// This file draws random numbers from the seed and a name for what is drawn. It must not keep state: then a number would
// depend on the order of draws.

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// draw returns a number in [0, 1). It depends on the seed, the name and the numbers alone.
func (w *World) draw(name string, numbers ...int64) float64 {
	var buf [96]byte
	key := binary.LittleEndian.AppendUint64(buf[:0], w.seed)
	key = append(key, name...)
	for _, n := range numbers {
		key = binary.LittleEndian.AppendUint64(key, uint64(n))
	}
	return float64(xxhash.Sum64(key)>>11) / (1 << 53)
}

func (w *World) within(p Pair, name string, numbers ...int64) float64 {
	return p[0] + (p[1]-p[0])*w.draw(name, numbers...)
}

// logNormal maps a uniform u to a log-normal distribution with the given mean.
func logNormal(mean, sigma, u float64) float64 {
	u = min(max(u, 1e-9), 1-1e-9)
	return mean * math.Exp(sigma*math.Sqrt2*math.Erfinv(2*u-1)-sigma*sigma/2)
}

func seconds(s float64) Time { return Time(math.Round(s * float64(Second))) }

func ms(v float64) Time { return Time(math.Round(v * float64(Millisecond))) }
