package table

// ageHeap is a heap of rows (container/heap) whose first row is the next to be evicted, so that a full table need not
// scan all rows for each new locality. It maintains the heapIndex of its rows.
type ageHeap []*row

// olderThan reports whether r is evicted before other: the row whose newest sample is older, or the lower locality if
// both are equally old.
func (r *row) olderThan(other *row) bool {
	return r.newestAt < other.newestAt || r.newestAt == other.newestAt && compareLocality(&r.locality, &other.locality) < 0
}

// Len, Less, Swap, Push and Pop implement heap.Interface.

func (a ageHeap) Len() int           { return len(a) }
func (a ageHeap) Less(i, j int) bool { return a[i].olderThan(a[j]) }
func (a ageHeap) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].heapIndex, a[j].heapIndex = i, j
}

func (a *ageHeap) Push(r any) {
	r.(*row).heapIndex = len(*a)
	*a = append(*a, r.(*row))
}

func (a *ageHeap) Pop() any {
	last := len(*a) - 1
	r := (*a)[last]
	(*a)[last] = nil
	*a = (*a)[:last]
	return r
}
