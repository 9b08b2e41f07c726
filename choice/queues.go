package choice

// This file keeps messages in the order in which they may go: the queues of each destination, and those of order keys.

// joinKeyQueue puts a message at the end of its order key's queue.
func (s *Sender) joinKeyQueue(msg *message) {
	msg.keyQueue = getOrCreate(s.keyQueues, msg.Key)
	msg.keyQueue.messages = append(msg.keyQueue.messages, msg)
	if msg.MayRun { // a call of an earlier incarnation may still be running
		msg.keyQueue.pausedUntil = s.now + s.settings.KeyPause
		s.setTimer(msg, msg.keyQueue.pausedUntil)
	}
}

// leaveKeyQueue takes a message out of its order key's queue, and lets the next one go. Where the key is paused, a
// timer does so when the pause is over.
func (s *Sender) leaveKeyQueue(msg *message) {
	queue := msg.keyQueue
	queue.messages = removeValue(queue.messages, msg)
	if s.now < queue.pausedUntil {
		s.setTimer(msg, queue.pausedUntil)
		msg.destination.keysPausedUntil = max(msg.destination.keysPausedUntil, queue.pausedUntil)
	}
	s.advanceKey(msg)
}

// advanceKey lets the first message of an order key go, where it has not been sent yet and the key is not paused. from
// is any message of that key, also one that has left.
func (s *Sender) advanceKey(from *message) {
	queue := from.keyQueue
	if queue == nil || s.keyQueues[from.Key] != queue || s.now < queue.pausedUntil {
		return
	}
	if len(queue.messages) == 0 {
		delete(s.keyQueues, from.Key)
		return
	}
	if first := queue.messages[0]; first.attempts == 0 {
		s.enqueue(first)
	}
}

// enqueue puts a message in its destination's queue, unless it stands there already or another one of its key goes
// first. It may stand there already, as its key's turn may have come to it when another message was shed.
func (s *Sender) enqueue(msg *message) {
	if msg.queueElement != nil || !s.keyAllows(msg) {
		return
	}
	msg.queue = msg.destination.queueFor(msg)
	msg.queueElement = msg.queue.PushBack(msg)
	msg.destination.queued++
	if msg.destination.queued == 1 {
		s.withQueued = append(s.withQueued, msg.destination)
	}
}

// keyAllows reports whether a message's order key lets it go: it is first, and the key is not paused. The pause does
// not hold back a retry.
func (s *Sender) keyAllows(msg *message) bool {
	queue := msg.keyQueue
	if queue == nil {
		return true
	}
	if queue.messages[0] != msg {
		return false
	}
	return msg.attempts > 0 || s.now >= queue.pausedUntil
}

// dequeue takes a message out of its destination's queue, if it stands there.
func (s *Sender) dequeue(msg *message) {
	if msg.queueElement == nil {
		return
	}
	msg.queue.Remove(msg.queueElement)
	msg.queue, msg.queueElement = nil, nil
	msg.destination.queued--
	if msg.destination.queued == 0 {
		s.withQueued = removeValue(s.withQueued, msg.destination)
	}
}
