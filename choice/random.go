package choice

import (
	"encoding/binary"
	"hash/crc32"
)

// randomSource is a reproducible source of random numbers. Each draw is a hash of the sender's id, the seed, an id that
// the caller passes, and a counter.
type randomSource struct {
	seed  []byte
	draws uint64
}

func newRandomSource(id SenderID, seed int64) randomSource {
	return randomSource{seed: binary.LittleEndian.AppendUint64([]byte(id), uint64(seed))}
}

// fraction returns a uniform random number in [0, 1).
func (r *randomSource) fraction(id string) float64 {
	r.draws++
	sum := crc32.ChecksumIEEE(r.seed)
	sum = crc32.Update(sum, crc32.IEEETable, []byte(id))
	sum = crc32.Update(sum, crc32.IEEETable, binary.LittleEndian.AppendUint64(nil, r.draws))
	return float64(sum) / (1 << 32)
}

// jitter returns a uniform random duration in (0, ceiling], and at least 1.
func (r *randomSource) jitter(id string, ceiling Time) Time {
	return max(1, roundUp(r.fraction(id)*float64(ceiling)))
}
