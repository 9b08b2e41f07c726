// Package cluster runs one process's part in a cluster of senders: membership, consensus, and the exchange of health
// reports.
//
// It assembles its subpackages for one process (node.go) and owns the order in which they start and stop. All decisions
// are made in pure subpackages without a clock, socket, goroutine or logger (tree, consensus/machine, failover, purge,
// popularity); the subpackages member, consensus, evidence and link have these. Decisions made in common expire; a
// process that has none in force decides by package choice alone. The sender's loop never waits for this package: it
// hands over a digest and reads a routing plan (clusterapi.RoutingPlan).
//
// Locks are acquired in the order below, outermost first. No lock is held over I/O, over a channel operation that may
// block, or over a callback out of its package:
//
//  1. node.mu guards whether the node is closed; failover.mu, on the same level, guards the plan in force and the reports
//  2. member.mu guards the roster
//  3. consensus.mu guards what has been applied and who waits for it
//  4. purge.mu guards the acknowledgements received
//  5. configuration.mu guards the stored versions and where each is in force
//  6. popularity.mu guards counts and scores
//  7. the locks of evidence's shards, of which no two are ever held at once
//
// Locks that are not listed (those of link, and of single values) are innermost: no function is called under them.
package cluster
