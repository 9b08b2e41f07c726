package sender

// This file lets go: it owns what a sender holds of destinations (what was learnt, idle links) as it is handed over,
// dropped and taught again, on order. Which destination goes is decided elsewhere; this file must never let go of one
// with anything open, nor of what the module says must stay, and never put what others know above what was seen here.

import (
	"maps"
	"slices"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/config"
	"flaxcove/internal/sender/together"
	"flaxcove/internal/sender/withdrawal"
)

const (
	// What one endpoint and one idle link take, about: the endpoint here and in the module with their places in tables;
	// a link's buffers (netpoll's first blocks for reading and writing) and the link itself. Estimates for weighing
	// destinations against each other, not an account of the heap.
	endpointBytes = 1 << 10
	linkBytes     = 8 << 10
	// So many destinations are known to have been let go. Beyond, all are forgotten at once: one of them that wakes then
	// learns anew, as without a cluster.
	mostEvicted = 8192
)

type holding struct {
	evicted map[choice.DestinationID]struct{}
}

// ends are the endpoints of a destination, by id.
func (s *Sender) ends(of func(choice.DestinationID) bool) (all []*endpoint) {
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		if e := s.endpoints[id]; of(e.destination) {
			all = append(all, e)
		}
	}
	return all
}

func among(all []choice.DestinationID) func(choice.DestinationID) bool {
	set := map[choice.DestinationID]struct{}{}
	for _, d := range all {
		set[d] = struct{}{}
	}
	return func(d choice.DestinationID) bool {
		_, is := set[d]
		return is
	}
}

// held lists the destinations of which anything is held, by number.
func (s *Sender) held() (all []together.Held) {
	by := map[choice.DestinationID]*together.Held{}
	for _, e := range s.endpoints {
		k := s.module.Learnt(e.id)
		if e.linkCount == 0 && k.Seen == 0 && k.Wait == 0 && k.Limit == 0 {
			continue
		}
		h := by[e.destination]
		if h == nil {
			h = &together.Held{Destination: e.destination}
			h.Calls, h.Pinned = s.memory.Holds(e.destination)
			by[e.destination] = h
		}
		h.Bytes += endpointBytes + e.linkCount*linkBytes
		h.Pinned = h.Pinned || e.linkCount > len(e.idle)
	}
	for _, n := range s.pending {
		if h := by[n.Destination]; h != nil {
			h.Pinned = true
		}
	}
	for _, d := range slices.Sorted(maps.Keys(by)) {
		all = append(all, *by[d])
	}
	return all
}

// evict lets destinations go, and names those that stay.
func (s *Sender) evict(all []choice.DestinationID) (kept []choice.DestinationID) {
	open := map[choice.DestinationID]bool{}
	for _, n := range s.pending {
		open[n.Destination] = true
	}
	ends := map[choice.DestinationID][]*endpoint{}
	for _, e := range s.ends(among(all)) {
		ends[e.destination] = append(ends[e.destination], e)
		open[e.destination] = open[e.destination] || e.linkCount > len(e.idle)
	}
	for _, d := range all {
		if _, pinned := s.memory.Holds(d); pinned || open[d] {
			kept = append(kept, d)
			continue
		}
		for _, e := range ends[d] {
			s.void(e)
		}
		maps.DeleteFunc(s.learnt, func(_ choice.EndpointID, k learnt) bool { return k.Destination == d })
		if s.evicted == nil || len(s.evicted) >= mostEvicted {
			s.evicted = map[choice.DestinationID]struct{}{}
		}
		s.evicted[d] = struct{}{}
		s.counts.evicted++
	}
	return kept
}

// void drops what was learnt of an endpoint, and its idle links.
func (s *Sender) void(e *endpoint) {
	s.memory.Void(e.id, nil)
	s.closeIdleLinks(e, endpointEvicted)
	e.lastAnswerAt, e.reportedLimit, e.reportedLimitAt = 0, 0, 0
}

// forgetLearnt applies a purge of what was learnt, here, in what an earlier life left, and on disk, and counts the
// endpoints.
func (s *Sender) forgetLearnt(w *withdrawal.Order) (int, error) {
	gone := map[choice.EndpointID]struct{}{}
	onDisk, err := s.unlearn(w.Forgets)
	if err != nil {
		return 0, err
	}
	for _, id := range onDisk {
		gone[id] = struct{}{}
	}
	maps.DeleteFunc(s.learnt, func(_ choice.EndpointID, k learnt) bool { return w.Forgets(k.Destination) })
	for _, e := range s.ends(w.Forgets) {
		s.void(e)
		gone[e.id] = struct{}{}
	}
	return len(gone), nil
}

// wakeUp asks the region about a destination that was let go, as the first message for it comes.
func (s *Sender) wakeUp(d choice.DestinationID) {
	if _, was := s.evicted[d]; was {
		delete(s.evicted, d)
		s.cluster.Woke(d)
	}
}

// know hands over what was learnt, with the age of the last answer that it rests on.
func (s *Sender) know(of []choice.DestinationID) (all []together.Lesson) {
	now := s.Now()
	which := among(of)
	if len(of) == 0 {
		which = func(choice.DestinationID) bool { return true }
	}
	for _, e := range s.ends(which) {
		if k := s.module.Learnt(e.id); k.Seen > 0 || k.Limit > 0 || k.Wait > 0 {
			heard := e.lastAnswerAt
			if heard == 0 { // before this sender was joined, at the earliest at its start
				heard = now - config.Down(int64(s.sinceStart()))
			}
			age := max(0, config.Nanoseconds(now-heard))
			all = append(all, together.Lesson{Endpoint: e.id, Learnt: k, Age: time.Duration(age)})
		}
	}
	return all
}

// teach tells the module what others learnt of endpoints of which nothing is known here. A wait has run on meanwhile.
func (s *Sender) teach(lessons []together.Lesson) {
	for _, l := range lessons {
		e := s.endpoints[l.Endpoint]
		if e == nil || e.gone || !sensible(l.Learnt) || l.Age < 0 {
			continue
		}
		if k := s.module.Learnt(e.id); k.Seen > 0 || k.Wait > 0 || k.Limit > 0 {
			continue
		}
		age := config.Up(int64(l.Age))
		l.Learnt.Wait = max(0, l.Learnt.Wait-age)
		s.memory.Void(e.id, &l.Learnt)
		e.lastAnswerAt = s.Now() - age
		s.counts.taught++
	}
}
