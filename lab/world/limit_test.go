package world

import (
	"testing"

	"pgregory.net/rapid"
)

// A limit of either form admits no more calls than its rate allows over any period, and a call after the wait that it
// returned is admitted.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l := &limit{perSecond: rapid.Float64Range(1, 50).Draw(r, "rate")}
		if rapid.Bool().Draw(r, "span") {
			l.span = Time(rapid.IntRange(1, 3).Draw(r, "length")) * Second
		}
		took, now := 0, Time(0)
		for now < 30*Second {
			ok, wait := l.take(now, 1, false)
			if ok {
				took++
				now += Time(rapid.IntRange(1, 500).Draw(r, "gap"))
				continue
			}
			now += wait
			if again, _ := l.take(now, 1, false); !again {
				r.Fatalf("take refused a call after the wait of %d that it had returned", wait)
			}
			took++
		}
		burst := max(1, l.perSecond*0.4)
		if l.span > 0 {
			burst = l.perSecond * float64(l.span) / float64(Second)
		}
		if most := l.perSecond*float64(now)/float64(Second) + burst + 2; l.perSecond >= 1 && float64(took) > most*1.01+float64(now/Second) {
			r.Fatalf("%d calls admitted, the limit allows at most %g", took, most)
		}
	})
}
