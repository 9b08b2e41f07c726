package sender

// This file ties a sender to the processes around it (package together): how it joins them, the orders that they post, and
// the gate that holds attempts back until missed purges are applied. A sender that never joins counts nothing, sets no
// timer and starts no goroutine for any of it. The loop never waits for the cluster.

import (
	"cmp"
	"sync"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/sender/clusterapi"
)

// gateTimeout bounds how long a gate that is never closed holds attempts back, unless Joining.For is set: far less than
// the contract time of any class seen (0.8 s upwards), longer than missed purges take over loopback.
const gateTimeout = 2 * time.Second

// Joining is what Join takes besides the cluster.
type Joining struct {
	// Gate holds all attempts back until it is closed, or For is over, so that purges that this process missed are
	// applied first (Orders.Purge). Messages are accepted and answered meanwhile, and end by their own time. nil holds
	// nothing back. Harm: messages wait so long at a start; where For is over first, purged messages may be sent.
	Gate <-chan struct{}
	For  time.Duration // 0 for gateTimeout
}

// clusterMember is the part of a Sender that belongs to its cluster.
type clusterMember struct {
	cluster      clusterapi.Cluster // nil for none
	routingPlan  clusterapi.Guide   // as of the start of this turn
	learnedStore learnedStore
	gated        bool
	orderQueue   orderQueue
	orderAnswers []func() // answers to orders, given once the turn's append is on disk
	purgeState
	digestState
	evictionState
}

// learnedStore is how package choice hands out and takes back learned state. Tests replace it.
type learnedStore interface {
	// Void drops what was learned of an endpoint, or replaces it.
	Void(choice.EndpointID, *choice.LearnedState)
	// Holds returns how many answers rest on a destination, and whether it must not be evicted.
	Holds(choice.DestinationID) (calls float64, mustStay bool)
}

// Join ties the sender to a cluster. It is called at most once, before Run.
func (s *Sender) Join(c clusterapi.Cluster, j Joining) {
	s.cluster = c
	s.digestState.init(s)
	s.after(digestInterval, s.sendDigest)
	if j.Gate == nil {
		return
	}
	s.gated = true
	timedOut := make(chan struct{})
	s.after(cmp.Or(j.For, gateTimeout), func() {
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

func (s *Sender) openGate() { s.gated = false }

// readCluster reads the routing plan, once a turn, and applies purges.
func (s *Sender) readCluster() {
	if s.cluster == nil {
		return
	}
	s.routingPlan = s.cluster.Guide()
	if !s.journalFailing {
		s.applyPurges()
	}
}

// Orders are what a cluster may ask of this sender. Purges are applied once it has joined.
func (s *Sender) Orders() clusterapi.Orders { return orders{s} }

// orders hands each order to the loop, in the order given. None of them waits, so that they may be called on the loop
// too. None is dropped: the caller waits for an answer before it gives many more. After the sender's end none is answered.
type orders struct{ s *Sender }

// Applied implements clusterapi.Orders.
func (o orders) Applied() uint64 { return o.s.applied.Load() }

// Purge implements clusterapi.Orders.
func (o orders) Purge(all []clusterapi.Purge, done func(uint64, []clusterapi.Found)) {
	at := o.s.Now() // the purges grow older while they wait for the loop
	o.s.enqueueOrder(func() { o.s.purge(all, at, done) })
}

// Evict implements clusterapi.Orders.
func (o orders) Evict(all []choice.DestinationID, done func([]choice.DestinationID)) {
	o.s.enqueueOrder(func() {
		retained := o.s.evictDestinations(all)
		o.s.afterAppend(func() { done(retained) })
	})
}

// Holding implements clusterapi.Orders.
func (o orders) Holding(done func([]clusterapi.Held)) {
	o.s.enqueueOrder(func() {
		all := o.s.holdings()
		o.s.afterAppend(func() { done(all) })
	})
}

// Teach implements clusterapi.Orders.
func (o orders) Teach(lessons []clusterapi.LearnedEndpoint) {
	o.s.enqueueOrder(func() { o.s.adoptLessons(lessons) })
}

// Know implements clusterapi.Orders.
func (o orders) Know(of []choice.DestinationID, done func([]clusterapi.LearnedEndpoint)) {
	o.s.enqueueOrder(func() {
		all := o.s.learnedLessons(of)
		o.s.afterAppend(func() { done(all) })
	})
}

// orderQueue holds orders until the loop takes them. Its lock is held for an append or a swap.
type orderQueue struct {
	sync.Mutex
	waiting []func()
}

// enqueueOrder hands a function to the loop without ever waiting for it.
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

// afterAppend delays an answer to an order until the turn's records are on disk.
func (s *Sender) afterAppend(f func()) { s.orderAnswers = append(s.orderAnswers, f) }

func (s *Sender) answerOrders() {
	all := s.orderAnswers
	s.orderAnswers = nil
	for _, f := range all {
		f()
	}
}
