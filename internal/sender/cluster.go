package sender

// This file ties a sender to the processes around it (package together): how it is joined to them, the orders that
// they post, and the gate that holds attempts back while withdrawals are caught up with. A sender that is never
// joined counts nothing, sets no timer and starts no goroutine for any of it. The loop must never wait for a cluster.

import (
	"cmp"
	"sync"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/sender/together"
)

// gateTimeout bounds how long a gate that never opens holds attempts back, unless the starter says otherwise: far under
// the contract time of any class seen (0.8 s upwards), longer than a catching-up over loopback takes.
const gateTimeout = 2 * time.Second

// Joining is what Join takes besides the cluster.
type Joining struct {
	// Gate holds all attempts back until it is closed, or For is over: what was withdrawn while this process was away
	// is applied first (Orders.Purge). Messages are taken on and answered meanwhile, and end by their own time. nil holds
	// nothing back. Harm: messages wait so long at a start; and where For is over first, what was withdrawn may go.
	Gate <-chan struct{}
	For  time.Duration // 0 for gateTimeout
}

// clusterMember is what a sender holds for the processes around it.
type clusterMember struct {
	cluster      together.Cluster // nil for none
	routingPlan  together.Guide   // as of the start of this turn
	learnedStore learnedStore
	gated        bool
	orderQueue   orderQueue
	orderAnswers []func() // to orders, given once the turn's append is on disk
	purgeState
	digestState
	evictionState
}

// learnedStore is what the module does about all that it learnt of endpoints.
type learnedStore interface {
	// Void drops what was learnt of an endpoint, or puts other in its place.
	Void(choice.EndpointID, *choice.Learnt)
	// Holds tells how many answers rest on a destination, and whether it must not be let go.
	Holds(choice.DestinationID) (calls float64, pinned bool)
}

// Join ties the sender to a cluster. It is called at most once, before Run.
func (s *Sender) Join(c together.Cluster, j Joining) {
	s.cluster = c
	s.digestState.init(s)
	s.after(digestInterval, s.sendDigest)
	if j.Gate == nil {
		return
	}
	s.gated = true
	over := make(chan struct{})
	s.after(cmp.Or(j.For, gateTimeout), func() {
		close(over)
		s.openGate()
	})
	go func() {
		select {
		case <-j.Gate:
			s.post(s.openGate)
		case <-over:
		case <-s.stop:
		}
	}()
}

func (s *Sender) openGate() { s.gated = false }

// readCluster reads what is decided in common, once a turn, and applies what is to be withdrawn.
func (s *Sender) readCluster() {
	if s.cluster == nil {
		return
	}
	s.routingPlan = s.cluster.Guide()
	if !s.journalFailing {
		s.applyPurges()
	}
}

// Orders are what a cluster may ask of this sender. Purges are applied once it has been joined.
func (s *Sender) Orders() together.Orders { return orders{s} }

// orders hands each order to the loop, in the order given. None of them waits, so that they may be called on the loop
// too. Nothing is dropped: who gives orders waits for an answer before it gives many more. After the sender's end
// nothing is answered.
type orders struct{ s *Sender }

func (o orders) Applied() uint64 { return o.s.applied.Load() }

func (o orders) Purge(all []together.Purge, done func(uint64, []together.Found)) {
	at := o.s.Now() // ages run on while it waits for the loop
	o.s.enqueueOrder(func() { o.s.purge(all, at, done) })
}

func (o orders) Evict(all []choice.DestinationID, done func([]choice.DestinationID)) {
	o.s.enqueueOrder(func() {
		retained := o.s.evictDestinations(all)
		o.s.afterAppend(func() { done(retained) })
	})
}

func (o orders) Holding(done func([]together.Held)) {
	o.s.enqueueOrder(func() {
		all := o.s.holdings()
		o.s.afterAppend(func() { done(all) })
	})
}

func (o orders) Teach(lessons []together.Lesson) {
	o.s.enqueueOrder(func() { o.s.adoptLessons(lessons) })
}

func (o orders) Know(of []choice.DestinationID, done func([]together.Lesson)) {
	o.s.enqueueOrder(func() {
		all := o.s.learnedLessons(of)
		o.s.afterAppend(func() { done(all) })
	})
}

// orderQueue holds orders on their way to the loop. Its lock is held for an append or a swap.
type orderQueue struct {
	sync.Mutex
	waiting []func()
}

// enqueueOrder hands the loop something to do without ever waiting for it.
func (s *Sender) enqueueOrder(f func()) {
	s.orderQueue.Lock()
	defer s.orderQueue.Unlock()
	select {
	case <-s.stop:
		return // nobody takes them any more
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

// afterAppend keeps an answer until what it tells is on disk.
func (s *Sender) afterAppend(f func()) { s.orderAnswers = append(s.orderAnswers, f) }

func (s *Sender) answerOrders() {
	all := s.orderAnswers
	s.orderAnswers = nil
	for _, f := range all {
		f()
	}
}
