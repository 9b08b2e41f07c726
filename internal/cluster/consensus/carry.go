package consensus

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// carry is the library's transport with four things added: calls that say nothing new are made at a steady pace and no
// more often; it is known what each peer has answered and when; who was left out of the configuration is told so; and
// who is told so hears it. It decides nothing: calls are only made later than asked, by at most two beats.
type carry struct {
	*raft.NetworkTransport
	beat     time.Duration
	calls    chan raft.RPC
	ended    chan struct{}
	end      sync.Once
	running  sync.WaitGroup
	leftOut  func(raft.ServerID) (uint64, bool) // whether a server has no place in the configuration decided at an index
	outSince func(uint64)                       // this one has none, by the configuration decided at an index
	called   func()                             // a leader called

	mu    sync.Mutex // below council.mu; nothing is called under it
	peers map[raft.ServerID]*peer
	news  chan struct{} // closed when something is proposed
}

// peer is what is known of one server that is called. Those no longer in the configuration are dropped (keepOnly).
type peer struct {
	sent, answered time.Time
	matched        uint64 // the index up to which its log is known to be the leader's
	commit         uint64 // told last
	term           uint64
}

// leftOutText carries the index at which one was left out, in the library's field for errors.
const leftOutText = "left out at "

func newCarry(of *Group, timeout time.Duration, logger *zapped) *carry {
	c := &carry{beat: of.o.Beat, calls: make(chan raft.RPC), ended: make(chan struct{}),
		leftOut: of.isOut, outSince: of.heardOut, called: of.heardLeader,
		peers: map[raft.ServerID]*peer{}, news: make(chan struct{})}
	c.NetworkTransport = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: of.stream, MaxPool: 2, Timeout: timeout, Logger: logger.hclog(),
		MaxRPCsInFlight: 1, // no pipelines: each answer passes AppendEntries below
	})
	c.running.Add(1)
	go c.receive()
	return c
}

// receive passes calls on to the library, and answers those of candidates that have no place.
func (c *carry) receive() {
	defer c.running.Done()
	for {
		select {
		case call := <-c.NetworkTransport.Consumer():
			switch request := call.Command.(type) {
			case *raft.RequestPreVoteRequest:
				if index, out := c.leftOut(raft.ServerID(request.ID)); out {
					call.Respond(&raft.RequestPreVoteResponse{RPCHeader: request.RPCHeader, Term: request.Term},
						fmt.Errorf("%s%d", leftOutText, index))
					continue
				}
			case *raft.AppendEntriesRequest:
				c.called()
			}
			select {
			case c.calls <- call:
			case <-c.ended:
				return
			}
		case <-c.ended:
			return
		}
	}
}

// Consumer is where the library takes calls from.
func (c *carry) Consumer() <-chan raft.RPC { return c.calls }

// RequestPreVote asks whether a vote would be given, and hears that there is no place any more.
func (c *carry) RequestPreVote(id raft.ServerID, to raft.ServerAddress, q *raft.RequestPreVoteRequest,
	a *raft.RequestPreVoteResponse) error {
	err := c.NetworkTransport.RequestPreVote(id, to, q, a)
	if err != nil {
		if _, after, found := strings.Cut(err.Error(), leftOutText); found {
			var index uint64
			if _, bad := fmt.Sscan(after, &index); bad == nil {
				c.outSince(index)
			}
		}
	}
	return err
}

// AppendEntries makes the library's calls, those without news at the pace of beats. A heartbeat (nothing before it,
// nothing in it) waits for as long as the other calls keep the peer in touch.
func (c *carry) AppendEntries(id raft.ServerID, to raft.ServerAddress, q *raft.AppendEntriesRequest,
	a *raft.AppendEntriesResponse) error {
	heartbeat := q.PrevLogEntry == 0 && len(q.Entries) == 0
	if err := c.pace(id, q, heartbeat); err != nil {
		return err
	}
	err := c.NetworkTransport.AppendEntries(id, to, q, a)
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peer(id)
	if err != nil {
		return err
	}
	p.answered = time.Now()
	if a.Success && !heartbeat {
		p.commit, p.term = q.LeaderCommitIndex, q.Term
		p.matched = q.PrevLogEntry + uint64(len(q.Entries))
	}
	return nil
}

// pace waits until a call without news is due.
func (c *carry) pace(id raft.ServerID, q *raft.AppendEntriesRequest, heartbeat bool) error {
	for {
		c.mu.Lock()
		p := c.peer(id)
		apart := c.beat
		if heartbeat {
			apart += c.beat / 2
		}
		wait := apart - time.Since(p.sent)
		fresh := p.term == q.Term && p.sent.Sub(p.answered) < c.beat // one that answers, in this term
		quiet := len(q.Entries) == 0 && fresh && (heartbeat || p.commit == q.LeaderCommitIndex)
		if !quiet || wait <= 0 {
			p.sent = time.Now()
			c.mu.Unlock()
			return nil
		}
		news := c.news
		c.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-news:
			timer.Stop()
			if !heartbeat { // the library's loop is free for what was proposed
				c.mu.Lock()
				p.sent = time.Now()
				c.mu.Unlock()
				return nil
			}
			continue
		case <-c.ended:
			timer.Stop()
			return raft.ErrTransportShutdown
		}
	}
}

func (c *carry) peer(id raft.ServerID) *peer {
	p := c.peers[id]
	if p == nil {
		p = &peer{}
		c.peers[id] = p
	}
	return p
}

// wake lets calls that wait for their beat go: something is proposed.
func (c *carry) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.news)
	c.news = make(chan struct{})
}

// of is when a peer last answered, and how far its log is known to be the leader's.
func (c *carry) of(id raft.ServerID) (answered time.Time, matched uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[id]; p != nil {
		return p.answered, p.matched
	}
	return time.Time{}, 0
}

// keepOnly drops peers that have no place any more.
func (c *carry) keepOnly(in map[raft.ServerID]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.peers {
		if !in[id] {
			delete(c.peers, id)
		}
	}
}

// Close ends all waits, and the library's transport.
func (c *carry) Close() error {
	c.end.Do(func() { close(c.ended) })
	err := c.NetworkTransport.Close()
	c.running.Wait()
	return err
}
