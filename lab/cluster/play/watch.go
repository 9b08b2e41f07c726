package play

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"flaxcove/choice"
	versions "flaxcove/internal/cluster/configuration/run"
	"flaxcove/internal/cluster/status"
	"flaxcove/lab/cluster/judge"
	"flaxcove/lab/cluster/mesh"
	"flaxcove/lab/cluster/schedule"
	"flaxcove/lab/live"
	"flaxcove/lab/world"
)

// This file asks the processes, from outside and past all relays, what they see.

const (
	askEvery  = 150 * time.Millisecond
	askFor    = 700 * time.Millisecond
	settleFor = 40 * time.Second // after the last fault, before what still differs is a break
)

// kind is what a purge is matched by, of what a process took on.
type kind struct {
	destination int
	class       string
	by          world.SenderNo
	at          choice.Time
}

type player struct {
	o       Options
	s       *schedule.Schedule
	spec    *world.Spec
	mesh    *mesh.Mesh
	all     mesh.Options
	folders []string
	client  http.Client
	wg      sync.WaitGroup
	stop    context.CancelFunc

	// What follows belongs to the world's goroutine.
	judge     *judge.Judge
	kinds     map[choice.MessageID]kind
	emptied   map[world.SenderNo]choice.Time
	report    []PurgeReport
	last      []*status.Status
	apart     []string
	settled   bool
	settledMS int64
	open      int // purges that are not complete
	falls     []Fall
	changes   []*ChangeReport
	shown     versions.Shown
	now       choice.Time // when last was heard

	mu      sync.Mutex
	leader  string
	refused string // a change that was, and why
}

// ear hears the ledger before the referee does.
type ear struct {
	world.Ledger
	p *player
}

func (e *ear) HandInAnswered(h *world.HandIn, what world.HandInAnswer) {
	if what == world.HandInAccepted {
		e.p.kinds[h.ID] = kind{int(h.Request.Partner), h.Request.Class.Name, h.Sender, h.At}
		e.p.judge.Taken(h.ID, h.At)
	}
	e.Ledger.HandInAnswered(h, what)
}

func (e *ear) CallSent(c *world.Call) {
	for _, h := range c.Messages {
		e.p.judge.Began(h.ID, c.SentAt)
	}
	e.Ledger.CallSent(c)
}

// ready waits until all know who leads the council.
func (p *player) ready(ctx context.Context) {
	for p.mesh != nil && !p.s.AtOnce && ctx.Err() == nil {
		all := p.askAll(ctx)
		if len(all) == p.s.Processes && !slices.ContainsFunc(all, func(s *status.Status) bool { return s.Leader == "" }) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(askEvery):
		}
	}
}

func (p *player) begun(h *live.RunControl) {
	p.spec, p.falls = h.World().Spec, fallsOf(p.s)
	if p.mesh == nil {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.plan(h)
	p.wg.Add(1)
	go p.watch(ctx, h)
	for i := range p.s.Changes {
		p.open++
		h.After(seconds(p.s.Changes[i].At), func() { p.order(ctx, h, i) })
	}
	for i := range p.s.Purges {
		p.open++
		h.After(seconds(p.s.Purges[i].At), func() { p.give(ctx, h, i) })
	}
}

func (p *player) busy() bool {
	return p.mesh != nil && (!p.settled || p.open > 0 || p.awaitsNear()) && p.apart == nil
}

func (p *player) wait() {
	if p.stop != nil {
		p.stop()
	}
	p.wg.Wait()
	p.client.CloseIdleConnections()
}

// watch asks all processes again and again.
func (p *player) watch(ctx context.Context, h *live.RunControl) {
	defer p.wg.Done()
	for ctx.Err() == nil {
		all := p.askAll(ctx)
		h.Post(func() { p.saw(h, all) })
		if p.o.Shown != nil {
			p.askShown(ctx, h)
		}
		select {
		case <-ctx.Done():
		case <-time.After(cmp.Or(p.o.Every, askEvery)):
		}
	}
}

func (p *player) askAll(ctx context.Context) (all []*status.Status) {
	answers := make([]*status.Status, p.s.Processes)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var s status.Status
			if p.ask(ctx, i, "GET", "/v1/cluster", nil, &s) == http.StatusOK {
				answers[i] = &s
			}
		}()
	}
	wg.Wait()
	for _, s := range answers {
		if s != nil {
			all = append(all, s)
		}
	}
	return all
}

// ask is one call to a process's own listener; 0 where no answer came.
func (p *player) ask(ctx context.Context, i int, method, path string, in, out any) int {
	ctx, cancel := context.WithTimeout(ctx, askFor)
	defer cancel()
	body, _ := json.Marshal(in)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.mesh.HTTP(i)+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := p.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if json.NewDecoder(resp.Body).Decode(out) != nil {
		return 0
	}
	return resp.StatusCode
}

// saw judges what was told; on the world's goroutine.
func (p *player) saw(h *live.RunControl, all []*status.Status) {
	votes := map[string]int{}
	for _, s := range all {
		p.judge.Saw(s)
		votes[string(s.Leader)]++
	}
	p.mu.Lock()
	for name, n := range votes {
		if name != "" && n > len(all)/2 {
			p.leader = name
		}
	}
	p.mu.Unlock()
	p.last = all
	p.now = h.Now()
	p.fell(p.now, all)
	p.inForce(p.now, all)
	if p.o.Saw != nil {
		p.o.Saw(h.Now(), all)
	}
	healed := seconds(p.s.Healed())
	if h.Now() <= healed || p.settled && len(p.behind(all)) == 0 {
		return
	}
	p.settled = false // a change that was decided later is awaited, too
	why := append(judge.Settled(all, p.s.Processes, p.uses("failover")), p.behind(all)...)
	late := h.Now()-healed > choice.Time(settleFor/(100*time.Microsecond))
	if len(why) == 0 {
		p.settled, p.settledMS = true, int64((h.Now()-healed)/choice.Millisecond)
	} else if late {
		p.apart = why
	}
}

func (p *player) uses(what string) bool {
	for _, use := range p.o.Uses {
		if use == what {
			return true
		}
	}
	return false
}
