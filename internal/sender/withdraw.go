package sender

// This file tells what an order to withdraw means. It is pure: nothing here knows the loop, a clock or a table.

import (
	"strings"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/config"
	"flaxcove/internal/sender/together"
)

// withdrawal is a purge as this process applies it: what was taken on after cut is not touched.
type withdrawal struct {
	together.Purge
	cut choice.Time
}

// since works out the cut from the time at which a purge came and its age.
func since(p together.Purge, at choice.Time) withdrawal {
	return withdrawal{p, at - config.Down(int64(max(0, p.Age)/time.Nanosecond))}
}

// takes tells whether a notice is meant that was taken on at a time; 0 stands for long ago. Keys are compared as the
// program writes them, not as the numbers that they stand for.
func (w *withdrawal) takes(d choice.DestinationID, workload, key string, takenAt choice.Time) bool {
	m := &w.Match
	if w.Learnt || *m == (together.Match{}) {
		return false // an order that names nothing must not take all
	}
	return (m.Destination == nil || *m.Destination == d) && (m.Workload == "" || m.Workload == workload) &&
		(m.Key == "" || m.Key == key) && strings.HasPrefix(key, m.KeyPrefix) && takenAt <= w.cut
}

// forgets tells whether what was learnt of a destination is void. What is learnt hangs on endpoints alone, so an order
// that names a workload or a key as well forgets nothing.
func (w *withdrawal) forgets(d choice.DestinationID) bool {
	m := w.Match
	if !w.Learnt || m.Destination == nil || *m.Destination != d {
		return false
	}
	m.Destination = nil
	return m == together.Match{}
}
