package consensus

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// transport wraps the raft library's network transport and adds four things: AppendEntries calls that carry nothing new
// are rate limited to one per heartbeat interval; each peer's latest answer and match index are recorded; a candidate
// that is no longer in the configuration is answered that it was removed; and such an answer is passed on to the Group.
// It decides nothing: it only delays calls, by two heartbeat intervals at most.
type transport struct {
	*raft.NetworkTransport
	heartbeatInterval time.Duration
	rpcs              chan raft.RPC
	closed            chan struct{}
	closeOnce         sync.Once
	goroutines        sync.WaitGroup
	removedAt         func(raft.ServerID) (uint64, bool) // index of the latest configuration, and whether it lacks the server
	onRemoved         func(uint64)                       // this server is not in the configuration committed at that index
	onLeaderCall      func()                             // a leader sent AppendEntries

	mu       sync.Mutex // below Group.mu in the lock order; nothing is called with it held
	peers    map[raft.ServerID]*peer
	proposed chan struct{} // closed when something is proposed
}

// connectionsPerPeer bounds the idle connections to one peer.
const connectionsPerPeer = 2

// peer is what is known of one server that is called. Servers no longer in the configuration are dropped (retainPeers).
type peer struct {
	lastSent, lastAnswered time.Time
	matchIndex             uint64 // its log is known to equal the leader's up to here
	commitIndex            uint64 // as it was last sent to the peer
	term                   uint64
}

// removedErrorPrefix precedes the index of the configuration that lacks a candidate, in the error text of the pre-vote
// response: the library's response has no other field for it.
const removedErrorPrefix = "left out at "

// newTransport returns a transport for group and starts its forwarding goroutine, which Close ends.
func newTransport(group *Group, timeout time.Duration, logger *raftLogWriter) *transport {
	t := &transport{heartbeatInterval: group.options.HeartbeatInterval, rpcs: make(chan raft.RPC), closed: make(chan struct{}),
		removedAt: group.removedAt, onRemoved: group.recordRemoval, onLeaderCall: group.recordLeaderCall,
		peers: map[raft.ServerID]*peer{}, proposed: make(chan struct{})}
	t.NetworkTransport = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: group.stream, MaxPool: connectionsPerPeer, Timeout: timeout, Logger: logger.logger(),
		MaxRPCsInFlight: 1, // no pipelines: each answer passes AppendEntries below
	})
	t.goroutines.Add(1)
	go t.forwardCalls()
	return t
}

// forwardCalls passes incoming calls on to the library, except pre-vote requests of servers that are not in the
// configuration: these are answered here.
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

// Consumer returns the channel from which the library takes incoming calls.
func (t *transport) Consumer() <-chan raft.RPC { return t.rpcs }

// RequestPreVote asks a peer whether it would vote for this server. An answer that this server was removed from the
// configuration is reported to the Group.
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

// AppendEntries makes the library's calls. Those that carry nothing new are throttled to the heartbeat interval. A
// pure heartbeat (no previous entry, no entries) waits for as long as other calls keep the peer in contact.
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

// throttle waits until a call that carries nothing new is due. It returns raft.ErrTransportShutdown after Close.
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
			if !heartbeat { // sent at once, so that the library's replication loop is free for the proposed entry
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

// untilDue is how long a call to p has to wait; 0 or less for one that is sent now: it carries something new, the peer
// does not answer or has a new leader, or the interval is over. The lock is held.
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

// peerState returns the record of a peer, a new one where there is none. The lock is held.
func (t *transport) peerState(id raft.ServerID) *peer {
	p := t.peers[id]
	if p == nil {
		p = &peer{}
		t.peers[id] = p
	}
	return p
}

// notifyProposed releases calls that wait for their interval: something was proposed.
func (t *transport) notifyProposed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.proposed)
	t.proposed = make(chan struct{})
}

// progress returns when a peer last answered, and up to where its log is known to equal the leader's.
func (t *transport) progress(id raft.ServerID) (lastAnswered time.Time, matchIndex uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[id]; p != nil {
		return p.lastAnswered, p.matchIndex
	}
	return time.Time{}, 0
}

// retainPeers drops the records of peers that are not members any more.
func (t *transport) retainPeers(members map[raft.ServerID]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.peers {
		if !members[id] {
			delete(t.peers, id)
		}
	}
}

// Close ends all waits, and the library's transport, and waits for the forwarding goroutine.
func (t *transport) Close() error {
	t.closeOnce.Do(func() { close(t.closed) })
	err := t.NetworkTransport.Close()
	t.goroutines.Wait()
	return err
}
