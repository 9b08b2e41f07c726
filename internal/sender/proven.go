package sender

// This file finds out, at a start, which destinations worked shortly before: package choice calls the others with caution until
// they have answered, since an outage may have begun or ended while no process ran. The journal shows it: a message that was
// closed without an ending was delivered. A sender whose folder is new has no earlier process, and shows no caution.

import (
	"flaxcove/choice"
)

// provenSpan is the longest time since a delivered message was accepted for which its destination counts as working.
const provenSpan = 10 * choice.Second

// provenDestinations is the part of a Sender that knows the deliveries of an earlier process. The loop owns it.
type provenDestinations struct {
	hasPredecessor bool                              // the journal has records of an earlier process
	delivered      map[choice.DestinationID]struct{} // destinations that worked shortly before the start
}

// noteReplayedDelivery notes that the journal shows a message as delivered.
func (s *Sender) noteReplayedDelivery(m *message) {
	age := s.Now() - m.acceptedAt
	if m.acceptedAt == 0 || age < 0 || age > provenSpan { // a record of an older version, or not shortly before
		return
	}
	if s.proven.delivered == nil {
		s.proven.delivered = map[choice.DestinationID]struct{}{}
	}
	s.proven.delivered[m.Destination] = struct{}{}
}

// isUnproven reports whether an endpoint of the first lists must be called with caution: there was an earlier process, and neither
// its journal nor what it learned shows that the destination worked shortly before. It is called with the endpoint's learned
// state in the entry.
func (s *Sender) isUnproven(entry *choice.Entry) bool {
	if !s.proven.hasPredecessor || s.listReceived {
		return false
	}
	_, delivered := s.proven.delivered[entry.Destination]
	learned := entry.LearnedState != nil && entry.LearnedState.Seen > 0 && s.Now()-s.learnedAt <= provenSpan
	return !delivered && !learned
}
