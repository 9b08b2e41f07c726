package indexheap

import (
	"container/heap"
	"testing"
)

type number struct{ value, index int }

func (n *number) Less(other *number) bool { return n.value < other.value }
func (n *number) SetIndex(i int)          { n.index = i }

// TestOrderAndIndex checks that items store their index, and are popped in order, after one was moved and one removed.
func TestOrderAndIndex(t *testing.T) {
	var h Heap[*number]
	items := map[int]*number{}
	for _, value := range []int{5, 3, 8, 1, 9, 2} {
		items[value] = &number{value: value}
		heap.Push(&h, items[value])
	}
	items[9].value = 0
	heap.Fix(&h, items[9].index)
	heap.Remove(&h, items[5].index)
	for i, n := range h {
		if n.index != i {
			t.Errorf("item %d at index %d has stored index %d", n.value, i, n.index)
		}
	}
	for _, want := range []int{0, 1, 2, 3, 8} {
		if got := heap.Pop(&h).(*number).value; got != want {
			t.Errorf("popped %d, want %d", got, want)
		}
	}
	if h.Len() != 0 {
		t.Errorf("%d items left", h.Len())
	}
}
