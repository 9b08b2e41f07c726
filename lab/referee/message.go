package referee

// This file holds the state of messages from their hand-in until they are judged: the time by which each must have ended,
// and the queues of ordering keys. A message must be dropped once it is judged.

import (
	"container/heap"
	"slices"

	"flaxcove/choice"
	"flaxcove/lab/world"
)

const (
	lateDeliveryPeriod = 10 * choice.Second        // deliveries until this long after the deadline count
	returnGrace        = 1500 * choice.Millisecond // time that a sender has for overdue messages after it is back
	unavailableRecheck = 500 * choice.Millisecond  // interval of the checks of overdue messages of an unavailable sender
)

// message is the state of one hand-in.
type message struct {
	handIn    *world.HandIn
	dueAt     Time // when the message must have ended
	accepted  bool
	refused   bool // the sender shed the message or answered the hand-in with an error
	delivered bool
	ended     bool // an outcome callback reported the end
	end       world.End
	runs      int  // number of executions
	inFlight  int  // number of attempts in flight
	mayRun    bool // an attempt that is no longer in flight may have been executed
	mayRunAt  Time // when the first such attempt left
	mayRunIn  int  // zone of the endpoint that the first such attempt went to
}

// hasEnded reports whether the message was delivered, rejected, or ended by an outcome callback.
func (n *message) hasEnded() bool { return n.delivered || n.ended || n.refused }

// outstanding reports whether the sender accepted the message and has not ended it.
func (n *message) outstanding() bool { return n.accepted && !n.delivered && !n.ended }

// dueHeap is a heap of messages by the time at which they must have ended.
type dueHeap []*message

func (d dueHeap) Len() int { return len(d) }

func (d dueHeap) Less(i, j int) bool {
	return d[i].dueAt < d[j].dueAt || d[i].dueAt == d[j].dueAt && d[i].handIn.ID < d[j].handIn.ID
}

func (d dueHeap) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

func (d *dueHeap) Push(x any) { *d = append(*d, x.(*message)) }

func (d *dueHeap) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return x
}

// requestState is the state of one request of a client. It is credited once one of its hand-ins was delivered and accepted.
type requestState struct{ credited bool }

// orderKey identifies an ordering key at one sender.
type orderKey struct {
	sender  world.SenderNo
	partner int
	key     int
}

// checkDue judges and drops the messages that must have ended by now.
func (r *Referee) checkDue() {
	r.forgetRequests()
	now := r.clock()
	for len(r.due) > 0 && r.due[0].dueAt < now {
		n := r.due[0]
		if n.outstanding() {
			if later, excused := r.excused(n.handIn.Sender); excused {
				n.dueAt = later
				heap.Fix(&r.due, 0)
				continue
			}
			r.addViolation(Lost, n.handIn.Sender, "%s was taken on at %.3f s and had no final answer by its hard stop at %.3f s",
				n.handIn.ID, inSeconds(n.handIn.At), inSeconds(n.handIn.Deadline))
		}
		heap.Pop(&r.due)
		r.drop(n)
	}
}

// excused reports whether a sender is excused for overdue messages, and until when. It is excused while it is down or
// unavailable, and for returnGrace after that.
func (r *Referee) excused(no world.SenderNo) (until Time, excused bool) {
	now, s := r.clock(), &r.senders[no]
	switch {
	case !s.up || s.unavailable > 0:
		return now + unavailableRecheck, true
	case now < s.upAt+returnGrace:
		return s.upAt + returnGrace, true
	}
	return 0, false
}

// forgetRequests drops the requests for which a delivery no longer counts.
func (r *Referee) forgetRequests() {
	now := r.clock()
	for i, queue := range r.requestsByClass {
		for len(queue) > 0 && queue[0].Deadline+lateDeliveryPeriod < now {
			delete(r.requests, queue[0])
			queue[0] = nil
			queue = queue[1:]
		}
		r.requestsByClass[i] = queue
	}
}

// drop forgets a message that is judged.
func (r *Referee) drop(n *message) {
	delete(r.messages, n.handIn)
	r.leaveKeyQueue(n)
}

// orderKeyOf returns the ordering key of a hand-in, and whether its class is ordered.
func (r *Referee) orderKeyOf(h *world.HandIn) (orderKey, bool) {
	return orderKey{h.Sender, h.Request.Destination, h.Request.Key}, h.Request.Class.Ordered
}

// leaveKeyQueue removes a message from the queue of its ordering key, and forgets the key if that was its last message.
func (r *Referee) leaveKeyQueue(n *message) {
	key, ordered := r.orderKeyOf(n.handIn)
	if !ordered {
		return
	}
	queue := slices.DeleteFunc(r.keyQueues[key], func(other *message) bool { return other == n })
	if len(queue) > 0 {
		r.keyQueues[key] = queue
		return
	}
	delete(r.keyQueues, key)
	if r.keyPausedUntil[key] < r.clock() {
		delete(r.keyPausedUntil, key)
	}
}

// Pending returns the number of messages that were accepted and have not ended, or that have an attempt in flight.
func (r *Referee) Pending() (count int) {
	for _, n := range r.messages {
		if n.outstanding() || n.inFlight > 0 {
			count++
		}
	}
	return count
}
