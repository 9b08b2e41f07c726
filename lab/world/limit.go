package world

// This file models a partner's rate limit.

import (
	"math"
)

// limit is a partner's rate limit over all senders: a token bucket, or a number of calls in each span of time.
type limit struct {
	perSecond float64
	span      Time // 0 for a token bucket
	level     float64
	at        Time
	spanNo    Time
	used      float64
}

// take admits one call if the limit allows it; else wait is the time until the next one is allowed.
func (l *limit) take(now Time, share float64, countRefused bool) (ok bool, wait Time) {
	rate := max(1e-6, l.perSecond*share)
	if l.span > 0 {
		if no := now / l.span; no != l.spanNo {
			l.spanNo, l.used = no, 0
		}
		allowed := max(1, math.Floor(rate*float64(l.span)/float64(Second)))
		if l.used+1 <= allowed {
			l.used++
			return true, 0
		}
		if countRefused {
			l.used++
		}
		return false, (l.spanNo+1)*l.span - now
	}
	size := max(1, rate*0.4)
	l.level = min(size, l.level+rate*float64(now-l.at)/float64(Second))
	l.at = now
	// After exactly the wait that was named, the level may be below one by a rounding error.
	if l.level >= 1-1e-9 {
		l.level--
		return true, 0
	}
	if countRefused {
		l.level = max(-size, l.level-1)
	}
	return false, Time(math.Ceil((1 - l.level) / rate * float64(Second)))
}

// left is the unused share of the allowance.
func (l *limit) left(now Time, share float64) float64 {
	rate := max(1e-6, l.perSecond*share)
	if l.span > 0 {
		if now/l.span != l.spanNo {
			return 1
		}
		return max(0, 1-l.used/max(1, math.Floor(rate*float64(l.span)/float64(Second))))
	}
	size := max(1, rate*0.4)
	return min(1, max(0, (l.level+rate*float64(now-l.at)/float64(Second))/size))
}

func (w *World) newLimit(kind *Kind, p *Partner, parts float64) *limit {
	rate := max(kind.LeastRate, w.Spec.Load.Rate*p.Share*w.within(kind.LimitTimes, "limit", int64(p.No))) / parts
	l := &limit{perSecond: rate, level: max(1, rate*0.4)}
	if kind.Limit == "span" {
		l.span = seconds(kind.SpanS)
	}
	return l
}

// limitOf is the limit that applies to an endpoint, or nil.
func (e *Endpoint) limitOf() *limit {
	if e.limit != nil {
		return e.limit
	}
	return e.Partner.limit
}
