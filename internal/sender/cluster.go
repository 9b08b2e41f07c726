package sender

// This file connects a sender to its cluster: joining it, the orders that the cluster posts to the sender's loop, and the
// gate that holds attempts back until missed purges are applied. A sender that never joins a cluster collects no counts,
// sets no timers and starts no goroutines for it. The loop never waits for the cluster.

import (
	"cmp"
	"sync"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/sender/clusterapi"
)

// defaultGateTimeout is the longest time that a gate holds attempts back, unless JoinOptions.GateTimeout is set. It is
// longer than fetching and applying missed purges takes over loopback. It is also longer than the shortest latency
// objective seen in settings, 0.8 s: if the gate stays shut until the timeout, messages of such a class are late.
const defaultGateTimeout = 2 * time.Second

// JoinOptions holds the options of Join.
type JoinOptions struct {
	// Gate holds all attempts back until it is closed or GateTimeout has passed, so that purges that this process
	// missed are applied first (Orders.Purge). Meanwhile messages are accepted and answered, and end at their
	// deadlines. A nil Gate holds nothing back. The cost is that messages wait at a start. If GateTimeout passes first,
	// purged messages may be sent.
	Gate <-chan struct{}
	// GateTimeout is the longest time that Gate holds attempts back, counted from Join; 0 means defaultGateTimeout.
	GateTimeout time.Duration
}

// clusterMember is the part of a Sender that belongs to its cluster. The loop owns it, except for orderQueue.
type clusterMember struct {
	cluster      clusterapi.Cluster     // nil if the sender has not joined a cluster
	routingPlan  clusterapi.RoutingPlan // the routing plan at the start of this turn; nil allows all
	learnedStore learnedStore
	gated        bool // the gate holds attempts back
	orderQueue   orderQueue
	orderAnswers []func() // answers to orders, called once the turn's append is on disk
	purgeState
	digestState
	evictionState
}

// learnedStore is the part of choice.Sender that manages learned state. Tests replace it.
type learnedStore interface {
	// ReplaceLearnedState drops the learned state of an endpoint, or replaces it if the state given is not nil.
	ReplaceLearnedState(choice.EndpointID, *choice.LearnedState)
	// LearnedCalls returns how many answers the learned state of a destination is based on, and whether the destination
	// must not be evicted.
	LearnedCalls(choice.DestinationID) (calls float64, mustStay bool)
}

// Join connects the sender to a cluster. It must be called at most once, before Run.
func (s *Sender) Join(c clusterapi.Cluster, j JoinOptions) {
	s.cluster = c
	s.digestState.init(s)
	s.after(digestInterval, s.sendDigest)
	if j.Gate == nil {
		return
	}
	s.gated = true
	timedOut := make(chan struct{})
	s.after(cmp.Or(j.GateTimeout, defaultGateTimeout), func() {
		close(timedOut)
		s.openGate()
	})
	go func() {
		select {
		case <-j.Gate:
			s.post(s.openGate)
		case <-timedOut:
		case <-s.stop:
		}
	}()
}

// openGate lets attempts begin.
func (s *Sender) openGate() { s.gated = false }

// readCluster reads the routing plan and applies waiting purges. It runs once a turn.
func (s *Sender) readCluster() {
	if s.cluster == nil {
		return
	}
	s.routingPlan = s.cluster.RoutingPlan()
	if !s.journalFailing {
		s.applyPurges()
	}
}

// Orders returns the interface through which a cluster gives orders to this sender. Purges are applied only after Join.
func (s *Sender) Orders() clusterapi.Orders { return orders{s} }

// orders implements clusterapi.Orders. Each method queues an order for the loop, and the loop carries the orders out in the
// order in which they were given. The methods never block, so they may also be called on the loop. The queue has no limit:
// the caller waits for an answer before it gives many more orders. After the sender has ended, orders are not answered.
type orders struct{ s *Sender }

// LastAppliedSeq implements clusterapi.Orders.
func (o orders) LastAppliedSeq() uint64 { return o.s.durableSeq.Load() }

// Purge implements clusterapi.Orders.
func (o orders) Purge(all []clusterapi.Purge, done func(uint64, []clusterapi.PurgeResult)) {
	at := o.s.Now() // the age of a purge counts from here, not from when the loop applies it
	o.s.enqueueOrder(func() { o.s.purge(all, at, done) })
}

// Evict implements clusterapi.Orders.
func (o orders) Evict(all []choice.DestinationID, done func([]choice.DestinationID)) {
	o.s.enqueueOrder(func() {
		retained := o.s.evictDestinations(all)
		o.s.afterAppend(func() { done(retained) })
	})
}

// ListHeldState implements clusterapi.Orders.
func (o orders) ListHeldState(done func([]clusterapi.HeldState)) {
	o.s.enqueueOrder(func() {
		all := o.s.holdings()
		o.s.afterAppend(func() { done(all) })
	})
}

// AdoptLearnedState implements clusterapi.Orders.
func (o orders) AdoptLearnedState(learned []clusterapi.LearnedEndpoint) {
	o.s.enqueueOrder(func() { o.s.adoptLearned(learned) })
}

// GetLearnedState implements clusterapi.Orders.
func (o orders) GetLearnedState(of []choice.DestinationID, done func([]clusterapi.LearnedEndpoint)) {
	o.s.enqueueOrder(func() {
		all := o.s.exportLearned(of)
		o.s.afterAppend(func() { done(all) })
	})
}

// orderQueue holds orders until the loop takes them. Its lock is held only for an append or a swap.
type orderQueue struct {
	sync.Mutex
	waiting []func()
}

// enqueueOrder queues f for the loop without blocking. Any goroutine may call it.
func (s *Sender) enqueueOrder(f func()) {
	s.orderQueue.Lock()
	defer s.orderQueue.Unlock()
	select {
	case <-s.stop:
		return // the loop has ended
	default:
	}
	s.orderQueue.waiting = append(s.orderQueue.waiting, f)
	if len(s.orderQueue.waiting) == 1 {
		go s.post(s.takeOrders)
	}
}

// takeOrders carries out all queued orders on the loop.
func (s *Sender) takeOrders() {
	s.orderQueue.Lock()
	all := s.orderQueue.waiting
	s.orderQueue.waiting = nil
	s.orderQueue.Unlock()
	for _, f := range all {
		f()
	}
	s.eventsPending = true
}

// afterAppend delays f, the answer to an order, until the turn's records are on disk.
func (s *Sender) afterAppend(f func()) { s.orderAnswers = append(s.orderAnswers, f) }

// answerOrders calls the answers that afterAppend has delayed.
func (s *Sender) answerOrders() {
	all := s.orderAnswers
	s.orderAnswers = nil
	for _, f := range all {
		f()
	}
}
