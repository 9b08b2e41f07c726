package referee

// This file holds the state of a message from its hand-in until it is judged: when that is due, and its place in the queue
// of its ordering key. A message must be dropped once it is judged.

import (
	"container/heap"
	"slices"

	"flaxcove/choice"
	"flaxcove/lab/world"
)

const (
	lateDeliveryPeriod = 10 * choice.Second        // a delivery this long after the deadline still counts
	returnGrace        = 1500 * choice.Millisecond // for overdue messages after their sender is back
	awayRecheck        = 500 * choice.Millisecond  // interval of checks for overdue messages of an unavailable sender
)

// message is the state of one hand-in.
type message struct {
	handIn    *world.HandIn
	dueAt     Time // when it must have ended
	accepted  bool
	refused   bool
	delivered bool
	ended     bool
	end       world.End
	runs      int
	inFlight  int  // attempts in flight
	mayRun    bool // an attempt that is no longer in flight may have been executed
	mayRunAt  Time // when the first such attempt left
	mayRunIn  int  // the zone it went to
}

// over reports whether the message has ended.
func (n *message) over() bool { return n.delivered || n.ended || n.refused }

// owed reports whether its sender accepted it and it has not ended.
func (n *message) owed() bool { return n.accepted && !n.delivered && !n.ended }

// dues is a heap of messages by the time they are due.
type dues []*message

func (d dues) Len() int { return len(d) }

func (d dues) Less(i, j int) bool {
	return d[i].dueAt < d[j].dueAt || d[i].dueAt == d[j].dueAt && d[i].handIn.ID < d[j].handIn.ID
}

func (d dues) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

func (d *dues) Push(x any) { *d = append(*d, x.(*message)) }

func (d *dues) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return x
}

// requestState is the state of one request of a client, which may be handed in several times.
type requestState struct{ credited bool }

// orderKey identifies an ordering key at one sender.
type orderKey struct {
	sender  world.SenderNo
	partner int
	key     int
}

// judgeDue judges the messages that are due by now.
func (r *Referee) judgeDue() {
	r.forgetRequests()
	now := r.clock()
	for len(r.due) > 0 && r.due[0].dueAt < now {
		n := r.due[0]
		if n.owed() {
			if later, excused := r.excused(n.handIn.Sender); excused {
				n.dueAt = later
				heap.Fix(&r.due, 0)
				continue
			}
			r.violated(Lost, n.handIn.Sender, "%s was taken on at %.3f s and had no final answer by its hard stop at %.3f s",
				n.handIn.ID, sec(n.handIn.At), sec(n.handIn.Deadline))
		}
		heap.Pop(&r.due)
		r.drop(n)
	}
}

// excused reports whether a sender is not to blame for overdue messages, and until when: it gets returnGrace after its
// return.
func (r *Referee) excused(no world.SenderNo) (until Time, excused bool) {
	now, s := r.clock(), &r.senders[no]
	switch {
	case !s.up || s.away > 0:
		return now + awayRecheck, true
	case now < s.upAt+returnGrace:
		return s.upAt + returnGrace, true
	}
	return 0, false
}

// forgetRequests drops the requests that no delivery can count for any more.
func (r *Referee) forgetRequests() {
	now := r.clock()
	for i, line := range r.requestsByClass {
		for len(line) > 0 && line[0].Deadline+lateDeliveryPeriod < now {
			delete(r.requests, line[0])
			line[0] = nil
			line = line[1:]
		}
		r.requestsByClass[i] = line
	}
}

// drop forgets a message after it is judged.
func (r *Referee) drop(n *message) {
	delete(r.messages, n.handIn)
	r.leaveKeyQueue(n)
}

// orderKeyOf is the ordering key of a hand-in, and whether its class is ordered.
func (r *Referee) orderKeyOf(h *world.HandIn) (orderKey, bool) {
	return orderKey{h.Sender, h.Request.Partner, h.Request.Key}, h.Request.Class.Ordered
}

// leaveKeyQueue removes a message from the queue of its ordering key.
func (r *Referee) leaveKeyQueue(n *message) {
	key, ordered := r.orderKeyOf(n.handIn)
	if !ordered {
		return
	}
	line := slices.DeleteFunc(r.keyQueues[key], func(other *message) bool { return other == n })
	if len(line) > 0 {
		r.keyQueues[key] = line
		return
	}
	delete(r.keyQueues, key)
	if r.keyRestUntil[key] < r.clock() {
		delete(r.keyRestUntil, key)
	}
}

// Pending is the number of messages that have not ended or have an attempt in flight.
func (r *Referee) Pending() (count int) {
	for _, n := range r.messages {
		if n.owed() || n.inFlight > 0 {
			count++
		}
	}
	return count
}
