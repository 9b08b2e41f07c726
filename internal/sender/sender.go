// Package sender is the gateway on sockets: it accepts messages from clients, keeps them in a journal, and carries out
// what package choice decides about their delivery.
//
// One goroutine, the loop, owns all tables, the timers and the decisions (loop.go). Other goroutines wait on sockets and
// post to the loop what they have parsed; they never touch a table, and the loop never waits on a socket. All that has
// come in is acted on in turns: package choice decides, one append makes the turn durable, and only then are answers,
// reports and calls sent.
//
// A message passes these files:
//
//   - accept.go, clients.go, client_input.go, client_timeouts.go, lingering_close.go, replies.go: connections of clients
//   - command.go, message_parse.go, message.go, admission.go: checks, admission, the end of a message
//   - records.go, replay.go: the journal's records, and the start from them
//   - endpoints.go, host.go: the endpoint list, and the choice.Host
//   - call.go, request.go, send.go, links.go, endpoint_input.go: calls and connections to endpoints
//   - answer.go, outcomes.go: from an endpoint's answer to the outcome of a call
//   - outcome_reporter.go, platform_conn.go: reports to the platform
//
// Around it stand discovery.go (watch of the endpoint list, reload), configure.go (change of settings), drain.go (graceful
// shutdown), learned_state.go, gossip.go and counters.go. Where a sender has joined a cluster (cluster.go), digest.go
// reports what it saw, purge.go withdraws messages, and eviction.go evicts learned state.
package sender

import (
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/config"
	"flaxcove/internal/directory"
)

// inboxSize is how many events wait for the loop before who posts one has to wait.
const inboxSize = 1024

// Sender is one running sender. All fields belong to the loop unless said otherwise.
type Sender struct {
	cfg       *config.Config
	log       *zap.Logger
	choice    *choice.Sender                     // decides about deliveries
	learned   map[choice.EndpointID]learnedEntry // by an earlier process; each is removed as the list names it
	learnedAt choice.Time                        // when that process wrote them
	numbering directory.NameNumbers
	start     time.Time            // Now counts from here by the monotonic clock, so that it never steps back
	clock     func() time.Duration // time since start; called from any goroutine
	inbox     chan func()
	stop      chan struct{} // closed at the end

	timers         timers
	timerSeq       uint64
	lastTurn       time.Duration
	eventsPending  bool // something has come in since the last turn
	turns          int64
	wakeups        int64 // by the clock; each is to lead to a turn
	journalFailing bool  // the last append failed
	ended          bool

	draining   bool
	drainSince time.Duration // when the signal came

	discovery string          // the address of the list and the platform now; cfg.Discovery is that at the start
	watches   []chan struct{} // each ends a watch; the newest is last, and ends those before when it first hears

	clientFrontend
	admission
	routing
	gossip
	linkPool
	outcomeReporter
	clusterMember
	counts counts
}

// Start replays the journal and returns once clients are served.
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

// openSender makes a sender that has replayed its journal and has opened no socket yet.
func openSender(cfg *config.Config, log *zap.Logger, start time.Time, clock func() time.Duration) (*Sender, error) {
	s := &Sender{cfg: cfg, log: log, start: start, clock: clock, inbox: make(chan func(), inboxSize), stop: make(chan struct{})}
	s.numbering = directory.NameNumbers{Zones: cfg.Zones, Kinds: cfg.Kinds}
	limited := s.withSystemLimits(cfg)
	s.clientFrontend.init(limited)
	s.routing.init()
	s.linkPool.init(limited, s.clients.maxConns)
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
	s.choice = choice.Start(s, choice.SenderID(cfg.Name), cfg.Seed, cfg.Settings)
	s.learnedStore = s.choice
	s.updateEndpoints(cfg.Known, true)
	for _, m := range unfinished {
		s.choice.Taken(m.Message)
	}
	return s, nil
}

// reason is why a connection ended, as the log reports it.
type reason string

func (s *Sender) logConnEnded(side, peer string, why reason, err error) {
	fields := []zap.Field{zap.String("side", side), zap.String("peer", peer), zap.String("reason", string(why))}
	if err != nil {
		fields = append(fields, zap.String("error", fmt.Sprint(err)))
	}
	s.log.Info("connection ended", fields...)
}
