package sender

// This file holds the counters that the command INFO returns.

import (
	"fmt"
	"slices"

	"flaxcove/choice"
)

// counts holds the counters of a Sender, which begin at 0 with each process. The loop owns them.
type counts struct {
	submitted, accepted, rejected, badCommands, replayed          int64
	attempts, probes, connects, connectsFailed, callsTimedOut     int64
	delivered, shed, failed, endingsPosted, postsFailed           int64
	clientsEnded, linksEnded, watchesEnded, rewrites              int64
	reloads, inputDropped, abandoned                              int64
	purges, withdrawn, withdrawnInFlight, evicted, learnedAdopted int64
	outagesRestored                                               int64
	outcomes                                                      [choice.Unreadable + 1]int64
	healthEvents                                                  [choice.ConnectionTableFull + 1]int64
}

// counter is one line of INFO. The names and their order are part of the protocol.
type counter struct {
	name  string
	value int64
}

// resultNames holds the name of each choice.Result in counters and in the log.
var resultNames = [choice.Unreadable + 1]string{"done", "errored", "full", "timed_out", "connect_failed", "reset", "cancelled", "moot", "spoilt"}

// Counters returns the lines of INFO, each in the form name:value. It is called on the loop.
func (s *Sender) Counters() (lines []string) {
	for _, c := range slices.Concat(s.messageCounters(), s.callCounters(), s.stateCounters(), s.memoryCounters(), s.gossipCounters(), s.clusterCounters(), s.healthCounters()) {
		lines = append(lines, fmt.Sprintf("%s:%d", c.name, c.value))
	}
	return lines
}

// messageCounters returns the counters of commands and accepted messages.
func (s *Sender) messageCounters() []counter {
	n := &s.counts
	return []counter{
		{"handed_in", n.submitted},
		{"taken_on", n.accepted},
		{"refused", n.rejected},
		{"bad_commands", n.badCommands},
		{"dropped_for_memory", n.inputDropped}, // included in refused
		{"replayed", n.replayed},
	}
}

// callCounters returns the counters of calls and of the endings of messages.
func (s *Sender) callCounters() []counter {
	n := &s.counts
	all := []counter{{"dispatches", n.attempts}}
	for result, count := range n.outcomes {
		all = append(all, counter{"outcome_" + resultNames[result], count})
	}
	return append(all, []counter{
		{"probes", n.probes},
		{"connects", n.connects},
		{"connects_failed", n.connectsFailed},
		{"calls_timed_out", n.callsTimedOut},
		{"delivered", n.delivered},
		{"handed_back", n.shed},
		{"given_up", n.failed},
		{"endings_posted", n.endingsPosted},
		{"posts_failed", n.postsFailed},
	}...)
}

// stateCounters returns the counters of connections, the journal and pending work.
func (s *Sender) stateCounters() []counter {
	n := &s.counts
	return []counter{
		{"clients", int64(s.clients.count())},
		{"clients_ended", n.clientsEnded},
		{"links", int64(s.openLinks)},
		{"links_ended", n.linksEnded},
		{"watches_ended", n.watchesEnded},
		{"reloads", n.reloads},
		{"journal_bytes", s.journal.Size()},
		{"journal_rewritings", n.rewrites},
		{"owed", int64(len(s.pending))},
		{"endings_owed", int64(s.unreported())},
	}
}

// healthCounters returns the counters of changes of endpoints' health.
func (s *Sender) healthCounters() []counter {
	n := &s.counts
	return []counter{
		{"endpoints_ejected", n.healthEvents[choice.EndpointEjected]},
		{"endpoints_readmitted", n.healthEvents[choice.EndpointReadmitted]},
		{"endpoints_suspected", n.healthEvents[choice.EndpointSuspected]},
		{"slow_starts", n.healthEvents[choice.SlowStartBegun]},
		{"connection_tables_full", n.healthEvents[choice.ConnectionTableFull]},
		{"outages_restored", n.outagesRestored},
		{"held_by_slow_start", s.choice.HeldBySlowStart()}, // turns in which a message could not be sent for it, by endpoint
	}
}

// gossipCounters returns the counters of gossip; nil if gossip is off.
func (s *Sender) gossipCounters() []counter {
	if s.peers == nil {
		return nil
	}
	c := s.peers.Counts()
	return []counter{
		{"notes_told", c.Sent},
		{"notes_unsent", c.Unsent},
		{"notes_heard", c.Received},
		{"notes_from_strangers", c.UnknownSource},
		{"notes_own", c.FromSelf},
		{"notes_too_long", c.TooLong},
		{"notes_spoilt", c.Malformed},
	}
}

// clusterCounters returns the counters of a sender that has joined a cluster; nil for any other sender.
func (s *Sender) clusterCounters() []counter {
	if s.cluster == nil {
		return nil
	}
	n := &s.counts
	return []counter{
		{"configuration_version", int64(s.cfg.Version)},
		{"purges", n.purges},
		{"withdrawn", n.withdrawn}, // not included in given_up, though the platform gets the same report for both
		{"withdrawn_while_out", n.withdrawnInFlight},
		{"evicted", n.evicted},
		{"taught", n.learnedAdopted},
		{"digest_left_out", s.leftOut},
	}
}
