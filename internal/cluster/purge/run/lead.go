package run

// This file is what the process does that leads the council: it hands the root what the ledger opens, closes what
// is acknowledged or has lapsed, and keeps the seats in step with who is here.

import (
	"context"
	"time"

	"go.uber.org/zap"

	"flaxcove/internal/cluster/purge/ledger"
	"flaxcove/internal/cluster/purge/spread"
	"flaxcove/internal/cluster/view"
	"flaxcove/internal/sender/together"
)

const seatEach = time.Second // seats are put in step at most so often

// leading is what the leader knows beside its Gather. Guarded by purge.mu, but for ledgerNo, which the loop alone has.
type leading struct {
	ledgerNo uint64
	seats    []ledger.Seat
	closing  bool
	seating  bool
	seatedAt view.Now
	away     map[view.Name]view.Now // since when a seat's process is not here
}

// news is what was read of the ledger in one go.
type news struct {
	leading bool
	changed bool
	rows    []ledger.Row
	last    uint64
	floor   uint64
	clock   time.Duration
	horizon time.Duration
	seats   []ledger.Seat
	roster  uint64
}

// readLedger reads what is new while this process leads. No lock of this package is held: the council's comes first.
func (r *Runner) readLedger() (n news) {
	if !r.o.Consensus.Leading() {
		return n
	}
	n.leading, n.clock = true, r.o.Consensus.Clock()
	r.mu.Lock()
	var has uint64
	fresh := !r.leads || r.gather == nil
	if r.gather != nil {
		has = r.gather.Has()
	}
	no := r.lead.ledgerNo
	r.mu.Unlock()
	r.o.Consensus.Read(func(uint64) {
		l := r.o.Ledger
		if !fresh && l.No() == no {
			return
		}
		n.changed, no = true, l.No()
		n.rows, n.last, n.floor = l.Since(has, ledger.MostFull+ledger.MostLearnt), l.Last(), l.Floor()
		n.horizon, n.seats, n.roster = l.Horizon(), l.Seats(), l.Roster()
	})
	r.mu.Lock()
	r.lead.ledgerNo = no
	r.mu.Unlock()
	return n
}

// leadOn does the leader's part of a step. The lock is held; what waits is begun apart.
func (r *Runner) leadOn(n news, now view.Now) {
	if !n.leading {
		r.leads, r.lead = false, leading{}
		return
	}
	r.leads = true
	if r.gather == nil {
		r.gather = spread.NewGather(r.o.Self.Life)
	}
	g := r.gather
	if n.changed {
		all := make([]together.Purge, len(n.rows))
		for i, row := range n.rows {
			all[i] = row.Purge(n.clock - row.At)
		}
		g.Opened(all, n.last, n.floor, n.horizon, now)
		g.Seats(n.seats, n.roster)
		r.lead.seats = n.seats
	}
	if r.view != nil && r.tree != nil {
		if root, found := r.view.Find(r.tree.Root()); found {
			g.Root(root.Life, now)
		}
		r.keepSeats(now)
	}
	for _, to := range g.Downs(now) {
		r.calls.Downs++
		r.going.Go(func() { r.down(gathered{g}, pathRoot, to) })
	}
	if c, any := g.Closings(mostClosing, now); any && !r.lead.closing {
		r.lead.closing = true
		r.going.Go(func() { r.close(c) })
	}
}

// gathered has the root's answers remembered.
type gathered struct{ *spread.Gather }

func (g gathered) Answered(l view.Life, up spread.Up, now view.Now) { g.RootAnswered(l, up, now) }

func (r *Runner) close(c ledger.Close) {
	ctx, cancel := context.WithTimeout(r.ctx, decideFor)
	defer cancel()
	_, err := r.o.Consensus.Propose(ctx, ledger.Part, ledger.KindClose, c)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lead.closing = false
	if err != nil {
		r.o.Log.Warn("purge: not closed, will be tried again", zap.Int("purges", len(c.Rows)), zap.Error(err))
		return
	}
	r.signals.Wake()
}

// keepSeats gives seats to those who are here without one (their own join may not get through), and takes them from
// those who are away for so long that they are taken to be gone for good. The lock is held.
func (r *Runner) keepSeats(now view.Now) {
	if r.lead.seating || r.lead.seatedAt != 0 && now-r.lead.seatedAt < seatEach {
		return
	}
	if r.lead.away == nil {
		r.lead.away = map[view.Name]view.Now{}
	}
	var join ledger.Join
	var gone ledger.Gone
	seats := make(map[view.Name]ledger.Seat, len(r.lead.seats))
	for _, s := range r.lead.seats {
		seats[s.Name] = s
		if m, found := r.view.Find(s.Name); found && m.Here() {
			delete(r.lead.away, s.Name)
			continue
		}
		since, known := r.lead.away[s.Name]
		switch {
		case !known:
			r.lead.away[s.Name] = now
		case now-since > ledger.KeepGone:
			gone.Lives = append(gone.Lives, s.Life)
			delete(r.lead.away, s.Name)
		}
	}
	for _, m := range r.view.Members {
		if s, seated := seats[m.Name]; m.Here() && (!seated || s.Incarnation < m.Incarnation) {
			join.Seats = append(join.Seats, ledger.Seat{Life: m.Life, Zone: m.Zone, Region: m.Region, Folder: m.Folder})
		}
	}
	if join.Seats == nil && gone.Lives == nil {
		return
	}
	r.lead.seating, r.lead.seatedAt = true, now
	r.going.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, decideFor)
		defer cancel()
		var err error
		if join.Seats != nil {
			_, err = r.o.Consensus.Propose(ctx, ledger.Part, ledger.KindJoin, join)
		}
		if err == nil && gone.Lives != nil {
			_, err = r.o.Consensus.Propose(ctx, ledger.Part, ledger.KindGone, gone)
		}
		if err != nil {
			r.o.Log.Warn("purge: seats not put in step", zap.Error(err))
		}
		r.mu.Lock()
		r.lead.seating = false
		r.mu.Unlock()
	})
}
