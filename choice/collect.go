package choice

import (
	"cmp"
	"maps"
	"slices"
)

// This file holds small generic helpers for slices and maps. It knows nothing of messages and decides nothing.

// getOrCreate returns what a map holds for a key, made where there is nothing yet.
func getOrCreate[K comparable, V any](table map[K]*V, key K) *V {
	if table[key] == nil {
		table[key] = new(V)
	}
	return table[key]
}

// removeValue removes a value from a slice, in place.
func removeValue[T comparable](all []T, value T) []T {
	return slices.DeleteFunc(all, func(other T) bool { return other == value })
}

// deleteValue deletes all keys of a map that stand for a value.
func deleteValue[K, V comparable](table map[K]V, value V) {
	maps.DeleteFunc(table, func(_ K, other V) bool { return other == value })
}

// minBy returns, among the entries of a map that a filter accepts, the one with the lowest figure; of equal ones that
// with the lowest key. The figure is asked for once for each entry accepted.
func minBy[K cmp.Ordered, V any](table map[K]V, accept func(V) bool, figure func(V) float64) V {
	var lowest V
	var lowestKey K
	var lowestFigure float64
	found := false
	for key, value := range table {
		if !accept(value) {
			continue
		}
		f := figure(value)
		if !found || f < lowestFigure || f == lowestFigure && key < lowestKey {
			lowest, lowestKey, lowestFigure = value, key, f
			found = true
		}
	}
	return lowest
}

// selectSorted returns the values of a map that a filter accepts, in the order of their keys.
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

// earliest returns the earliest of the times that belong to the elements of a slice, or limit where none is before it.
func earliest[T any](all []T, limit Time, timeOf func(T) Time) Time {
	for _, each := range all {
		limit = min(limit, timeOf(each))
	}
	return limit
}
