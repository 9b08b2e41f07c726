package sender

// This file owns what a sender holds of destinations, learned state and idle links, as the cluster has it handed over,
// evicted and taught again. Which destination is evicted is decided elsewhere. None is evicted while anything of it is
// open or package choice says that it must stay, and what others know never replaces what was learned here.

import (
	"maps"
	"slices"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/config"
	"flaxcove/internal/sender/clusterapi"
	"flaxcove/internal/sender/withdrawal"
)

const (
	// What one endpoint and one idle link take, about: the endpoint here and in package choice with its places in tables;
	// a link with its buffers (netpoll's first blocks for reading and writing). Estimates to weigh destinations against
	// each other by, not an account of the heap.
	endpointBytesEstimate = 1 << 10
	linkBytesEstimate     = 8 << 10
	// maxRememberedEvicted bounds the destinations that are known to have been evicted. Beyond it all are forgotten at
	// once: one of them that is used again then learns anew, as without a cluster.
	maxRememberedEvicted = 8192
)

// evictionState is the part of a Sender that remembers what was evicted.
type evictionState struct {
	evicted map[choice.DestinationID]struct{}
}

// endpointsOf are the endpoints of some destinations, by id.
func (s *Sender) endpointsOf(of func(choice.DestinationID) bool) (all []*endpoint) {
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		if e := s.endpoints[id]; of(e.destination) {
			all = append(all, e)
		}
	}
	return all
}

// inSet is whether a destination is one of these.
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
func (s *Sender) holdings() (all []clusterapi.Held) {
	by := map[choice.DestinationID]*clusterapi.Held{}
	for _, e := range s.endpoints {
		if e.linkCount == 0 && !isKnown(s.choice.LearnedState(e.id)) {
			continue
		}
		h := by[e.destination]
		if h == nil {
			h = &clusterapi.Held{Destination: e.destination}
			h.Calls, h.InUse = s.learnedStore.Holds(e.destination)
			by[e.destination] = h
		}
		h.Bytes += endpointBytesEstimate + e.linkCount*linkBytesEstimate
		h.InUse = h.InUse || e.hasBusyLinks()
	}
	for _, m := range s.pending {
		if h := by[m.Destination]; h != nil {
			h.InUse = true
		}
	}
	for _, d := range slices.Sorted(maps.Keys(by)) {
		all = append(all, *by[d])
	}
	return all
}

// hasBusyLinks reports whether a link carries a call or is coming up.
func (e *endpoint) hasBusyLinks() bool { return e.linkCount > len(e.idle) }

// evictDestinations evicts destinations, and returns those that stay.
func (s *Sender) evictDestinations(all []choice.DestinationID) (retained []choice.DestinationID) {
	open := map[choice.DestinationID]bool{} // with pending messages or busy links
	for _, m := range s.pending {
		open[m.Destination] = true
	}
	endpoints := map[choice.DestinationID][]*endpoint{}
	for _, e := range s.endpointsOf(inSet(all)) {
		endpoints[e.destination] = append(endpoints[e.destination], e)
		open[e.destination] = open[e.destination] || e.hasBusyLinks()
	}
	for _, d := range all {
		if _, mustStay := s.learnedStore.Holds(d); mustStay || open[d] {
			retained = append(retained, d)
			continue
		}
		s.evictDestination(d, endpoints[d])
	}
	return retained
}

func (s *Sender) evictDestination(d choice.DestinationID, endpoints []*endpoint) {
	for _, e := range endpoints {
		s.dropLearned(e)
	}
	maps.DeleteFunc(s.learned, func(_ choice.EndpointID, entry learnedEntry) bool { return entry.Destination == d })
	if s.evicted == nil || len(s.evicted) >= maxRememberedEvicted {
		s.evicted = map[choice.DestinationID]struct{}{}
	}
	s.evicted[d] = struct{}{}
	s.counts.evicted++
}

// dropLearned drops what was learned of an endpoint, and closes its idle links.
func (s *Sender) dropLearned(e *endpoint) {
	s.learnedStore.Void(e.id, nil)
	s.closeIdleLinks(e, endpointEvicted)
	e.lastAnswerAt, e.reportedLimit, e.reportedLimitAt = 0, 0, 0
}

// purgeLearned applies a purge of learned state, in memory and on disk, and counts the endpoints.
func (s *Sender) purgeLearned(o *withdrawal.Order) (int, error) {
	purged := map[choice.EndpointID]struct{}{}
	onDisk, err := s.deleteLearned(o.DropsLearned)
	if err != nil {
		return 0, err
	}
	for _, id := range onDisk {
		purged[id] = struct{}{}
	}
	maps.DeleteFunc(s.learned, func(_ choice.EndpointID, entry learnedEntry) bool { return o.DropsLearned(entry.Destination) })
	for _, e := range s.endpointsOf(o.DropsLearned) {
		s.dropLearned(e)
		purged[e.id] = struct{}{}
	}
	return len(purged), nil
}

// wakeDestination asks the region about an evicted destination when the first message for it comes.
func (s *Sender) wakeDestination(d choice.DestinationID) {
	if _, was := s.evicted[d]; was {
		delete(s.evicted, d)
		s.cluster.Woke(d)
	}
}

// learnedLessons are what was learned of some destinations, or of all if none is named, each with the age of the last
// answer that it rests on.
func (s *Sender) learnedLessons(of []choice.DestinationID) (all []clusterapi.LearnedEndpoint) {
	now := s.Now()
	which := inSet(of)
	if len(of) == 0 {
		which = func(choice.DestinationID) bool { return true }
	}
	for _, e := range s.endpointsOf(which) {
		l := s.choice.LearnedState(e.id)
		if !isKnown(l) {
			continue
		}
		answeredAt := e.lastAnswerAt
		if answeredAt == 0 { // before this sender joined; at its start at the earliest
			answeredAt = now - config.RoundDown(int64(s.sinceStart()))
		}
		age := max(0, config.Nanoseconds(now-answeredAt))
		all = append(all, clusterapi.LearnedEndpoint{Endpoint: e.id, LearnedState: l, Age: time.Duration(age)})
	}
	return all
}

// adoptLessons takes over what others learned of endpoints of which nothing is known here. A wait is shorter by the
// lesson's age.
func (s *Sender) adoptLessons(lessons []clusterapi.LearnedEndpoint) {
	for _, l := range lessons {
		e := s.endpoints[l.Endpoint]
		if e == nil || e.gone || !isPlausible(l.LearnedState) || l.Age < 0 || isKnown(s.choice.LearnedState(e.id)) {
			continue
		}
		age := config.RoundUp(int64(l.Age))
		l.LearnedState.Wait = max(0, l.LearnedState.Wait-age)
		s.learnedStore.Void(e.id, &l.LearnedState)
		e.lastAnswerAt = s.Now() - age
		s.counts.taught++
	}
}
