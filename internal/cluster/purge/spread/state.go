package spread

// This file is what a process holds of purges: taken in from above, handed to its sender, applied.

import (
	"cmp"
	"slices"
	"time"

	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/together"
)

// held is a purge and since when it is held here: its age grows by that.
type held struct {
	together.Purge
	since view.Now
}

func (h held) age(now view.Now) time.Duration { return h.Age + max(now-h.since, 0) }

func bySeq(h held, seq uint64) int { return cmp.Compare(h.Seq, seq) }

// State is one process's part. Guarded by whoever holds it.
type State struct {
	self   view.Life
	folder string
	top    bool // stands above the root: neither applies nor counts itself

	orders  []held // by Seq
	has     uint64 // all up to here that matter are in orders
	floor   uint64
	lasting uint64
	horizon time.Duration
	pruneAt int

	asked, applied uint64 // handed to the sender, and on disk with what was found: in order
	applying       bool
	batch          []uint64
	batchEnd       uint64
	applyAt        view.Now // not before

	parent   Above
	children map[view.Name]*child
	names    []view.Name // of children, sorted
	rows     map[rowKey]*row
	up       upward
}

type rowKey struct {
	seq    uint64
	name   view.Name
	folder string
}

type row struct {
	incarnation view.Incarnation
	found       together.Found
	told        bool // the parent has it
}

// New is the state of a life that has applied up to lasting in earlier lives of its folder. It still takes in from
// others all that matters, from the first on: it may have to hand it to one below that has applied none of it.
func New(self view.Life, folder string, lasting uint64) *State {
	return &State{self: self, folder: folder, lasting: lasting, floor: 1,
		children: map[view.Name]*child{}, rows: map[rowKey]*row{}}
}

// Tree tells who is above (the zero value for nobody) and below.
func (s *State) Tree(parent Above, children []view.Life, now view.Now) {
	if parent != s.parent {
		s.parent = parent
		s.up.retryAt, s.up.fails, s.up.flying = 0, 0, false
		s.forgetTold(now)
	}
	gone := map[view.Name]bool{}
	for _, n := range s.names {
		gone[n] = true
	}
	for _, life := range children {
		delete(gone, life.Name)
		if c := s.children[life.Name]; c == nil || c.life.Incarnation < life.Incarnation {
			s.children[life.Name] = &child{life: life}
			s.news(now)
		}
	}
	for n := range gone {
		delete(s.children, n)
		s.news(now)
	}
	s.names = s.names[:0]
	for n := range s.children {
		s.names = append(s.names, n)
	}
	slices.Sort(s.names)
}

// FromParent takes in purges, from the parent or whoever else was asked for what was missed.
func (s *State) FromParent(d Down, now view.Now) {
	if d.Again && d.above() == s.parent {
		s.forgetTold(now)
	}
	s.horizon = max(d.Horizon, s.horizon)
	if d.Base > s.has {
		return // something between is missing: Has in the answer tells from where
	}
	for _, p := range d.Orders {
		i, found := slices.BinarySearchFunc(s.orders, p.Seq, bySeq)
		h := held{p, now}
		switch {
		case !found && p.Seq > s.has:
			s.orders = slices.Insert(s.orders, i, h)
		case found && h.Age > s.orders[i].age(now):
			s.orders[i] = h // both are lower bounds: the higher is nearer
		}
	}
	if d.Upto > s.has {
		s.has = d.Upto
		s.news(now)
	}
	s.lower(d.Floor)
	s.prune(now)
}

// useless tells that nobody can need a purge any more: closed, and past the horizon. What was learnt has none.
func (s *State) useless(h held, now view.Now) bool {
	return h.Seq < s.floor && !h.LearnedState && s.horizon > 0 && h.age(now) > s.horizon
}

// prune lets go of what is useless, and beyond the bound of the oldest that are closed and applied here.
func (s *State) prune(now view.Now) {
	if len(s.orders) <= s.pruneAt {
		return
	}
	done := s.applied
	if s.top {
		done = s.has
	}
	s.orders = slices.DeleteFunc(s.orders, func(h held) bool { return h.Seq <= done && s.useless(h, now) })
	if extra := len(s.orders) - mostHeld; extra > 0 && s.orders[extra].Seq <= min(done, s.floor-1) {
		s.orders = slices.Delete(s.orders, 0, extra)
	}
	s.pruneAt = len(s.orders) + pruneEach
}

// lower moves the floor up: rows under it are in the ledger.
func (s *State) lower(floor uint64) {
	if floor > s.floor {
		s.floor = floor
		for k := range s.rows {
			if k.seq < floor {
				delete(s.rows, k)
			}
		}
	}
}

// ToApply is what the sender must apply next, in order; nil while it is at it, or when there is nothing.
func (s *State) ToApply(now view.Now) (all []together.Purge) {
	if s.top || s.applying || s.asked >= s.has || now < s.applyAt {
		return nil
	}
	first, _ := slices.BinarySearchFunc(s.orders, s.asked+1, bySeq)
	s.batch, s.batchEnd = s.batch[:0], s.has
	for _, h := range s.orders[first:] {
		if len(all) == MostOrders {
			s.batchEnd = all[len(all)-1].Seq
			break
		}
		if s.useless(h, now) || h.Seq <= s.lasting && h.Seq < s.floor {
			continue // concerns nobody; or is on disk here, and closed
		}
		p := h.Purge
		p.Age = h.age(now)
		all = append(all, p)
		s.batch = append(s.batch, p.Seq)
	}
	if all == nil {
		s.asked, s.applied = s.batchEnd, s.batchEnd
		s.news(now)
		return nil
	}
	s.applying = true
	return all
}

// Applied tells that the sender has on disk what ToApply gave up to a Seq, and what each met. Less than all of it is
// handed over again, after a while.
func (s *State) Applied(upto uint64, found []together.Found, now view.Now) {
	if !s.applying {
		return
	}
	s.applying = false
	for i, seq := range s.batch {
		if seq > upto {
			s.applyAt = now + lastRetry
			s.batchEnd = seq - 1
			break
		}
		if i < len(found) && found[i] != (together.Found{}) {
			s.keep(rowKey{seq, s.self.Name, s.folder}, s.self.Incarnation, found[i])
		}
	}
	if s.batchEnd > s.asked {
		s.asked, s.applied = s.batchEnd, s.batchEnd
		s.news(now)
	}
}

// keep merges one row: of two lives of one folder the later stands. It tells whether that was new.
func (s *State) keep(k rowKey, incarnation view.Incarnation, found together.Found) bool {
	r := s.rows[k]
	switch {
	case k.seq < s.floor, r == nil && len(s.rows) >= mostRows:
		return false
	case r != nil && r.incarnation >= incarnation:
		return false
	}
	s.rows[k] = &row{incarnation: incarnation, found: found}
	return true
}

// Has is up to where purges are held, Applied up to where they are on disk.
func (s *State) Has() uint64       { return s.has }
func (s *State) AppliedTo() uint64 { return s.applied }

// Missed is what another needs that has purges up to since, at most MostOrders: the answer to one that comes back.
// Its Upto is this process's own: whoever must have more asks on.
func (s *State) Missed(since uint64, now view.Now) Down {
	d := Down{From: s.self, Top: s.top, Base: since, Upto: max(s.has, since), Floor: s.floor, Horizon: s.horizon}
	first, _ := slices.BinarySearchFunc(s.orders, since+1, bySeq)
	for size, rest := 0, s.orders[first:]; len(rest) > 0; rest = rest[1:] {
		if s.useless(rest[0], now) {
			continue
		}
		p := rest[0].Purge
		if size += sizeOf(p); len(d.Orders) == MostOrders || size > mostBytes && len(d.Orders) > 0 {
			d.Upto = d.Orders[len(d.Orders)-1].Seq
			break
		}
		p.Age = rest[0].age(now)
		d.Orders = append(d.Orders, p)
	}
	return d
}

// sizeOf is what a purge takes in a message at most: a byte of text may become six in JSON.
func sizeOf(p together.Purge) int {
	return 200 + 6*(len(p.ID)+len(p.Match.Class)+len(p.Match.Key)+len(p.Match.KeyPrefix))
}

// Rise gives this life a higher incarnation: another of its name was known to have this one or more.
func (s *State) Rise(to view.Life, now view.Now) {
	for k, r := range s.rows {
		if k.name == s.self.Name && r.incarnation == s.self.Incarnation {
			r.incarnation = to.Incarnation
		}
	}
	s.self = to
	s.forgetTold(now)
}
