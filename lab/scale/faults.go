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

// This file plays a schedule's faults, one after the other in the order of their times.

func (r *run) locations() schedule.Locations {
	number := func(text string) int {
		n, _ := strconv.Atoi(text[1:])
		return n + 1
	}
	return schedule.Locations{Zone: func(i int) int { return number(string(r.fleet.Members[i].Zone)) },
		Region: func(i int) int { return number(string(r.fleet.Members[i].Region)) }}
}

// playFaults plays all faults. They must not overlap.
func (r *run) playFaults(ctx context.Context, s *schedule.Schedule) error {
	began := time.Now()
	for i := range s.Faults {
		f := &s.Faults[i]
		if !sleep(ctx, time.Until(began.Add(seconds(f.At)))) {
			return ctx.Err()
		}
		if err := r.fault(ctx, f, s.Affected(f, r.locations())); err != nil {
			return fmt.Errorf("fault[%d]: %w", i, err)
		}
	}
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

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

func (r *run) fault(ctx context.Context, f *schedule.Fault, affected []int) error {
	r.options.Say("%s: strikes %d members", f.Kind, len(affected))
	switch f.Kind {
	case "kill":
		return r.kill(ctx, f, affected)
	case "leader":
		leader, err := r.leader(ctx)
		if err != nil {
			return err
		}
		return r.kill(ctx, f, []int{leader})
	case "cut":
		return r.cut(ctx, f, affected)
	case "zone":
		return r.zoneFalls(ctx, f)
	case "rolling":
		return r.rolling(ctx, f)
	}
	return fmt.Errorf("%q is not played at this size", f.Kind)
}

// kill kills members, at once or one after the other, and starts each again after the fault's time.
func (r *run) kill(ctx context.Context, f *schedule.Fault, affected []int) error {
	if f.Select.OverS <= 0 || len(affected) < 2 {
		if err := r.down(affected, host.Kill); err != nil {
			return err
		}
		if !sleep(ctx, seconds(f.Seconds)) {
			return ctx.Err()
		}
		return r.up(affected)
	}
	apart := seconds(f.Select.OverS) / time.Duration(len(affected))
	began := time.Now()
	killed, started := 0, 0
	for started < len(affected) {
		nextKill := began.Add(time.Duration(killed) * apart)
		nextStart := began.Add(time.Duration(started)*apart + seconds(f.Seconds))
		if killed < len(affected) && !nextStart.Before(nextKill) {
			if !sleep(ctx, time.Until(nextKill)) {
				return ctx.Err()
			}
			if err := r.down(affected[killed:killed+1], host.Kill); err != nil {
				return err
			}
			killed++
			continue
		}
		if !sleep(ctx, time.Until(nextStart)) {
			return ctx.Err()
		}
		if err := r.up(affected[started : started+1]); err != nil {
			return err
		}
		started++
	}
	return nil
}

// cut separates members from all others for the fault's time.
func (r *run) cut(ctx context.Context, f *schedule.Fault, affected []int) error {
	for _, m := range r.realMembers {
		if len(r.real.relays) == 0 || m.Region == r.fleet.LastRegion() {
			return fmt.Errorf("real members can only be cut off from region %s", r.fleet.LastRegion())
		}
	}
	if _, err := r.orderAllHosts(host.Order{Do: host.Cut, Apart: affected}); err != nil {
		return err
	}
	r.cutReal(true)
	whole := sleep(ctx, seconds(f.Seconds))
	r.cutReal(false)
	_, err := r.orderAllHosts(host.Order{Do: host.Cut})
	if !whole {
		return ctx.Err()
	}
	return err
}

// rolling restarts all members in steps, and records how long that took.
func (r *run) rolling(ctx context.Context, f *schedule.Fault) error {
	began := time.Now()
	everyone := make([]int, len(r.fleet.Members))
	for i := range everyone {
		everyone[i] = i
	}
	for step, part := range deal(everyone, f.Steps) {
		if err := r.down(part, host.Stop); err != nil {
			return err
		}
		if !sleep(ctx, seconds(f.Seconds)) {
			return ctx.Err()
		}
		if err := r.up(part); err != nil {
			return err
		}
		r.options.Say("rolling: step %d of %d after %.1f s", step+1, f.Steps, time.Since(began).Seconds())
		if !sleep(ctx, seconds(f.Every)) {
			return ctx.Err()
		}
	}
	r.result.RollingS = time.Since(began).Seconds()
	return nil
}

// down stops members, and up starts them again.
func (r *run) down(nos []int, how host.Do) error {
	affected := setOf(nos)
	r.act(affected, world.Kill)
	_, err := r.orderHosts(orderFor(affected, how))
	return err
}

func (r *run) up(nos []int) error {
	affected := setOf(nos)
	r.act(affected, world.Start)
	_, err := r.orderHosts(orderFor(affected, host.Start))
	return err
}

func setOf(nos []int) map[int]bool {
	set := map[int]bool{}
	for _, no := range nos {
		set[no] = true
	}
	return set
}

// orderFor returns the order to each host for those of its members that are affected, or nil for none.
func orderFor(affected map[int]bool, do host.Do) func(*hostProcess) *host.Order {
	return func(h *hostProcess) *host.Order {
		order := host.Order{Do: do}
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

func (r *run) leader(ctx context.Context) (int, error) {
	states, err := r.states(ctx)
	if err != nil {
		return 0, err
	}
	for _, s := range states {
		if no := r.fleet.Find(s.Leader); no >= 0 {
			return no, nil
		}
	}
	return 0, fmt.Errorf("nobody knows a leader")
}

const (
	fallLook = 100 * time.Millisecond
	enough   = 0.95 // of the members
)

// zoneFalls has a zone's endpoints not answer hollow members, and measures when a plan that routes away from the zone is in
// force at most of them.
func (r *run) zoneFalls(ctx context.Context, f *schedule.Fault) error {
	if _, err := r.orderAllHosts(host.Order{Do: host.Fall, Zones: []int{f.Zone - 1}}); err != nil {
		return err
	}
	began := time.Now()
	fell := Fall{Zone: f.Zone, Members: len(r.fleet.Members), P50S: -1, P95S: -1, P100S: -1}
	name := "z" + strconv.Itoa(f.Zone-1)
	for time.Since(began) < seconds(f.Seconds) && ctx.Err() == nil {
		answers, err := r.orderAllHosts(host.Order{Do: host.State})
		if err != nil {
			return err
		}
		away, up := 0, 0
		for _, a := range answers {
			for _, s := range a.States {
				up++
				if strings.Contains(" "+strings.Join(s.Away, " ")+" ", " "+name+" ") {
					away++
				}
			}
		}
		passed := time.Since(began).Seconds()
		for _, mark := range []struct {
			share float64
			at    *float64
		}{{0.5, &fell.P50S}, {enough, &fell.P95S}, {1, &fell.P100S}} {
			if *mark.at < 0 && away > 0 && float64(away) >= mark.share*float64(up) {
				*mark.at = passed
			}
		}
		sleep(ctx, fallLook)
	}
	r.result.Falls = append(r.result.Falls, fell)
	_, err := r.orderAllHosts(host.Order{Do: host.Fall})
	return err
}
