package referee

// This file owns what the referee holds of a message from its hand-in to its judgement: its due time, its place among
// those of its ordering key, and the break of a promise that nobody kept. It must never keep a message that is judged.

import (
	"container/heap"
	"slices"

	"flaxcove/choice"
	"flaxcove/lab/world"
)

const (
	lateDeliveryPeriod = 10 * choice.Second        // after its deadline, in which a message that is delivered late still counts
	returnGrace        = 1500 * choice.Millisecond // after its sender is back, for what was overdue meanwhile
	awayRecheck        = 500 * choice.Millisecond  // at what is overdue while its sender is away
)

// message is what is known of one hand-in.
type message struct {
	handIn    *world.HandIn
	dueAt     Time // when it is judged
	accepted  bool
	refused   bool
	delivered bool
	ended     bool
	end       world.End
	runs      int
	inFlight  int  // attempts that are out
	mayRun    bool // an attempt that is no longer out may have run
	mayRunAt  Time // when the first such one left
	mayRunIn  int  // the zone that it went to
}

// over tells that nothing more is owed.
func (n *message) over() bool { return n.delivered || n.ended || n.refused }

// owed tells that its sender took it on and it has no end.
func (n *message) owed() bool { return n.accepted && !n.delivered && !n.ended }

// dues is container/heap's, the next one to be judged first.
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

// requestState is what is known of one wish of a client, which may hand in several times.
type requestState struct{ credited bool }

// orderKey names an ordering key at one sender.
type orderKey struct {
	sender  world.SenderNo
	partner int
	key     int
}

// judgeDue judges what was due by now.
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

// excused tells until when a sender is not blamed for what is overdue: it has until shortly after its return.
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

// forgetRequests drops the requests whose late deliveries no longer count.
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

// drop forgets a message that is judged.
func (r *Referee) drop(n *message) {
	delete(r.messages, n.handIn)
	r.leaveKeyQueue(n)
}

// orderKeyOf is the ordering key of a hand-in, and whether order counts for it.
func (r *Referee) orderKeyOf(h *world.HandIn) (orderKey, bool) {
	return orderKey{h.Sender, h.Request.Partner, h.Request.Key}, h.Request.Class.Ordered
}

// leaveKeyQueue takes a message out of the line of its key.
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

// Pending is how many messages are still owed an end, or may yet be sent.
func (r *Referee) Pending() (count int) {
	for _, n := range r.messages {
		if n.owed() || n.inFlight > 0 {
			count++
		}
	}
	return count
}
