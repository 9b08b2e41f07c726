package table

// ages has the row first that leaves first: a full table that many new places come to must not look through all rows
// for each. It is container/heap's, and keeps each row's place in it.
type ages []*row

// before tells which of two rows leaves first: the one last seen longer ago, of two the one of the lower place.
func (r *row) before(other *row) bool {
	return r.last < other.last || r.last == other.last && comparePlace(&r.place, &other.place) < 0
}

func (a ages) Len() int           { return len(a) }
func (a ages) Less(i, j int) bool { return a[i].before(a[j]) }
func (a ages) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].no, a[j].no = i, j
}

func (a *ages) Push(r any) {
	r.(*row).no = len(*a)
	*a = append(*a, r.(*row))
}

func (a *ages) Pop() any {
	last := len(*a) - 1
	r := (*a)[last]
	(*a)[last] = nil
	*a = (*a)[:last]
	return r
}
