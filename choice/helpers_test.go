package choice

import (
	"cmp"
	"maps"
	"slices"
)

// countIf is 1 if something happened and 0 otherwise, for sums.
func countIf(happened bool) int {
	if happened {
		return 1
	}
	return 0
}

// openState counts what a sender holds of messages: nothing of it may be left once all have ended.
func openState(s *Sender) int {
	return len(s.messages) + len(s.calls) + len(s.timers.pending) + len(s.keyQueues) + len(s.withQueued)
}

// sortedKeys returns the keys of a map in their order.
func sortedKeys[K cmp.Ordered, V any](table map[K]V) []K { return slices.Sorted(maps.Keys(table)) }
