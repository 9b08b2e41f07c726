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

// This file polls the processes' statuses, from outside and past all relays.

const (
	askEvery      = 150 * time.Millisecond
	askTimeout    = 700 * time.Millisecond
	settleTimeout = 40 * time.Second // after the last fault, until a difference is a breach
)

// acceptedMessage holds what a purge may match of a message that a process has accepted.
type acceptedMessage struct {
	destination int
	class       string
	by          world.SenderNo
	at          choice.Time
}

// player plays one schedule.
type player struct {
	options     Options
	schedule    *schedule.Schedule
	spec        *world.Spec
	mesh        *mesh.Mesh
	meshOptions mesh.Options
	folders     []string
	client      http.Client
	wg          sync.WaitGroup
	stop        context.CancelFunc

	// The fields up to mu belong to the world's goroutine.
	judge         *judge.Judge
	accepted      map[choice.MessageID]acceptedMessage
	emptied       map[world.SenderNo]choice.Time
	purgeReports  []PurgeReport
	lastStatuses  []*status.Status
	differences   []string
	settled       bool
	settledMS     int64
	openOrders    int // purges and changes in progress
	falls         []Fall
	changeReports []*ChangeReport
	shown         versions.ConfigurationStatus
	now           choice.Time // of the last poll

	mu      sync.Mutex
	leader  string
	refusal string // which change was refused, and why
}

// ledgerTap passes the world's events on to the referee and to the judge.
type ledgerTap struct {
	world.Ledger
	player *player
}

func (e *ledgerTap) HandInAnswered(h *world.HandIn, what world.HandInAnswer) {
	if what == world.HandInAccepted {
		e.player.accepted[h.ID] = acceptedMessage{int(h.Request.Partner), h.Request.Class.Name, h.Sender, h.At}
		e.player.judge.Accepted(h.ID, h.At)
	}
	e.Ledger.HandInAnswered(h, what)
}

func (e *ledgerTap) CallSent(c *world.Call) {
	for _, h := range c.Messages {
		e.player.judge.CallSent(h.ID, c.SentAt)
	}
	e.Ledger.CallSent(c)
}

// awaitLeader waits until all processes know the leader of the consensus group.
func (p *player) awaitLeader(ctx context.Context) {
	for p.mesh != nil && !p.schedule.AtOnce && ctx.Err() == nil {
		all := p.askAll(ctx)
		if len(all) == p.schedule.Processes && !slices.ContainsFunc(all, func(s *status.Status) bool { return s.Leader == "" }) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(askEvery):
		}
	}
}

// onBegin schedules the faults, changes and purges, and begins to poll the processes.
func (p *player) onBegin(h *live.RunControl) {
	p.spec, p.falls = h.World().Spec, fallsOf(p.schedule)
	if p.mesh == nil {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.planFaults(h)
	p.wg.Add(1)
	go p.watch(ctx, h)
	for i := range p.schedule.Changes {
		p.openOrders++
		h.After(seconds(p.schedule.Changes[i].At), func() { p.orderChange(ctx, h, i) })
	}
	for i := range p.schedule.Purges {
		p.openOrders++
		h.After(seconds(p.schedule.Purges[i].At), func() { p.orderPurge(ctx, h, i) })
	}
}

// keepRunning reports whether the run has to go on past its end: until all agree and all orders have ended.
func (p *player) keepRunning() bool {
	return p.mesh != nil && (!p.settled || p.openOrders > 0 || p.awaitsNear()) && p.differences == nil
}

// wait stops polling and waits for all goroutines.
func (p *player) wait() {
	if p.stop != nil {
		p.stop()
	}
	p.wg.Wait()
	p.client.CloseIdleConnections()
}

// watch polls all processes until ctx ends.
func (p *player) watch(ctx context.Context, h *live.RunControl) {
	defer p.wg.Done()
	for ctx.Err() == nil {
		all := p.askAll(ctx)
		h.Post(func() { p.judgeStatuses(h, all) })
		if p.options.OnConfiguration != nil {
			p.askShown(ctx, h)
		}
		select {
		case <-ctx.Done():
		case <-time.After(cmp.Or(p.options.Every, askEvery)):
		}
	}
}

// askAll polls all processes concurrently and returns the statuses of those that answered.
func (p *player) askAll(ctx context.Context) (all []*status.Status) {
	answers := make([]*status.Status, p.schedule.Processes)
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

// ask makes one request to a process's own listener. It returns the status, or 0 if no answer came.
func (p *player) ask(ctx context.Context, i int, method, path string, in, out any) int {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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

// judgeStatuses judges the statuses of a poll. It runs on the world's goroutine.
func (p *player) judgeStatuses(h *live.RunControl, all []*status.Status) {
	votes := map[string]int{}
	for _, s := range all {
		p.judge.Status(s)
		votes[string(s.Leader)]++
	}
	p.mu.Lock()
	for name, n := range votes {
		if name != "" && n > len(all)/2 {
			p.leader = name
		}
	}
	p.mu.Unlock()
	p.lastStatuses = all
	p.now = h.Now()
	p.measureFalls(p.now, all)
	p.noteInForce(p.now, all)
	if p.options.OnStatuses != nil {
		p.options.OnStatuses(h.Now(), all)
	}
	healed := seconds(p.schedule.LastFaultEnd())
	if h.Now() <= healed || p.settled && len(p.behind(all)) == 0 {
		return
	}
	p.settled = false // also for a change that was decided meanwhile
	why := append(judge.Differences(all, p.schedule.Processes, p.uses("failover")), p.behind(all)...)
	late := h.Now()-healed > choice.Time(settleTimeout/(100*time.Microsecond))
	if len(why) == 0 {
		p.settled, p.settledMS = true, int64((h.Now()-healed)/choice.Millisecond)
	} else if late {
		p.differences = why
	}
}

func (p *player) uses(what string) bool {
	for _, use := range p.options.Uses {
		if use == what {
			return true
		}
	}
	return false
}
