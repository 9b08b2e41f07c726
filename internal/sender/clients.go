package sender

// This file holds the table of client connections and what is kept of each of them. accept.go fills the table,
// lingering_close.go and client_timeouts.go empty it.

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"flaxcove/choice"
	"flaxcove/internal/config"
)

const (
	windowSize          = 64              // commands of one client without an answer
	clientWriteTimeout  = 5 * time.Second // for one write of answers
	reservedDescriptors = 48              // for the process itself, discovery, the platform and the journal
	// firstInputTimeout is by when an ordinary client has sent its first bytes.
	firstInputTimeout = 200 * time.Millisecond
	// minIdleTime is how long a client that has been served may stay after its last answer.
	minIdleTime = 2 * time.Second
)

// Why a client connection ended, as the log reports it.
const (
	peerClosed     reason = "peer_closed"
	badCommand     reason = "bad_command"
	tooManyClients reason = "too_many_clients"
	partialCommand reason = "half_a_command"
	slowReader     reason = "answers_not_read"
	tooFarAhead    reason = "too_far_ahead"
	drained        reason = "drained"
	silentClient   reason = "said_nothing"
)

// clientFrontend is the part of a Sender that serves clients.
type clientFrontend struct {
	clients          clientTable
	listener         netpoll.Listener
	unparsedBytes    atomic.Int64 // bytes of incomplete commands, of all clients
	maxUnparsedBytes int64        // bound of unparsedBytes
}

// clientTable holds the open clients; each is removed when its connection has ended. The loop and netpoll's pollers share
// its lock, since a connection must be counted before it is read. A client's stateLock may be taken while the table is
// locked, never the other way round, and no connection is closed under either lock.
type clientTable struct {
	sync.Mutex
	all                map[*client]struct{}
	maxConns           int                    // bound of connections, lingering ones included
	maxServed          int                    // bound of served clients; the rest is for those that linger
	served             int                    // clients that neither linger nor have ended
	idleCloseThreshold int                    // up to this many connections none is closed for being idle
	stopped            bool                   // no new client is served any more
	busyReply          atomic.Pointer[[]byte] // the answer for clients that find no place; pollers read it too
}

// client is one connection from a client. A group of its fields belongs to the reader (netpoll's one running callback), a
// group to the loop; stateLock guards what both use.
type client struct {
	conn         netpoll.Connection
	peer         string
	window       chan struct{} // one element for each command without an answer, from before the loop gets it
	readerBusy   atomic.Bool   // the reader is at work
	partialSince atomic.Int64  // since when a command is incomplete, by the sender's clock; 0 for none
	idleSince    atomic.Int64  // since when all its commands are answered, by the same clock; 0 before the first
	ignoreInput  atomic.Bool   // nothing more is parsed: after a broken command nothing says where the next begins

	// stateLock is taken last. Who changes a field of this group also holds the table's lock, except for writeClosed.
	stateLock        sync.Mutex
	writeClosed      bool // our side has ended its sending: nothing that is read from here on is accepted
	rejected         bool // it has lost its place, but our side still sends: its first input is answered with -BUSY
	lingering        bool // writeClosed or rejected
	descriptorClosed bool // the descriptor is given back, and may be another connection's by now
	lingeringSince   time.Duration
	lingerReason     reason

	// Of the reader.
	input     []byte
	args      [][]byte
	unparsed  int64 // its part of clientFrontend.unparsedBytes
	discarded int   // bytes that came once it was lingering

	// Of the loop.
	connectedAt      time.Duration // since the sender's start
	replies          []*reply      // answers to come, in the order of the commands
	served           bool          // it has sent a command
	badCommands      int
	output           []byte
	outputReplies    int // answers in output
	writingReplies   int // answers that are being written
	closeReason      reason
	closing          bool // to be closed as soon as all answers are written
	recheckScheduled bool // a timer looks again whether it can be closed
	disconnected     bool
}

// reply is the place of one answer among those of its client.
type reply struct {
	client *client
	text   []byte // nil until it is known
}

func (f *clientFrontend) init(cfg *config.Config) {
	f.clients.all = map[*client]struct{}{}
	f.clients.maxConns = cfg.Limits.Sockets / 2
	f.clients.maxServed = f.clients.maxConns - max(1, f.clients.maxConns/8)
	f.clients.setBusyReply(&cfg.Settings)
	f.clients.idleCloseThreshold = cfg.Limits.Sockets / 4
	f.maxUnparsedBytes = max(4*maxInput, cfg.Limits.MemoryMB<<20/16)
}

// setBusyReply makes the answer for clients that find no place from the settings' longest time to come back.
func (t *clientTable) setBusyReply(set *choice.Settings) {
	text := busyText(int64(set.MaxRetryAfter / choice.Millisecond))
	t.busyReply.Store(&text)
}

func (t *clientTable) count() int {
	t.Lock()
	defer t.Unlock()
	return len(t.all)
}

// idle reports whether nothing that the client has sent is being read, handled or answered. A connection that is closed
// while it is not idle leaves a command without an answer, which counts as lost.
func (c *client) idle() bool {
	return len(c.window) == 0 && (c.ignoreInput.Load() || !c.readerBusy.Load() && c.partialSince.Load() == 0)
}

func (c *client) isWriteClosed() bool {
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	return c.writeClosed
}
