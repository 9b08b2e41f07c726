package mesh

import (
	"maps"
	"slices"
	"strconv"
	"strings"
)

// quotedList returns names as the elements of a TOML array.
func quotedList(names []string) string {
	all := make([]string, len(names))
	for i, n := range names {
		all[i] = strconv.Quote(n)
	}
	return strings.Join(all, ", ")
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys(m map[string]int) []string { return slices.Sorted(maps.Keys(m)) }
