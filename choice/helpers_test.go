package choice

import (
	"cmp"
	"maps"
	"slices"
)

// countIf returns 1 if something happened and 0 otherwise.
func countIf(happened bool) int {
	if happened {
		return 1
	}
	return 0
}

// countOpenState returns the amount of state that a sender holds for messages. It must be 0 when all messages have
// ended.
func countOpenState(s *Sender) int {
	return len(s.messages) + len(s.calls) + len(s.timers.pending) + len(s.keyQueues) + len(s.queuedDestinations)
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[K cmp.Ordered, V any](table map[K]V) []K { return slices.Sorted(maps.Keys(table)) }
