package choice

import (
	"cmp"
	"maps"
	"slices"
)

// This file holds small generic helpers for slices and tables. It knows nothing of messages and must decide nothing.

// either is one of two values.
func either[T any](is bool, then, otherwise T) T {
	if is {
		return then
	}
	return otherwise
}

// getOrCreate is what a table holds for a key, made where there is nothing yet.
func getOrCreate[K comparable, V any](table map[K]*V, key K) *V {
	if table[key] == nil {
		table[key] = new(V)
	}
	return table[key]
}

// removeValue is a list less one of its own.
func removeValue[T comparable](all []T, less T) []T {
	return slices.DeleteFunc(all, func(other T) bool { return other == less })
}

// deleteValue takes all that stands for one value out of a table.
func deleteValue[K, V comparable](table map[K]V, value V) {
	maps.DeleteFunc(table, func(_ K, other V) bool { return other == value })
}

// sortedKeys is a table's keys in an order that is always the same.
func sortedKeys[K cmp.Ordered, V any](table map[K]V) []K { return slices.Sorted(maps.Keys(table)) }

// minBy is the entry of a table of which a figure is the lowest, among some; of equals the one whose key is.
func minBy[K cmp.Ordered, V any](table map[K]V, among func(V) bool, figure func(V) float64) (lowest V) {
	var key K
	var at float64
	found := false
	for k, v := range table {
		if !among(v) {
			continue
		}
		if f := figure(v); !found || f < at || f == at && k < key {
			lowest, key, at, found = v, k, f, true
		}
	}
	return lowest
}

// selectSorted is all of a table that a question is answered yes for, in the order of its keys.
func selectSorted[K cmp.Ordered, V any](table map[K]V, is func(V) bool) (all []V) {
	var keys []K
	for k, v := range table {
		if is(v) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	for _, k := range keys {
		all = append(all, table[k])
	}
	return all
}

// earliest is the least of a figure over all, or limit where none is below that.
func earliest[T any](all []T, limit Time, figure func(T) Time) Time {
	for _, each := range all {
		limit = min(limit, figure(each))
	}
	return limit
}
