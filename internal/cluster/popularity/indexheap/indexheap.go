// Package indexheap is a heap whose items know their index, so that one of them can be moved or removed with
// container/heap after its order has changed.
package indexheap

// Item is an element of a heap.
type Item[T any] interface {
	// Less reports whether the item comes before another. No two items of a heap may be equal.
	Less(other T) bool
	// SetIndex stores the item's index for heap.Fix and heap.Remove.
	SetIndex(i int)
}

// Heap has the least item first. It implements heap.Interface.
type Heap[T Item[T]] []T

// Len is the number of items.
func (h Heap[T]) Len() int { return len(h) }

// Less compares two items by index.
func (h Heap[T]) Less(i, j int) bool { return h[i].Less(h[j]) }

// Swap exchanges two items and tells them their new index.
func (h Heap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].SetIndex(i)
	h[j].SetIndex(j)
}

// Push appends an item; call heap.Push instead.
func (h *Heap[T]) Push(item any) {
	added := item.(T)
	added.SetIndex(len(*h))
	*h = append(*h, added)
}

// Pop removes the last item; call heap.Pop instead.
func (h *Heap[T]) Pop() any {
	last := len(*h) - 1
	removed := (*h)[last]
	var none T
	(*h)[last] = none
	*h = (*h)[:last]
	return removed
}
