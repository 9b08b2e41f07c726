// Package sender is the gateway on sockets: a chain of units around the decisions of package choice.
//
// A message passes takein.go and commands_in.go (client connections), command.go and admit.go (checks, journal,
// answer), route.go (the module's Host), call.go, leave.go and links.go (calls, connections), relay.go (answers to outcomes)
// and book.go (ends, messages to the platform, counters). Where a sender is joined to others (joined.go), digest.go
// tells what it saw, purge.go withdraws what it holds, and holding.go lets go of what it learnt. This file owns the
// one goroutine that holds the module, the tables and the timers, and the turn in which all that has come in is acted
// on. Other goroutines wait on sockets and hand what they parsed to post; they must never touch a table. The loop must
// never wait on a socket.
package sender

import (
	"container/heap"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/config"
	"flaxcove/internal/directory"
)

const (
	inboxSize         = 1024
	journalRetryPause = 20 * time.Millisecond // a turn whose journal could not be written
	// What discovery's agent holds counts as told from the process's first moment, and the agent answers at once: so
	// long nothing is sent by the list of the configuration, which may be out of date. Clients wait 400 ms for an answer.
	firstListTimeout = 150 * time.Millisecond
)

// Sender is one running sender. All fields belong to the loop unless said otherwise.
type Sender struct {
	cfg       *config.Config
	log       *zap.Logger
	module    *choice.Sender
	learned   map[choice.EndpointID]learnedEntry // by an earlier life, at learnedAt; each leaves as the list names it
	learnedAt choice.Time
	numbering directory.Names
	start     time.Time            // Now counts from here by the monotonic clock, so that it never steps back
	clock     func() time.Duration // since start
	inbox     chan func()
	stop      chan struct{} // closed at the end

	timers         timers
	timerSeq       uint64
	lastTurn       time.Duration
	eventsPending  bool // something came in since the last turn
	turns          int64
	wakeups        int64 // by the clock, each of which is to lead to a turn
	journalFailing bool  // the journal could not be written
	ended          bool

	draining   bool
	drainSince time.Duration // when the signal to end came

	discovery string          // where list and platform are asked now; cfg.Discovery is where they were at the start
	watches   []chan struct{} // each ends a watch; the newest is last, and those before it end when it has spoken

	clientFrontend
	admission
	routing
	gossip
	linkPool
	outcomeReporter
	clusterMember
	counts counts
}

// Start replays the journal, tells the module what it finds, and returns once clients may come.
func Start(cfg *config.Config, log *zap.Logger) (*Sender, error) {
	start := time.Now()
	cfg, p := openGossip(cfg, log)
	s, err := openSender(cfg, log, start, func() time.Duration { return time.Since(start) })
	if err != nil {
		return nil, errors.Join(err, closeGossip(p))
	}
	if err := s.listen(); err != nil {
		return nil, errors.Join(err, s.journal.Close(), closeGossip(p))
	}
	s.startGossip(p)
	s.watch(cfg.Known.Version)
	s.awaitFirstList(time.After(firstListTimeout))
	return s, nil
}

// awaitFirstList does what comes in until the list has come, or it is too late. The loop does not run yet.
func (s *Sender) awaitFirstList(late <-chan time.Time) {
	for s.eventsPending = true; !s.listReceived; {
		select {
		case f := <-s.inbox:
			f()
		case <-late:
			return
		}
	}
}

// openSender makes a sender that knows what it owes and touches no socket yet.
func openSender(cfg *config.Config, log *zap.Logger, start time.Time, clock func() time.Duration) (*Sender, error) {
	s := &Sender{cfg: cfg, log: log, start: start, clock: clock, inbox: make(chan func(), inboxSize), stop: make(chan struct{})}
	s.numbering = directory.Names{Zones: cfg.Zones, Kinds: cfg.Kinds}
	given := s.withSystemLimits(cfg)
	s.clientFrontend.init(given)
	s.routing.init()
	s.linkPool.init(given, s.clients.maxConns)
	s.outcomeReporter.init()
	s.dial = s.dialEndpoint
	s.discovery = cfg.Discovery
	s.platform.log = func(addr string, why reason, err error) { s.logConnEnded("platform", addr, why, err) }
	s.postToPlatform = s.platform.post
	unfinished, err := s.openJournal()
	if err != nil {
		return nil, err
	}
	s.loadLearned()
	s.module = choice.Start(s, choice.SenderID(cfg.Name), cfg.Seed, cfg.Settings)
	s.learnedStore = s.module
	s.updateEndpoints(cfg.Known, true)
	for _, n := range unfinished {
		s.module.Taken(n.Message)
	}
	return s, nil
}

// watch follows the list at the present address. The watch that it takes the place of goes on until this one has
// spoken: a new address that never answers must not leave the sender without any.
func (s *Sender) watch(since int64) {
	addr, stop := s.discovery, make(chan struct{})
	s.watches = append(s.watches, stop)
	go directory.Watch(addr, s.cfg.Settings.Senders, since, stop,
		func(l directory.List) {
			s.post(func() {
				if i := slices.Index(s.watches, stop); i >= 0 {
					s.endWatches(i)
					s.updateEndpoints(l, false)
				}
			})
		},
		func(err error) {
			s.post(func() {
				s.counts.watchesEnded++
				s.logConnEnded("discovery", addr, watchEnded, err)
			})
		})
}

// endWatches ends the oldest ones.
func (s *Sender) endWatches(count int) {
	for _, stop := range s.watches[:count] {
		close(stop)
	}
	s.watches = slices.Delete(s.watches, 0, count)
}

// Reload takes a configuration that was read anew while the sender runs, or what was wrong with it. Only discovery
// can change under a running sender; the process goes on in any case.
func (s *Sender) Reload(cfg *config.Config, err error) { s.post(func() { s.reload(cfg, err) }) }

func (s *Sender) reload(cfg *config.Config, err error) {
	if err != nil {
		s.log.Error("configuration not taken", zap.Error(err))
		return
	}
	s.counts.reloads++
	fixed := s.cfg.Fixed(cfg)
	s.log.Info("configuration read", zap.String("discovery", cfg.Discovery), zap.String("before", s.discovery),
		zap.Strings("at_the_next_start", fixed))
	if cfg.Discovery == s.discovery {
		return
	}
	s.discovery, s.retryPause = cfg.Discovery, minPostRetryPause
	// Another place may number its versions otherwise, so it is asked for all.
	s.watch(0)
}

// post hands the loop something to do. It may be called from any goroutine but the loop's own.
func (s *Sender) post(f func()) {
	select {
	case s.inbox <- f:
	case <-s.stop:
	}
}

// Run is the loop.
func (s *Sender) Run() {
	wake := time.NewTimer(0)
	for !s.ended {
		wake.Reset(s.sleepUntil() - s.sinceStart())
		select {
		case f := <-s.inbox:
			f()
			s.eventsPending = true
			s.runQueued()
		case <-wake.C:
			s.wakeups++
		}
		now := s.sinceStart()
		if now >= s.nextTurn() && (s.eventsPending || now >= s.timers.next()) {
			s.turn()
		}
	}
	s.shutDown()
}

// sleepUntil is when the loop has something to do unless more comes in. Never before the next turn may come: a timer
// that is due by then would wake the loop again and again with nothing to be done, which burns the sender's core.
func (s *Sender) sleepUntil() time.Duration {
	if s.eventsPending {
		return s.nextTurn()
	}
	return max(s.timers.next(), s.nextTurn())
}

// runQueued takes what else has come, but no more than was there at the start, or timers would starve.
func (s *Sender) runQueued() {
	for range len(s.inbox) {
		(<-s.inbox)()
	}
}

func (s *Sender) sinceStart() time.Duration { return s.clock() }

// nextTurn is when the next turn may come.
func (s *Sender) nextTurn() time.Duration {
	gap := time.Duration(config.Nanoseconds(s.cfg.Settings.Turn))
	if s.journalFailing {
		gap = journalRetryPause
	}
	return s.lastTurn + gap
}

// turn ends what came in together: the module acts, one append makes it lasting, and only then does anything leave.
func (s *Sender) turn() {
	s.lastTurn, s.eventsPending = s.sinceStart(), false
	s.turns++
	for s.timers.next() <= s.sinceStart() {
		t := heap.Pop(&s.timers).(*timer)
		t.fire()
	}
	s.readCluster()
	if !s.pastSendTime() && !s.journalFailing && !s.gated {
		s.module.TurnEnd()
	}
	s.journalFailing = !s.commit()
	if s.journalFailing {
		s.eventsPending = true
	} else {
		s.answerAdmitted()
		s.answerOrders()
	}
	s.postEndings()
	if !s.journalFailing {
		// Last: what ends as its call begins is on record only with the next turn, and not told before.
		s.startCalls()
	}
	s.checkDrain()
}

// reason is why a connection ended, as the log tells it.
type reason string

const watchEnded reason = "watch_over"

func (s *Sender) logConnEnded(side, peer string, why reason, err error) {
	fields := []zap.Field{zap.String("side", side), zap.String("peer", peer), zap.String("reason", string(why))}
	if err != nil {
		fields = append(fields, zap.String("error", fmt.Sprint(err)))
	}
	s.log.Info("connection ended", fields...)
}
