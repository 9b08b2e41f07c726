// Package cluster is what many senders do together: membership, decisions in common, and the exchange of health reports.
//
// It assembles the parts below for one process (node.go) and owns the order in which they start and end. All decisions
// are in pure parts (tree, consensus/machine, failover, purge, popularity), which have no clock, socket, goroutine or
// logger; member, consensus, evidence and link have these. Whatever is decided in common lapses; a process without it
// decides by package choice alone. The sender's loop waits for nothing here: it hands over a digest and reads a routing
// plan (clusterapi.Guide).
//
// Lock order, outermost first; no lock is held over I/O, a channel operation that may wait, or a call out of its
// package:
//
//  1. node.mu: whether the node is closed; and failover.mu, beside it: the plan in force and what is reported
//  2. member.mu: the roster
//  3. consensus.mu: what has been applied, and who waits for it
//  4. purge.mu: acknowledgements gathered
//  5. configuration.mu: versions stored, and where they are in force
//  6. popularity.mu: counts and scores
//  7. the locks of evidence's shards, of which no two are ever held at once
//
// Locks that are not listed (those of link, and of single values) are innermost: nothing is called under them.
package cluster
