package scale

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"flaxcove/lab/cluster/schedule"
	"flaxcove/lab/scale/host"
	"flaxcove/lab/world"
)

// This file injects the faults of a schedule one after the other. The schedule must list them in the order of their times.

// locations returns the numbers of the members' zones and regions, from 1.
func (r *run) locations() schedule.Locations {
	number := func(text string) int {
		n, _ := strconv.Atoi(text[1:])
		return n + 1
	}
	return schedule.Locations{Zone: func(i int) int { return number(string(r.fleet.Members[i].Zone)) },
		Region: func(i int) int { return number(string(r.fleet.Members[i].Region)) }}
}

// playFaults injects all faults of a schedule. They must not overlap: a fault that is due while another one lasts begins late.
func (r *run) playFaults(ctx context.Context, s *schedule.Schedule) error {
	began := time.Now()
	for i := range s.Faults {
		f := &s.Faults[i]
		if !sleep(ctx, time.Until(began.Add(seconds(f.At)))) {
			return ctx.Err()
		}
		if err := r.playFault(ctx, f, s.Affected(f, r.locations())); err != nil {
			return fmt.Errorf("fault[%d]: %w", i, err)
		}
	}
	return nil
}

// seconds converts seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// playFault injects one fault and returns once it is over.
func (r *run) playFault(ctx context.Context, f *schedule.Fault, affected []int) error {
	r.options.Logf("fault %s: affects %d members", f.Kind, len(affected))
	switch f.Kind {
	case "kill":
		return r.kill(ctx, f, affected)
	case "leader":
		leader, err := r.findLeader(ctx)
		if err != nil {
			return err
		}
		return r.kill(ctx, f, []int{leader})
	case "cut":
		return r.cut(ctx, f, affected)
	case "zone":
		return r.failZone(ctx, f)
	case "rolling":
		return r.rollingRestart(ctx, f)
	}
	return fmt.Errorf("kind %q cannot be played with a large fleet", f.Kind)
}

// kill kills members, all at once or one after the other over Select.OverS, and starts each again after the duration of the
// fault.
func (r *run) kill(ctx context.Context, f *schedule.Fault, affected []int) error {
	if f.Select.OverS <= 0 || len(affected) < 2 {
		if err := r.stopAffected(affected, host.Kill); err != nil {
			return err
		}
		if !sleep(ctx, seconds(f.Seconds)) {
			return ctx.Err()
		}
		return r.startAffected(affected)
	}
	interval := seconds(f.Select.OverS) / time.Duration(len(affected))
	began := time.Now()
	killed, started := 0, 0
	for started < len(affected) {
		nextKill := began.Add(time.Duration(killed) * interval)
		nextStart := began.Add(time.Duration(started)*interval + seconds(f.Seconds))
		if killed < len(affected) && !nextStart.Before(nextKill) {
			if !sleep(ctx, time.Until(nextKill)) {
				return ctx.Err()
			}
			if err := r.stopAffected(affected[killed:killed+1], host.Kill); err != nil {
				return err
			}
			killed++
			continue
		}
		if !sleep(ctx, time.Until(nextStart)) {
			return ctx.Err()
		}
		if err := r.startAffected(affected[started : started+1]); err != nil {
			return err
		}
		started++
	}
	return nil
}

// cut separates members from all others for the duration of the fault.
func (r *run) cut(ctx context.Context, f *schedule.Fault, affected []int) error {
	for _, m := range r.realMembers {
		if len(r.real.relays) == 0 || m.Region == r.fleet.LastRegion() {
			return fmt.Errorf("real members cannot be separated from region %s: there are no relays to it, or it has real members itself", r.fleet.LastRegion())
		}
	}
	if _, err := r.orderAllHosts(host.Order{Kind: host.Cut, Separated: affected}); err != nil {
		return err
	}
	r.cutReal(true)
	complete := sleep(ctx, seconds(f.Seconds))
	r.cutReal(false)
	_, err := r.orderAllHosts(host.Order{Kind: host.Cut})
	if !complete {
		return ctx.Err()
	}
	return err
}

// rollingRestart shuts all members down gracefully and starts them again, in steps, and records the total time. Real members
// are killed instead.
func (r *run) rollingRestart(ctx context.Context, f *schedule.Fault) error {
	began := time.Now()
	everyone := make([]int, len(r.fleet.Members))
	for i := range everyone {
		everyone[i] = i
	}
	for step, part := range split(everyone, f.Steps) {
		if err := r.stopAffected(part, host.Stop); err != nil {
			return err
		}
		if !sleep(ctx, seconds(f.Seconds)) {
			return ctx.Err()
		}
		if err := r.startAffected(part); err != nil {
			return err
		}
		r.options.Logf("rolling restart: step %d of %d done after %.1f s", step+1, f.Steps, time.Since(began).Seconds())
		if !sleep(ctx, seconds(f.Every)) {
			return ctx.Err()
		}
	}
	r.result.RollingS = time.Since(began).Seconds()
	return nil
}

// stopAffected stops members; how is host.Kill or host.Stop. Real members are killed in both cases.
func (r *run) stopAffected(numbers []int, how host.OrderKind) error {
	affected := setOf(numbers)
	r.actOnReal(affected, world.Kill)
	_, err := r.orderHosts(orderFor(affected, how))
	return err
}

// startAffected starts members again.
func (r *run) startAffected(numbers []int) error {
	affected := setOf(numbers)
	r.actOnReal(affected, world.Start)
	_, err := r.orderHosts(orderFor(affected, host.Start))
	return err
}

func setOf(numbers []int) map[int]bool {
	set := map[int]bool{}
	for _, no := range numbers {
		set[no] = true
	}
	return set
}

// orderFor returns a function that returns the order to a host for its affected members, or nil if none is affected.
func orderFor(affected map[int]bool, do host.OrderKind) func(*hostProcess) *host.Order {
	return func(h *hostProcess) *host.Order {
		order := host.Order{Kind: do}
		for _, no := range h.members {
			if affected[no] {
				order.Members = append(order.Members, no)
			}
		}
		if len(order.Members) == 0 {
			return nil
		}
		return &order
	}
}

// findLeader returns the number of the member that the first member with a known leader reports.
func (r *run) findLeader(ctx context.Context) (int, error) {
	states, err := r.states(ctx)
	if err != nil {
		return 0, err
	}
	for _, s := range states {
		if no := r.fleet.MemberNo(s.Leader); no >= 0 {
			return no, nil
		}
	}
	return 0, fmt.Errorf("no member reports a leader")
}

const (
	outagePollInterval = 100 * time.Millisecond
	mostMembers        = 0.95 // share of the members for the 95% figures
)

// failZone makes the endpoints of a zone not answer hollow members for the duration of the fault. It measures when a plan that
// routes away from the zone is in force at half, 95% and all of the hollow members.
func (r *run) failZone(ctx context.Context, f *schedule.Fault) error {
	if _, err := r.orderAllHosts(host.Order{Kind: host.FailZones, Zones: []int{f.Zone - 1}}); err != nil {
		return err
	}
	began := time.Now()
	outage := ZoneOutage{Zone: f.Zone, Members: len(r.fleet.Members), P50S: -1, P95S: -1, P100S: -1}
	name := "z" + strconv.Itoa(f.Zone-1)
	for time.Since(began) < seconds(f.Seconds) && ctx.Err() == nil {
		answers, err := r.orderAllHosts(host.Order{Kind: host.ReportState})
		if err != nil {
			return err
		}
		away, up := 0, 0
		for _, a := range answers {
			for _, s := range a.States {
				up++
				if strings.Contains(" "+strings.Join(s.DivertedZones, " ")+" ", " "+name+" ") {
					away++
				}
			}
		}
		passed := time.Since(began).Seconds()
		for _, mark := range []struct {
			share float64
			at    *float64
		}{{0.5, &outage.P50S}, {mostMembers, &outage.P95S}, {1, &outage.P100S}} {
			if *mark.at < 0 && away > 0 && float64(away) >= mark.share*float64(up) {
				*mark.at = passed
			}
		}
		sleep(ctx, outagePollInterval)
	}
	r.result.Outages = append(r.result.Outages, outage)
	_, err := r.orderAllHosts(host.Order{Kind: host.FailZones})
	return err
}
