package choice

// This file keeps messages in the order in which they may be sent: in the queues of each destination, and in the queues
// of order keys.

// joinKeyQueue appends a message to the queue of its order key.
func (s *Sender) joinKeyQueue(msg *message) {
	msg.keyQueue = getOrCreate(s.keyQueues, msg.Key)
	msg.keyQueue.messages = append(msg.keyQueue.messages, msg)
	if msg.MayRun { // a call of an earlier incarnation may still be running
		msg.keyQueue.pausedUntil = s.now + s.settings.KeyPause
		s.setTimer(msg, msg.keyQueue.pausedUntil)
	}
}

// leaveKeyQueue removes a message from the queue of its order key and lets the next one be sent. If the key is paused,
// a timer does so at the end of the pause.
func (s *Sender) leaveKeyQueue(msg *message) {
	queue := msg.keyQueue
	queue.messages = removeValue(queue.messages, msg)
	if s.now < queue.pausedUntil {
		s.setTimer(msg, queue.pausedUntil)
		msg.destination.keysPausedUntil = max(msg.destination.keysPausedUntil, queue.pausedUntil)
	}
	s.advanceKey(msg)
}

// advanceKey queues the first message of an order key for sending, if it was not sent before and the key is not paused.
// from is any message of the key, including one that has left the key queue.
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

// enqueue appends a message to its destination's queue, unless it is already queued or another message of its key must
// go first. It can be already queued because its key advanced when another message was shed.
func (s *Sender) enqueue(msg *message) {
	if msg.queueElement != nil || !s.keyAllows(msg) {
		return
	}
	msg.queue = msg.destination.queueFor(msg)
	msg.queueElement = msg.queue.PushBack(msg)
	msg.destination.queued++
	if msg.destination.queued == 1 {
		s.queuedDestinations = append(s.queuedDestinations, msg.destination)
	}
}

// keyAllows reports whether a message may be sent as far as its order key is concerned: it is the first of the key, and
// the key is not paused. The pause does not hold back retries.
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

// dequeue removes a message from its destination's queue, if it is queued.
func (s *Sender) dequeue(msg *message) {
	if msg.queueElement == nil {
		return
	}
	msg.queue.Remove(msg.queueElement)
	msg.queue, msg.queueElement = nil, nil
	msg.destination.queued--
	if msg.destination.queued == 0 {
		s.queuedDestinations = removeValue(s.queuedDestinations, msg.destination)
	}
}
