package world

// This file models a partner's rate limit.

import (
	"math"
)

// limit is a partner's rate limit over all senders: a token bucket, or a number of calls in each span of time.
type limit struct {
	perSecond float64
	span      Time    // length of a span; 0 for a token bucket
	tokens    float64 // tokens in the bucket at updatedAt; below 0 after refused calls that count
	updatedAt Time
	spanNo    Time    // number of the span that used refers to
	used      float64 // calls in that span
}

// take admits one call if the limit allows it; else wait is the time until the next call is allowed. The parameter share is
// the share of the limit that faults leave.
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
	l.tokens = min(size, l.tokens+rate*float64(now-l.updatedAt)/float64(Second))
	l.updatedAt = now
	// If the caller waited exactly as long as it was told to, a rounding error may leave the tokens just below 1.
	if l.tokens >= 1-1e-9 {
		l.tokens--
		return true, 0
	}
	if countRefused {
		l.tokens = max(-size, l.tokens-1)
	}
	return false, Time(math.Ceil((1 - l.tokens) / rate * float64(Second)))
}

// unusedShare returns the unused share of what the limit allows at once: the bucket's size, or the calls of one span.
func (l *limit) unusedShare(now Time, share float64) float64 {
	rate := max(1e-6, l.perSecond*share)
	if l.span > 0 {
		if now/l.span != l.spanNo {
			return 1
		}
		return max(0, 1-l.used/max(1, math.Floor(rate*float64(l.span)/float64(Second))))
	}
	size := max(1, rate*0.4)
	return min(1, max(0, (l.tokens+rate*float64(now-l.updatedAt)/float64(Second))/size))
}

// newLimit draws the rate limit of a partner, divided by parts if each of its endpoints has a limit of its own.
func (w *World) newLimit(kind *PartnerKind, p *Partner, parts float64) *limit {
	rate := max(kind.LeastRate, w.Spec.Load.Rate*p.Share*w.drawWithin(kind.LimitTimes, "limit", int64(p.No))) / parts
	l := &limit{perSecond: rate, tokens: max(1, rate*0.4)}
	if kind.Limit == "span" {
		l.span = seconds(kind.SpanS)
	}
	return l
}

// limitOf returns the limit that applies to an endpoint: its own, else its partner's, or nil if there is none.
func (e *Endpoint) limitOf() *limit {
	if e.limit != nil {
		return e.limit
	}
	return e.Partner.limit
}
