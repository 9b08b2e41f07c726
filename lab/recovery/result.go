package recovery

import (
	"fmt"
	"math"
	"time"
)

// This file judges what the endpoint received.

// Result is what the endpoint received in one run.
type Result struct {
	InOutage int // calls that reached it while it was out
	Served   int // calls that succeeded from its return to the end of the run

	// The next fields describe the overload window after the return in which the calls were the largest share of what
	// overloads the endpoint.

	Share float64       // calls divided by Bound; the endpoint is overloaded above 1
	Calls int           // calls in the window
	Bound float64       // most calls that do not overload the endpoint
	At    time.Duration // end of the window, since the return
	Told  float64       // share of the calls from senders of which a call had reached the endpoint while it was out
}

// String describes the result in one line.
func (r Result) String() string {
	return fmt.Sprintf("share %.2f (%d calls, bound %.1f, %.2f s after the return, told %.2f), %d calls in the outage, %d served after it",
		r.Share, r.Calls, r.Bound, r.At.Seconds(), r.Told, r.InOutage, r.Served)
}

// bound returns how many calls in an overload window do not overload an endpoint of a rating that returned a time ago.
func bound(rating float64, since time.Duration) float64 {
	const fewCalls = 30 // below it, chance adds more
	n := overloadFactor * rating * capacityShare(since) * overloadWindow.Seconds()
	if n < fewCalls {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// result judges the calls that the endpoint has received.
func (e *endpoint) result() Result {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := Result{}
	told := map[int]bool{}
	var window []receivedCall
	for _, call := range e.calls {
		if call.at.Before(e.upAt) {
			if !call.at.Before(e.downAt) {
				r.InOutage++
				told[call.sender] = true
			}
			continue
		}
		since := call.at.Sub(e.upAt)
		if since >= slowStartTime {
			break
		}
		window = append(window, call)
		for call.at.Sub(window[0].at) >= overloadWindow {
			window = window[1:]
		}
		r.take(window, told, bound(e.plan.Rating, since), since)
	}
	for _, at := range e.served {
		if at.After(e.upAt) {
			r.Served++
		}
	}
	return r
}

// take replaces the worst window by another one if that is worse.
func (r *Result) take(window []receivedCall, told map[int]bool, bound float64, since time.Duration) {
	share := float64(len(window)) / bound
	if share <= r.Share {
		return
	}
	aware := 0
	for _, call := range window {
		if told[call.sender] {
			aware++
		}
	}
	r.Share, r.Calls, r.Bound, r.At, r.Told = share, len(window), bound, since, float64(aware)/float64(len(window))
}
