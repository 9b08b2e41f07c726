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

// This file polls the statuses of the processes directly, not through relays, and judges them.

const (
	pollInterval   = 150 * time.Millisecond
	requestTimeout = 700 * time.Millisecond
	settleTimeout  = 40 * time.Second // after the last fault; a difference that is left then is a breach
)

// acceptedMessage holds the attributes by which a purge matches a message, and when a process accepted the message.
type acceptedMessage struct {
	destination int
	class       string
	by          world.SenderNo
	at          choice.Time
}

// player is the state of one run.
type player struct {
	options     Options
	schedule    *schedule.Schedule
	spec        *world.Spec
	mesh        *mesh.Mesh
	meshOptions mesh.Options
	folders     []string // in which processes keep the cluster's state, by number
	client      http.Client
	wg          sync.WaitGroup
	stop        context.CancelFunc

	// The fields up to mu must be used on the world's goroutine only.
	judge            *judge.Judge
	accepted         map[choice.MessageID]acceptedMessage
	emptied          map[world.SenderNo]choice.Time // when the folder of a process was emptied
	purgeReports     []PurgeReport
	lastStatuses     []*status.Status
	differences      []string // differences that were left after settleTimeout; nil before
	settled          bool     // all processes agree since the last fault
	settledMS        int64
	ordersInProgress int // number of purges and changes in progress
	outages          []ZoneOutage
	changeReports    []*ChangeReport
	configuration    versions.ConfigurationStatus // last answer of the first process
	now              choice.Time                  // time of the last poll

	mu             sync.Mutex // guards the fields below
	leader         string     // the last leader that a majority reported
	rejectedChange string     // the first change that a process rejected, with the reason; "" for none
}

// ledgerTap is a ledger that passes the world's events to both the referee and the judge.
type ledgerTap struct {
	world.Ledger
	player *player
}

// HandInAnswered records an accepted message and passes the event on.
func (e *ledgerTap) HandInAnswered(h *world.HandIn, answer world.HandInAnswer) {
	if answer == world.HandInAccepted {
		e.player.accepted[h.ID] = acceptedMessage{int(h.Request.Destination), h.Request.Class.Name, h.Sender, h.At}
		e.player.judge.Accepted(h.ID, h.At)
	}
	e.Ledger.HandInAnswered(h, answer)
}

// CallSent records that the messages of a call were sent and passes the event on.
func (e *ledgerTap) CallSent(c *world.Call) {
	for _, h := range c.Messages {
		e.player.judge.CallSent(h.ID, c.SentAt)
	}
	e.Ledger.CallSent(c)
}

// awaitLeader waits until all processes report a leader of the consensus group. It returns at once without a cluster or with
// AtOnce, and when ctx ends.
func (p *player) awaitLeader(ctx context.Context) {
	for p.mesh != nil && !p.schedule.AtOnce && ctx.Err() == nil {
		all := p.pollStatuses(ctx)
		if len(all) == p.schedule.Processes && !slices.ContainsFunc(all, func(s *status.Status) bool { return s.Leader == "" }) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
}

// onBegin schedules the faults, changes and purges and starts to poll the processes.
func (p *player) onBegin(h *live.RunControl) {
	p.spec, p.outages = h.World().Spec, outagesOf(p.schedule)
	if p.mesh == nil {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.scheduleFaults(h)
	p.wg.Add(1)
	go p.watch(ctx, h)
	for i := range p.schedule.Changes {
		p.ordersInProgress++
		h.After(seconds(p.schedule.Changes[i].At), func() { p.orderChange(ctx, h, i) })
	}
	for i := range p.schedule.Purges {
		p.ordersInProgress++
		h.After(seconds(p.schedule.Purges[i].At), func() { p.orderPurge(ctx, h, i) })
	}
}

// keepRunning reports whether the run must continue past the end of the traffic: until all processes agree, all orders have
// ended and all expected routes have returned, or until settleTimeout has passed with differences.
func (p *player) keepRunning() bool {
	return p.mesh != nil && (!p.settled || p.ordersInProgress > 0 || p.awaitsRouteReturn()) && p.differences == nil
}

// wait stops the polling and waits for all goroutines of the run.
func (p *player) wait() {
	if p.stop != nil {
		p.stop()
	}
	p.wg.Wait()
	p.client.CloseIdleConnections()
}

// watch polls all processes every PollInterval until ctx ends.
func (p *player) watch(ctx context.Context, h *live.RunControl) {
	defer p.wg.Done()
	for ctx.Err() == nil {
		all := p.pollStatuses(ctx)
		h.Post(func() { p.judgeStatuses(h, all) })
		if p.options.OnConfiguration != nil {
			p.pollConfiguration(ctx, h)
		}
		select {
		case <-ctx.Done():
		case <-time.After(cmp.Or(p.options.PollInterval, pollInterval)):
		}
	}
}

// pollStatuses polls all processes concurrently and returns the statuses of those that answered.
func (p *player) pollStatuses(ctx context.Context) (all []*status.Status) {
	answers := make([]*status.Status, p.schedule.Processes)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var s status.Status
			if p.request(ctx, i, "GET", "/v1/cluster", nil, &s) == http.StatusOK {
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

// request makes one HTTP request to the own listener of process i, with in as the JSON body, and decodes the answer into out.
// It returns the HTTP status, or 0 if no answer came or it could not be decoded.
func (p *player) request(ctx context.Context, i int, method, path string, in, out any) int {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
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

// judgeStatuses processes the statuses of one poll: it updates the judge, the leader, the measurements, and whether all
// processes agree. It runs on the world's goroutine.
func (p *player) judgeStatuses(h *live.RunControl, all []*status.Status) {
	votes := map[string]int{}
	for _, s := range all {
		p.judge.ObserveStatus(s)
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
	p.measureOutages(p.now, all)
	p.recordInForce(p.now, all)
	if p.options.OnStatuses != nil {
		p.options.OnStatuses(h.Now(), all)
	}
	faultsOver := seconds(p.schedule.LastFaultEnd())
	if h.Now() <= faultsOver || p.settled && len(p.laggingProcesses(all)) == 0 {
		return
	}
	p.settled = false // a change may have been decided since the processes agreed
	differences := append(judge.Differences(all, p.schedule.Processes, p.uses("failover")), p.laggingProcesses(all)...)
	late := h.Now()-faultsOver > choice.Time(settleTimeout/(100*time.Microsecond))
	if len(differences) == 0 {
		p.settled, p.settledMS = true, int64((h.Now()-faultsOver)/choice.Millisecond)
	} else if late {
		p.differences = differences
	}
}

// uses reports whether a part of the cluster is enabled.
func (p *player) uses(part string) bool {
	for _, use := range p.options.Uses {
		if use == part {
			return true
		}
	}
	return false
}
