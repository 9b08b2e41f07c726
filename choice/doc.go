// Package choice decides what a sender does with every message it accepts: which endpoint gets an attempt and when,
// whether a failed attempt is retried, and which messages are shed or failed.
//
// The package is pure. It has no socket, file, clock, goroutine or logger: time and the seed of its random draws come
// in as arguments, and it acts only through the Host interface. The same calls with the same times therefore always
// lead to the same decisions, so that a recorded run can be replayed.
//
// A [Sender] has one exported method for each event (a message is accepted, an attempt ended, a timer fired, the endpoint
// list changed, and so on). The host calls [Sender.TurnEnd] after each batch of events; only then does the Sender choose
// attempts. A Sender is not safe for concurrent use.
//
// The decisions are divided by file:
//
//   - sender.go and state.go: the state, and the part of it derived from Settings
//   - endpointlist.go, learned.go: the endpoint list, and state learned earlier
//   - backlog.go: accepting, shedding and ending messages
//   - queues.go, retries.go, timers.go: order of messages, retry backoff, timers
//   - selection.go, ranking.go, attempts.go: which message goes to which endpoint, and its time-out
//   - bulkcalls.go: which messages share a call
//   - outcomes.go, refusals.go, connections.go: what is learned from the outcomes of calls
//   - ratelimit.go, retryafter.go, notes.go: rate limits of routes, found by this sender or reported by others
//   - outlier.go, slowstart.go, impairment.go: ejection of failing endpoints, their slow start after an outage, caution with
//     endpoints that have answered nothing yet, and outages that outlive an incarnation of a sender
//
// The remaining files hold types, arithmetic and lists, and make no decisions.
package choice
