package run

// This file is what the process does that leads the council: it hands the root what the ledger decides, has changes
// checked before they are proposed, and knows how far the newest is.

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"go.uber.org/zap"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/cluster/configuration/ledger"
	"flaxcove/internal/cluster/configuration/spread"
	"flaxcove/internal/cluster/consensus/machine"
	"flaxcove/internal/cluster/ordering"
	"flaxcove/internal/cluster/view"
)

// envelope is what a command takes besides the settings in it: texts at their bounds, a byte of which may become six.
const envelope = 12 << 10

var errBehind = errors.New("configuration: members have a newer version than the council; it is taken in first")

// leading is what the leader knows beside its State. Guarded by configuration.mu.
type leading struct {
	top        *spread.State // nil while another leads
	before     *spread.State // of when this life led last
	leads      bool
	told       bool   // top has heard something
	no         uint64 // of the ledger, when it was read
	last       uint64 // its newest version then
	seen       *view.View
	roster     spread.Roster
	progress   spread.Progress
	adopting   bool
	announceAt view.Now
}

// news is what was read of the ledger in one go.
type news struct {
	leading bool
	changed bool
	no      uint64
	last    uint64
	newest  configuration.Document
}

// readLedger reads what is new while this process leads. No lock of this package is held: the council's comes first.
func (r *Runner) readLedger() (n news) {
	if !r.o.Consensus.Leading() {
		return n
	}
	n.leading = true
	r.mu.Lock()
	fresh := !r.lead.leads
	n.no, n.last = r.lead.no, r.lead.last
	r.mu.Unlock()
	r.o.Consensus.Read(func(uint64) {
		if l := r.o.Ledger; fresh || l.No() != n.no {
			n.changed, n.no, n.last = true, l.No(), l.Last()
			n.newest, _ = l.Newest()
		}
	})
	return n
}

// leadOn does the leader's part of a step. The lock is held; what waits is begun apart.
func (r *Runner) leadOn(n news, now view.Now) {
	l := &r.lead
	if !n.leading {
		if l.leads {
			l.leads, l.last, l.roster, l.progress, l.seen = false, 0, spread.Roster{}, spread.Progress{}, nil
		}
		l.top, l.before = nil, cmp.Or(l.top, l.before)
		return
	}
	if l.top == nil {
		l.top = spread.NewTop(r.o.Self.Life, l.before)
	}
	if n.changed && n.newest.Version > 0 {
		l.progress.Begin(n.newest.Version, l.leads, now)
		l.top.Decided(n.newest, now)
		r.state.Decided(n.newest, now) // here first: also where the tree does not reach this process
	}
	l.no, l.last = n.no, max(l.last, n.last)
	l.leads = true
	if r.view == nil || r.tree == nil {
		return
	}
	if l.seen != r.view {
		l.seen = r.view
		l.roster.See(r.view, now)
		l.told = true
	}
	if root := ordering.LifeOf(r.view, r.tree.Root()); root.Name != "" {
		l.top.Tree(spread.Above{}, []view.Life{root}, now)
	}
	if l.told {
		l.told = false
		sum := l.top.Summary(now)
		l.roster.Saw(sum)
		l.progress.Saw(sum.AtLeast(l.progress.Version), l.roster.Here(), now)
	}
	r.adopt()
	r.announceToLaggards(now)
}

// adopt has the council take in a version that members have and it does not know: its records were lost, and numbers
// must go on above what is in force. The lock is held.
func (r *Runner) adopt() {
	known := r.ahead()
	if known.Version == 0 || r.lead.adopting {
		return
	}
	r.lead.adopting = true
	r.going.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, decideFor)
		defer cancel()
		_, err := r.o.Consensus.Propose(ctx, ledger.Part, ledger.KindAdopt, ledger.Adopt{Version: known.Version, Settings: known.Settings})
		r.o.Log.Warn("configuration: members have a version that the council did not know", zap.Uint64("version", known.Version), zap.Error(err))
		r.mu.Lock()
		r.lead.adopting = false
		r.mu.Unlock()
		r.signals.Wake()
	})
}

// ahead is a version that is known here and not to the council's ledger as it was read last; version 0 for none. The
// lock is held.
func (r *Runner) ahead() configuration.Document {
	for _, of := range []*spread.State{r.state, r.lead.top} {
		if of != nil && of.Held().Version > r.lead.last {
			return of.Held()
		}
	}
	return configuration.Document{}
}

// grounds are what the ledger tells that a request is decided upon.
type grounds struct {
	answer   ledger.Decided // to a request that was decided before
	known    bool
	last     uint64
	newest   configuration.Document // version 0 before the first change: the leader's own file
	restored configuration.Document
	held     bool // the version to be restored is
}

// decide has a request resolved, checked and decided here, at whoever leads. What is refused by rule is an answer; an
// error tells that nothing is known.
func (r *Runner) decide(ctx context.Context, request ledger.Request) (ledger.Decided, error) {
	if field, why := request.Check(); field != "" {
		return ledger.Decided{Refused: field + " " + why, Field: field}, nil
	}
	print, err := request.Print()
	if err != nil {
		return ledger.Decided{Refused: err.Error(), Field: fieldOf(request)}, nil
	}
	r.mu.Lock()
	behind := r.ahead().Version > 0
	r.mu.Unlock()
	if behind {
		return ledger.Decided{}, errBehind
	}
	g := r.readGrounds(request, print)
	if g.known {
		return g.answer, nil
	}
	command := ledger.Decide{ID: request.ID, Print: print, Base: g.last, Restore: request.Restore, Who: request.Who, Why: request.Why}
	if request.Base != nil {
		command.Base = *request.Base
	}
	proposed, refused := resolve(request, g, command.Base)
	if refused.Refused != "" {
		refused.Current = g.last
		return refused, nil
	}
	if err := r.o.Check(g.newest.Settings, proposed); err != nil {
		return ledger.Decided{Refused: err.Error(), Field: fieldOf(request), Current: g.last}, nil
	}
	if request.Restore == nil || g.last == 0 {
		command.Settings, command.Restore = proposed, request.Restore
	}
	if g.last == 0 && len(g.newest.Settings)+len(proposed)+envelope < machine.MaxBody {
		command.Own = g.newest.Settings
	}
	text, err := r.o.Consensus.Propose(ctx, ledger.Part, ledger.KindDecide, command)
	var never *machine.Refused
	switch {
	case errors.As(err, &never): // by the council itself, as what is too long once it is escaped
		return ledger.Decided{Refused: err.Error(), Field: fieldOf(request), Current: g.last}, nil
	case err != nil:
		return ledger.Decided{}, err
	}
	r.signals.Wake()
	var decided ledger.Decided
	return decided, json.Unmarshal(text, &decided)
}

func (r *Runner) readGrounds(request ledger.Request, print configuration.Sum) (g grounds) {
	own, err := configuration.Make(0, r.o.Own)
	if err != nil {
		own = configuration.Document{}
	}
	r.o.Consensus.Read(func(uint64) {
		l := r.o.Ledger
		g.answer, g.known = l.Known(request.ID, print)
		g.last, g.newest = l.Last(), own
		if g.last > 0 {
			g.newest, _ = l.Newest()
		}
		if request.Restore != nil {
			g.restored, g.held = l.Document(*request.Restore)
		}
	})
	return g
}

// resolve is the whole settings that a request asks for, or why there are none.
func resolve(request ledger.Request, g grounds, base uint64) (json.RawMessage, ledger.Decided) {
	switch {
	case base != g.last:
		return nil, ledger.Decided{Conflict: true, Field: "base",
			Refused: fmt.Sprintf("base %d is not the newest version, which is %d", base, g.last)}
	case request.Restore != nil && !g.held:
		return nil, ledger.Decided{Field: "restore", Refused: fmt.Sprintf("version %d is not held, or not held any more", *request.Restore)}
	case request.Restore != nil:
		return g.restored.Settings, ledger.Decided{}
	case request.Patch != nil && g.newest.Settings == nil:
		return nil, ledger.Decided{Field: "patch", Refused: "there are no settings that it could change; send them whole"}
	}
	var settings json.RawMessage
	var err error
	if request.Patch != nil {
		settings, err = configuration.Merge(g.newest.Settings, request.Patch)
	} else {
		settings, err = configuration.Canonical(request.Settings)
	}
	if err != nil {
		return nil, ledger.Decided{Field: fieldOf(request), Refused: err.Error()}
	}
	return settings, ledger.Decided{}
}

// fieldOf is what a request's content stands in.
func fieldOf(request ledger.Request) string {
	switch {
	case request.Patch != nil:
		return "patch"
	case request.Restore != nil:
		return "restore"
	}
	return "settings"
}

// takePropose is another process's request, to be decided here.
func (r *Runner) takePropose(ctx context.Context, _ view.Life, body []byte) (any, error) {
	var request ledger.Request
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, fmt.Errorf("configuration: request: %w", err)
	}
	if !r.o.Consensus.Leading() {
		return nil, errNotLeading
	}
	decided, err := r.decide(ctx, request)
	if err != nil {
		return nil, err
	}
	return decided, nil
}
