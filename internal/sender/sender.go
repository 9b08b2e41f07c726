// Package sender implements the gateway on sockets: it accepts messages from clients, keeps them in a journal, and
// carries out the delivery decisions of package choice.
//
// One goroutine, the loop, owns all tables, the timers and the decisions (loop.go). Other goroutines wait on sockets and
// post parsed input to the loop; they never access a table, and the loop never waits on a socket. The loop handles its
// input in turns: package choice decides, one append to the journal makes the turn durable, and only then are answers,
// reports and calls sent.
//
// The files in the order in which a message passes through them:
//
//   - accept.go, clients.go, client_input.go, client_timeouts.go, lingering_close.go, replies.go: connections of clients
//   - command.go, message_parse.go, message.go, admission.go: checks, admission, the end of a message
//   - records.go, replay.go: the records of the journal, and their replay at the start
//   - endpoints.go, host.go: the endpoint list, and the implementation of choice.Host
//   - call.go, request.go, bulk_item.go, send.go, links.go, endpoint_input.go: calls and connections to endpoints
//   - answer.go, outcomes.go: from an endpoint's answer to the outcome of a call
//   - outcome_reporter.go, platform_conn.go: reports to the platform
//
// The other files are discovery.go (watch of the endpoint list, reload), configure.go (change of settings), drain.go
// (graceful shutdown), learned_state.go, outage_record.go, proven.go, gossip.go and counters.go. In a sender that has joined a cluster (cluster.go),
// digest.go reports its calls and messages, purge.go withdraws messages, and eviction.go evicts learned state.
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

// inboxSize is the number of events that can be queued for the loop; post blocks beyond it.
const inboxSize = 1024

// Sender is one running sender. The loop owns all fields unless a comment names another owner.
type Sender struct {
	cfg       *config.Config
	log       *zap.Logger
	choice    *choice.Sender                     // decides about deliveries
	learned   map[choice.EndpointID]learnedEntry // from an earlier process; an entry is removed when a list names its endpoint
	learnedAt choice.Time                        // when the earlier process wrote the learned state
	numbering directory.NameNumbers              // numbers of the names of zones and kinds
	start     time.Time                          // base of Now, which adds the monotonic clock to it and so never steps back
	clock     func() time.Duration               // returns the time since start; called from any goroutine
	inbox     chan func()                        // events for the loop
	stop      chan struct{}                      // closed when the sender shuts down

	timers         timers
	timerSeq       uint64
	lastTurn       time.Duration // when the last turn began, since the start
	eventsPending  bool          // there has been input since the last turn
	turns          int64
	wakeups        int64 // wake-ups of the loop by its timer; each should lead to a turn
	journalFailing bool  // the last append failed
	ended          bool  // set to make the loop return

	draining   bool
	drainSince time.Duration // when the signal to shut down came, since the start

	discovery string          // current address of discovery and the platform; cfg.Discovery is the one at the start
	watches   []chan struct{} // closing one ends its watch; the newest is last and ends the others with its first list

	holders holders
	clientFrontend
	firstList
	outages outageRecord
	proven  provenDestinations
	admission
	routing
	gossip
	linkPool
	outcomeReporter
	clusterMember
	counts counts
}

// Start opens a sender, replays its journal, and returns once it serves clients. Run must be called next.
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
	s.watch(cfg.InitialList.Version)
	s.awaitFirstList(time.After(firstListTimeout))
	return s, nil
}

// openSender creates a sender and replays its journal. It opens no socket.
func openSender(cfg *config.Config, log *zap.Logger, start time.Time, clock func() time.Duration) (*Sender, error) {
	s := &Sender{cfg: cfg, log: log, start: start, clock: clock, inbox: make(chan func(), inboxSize), stop: make(chan struct{})}
	s.numbering = directory.NameNumbers{Zones: cfg.ZoneNumbers, Kinds: cfg.KindNumbers}
	limited := s.withSystemLimits(cfg)
	s.holders.init(cfg.Limits)
	s.reading.clock = clock
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
	s.loadOutages()
	s.choice = choice.NewSender(s, choice.SenderID(cfg.Name), cfg.Seed, withBodyLimit(cfg.Settings))
	s.learnedStore = s.choice
	s.updateEndpoints(cfg.InitialList, true)
	for _, m := range unfinished {
		s.choice.Accept(m.Message)
	}
	return s, nil
}

// reason says why a connection ended. It is the value of the log key reason.
type reason string

// logConnEnded logs the end of a connection to peer. The side is "client", "endpoint", "platform" or "discovery"; err may
// be nil.
func (s *Sender) logConnEnded(side, peer string, why reason, err error) {
	fields := []zap.Field{zap.String("side", side), zap.String("peer", peer), zap.String("reason", string(why))}
	if err != nil {
		fields = append(fields, zap.String("error", fmt.Sprint(err)))
	}
	s.log.Info("connection ended", fields...)
}
