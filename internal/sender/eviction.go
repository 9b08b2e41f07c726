package sender

// This file evicts what a sender holds of a destination (learned state and idle links) on orders of the cluster, and passes
// learned state to and from other senders. The cluster decides which destinations are evicted. A destination stays while it
// has pending messages or busy links, or while package choice needs it. Learned state of other senders never replaces what
// this sender has learned.

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
	// Estimated memory of one endpoint and one link, in bytes. An endpoint counts with its entries in the tables here and in
	// package choice, a link with its buffers (netpoll's first blocks for reading and writing). The estimates serve to
	// compare destinations, not to account for the heap.
	endpointBytesEstimate = 1 << 10
	linkBytesEstimate     = 8 << 10
	// maxRememberedEvicted limits the number of destinations remembered as evicted. When it is reached, all are forgotten
	// at once: a forgotten destination that is used again is learned from scratch, as without a cluster.
	maxRememberedEvicted = 8192
)

// evictionState is the part of a Sender that remembers which destinations were evicted.
type evictionState struct {
	evicted map[choice.DestinationID]struct{} // nil until the first eviction
}

// endpointsOf returns the endpoints of the matching destinations, sorted by id.
func (s *Sender) endpointsOf(matches func(choice.DestinationID) bool) (all []*endpoint) {
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		if e := s.endpoints[id]; matches(e.destination) {
			all = append(all, e)
		}
	}
	return all
}

// inSet returns a function that reports whether a destination is one of the given ones.
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

// holdings returns what this sender holds of each destination with links or learned state, sorted by destination.
func (s *Sender) holdings() (all []clusterapi.HeldState) {
	held := map[choice.DestinationID]*clusterapi.HeldState{}
	for _, e := range s.endpoints {
		if e.linkCount == 0 && !hasLearned(s.choice.LearnedState(e.id)) {
			continue
		}
		h := held[e.destination]
		if h == nil {
			h = &clusterapi.HeldState{Destination: e.destination}
			h.Calls, h.InUse = s.learnedStore.LearnedCalls(e.destination)
			held[e.destination] = h
		}
		h.Bytes += endpointBytesEstimate + e.linkCount*linkBytesEstimate
		h.InUse = h.InUse || e.hasBusyLinks()
	}
	for _, m := range s.pending {
		if h := held[m.Destination]; h != nil {
			h.InUse = true
		}
	}
	for _, d := range slices.Sorted(maps.Keys(held)) {
		all = append(all, *held[d])
	}
	return all
}

// hasBusyLinks reports whether a link carries a call or is being dialled.
func (e *endpoint) hasBusyLinks() bool { return e.linkCount > len(e.idle) }

// evictDestinations evicts destinations, and returns those that it retains because they are in use.
func (s *Sender) evictDestinations(all []choice.DestinationID) (retained []choice.DestinationID) {
	busy := map[choice.DestinationID]bool{} // with pending messages or busy links
	for _, m := range s.pending {
		busy[m.Destination] = true
	}
	endpoints := map[choice.DestinationID][]*endpoint{}
	for _, e := range s.endpointsOf(inSet(all)) {
		endpoints[e.destination] = append(endpoints[e.destination], e)
		busy[e.destination] = busy[e.destination] || e.hasBusyLinks()
	}
	for _, d := range all {
		if _, inUse := s.learnedStore.LearnedCalls(d); inUse || busy[d] {
			retained = append(retained, d)
			continue
		}
		s.evictDestination(d, endpoints[d])
	}
	return retained
}

// evictDestination drops the learned state and the idle links of a destination's endpoints, and remembers the eviction.
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

// dropLearned drops the learned state of an endpoint, and closes its idle links.
func (s *Sender) dropLearned(e *endpoint) {
	s.learnedStore.ReplaceLearnedState(e.id, nil)
	s.closeIdleLinks(e, endpointEvicted)
	e.lastAnswerAt, e.reportedLimit, e.reportedLimitAt = 0, 0, 0
}

// purgeLearned applies a purge of learned state, in memory and on disk, and returns the number of endpoints affected.
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

// requestLearnedState asks the region for the learned state of an evicted destination when the first message for it is
// submitted. It does nothing if the destination was not evicted.
func (s *Sender) requestLearnedState(d choice.DestinationID) {
	if _, evicted := s.evicted[d]; evicted {
		delete(s.evicted, d)
		s.cluster.RequestLearnedState(d)
	}
}

// exportLearned returns the learned state of the endpoints of some destinations, or of all if none is named. The age of
// each is that of the last answer it is based on.
func (s *Sender) exportLearned(destinations []choice.DestinationID) (all []clusterapi.LearnedEndpoint) {
	now := s.Now()
	matches := inSet(destinations)
	if len(destinations) == 0 {
		matches = func(choice.DestinationID) bool { return true }
	}
	for _, e := range s.endpointsOf(matches) {
		l := s.choice.LearnedState(e.id)
		if !hasLearned(l) {
			continue
		}
		answeredAt := e.lastAnswerAt
		if answeredAt == 0 { // the answer came before this sender joined; the start is the earliest time for it
			answeredAt = now - config.RoundDown(int64(s.sinceStart()))
		}
		age := max(0, config.Nanoseconds(now-answeredAt))
		all = append(all, clusterapi.LearnedEndpoint{Endpoint: e.id, LearnedState: l, Age: time.Duration(age)})
	}
	return all
}

// adoptLearned adopts learned state of other senders for endpoints that have no learned state here. The wait of each is
// reduced by its age.
func (s *Sender) adoptLearned(learned []clusterapi.LearnedEndpoint) {
	for _, l := range learned {
		e := s.endpoints[l.Endpoint]
		if e == nil || e.gone || !isPlausible(l.LearnedState) || l.Age < 0 || hasLearned(s.choice.LearnedState(e.id)) {
			continue
		}
		age := config.RoundUp(int64(l.Age))
		l.LearnedState.Wait = max(0, l.LearnedState.Wait-age)
		s.learnedStore.ReplaceLearnedState(e.id, &l.LearnedState)
		e.lastAnswerAt = s.Now() - age
		s.counts.learnedAdopted++
	}
}
