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
	endpointBytesEstimate = 1 << 10
	linkBytesEstimate     = 8 << 10
	// So many destinations are known to have been let go. Beyond, all are forgotten at once: one of them that wakes then
	// learns anew, as without a cluster.
	maxRememberedEvicted = 8192
)

type evictionState struct {
	evicted map[choice.DestinationID]struct{}
}

// endpointsOf are the endpoints of a destination, by id.
func (s *Sender) endpointsOf(of func(choice.DestinationID) bool) (all []*endpoint) {
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		if e := s.endpoints[id]; of(e.destination) {
			all = append(all, e)
		}
	}
	return all
}

func inSet(all []choice.DestinationID) func(choice.DestinationID) bool {
	set := map[choice.DestinationID]struct{}{}
	for _, d := range all {
		set[d] = struct{}{}
	}
	return func(d choice.DestinationID) bool {
		_, is := set[d]
		return is
	}
}

// holdings lists the destinations of which anything is held, by number.
func (s *Sender) holdings() (all []together.Held) {
	by := map[choice.DestinationID]*together.Held{}
	for _, e := range s.endpoints {
		k := s.module.Learnt(e.id)
		if e.linkCount == 0 && k.Seen == 0 && k.Wait == 0 && k.Limit == 0 {
			continue
		}
		h := by[e.destination]
		if h == nil {
			h = &together.Held{Destination: e.destination}
			h.Calls, h.Pinned = s.learnedStore.Holds(e.destination)
			by[e.destination] = h
		}
		h.Bytes += endpointBytesEstimate + e.linkCount*linkBytesEstimate
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

// evictDestinations lets destinations go, and names those that stay.
func (s *Sender) evictDestinations(all []choice.DestinationID) (retained []choice.DestinationID) {
	open := map[choice.DestinationID]bool{}
	for _, n := range s.pending {
		open[n.Destination] = true
	}
	ends := map[choice.DestinationID][]*endpoint{}
	for _, e := range s.endpointsOf(inSet(all)) {
		ends[e.destination] = append(ends[e.destination], e)
		open[e.destination] = open[e.destination] || e.linkCount > len(e.idle)
	}
	for _, d := range all {
		if _, pinnedByModule := s.learnedStore.Holds(d); pinnedByModule || open[d] {
			retained = append(retained, d)
			continue
		}
		for _, e := range ends[d] {
			s.dropLearned(e)
		}
		maps.DeleteFunc(s.learned, func(_ choice.EndpointID, k learnedEntry) bool { return k.Destination == d })
		if s.evicted == nil || len(s.evicted) >= maxRememberedEvicted {
			s.evicted = map[choice.DestinationID]struct{}{}
		}
		s.evicted[d] = struct{}{}
		s.counts.evicted++
	}
	return retained
}

// dropLearned drops what was learnt of an endpoint, and its idle links.
func (s *Sender) dropLearned(e *endpoint) {
	s.learnedStore.Void(e.id, nil)
	s.closeIdleLinks(e, endpointEvicted)
	e.lastAnswerAt, e.reportedLimit, e.reportedLimitAt = 0, 0, 0
}

// purgeLearned applies a purge of what was learnt, here, in what an earlier life left, and on disk, and counts the
// endpoints.
func (s *Sender) purgeLearned(w *withdrawal.Order) (int, error) {
	gone := map[choice.EndpointID]struct{}{}
	onDisk, err := s.deleteLearned(w.Forgets)
	if err != nil {
		return 0, err
	}
	for _, id := range onDisk {
		gone[id] = struct{}{}
	}
	maps.DeleteFunc(s.learned, func(_ choice.EndpointID, k learnedEntry) bool { return w.Forgets(k.Destination) })
	for _, e := range s.endpointsOf(w.Forgets) {
		s.dropLearned(e)
		gone[e.id] = struct{}{}
	}
	return len(gone), nil
}

// wakeDestination asks the region about a destination that was let go, as the first message for it comes.
func (s *Sender) wakeDestination(d choice.DestinationID) {
	if _, was := s.evicted[d]; was {
		delete(s.evicted, d)
		s.cluster.Woke(d)
	}
}

// learnedLessons hands over what was learnt, with the age of the last answer that it rests on.
func (s *Sender) learnedLessons(of []choice.DestinationID) (all []together.Lesson) {
	now := s.Now()
	which := inSet(of)
	if len(of) == 0 {
		which = func(choice.DestinationID) bool { return true }
	}
	for _, e := range s.endpointsOf(which) {
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

// adoptLessons tells the module what others learnt of endpoints of which nothing is known here. A wait has run on meanwhile.
func (s *Sender) adoptLessons(lessons []together.Lesson) {
	for _, l := range lessons {
		e := s.endpoints[l.Endpoint]
		if e == nil || e.gone || !isPlausible(l.Learnt) || l.Age < 0 {
			continue
		}
		if k := s.module.Learnt(e.id); k.Seen > 0 || k.Wait > 0 || k.Limit > 0 {
			continue
		}
		age := config.Up(int64(l.Age))
		l.Learnt.Wait = max(0, l.Learnt.Wait-age)
		s.learnedStore.Void(e.id, &l.Learnt)
		e.lastAnswerAt = s.Now() - age
		s.counts.taught++
	}
}
