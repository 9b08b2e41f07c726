package sender

// This file holds the table of client connections and the state of each connection. accept.go adds clients to the table;
// lingering_close.go and client_timeouts.go remove them.

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"flaxcove/choice"
	"flaxcove/internal/config"
	"flaxcove/internal/resp"
	"flaxcove/internal/sender/memory"
)

const (
	windowSize          = 64              // maximum number of commands of one client that are handled and not answered yet
	clientWriteTimeout  = 5 * time.Second // timeout for one write of answers
	reservedDescriptors = 48              // descriptors kept for the process itself, discovery, the platform and the journal
	// firstInputTimeout is the time after connecting within which an ordinary client has sent its first bytes.
	firstInputTimeout = 200 * time.Millisecond
	// minIdleTime is how long a served client may stay idle after its last answer before it may be closed for being idle.
	minIdleTime = 2 * time.Second
)

// These are the reasons for the end of a client connection, as the log reports them.
const (
	peerClosed     reason = "peer_closed"
	badCommand     reason = "bad_command"
	tooManyClients reason = "too_many_clients"
	partialCommand reason = "half_a_command"
	slowReader     reason = "answers_not_read"
	drained        reason = "drained"
	silentClient   reason = "said_nothing"
)

// clientFrontend is the part of a Sender that serves clients. The table does its own locking; listener is set before clients
// are served.
type clientFrontend struct {
	clients  clientTable
	ready    readyClients
	reading  readingTurn
	listener netpoll.Listener
}

// clientTable holds the connected clients. A client is removed when its connection has ended. The loop and netpoll's poller
// goroutines share its lock, because a connection must be counted before anything is read from it. A goroutine that holds
// the table's lock may take a client's stateLock, but not the reverse. No connection may be closed under either lock.
type clientTable struct {
	sync.Mutex
	all                map[*client]struct{}
	maxConns           int                    // maximum number of connections, lingering ones included
	maxServed          int                    // maximum number of served clients; the rest of maxConns is for lingering ones
	served             int                    // number of clients that are neither lingering nor disconnected
	idleCloseThreshold int                    // number of connections up to which none is closed for being idle
	stopped            bool                   // new clients are rejected
	busyReply          atomic.Pointer[[]byte] // the answer to rejected clients; the loop replaces it, readers load it
}

// client is one connection from a client. Some fields belong to the reader, which is the callback that netpoll runs for the
// connection, one at a time; others belong to the loop. Fields that both use are atomic or guarded by stateLock.
type client struct {
	conn         netpoll.Connection
	peer         string         // remote address
	unanswered   atomic.Int64   // number of commands that the reader has counted and whose answers are not written
	reading      *readingTurn   // of clientFrontend
	received     netpoll.Reader // input that netpoll has read; never replaced
	inputTaken   chan struct{}  // gets an element when the reader has parsed its input
	readerBusy   atomic.Bool    // the reader is running
	left         atomic.Bool    // the connection has ended, whoever has ended it
	partialSince atomic.Int64   // time on the sender's clock since which a command is incomplete; 0 if none is
	idleSince    atomic.Int64   // time on the sender's clock of the last answer written; 0 before the first answer
	ignoreInput  atomic.Bool    // input is no longer parsed, for example after a malformed command

	// stateLock guards this group of fields. It is taken after all other locks. A goroutine that changes one of these
	// fields also holds the table's lock, except for writeClosed.
	stateLock        sync.Mutex
	writeClosed      bool          // the sender has shut down its sending side; commands that are read from now on are discarded
	rejected         bool          // the client has lost its place; its first input is still answered with -BUSY
	lingering        bool          // writeClosed or rejected
	descriptorClosed bool          // the descriptor is closed, and its number may belong to another connection
	lingeringSince   time.Duration // time on the sender's clock
	lingerReason     reason

	inputAccount  *memory.Account // the client's part of holders.input
	outputAccount *memory.Account // the client's part of holders.output

	// queueLock guards this group of fields. No other lock is taken under it.
	queueLock      sync.Mutex
	queued         []queuedCommand // commands that the loop has not handled, in their order
	queueAnnounced bool            // the loop knows that the queue is not empty, and will go on with it

	waiting bool // it is in clientFrontend.ready, whose lock guards the field

	// The reader owns this group of fields.
	input     []byte        // the beginning of an incomplete command
	skipper   *resp.Skipper // skips an incomplete command that is dropped; nil if there is none
	args      [][]byte      // arguments of the last command, reused by the next one
	unparsed  int64         // bytes of input that the client's account holds
	discarded int           // bytes discarded while the client was lingering

	// The loop owns this group of fields.
	connectedAt       time.Duration // time on the sender's clock; set once, before the client is in the table
	handled           int           // commands in the window: handled, and their answers are not written
	replies           []*reply      // replies that are not in output yet, in the order of the commands
	served            bool          // the client has sent a command
	badCommands       int           // number of invalid commands
	writingBytes      int64         // bytes of answers that are being written
	output            []byte        // answers that are ready and not being written yet
	outputReplies     int           // number of commands that output answers
	writingReplies    int           // number of commands whose answers are being written
	closeReason       reason
	closing           bool        // the connection is closed once all answers are written
	recheckScheduled  bool        // a timer will check again whether the connection can be closed
	disconnected      bool        // the connection has ended or is being closed; nothing more is written
	use               resourceUse // of its messages
	countedAsDeparted bool        // admission.departed includes use
	established       bool        // see establishedAfter
}

// reply reserves the position of an answer among the answers to its client. The text may be that of several commands.
type reply struct {
	client   *client
	commands int
	text     []byte // nil until the answer is known
}

// init sets the limits of the table from the configuration. Half of the sockets are for clients.
func (f *clientFrontend) init(cfg *config.Config) {
	f.ready.init()
	f.clients.all = map[*client]struct{}{}
	f.clients.maxConns = cfg.Limits.Sockets / 2
	f.clients.maxServed = f.clients.maxConns - max(1, f.clients.maxConns/8)
	f.clients.setBusyReply(&cfg.Settings)
	f.clients.idleCloseThreshold = cfg.Limits.Sockets / 4
}

// setBusyReply sets the answer to rejected clients. It asks them to wait for the longest retry time in the settings.
func (t *clientTable) setBusyReply(set *choice.Settings) {
	text := busyText(int64(set.MaxRetryAfter / choice.Millisecond))
	t.busyReply.Store(&text)
}

// servedCount returns the number of clients that are served.
func (t *clientTable) servedCount() int {
	t.Lock()
	defer t.Unlock()
	return t.served
}

// count returns the number of connected clients.
func (t *clientTable) count() int {
	t.Lock()
	defer t.Unlock()
	return len(t.all)
}

// idle reports whether no input of the client is being read, handled or answered. Closing a connection that is not idle
// leaves a command without an answer, which counts as lost.
func (c *client) idle() bool {
	return c.unanswered.Load() == 0 && (c.ignoreInput.Load() || !c.readerBusy.Load() && c.partialSince.Load() == 0)
}

// hasLeft reports whether nobody waits for answers any more. Only the loop calls it.
func (c *client) hasLeft() bool { return c.disconnected || c.left.Load() }

// isWriteClosed reports whether the sender has shut down its sending side of the connection.
func (c *client) isWriteClosed() bool {
	c.stateLock.Lock()
	defer c.stateLock.Unlock()
	return c.writeClosed
}
