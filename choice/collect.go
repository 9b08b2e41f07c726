package choice

import (
	"cmp"
	"maps"
	"slices"
)

// This file holds generic helpers for slices and maps.

// getOrCreate returns the value of a key, which it creates if the map has none.
func getOrCreate[K comparable, V any](table map[K]*V, key K) *V {
	if table[key] == nil {
		table[key] = new(V)
	}
	return table[key]
}

// removeValue removes every occurrence of a value from a slice, in place.
func removeValue[T comparable](all []T, value T) []T {
	return slices.DeleteFunc(all, func(other T) bool { return other == value })
}

// deleteValue deletes every key of a map that has the given value.
func deleteValue[K, V comparable](table map[K]V, value V) {
	maps.DeleteFunc(table, func(_ K, other V) bool { return other == value })
}

// minBy returns, among the values of a map that accept allows, the one with the lowest score. Equal scores are resolved
// by the lowest key. score is called once for each accepted value.
func minBy[K cmp.Ordered, V any](table map[K]V, accept func(V) bool, score func(V) float64) V {
	var lowest V
	var lowestKey K
	var lowestScore float64
	found := false
	for key, value := range table {
		if !accept(value) {
			continue
		}
		f := score(value)
		if !found || f < lowestScore || f == lowestScore && key < lowestKey {
			lowest, lowestKey, lowestScore = value, key, f
			found = true
		}
	}
	return lowest
}

// selectSorted returns the values of a map that accept allows, sorted by key.
func selectSorted[K cmp.Ordered, V any](table map[K]V, accept func(V) bool) []V {
	var keys []K
	for key, value := range table {
		if accept(value) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	all := make([]V, 0, len(keys))
	for _, key := range keys {
		all = append(all, table[key])
	}
	return all
}

// earliest returns the earliest of limit and the times that timeOf gives for the elements of a slice.
func earliest[T any](all []T, limit Time, timeOf func(T) Time) Time {
	for _, each := range all {
		limit = min(limit, timeOf(each))
	}
	return limit
}
