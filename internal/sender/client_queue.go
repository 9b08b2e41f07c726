package sender

// This file holds the queue of commands between the reader of a client and the loop. The reader never waits for the loop:
// netpoll goes on reading from the socket meanwhile, without a bound. A command for which the input budget has no room is
// dropped, and the client is answered -BUSY in its place. Each command that was counted is answered, in order, unless the
// client's connection ends or the client has sent too many invalid commands.

import "flaxcove/internal/resp"

const (
	// maxQueued is the maximum number of queued commands of one client, besides dropped ones. During a graceful shutdown
	// they are handled between drainEndTime and drainHardEnd, a window in each turn.
	maxQueued = 16 * windowSize
	// commandOverhead is the memory in bytes that a queued command takes besides its text.
	commandOverhead = 512
	// maxDroppedAtOnce is the maximum number of dropped commands that are answered at once.
	maxDroppedAtOnce = 512
)

// queuedCommand is an entry of a client's queue: a command, the error of input that is no command, or a number of commands
// that were dropped.
type queuedCommand struct {
	args    [][]byte
	err     error // the input that follows is not parsed
	charge  int64 // bytes that the command holds of the client's account
	dropped int   // number of commands that were dropped; 0 for a command or an error
}

// countCommand counts a command that is about to be queued, and reports whether it is to be handled. A command that is read
// after the half-close is not: its client submits it elsewhere. Only the reader calls countCommand.
func (s *Sender) countCommand(c *client) bool {
	c.unanswered.Add(1)
	if s.discardsInput(c) {
		c.unanswered.Add(-1)
		return false
	}
	return true
}

// queueCommand queues a copy of the complete command in text, or drops the command if the input budget has no room for it. It
// reports whether the reader goes on.
func (s *Sender) queueCommand(c *client, text []byte) bool {
	charge := int64(len(text)) + commandOverhead
	if c.queueFull() || !c.takeInput(charge) {
		return s.queueDropped(c)
	}
	if !s.countCommand(c) {
		c.inputAccount.Release(charge)
		return false
	}
	args, _, _ := resp.Command(append([]byte(nil), text...), nil) // a copy, because the reader's buffer is reused
	s.queue(c, queuedCommand{args: args, charge: charge})
	return true
}

// takeInput takes memory for a command, and reports whether there is room for it. A client that has no other command
// unanswered may use the reserve.
func (c *client) takeInput(bytes int64) bool {
	if c.unanswered.Load() == 0 {
		return c.inputAccount.TakeReserved(bytes)
	}
	return c.inputAccount.Take(bytes)
}

// queueDropped queues the answer to a command that was dropped, and reports whether the reader goes on.
func (s *Sender) queueDropped(c *client) bool {
	if !s.countCommand(c) {
		return false
	}
	s.queue(c, queuedCommand{dropped: 1})
	return true
}

// queueError queues the answer to input that cannot be parsed.
func (s *Sender) queueError(c *client, err error) {
	if s.countCommand(c) {
		s.queue(c, queuedCommand{err: err})
	}
}

// queue appends an entry to the client's queue. If the loop has no reason yet to look at the queue, it gets one.
func (s *Sender) queue(c *client, command queuedCommand) {
	c.queueLock.Lock()
	last := len(c.queued) - 1
	if command.dropped > 0 && last >= 0 && c.queued[last].dropped > 0 {
		c.queued[last].dropped += command.dropped
	} else {
		c.queued = append(c.queued, command)
	}
	announced := c.queueAnnounced
	c.queueAnnounced = true
	c.queueLock.Unlock()
	if !announced {
		s.ready.add(c)
	}
}

// handleQueue handles up to commandsPerVisit commands of the client's queue, and reports whether it may go on at once. It
// stops earlier if the queue is empty, the window is full, or too many answers are not read; in the last two cases
// resumeQueue is called when answers have been written. It runs on the loop, but never within the end of a turn, because it
// may admit messages.
func (s *Sender) handleQueue(c *client) (more bool) {
	if c.hasLeft() {
		s.discardQueue(c)
		return false
	}
	for range commandsPerVisit {
		if !s.mayHandle(c) {
			return false
		}
		command, more := c.nextQueued()
		if !more {
			return false
		}
		c.handled += max(1, command.dropped)
		switch {
		case c.badCommands >= maxBadCommands:
			c.releaseWindow(max(1, command.dropped)) // the client is about to be disconnected
		case command.err != nil:
			s.protocolError(c, command.err)
		case command.dropped > 0:
			s.answerDropped(c, command.dropped)
		default:
			s.handleCommand(c, command.args)
		}
		if command.charge > 0 {
			c.inputAccount.Release(command.charge)
		}
	}
	return true
}

// mayHandle reports whether the next command of a client may be handled: its window is not full, and it has read enough of
// its answers.
func (s *Sender) mayHandle(c *client) bool {
	return c.handled < windowSize && len(c.output) <= maxUnreadOutput/2 && c.outputAccount.HasRoom()
}

// discardQueue discards the commands of a client whose connection has ended. Nobody waits for their answers, and the client
// may have submitted their messages elsewhere.
func (s *Sender) discardQueue(c *client) {
	for {
		command, more := c.nextQueued()
		if !more {
			return
		}
		count := max(1, command.dropped)
		s.counts.abandoned += int64(count)
		c.unanswered.Add(-int64(count))
		c.inputAccount.Release(command.charge)
	}
}

// resumeQueue goes on with the client's queue if it was left because of the window or of unread answers.
func (s *Sender) resumeQueue(c *client) {
	if c.hasQueued() {
		s.ready.add(c)
	}
}

// hasQueued reports whether the loop has commands of the client to handle. If not, the reader announces the next command
// again.
func (c *client) hasQueued() bool {
	c.queueLock.Lock()
	defer c.queueLock.Unlock()
	c.queueAnnounced = len(c.queued) > 0
	return c.queueAnnounced
}

// queueFull reports whether the client has maxQueued commands in its queue. Only the reader calls it.
func (c *client) queueFull() bool {
	c.queueLock.Lock()
	defer c.queueLock.Unlock()
	return len(c.queued) >= maxQueued
}

// nextQueued removes the first command from the queue, or as many dropped ones as are answered at once. If the queue is empty, the reader announces the next command again.
func (c *client) nextQueued() (command queuedCommand, more bool) {
	c.queueLock.Lock()
	defer c.queueLock.Unlock()
	if len(c.queued) == 0 {
		c.queued, c.queueAnnounced = nil, false
		return queuedCommand{}, false
	}
	command = c.queued[0]
	if command.dropped > maxDroppedAtOnce {
		command.dropped = maxDroppedAtOnce
		c.queued[0].dropped -= maxDroppedAtOnce
		return command, true
	}
	c.queued[0] = queuedCommand{}
	c.queued = c.queued[1:]
	return command, true
}

// releaseWindow removes count commands from the window, whose answers are written or can no longer be written.
func (c *client) releaseWindow(count int) {
	c.handled -= count
	c.unanswered.Add(-int64(count))
}
