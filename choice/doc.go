// Package choice decides what a sender does with every message it accepts: which endpoint gets an attempt and when,
// whether a failed attempt is retried, and which messages are shed or failed.
//
// The package is pure. It has no socket, file, clock, goroutine or logger: time and the seed of its random draws come
// in as arguments, and it acts only through the Host interface. The same calls with the same times therefore always
// lead to the same decisions, so that a recorded run can be replayed.
//
// A [Sender] has one exported method for each thing that can happen (a message is accepted, an attempt ended, a timer
// fired, the endpoint list changed, and so on). The host calls [Sender.TurnEnd] after each batch of them; attempts are
// chosen only then. A Sender is not safe for concurrent use.
//
// The decisions are split by concern:
//
//   - sender.go and state.go: the state, and how it follows from Settings
//   - endpointlist.go, learned.go: the endpoint list and state learned earlier
//   - backlog.go: accepting, shedding and ending messages
//   - queues.go, retries.go, timers.go: order of messages, retry backoff, timers
//   - selection.go, ranking.go, attempts.go: which message goes to which endpoint, and for how long
//   - outcomes.go, connections.go: what is learned from how calls end
//   - ratelimit.go, retryafter.go, notes.go: limits of routes, found alone or reported by other senders
//   - outlier.go, slowstart.go: ejection of failing endpoints, and their ramp after an outage
//
// The remaining files hold types, arithmetic and lists, and decide nothing.
package choice
