package sender

// This file decides, with package fair, whether a client may have one more message accepted. It owns what the messages of
// each client hold of the places and of the journal.

import (
	"math"
	"time"

	"flaxcove/internal/fair"
)

// establishedAfter is how long after connecting a client that was answered counts as established.
const establishedAfter = time.Second

// resourceUse is what a number of messages hold.
type resourceUse struct {
	messages     int
	journalBytes int64
}

// add adds what other messages hold.
func (u *resourceUse) add(other resourceUse) {
	u.messages += other.messages
	u.journalBytes += other.journalBytes
}

// use returns what a message holds.
func (m *message) use() resourceUse {
	return resourceUse{messages: 1, journalBytes: m.size + maxLaterRecordBytes}
}

// negative returns the use that add takes away again.
func (u resourceUse) negative() resourceUse { return resourceUse{-u.messages, -u.journalBytes} }

// own makes a client the owner of a message.
func (s *Sender) own(c *client, m *message) {
	m.owner = c
	c.use.add(m.use())
}

// disown takes a message that has ended from its owner.
func (s *Sender) disown(m *message) {
	if m.owner == nil {
		return
	}
	use := m.use().negative()
	m.owner.use.add(use)
	if m.owner.countedAsDeparted {
		s.departed.add(use)
	}
	m.owner = nil
}

// admits reports whether a client may have a message accepted. The journal must hold the message and its later records.
// Messages admitted in the same turn count too: a burst beyond the limit could not be written at all, and then no client
// would be answered.
func (s *Sender) admits(c *client, m *message) bool {
	c.establish(s.sinceStart())
	who := fair.Client{Connected: s.clients.servedCount(), Established: c.established, Pipelining: c.unanswered.Load() > 1}
	needed := m.use()
	places := math.Min(float64(s.cfg.Settings.MaxOpen), float64(s.holders.messages.Limit()/messageOverhead))
	return fair.Admits(who, fair.Resource{
		Limit: places, Held: float64(len(s.pending)),
		Own: float64(c.use.messages), Departed: float64(s.departed.messages), Needed: float64(needed.messages),
	}, fair.Resource{
		Limit: maxLiveShare * float64(s.journal.Limit()), Held: float64(s.liveBytes + s.reservedBytes),
		Own: float64(c.use.journalBytes), Departed: float64(s.departed.journalBytes), Needed: float64(needed.journalBytes),
	})
}

// establish marks a client as established if it has been connected long enough and was answered.
func (c *client) establish(now time.Duration) {
	c.established = c.established || c.idleSince.Load() != 0 && now-c.connectedAt >= establishedAfter
}
