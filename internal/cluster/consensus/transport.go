package consensus

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// transport wraps the raft library's network transport. It delays calls by at most two heartbeat intervals and
// otherwise does not change when the library calls a peer. It adds:
//
//   - a rate limit of one AppendEntries call per heartbeat interval for calls that carry nothing new,
//   - a record of when each peer last answered, and of its match index,
//   - an answer to a candidate that is no longer in the configuration, which tells it that it was removed,
//   - a report to the Group when this server receives that answer.
type transport struct {
	*raft.NetworkTransport
	heartbeatInterval time.Duration
	rpcs              chan raft.RPC
	closed            chan struct{}
	closeOnce         sync.Once
	goroutines        sync.WaitGroup
	removedAt         func(raft.ServerID) (uint64, bool) // returns the index of the latest configuration and whether that lacks the server
	onRemoved         func(uint64)                       // called when the configuration at that index lacks this server
	onLeaderCall      func()                             // called when a leader sent AppendEntries

	mu       sync.Mutex // after Group.mu in the lock order; no other code is called with it held
	peers    map[raft.ServerID]*peer
	proposed chan struct{} // closed at the next proposal, then replaced
}

// connectionsPerPeer is the maximum number of idle connections to one peer.
const connectionsPerPeer = 2

// peer is the state of one server that this server calls. retainPeers deletes the servers that are no longer in the
// configuration.
type peer struct {
	lastSent, lastAnswered time.Time
	matchIndex             uint64 // index up to which the peer's log is known to equal the leader's
	commitIndex            uint64 // the commit index in the last successful call
	term                   uint64 // the term of that call
}

// removedErrorPrefix is the prefix of the error text in the pre-vote response to a candidate that was removed. The
// index of the configuration that lacks the candidate follows it. The library's response has no other field for the
// index.
const removedErrorPrefix = "left out at "

// newTransport returns a transport for group and starts the goroutine of forwardCalls, which Close ends. timeout bounds
// one raft call.
func newTransport(group *Group, timeout time.Duration, logger *raftLogWriter) *transport {
	t := &transport{heartbeatInterval: group.options.HeartbeatInterval, rpcs: make(chan raft.RPC), closed: make(chan struct{}),
		removedAt: group.removedAt, onRemoved: group.recordRemoval, onLeaderCall: group.recordLeaderCall,
		peers: map[raft.ServerID]*peer{}, proposed: make(chan struct{})}
	t.NetworkTransport = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: group.stream, MaxPool: connectionsPerPeer, Timeout: timeout, Logger: logger.logger(),
		MaxRPCsInFlight: 1, // no pipelining, so that each answer passes through AppendEntries below
	})
	t.goroutines.Add(1)
	go t.forwardCalls()
	return t
}

// forwardCalls passes incoming calls to the raft library. It answers pre-vote requests from servers that are not in the
// configuration itself.
func (t *transport) forwardCalls() {
	defer t.goroutines.Done()
	for {
		select {
		case call := <-t.NetworkTransport.Consumer():
			switch request := call.Command.(type) {
			case *raft.RequestPreVoteRequest:
				if index, out := t.removedAt(raft.ServerID(request.ID)); out {
					call.Respond(&raft.RequestPreVoteResponse{RPCHeader: request.RPCHeader, Term: request.Term},
						fmt.Errorf("%s%d", removedErrorPrefix, index))
					continue
				}
			case *raft.AppendEntriesRequest:
				t.onLeaderCall()
			}
			select {
			case t.rpcs <- call:
			case <-t.closed:
				return
			}
		case <-t.closed:
			return
		}
	}
}

// Consumer returns the channel from which the raft library receives incoming calls.
func (t *transport) Consumer() <-chan raft.RPC { return t.rpcs }

// RequestPreVote asks a peer whether it would vote for this server. If the peer answers that this server was removed
// from the configuration, RequestPreVote reports that to the Group.
func (t *transport) RequestPreVote(id raft.ServerID, to raft.ServerAddress, request *raft.RequestPreVoteRequest,
	response *raft.RequestPreVoteResponse) error {
	err := t.NetworkTransport.RequestPreVote(id, to, request, response)
	if err != nil {
		if _, after, found := strings.Cut(err.Error(), removedErrorPrefix); found {
			var index uint64
			if _, scanErr := fmt.Sscan(after, &index); scanErr == nil {
				t.onRemoved(index)
			}
		}
	}
	return err
}

// AppendEntries makes an AppendEntries call of the raft library. Calls that carry nothing new are throttled to one per
// heartbeat interval. A pure heartbeat (without previous entry and entries) is delayed further while other calls to the
// peer succeed.
func (t *transport) AppendEntries(id raft.ServerID, to raft.ServerAddress, request *raft.AppendEntriesRequest,
	response *raft.AppendEntriesResponse) error {
	heartbeat := request.PrevLogEntry == 0 && len(request.Entries) == 0
	if err := t.throttle(id, request, heartbeat); err != nil {
		return err
	}
	err := t.NetworkTransport.AppendEntries(id, to, request, response)
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peerState(id)
	if err != nil {
		return err
	}
	p.lastAnswered = time.Now()
	if response.Success && !heartbeat {
		p.commitIndex, p.term = request.LeaderCommitIndex, request.Term
		p.matchIndex = request.PrevLogEntry + uint64(len(request.Entries))
	}
	return nil
}

// throttle waits until a call to a peer is due (see untilDue). A call other than a heartbeat also ends its wait when there
// is a new proposal. After Close throttle returns raft.ErrTransportShutdown.
func (t *transport) throttle(id raft.ServerID, request *raft.AppendEntriesRequest, heartbeat bool) error {
	for {
		t.mu.Lock()
		p := t.peerState(id)
		wait := t.untilDue(p, request, heartbeat)
		if wait <= 0 {
			p.lastSent = time.Now()
			t.mu.Unlock()
			return nil
		}
		proposed := t.proposed
		t.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-proposed:
			timer.Stop()
			if !heartbeat { // send at once, so that the library's replication loop becomes free for the proposed entry
				t.mu.Lock()
				p.lastSent = time.Now()
				t.mu.Unlock()
				return nil
			}
			continue
		case <-t.closed:
			timer.Stop()
			return raft.ErrTransportShutdown
		}
	}
}

// untilDue returns how long a call to p has to wait. It returns 0 or less if the call is due now: it carries something
// new, the peer does not answer, this is the first call in a new term, or the interval has passed. t.mu is held.
func (t *transport) untilDue(p *peer, request *raft.AppendEntriesRequest, heartbeat bool) time.Duration {
	answering := p.term == request.Term && p.lastSent.Sub(p.lastAnswered) < t.heartbeatInterval
	nothingNew := len(request.Entries) == 0 && (heartbeat || p.commitIndex == request.LeaderCommitIndex)
	if !answering || !nothingNew {
		return 0
	}
	interval := t.heartbeatInterval
	if heartbeat {
		interval += t.heartbeatInterval / 2
	}
	return interval - time.Since(p.lastSent)
}

// peerState returns the state of a peer and creates it if there is none. t.mu is held.
func (t *transport) peerState(id raft.ServerID) *peer {
	p := t.peers[id]
	if p == nil {
		p = &peer{}
		t.peers[id] = p
	}
	return p
}

// notifyProposed makes throttle send the delayed calls, except heartbeats, because there is a new proposal.
func (t *transport) notifyProposed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.proposed)
	t.proposed = make(chan struct{})
}

// progress returns when a peer last answered and the index up to which its log is known to equal the leader's. Both are
// zero for an unknown peer.
func (t *transport) progress(id raft.ServerID) (lastAnswered time.Time, matchIndex uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[id]; p != nil {
		return p.lastAnswered, p.matchIndex
	}
	return time.Time{}, 0
}

// retainPeers deletes the state of all peers that are not in members.
func (t *transport) retainPeers(members map[raft.ServerID]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.peers {
		if !members[id] {
			delete(t.peers, id)
		}
	}
}

// Close ends delayed calls, closes the library's transport, and waits for the goroutine of forwardCalls to end.
func (t *transport) Close() error {
	t.closeOnce.Do(func() { close(t.closed) })
	err := t.NetworkTransport.Close()
	t.goroutines.Wait()
	return err
}
