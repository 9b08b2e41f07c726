// Package indexheap provides a heap for container/heap whose items store their index. With it, an item can be moved by heap.Fix
// after its order has changed, or removed by heap.Remove.
package indexheap

// Item is an element of a Heap.
type Item[T any] interface {
	// Less reports whether the item comes before another one. It must be a strict total order of the items in a heap.
	Less(other T) bool
	// SetIndex stores the item's current index, to be passed to heap.Fix and heap.Remove.
	SetIndex(i int)
}

// Heap is a heap with the lowest item at index 0. It implements heap.Interface. The zero value is an empty heap.
type Heap[T Item[T]] []T

// Len returns the number of items.
func (h Heap[T]) Len() int { return len(h) }

// Less reports whether the item at index i comes before the one at index j.
func (h Heap[T]) Less(i, j int) bool { return h[i].Less(h[j]) }

// Swap exchanges two items and updates their stored indices.
func (h Heap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].SetIndex(i)
	h[j].SetIndex(j)
}

// Push appends an item. It is called by package container/heap; use heap.Push to add an item.
func (h *Heap[T]) Push(item any) {
	added := item.(T)
	added.SetIndex(len(*h))
	*h = append(*h, added)
}

// Pop removes and returns the last item. It is called by package container/heap; use heap.Pop to remove the lowest item.
func (h *Heap[T]) Pop() any {
	last := len(*h) - 1
	removed := (*h)[last]
	var none T
	(*h)[last] = none
	*h = (*h)[:last]
	return removed
}
