package mesh

import (
	"maps"
	"slices"
	"strconv"
	"strings"
)

func quoted(names []string) string {
	all := make([]string, len(names))
	for i, n := range names {
		all[i] = strconv.Quote(n)
	}
	return strings.Join(all, ", ")
}

func sorted(m map[string]int) []string { return slices.Sorted(maps.Keys(m)) }
