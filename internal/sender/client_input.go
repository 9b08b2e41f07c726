package sender

// This file parses the input of clients into commands and queues them for the loop. For each client at most one incomplete
// command is held. Input after a malformed command is not parsed, because the start of the next command is unknown.

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"flaxcove/internal/resp"
)

const (
	maxInput = resp.MaxBulk + 8<<10 // maximum size of one command in bytes
	// maxIdleBuffer is the capacity in bytes of the largest input buffer that a client keeps while it has no incomplete
	// command.
	maxIdleBuffer = maxInput / 8
	// receiveBuffer is the size in bytes of the kernel's receive buffer of a client connection, and so of the most that
	// netpoll reads at once.
	receiveBuffer = 32 << 10
)

// endpointTasksPerYield is the number of tasks with answers of endpoints that the goroutine that reads all sockets starts before
// it lets them run. Each answer that is not read yet takes up to receiveBuffer.
const endpointTasksPerYield = 16

// endpointTasks counts the tasks with answers of endpoints.
var endpointTasks atomic.Uint64

func init() {
	if err := netpoll.Configure(netpoll.Config{Runner: runCallback}); err != nil {
		panic(err) // only with settings that are not made here
	}
}

// runCallback runs one of netpoll's tasks, which calls onClientInput or onEndpointInput. It is called by the goroutine that
// reads all sockets. For a client it waits until the input is parsed: otherwise that goroutine would go on reading, and
// would fill netpoll's buffer faster than the reader empties it. The task itself ends later, because its end may wait for
// that goroutine.
//
// The wait ends. netpoll holds the connection's lock for this task, so no other task takes input meanwhile, and it starts a
// task with onClientInput if there is input. There may be none, if the task before has taken it: then this task calls
// nothing, and nothing is waited for. onClientInput itself waits for nothing but locks that are held briefly.
func runCallback(ctx context.Context, task func()) {
	c, isClient := ctx.Value(clientKey{}).(*client)
	if !isClient {
		go task()
		if endpointTasks.Add(1)%endpointTasksPerYield == 0 {
			runtime.Gosched() // the tasks go first, so that they read before more input arrives
		}
		return
	}
	if c.received.Len() == 0 {
		go task()
		return
	}
	select {
	case <-c.inputTaken: // by a call that nobody waited for
	default:
	}
	go task()
	<-c.inputTaken
	c.reading.yieldIfDue()
}

// onClientInput parses all input that has arrived on a connection. netpoll calls it, and calls it again only when more
// input arrives. It is the reader of the client: at most one call runs for a connection at a time.
func (s *Sender) onClientInput(ctx context.Context, conn netpoll.Connection) error {
	c, known := ctx.Value(clientKey{}).(*client)
	if !known {
		return conn.Close()
	}
	c.readerBusy.Store(true)
	defer func() {
		c.readerBusy.Store(false)
		select {
		case c.inputTaken <- struct{}{}:
		default:
		}
	}()
	return s.takeInput(c, conn.Reader())
}

// takeInput parses the bytes that netpoll has read, or discards them if the client is lingering or its input is ignored.
func (s *Sender) takeInput(c *client, r netpoll.Reader) error {
	piece, err := r.Next(r.Len())
	if err != nil {
		return err
	}
	switch {
	case s.discardIfLingering(c, len(piece)):
		c.stopReading()
	case c.ignoreInput.Load():
		c.dropInput()
	default:
		s.parseInput(c, append(c.input, piece...))
	}
	return r.Release()
}

// parseInput queues all complete commands of the input and keeps the rest, which is the beginning of an incomplete command.
func (s *Sender) parseInput(c *client, input []byte) {
	rest := input
	for len(rest) > 0 {
		took, readOn := s.parseCommand(c, rest)
		if !readOn || c.ignoreInput.Load() {
			c.stopReading()
			return
		}
		if took == 0 {
			break
		}
		rest = rest[took:]
	}
	c.keepIncomplete(input, rest)
}

// parseCommand handles one command at the start of the input, or the next part of one that is being skipped. It returns how
// many bytes it took, 0 if the command is incomplete, and whether the reader goes on.
func (s *Sender) parseCommand(c *client, input []byte) (took int, readOn bool) {
	if c.skipper != nil {
		return s.skipInput(c, input)
	}
	args, took, err := resp.Command(input, c.args)
	switch {
	case err == nil && took > 0:
		c.args = args
		c.partialSince.Store(0)
		c.setUnparsed(0)
		clear(c.args) // they would keep the input in memory
		return took, s.queueCommand(c, input[:took])
	case err == nil && len(input) > maxInput:
		err = resp.ErrLength
	}
	if err != nil {
		// The loop closes the client after all answers are written. Input that arrives until then is discarded.
		s.queueError(c, err)
		return 0, false
	}
	c.startPartial(s.clock())
	if !c.setUnparsed(int64(len(input))) {
		c.skipper = &resp.Skipper{}
		return s.skipInput(c, input)
	}
	return 0, true
}

// skipInput skips the next part of a command for which the input budget has no room, and queues the command as dropped once
// it is complete.
func (s *Sender) skipInput(c *client, input []byte) (took int, readOn bool) {
	took, complete, err := c.skipper.Skip(input)
	switch {
	case err != nil:
		s.queueError(c, err)
		return 0, false
	case !complete:
		return took, true
	}
	c.skipper = nil
	c.partialSince.Store(0)
	return took, s.queueDropped(c)
}

// keepIncomplete keeps rest, which is the end of input and the beginning of an incomplete command.
func (c *client) keepIncomplete(input, rest []byte) {
	switch {
	case len(rest) > 0 && cap(input) > maxInput+receiveBuffer:
		c.input = append([]byte(nil), rest...)
	case len(rest) == 0 && cap(input) > maxIdleBuffer:
		c.input = nil
	default:
		c.input = append(input[:0], rest...)
	}
}

// startPartial records that a command is incomplete from now on, unless one is already.
func (c *client) startPartial(now time.Duration) {
	c.partialSince.CompareAndSwap(0, max(1, int64(now)))
}

// stopReading drops the client's input and makes the reader ignore all further input. Only the reader calls it.
func (c *client) stopReading() {
	c.dropInput()
	c.ignoreInput.Store(true)
	c.partialSince.Store(0)
}

// dropInput drops the incomplete command.
func (c *client) dropInput() {
	c.input, c.skipper = nil, nil
	c.setUnparsed(0)
}

// setUnparsed sets how many bytes of an incomplete command the client holds. It reports whether the input budget has room for
// them; if not, the client holds none. Only the reader calls it, and the loop once the reader no longer runs.
func (c *client) setUnparsed(bytes int64) bool {
	more := bytes - c.unparsed
	if more > 0 && !c.inputAccount.Take(more) {
		c.setUnparsed(0)
		return false
	}
	if more < 0 {
		c.inputAccount.Release(-more)
	}
	c.unparsed = bytes
	return true
}
