package scale

import (
	"context"
	"fmt"
	"slices"
	"time"

	"flaxcove/lab/scale/host"
)

// This file waits until all members agree. That they do is the verdict; how long it takes is a figure.

const (
	pollEvery = 400 * time.Millisecond
	// pollPause bounds the cost of polling a large fleet: a poll of 660 members takes half a second of the processor time
	// that they need. The pause after a poll is this many times its duration.
	pollPause  = 5
	maxReasons = 5
)

// states returns the states of all members.
func (r *run) states(ctx context.Context) ([]host.MemberState, error) {
	answers, err := r.orderAllHosts(host.Order{Do: host.State})
	if err != nil {
		return nil, err
	}
	states := r.realStates(ctx)
	for _, a := range answers {
		states = append(states, a.States...)
	}
	return states, nil
}

// differences returns what keeps members from agreeing on view, leader, root, epoch, configuration and purges.
func differences(all []host.MemberState, want int, failover bool) (why []string) {
	if len(all) != want {
		return []string{fmt.Sprintf("%d of %d members answer", len(all), want)}
	}
	first := all[0]
	for _, s := range all {
		switch {
		case !s.Up:
			why = append(why, fmt.Sprintf("member %d is not up", s.No))
		case s.Here != want:
			why = append(why, fmt.Sprintf("member %d sees %d of %d", s.No, s.Here, want))
		case s.View != first.View:
			why = append(why, fmt.Sprintf("members %d and %d see other lives", s.No, first.No))
		case s.Root != first.Root:
			why = append(why, fmt.Sprintf("member %d has root %s, member %d %s", s.No, s.Root, first.No, first.Root))
		case s.Leader == "" || s.Leader != first.Leader:
			why = append(why, fmt.Sprintf("member %d knows %q as the leader, member %d %q", s.No, s.Leader, first.No, first.Leader))
		case failover && (s.Epoch == 0 || s.Epoch != first.Epoch):
			why = append(why, fmt.Sprintf("member %d is at epoch %d, member %d at %d", s.No, s.Epoch, first.No, first.Epoch))
		case s.Version != first.Version:
			why = append(why, fmt.Sprintf("member %d runs version %d of the configuration, member %d %d", s.No, s.Version, first.No, first.Version))
		case s.Purged != first.Purged:
			why = append(why, fmt.Sprintf("member %d has purged up to %d, member %d to %d", s.No, s.Purged, first.No, first.Purged))
		}
	}
	return why
}

// awaitAgreement waits until all members agree, and returns how long that took.
func (r *run) awaitAgreement(ctx context.Context, after string) (time.Duration, error) {
	began := time.Now()
	lastReport := time.Now()
	for {
		looked := time.Now()
		states, err := r.states(ctx)
		if err != nil {
			return 0, err
		}
		why := differences(states, len(r.fleet.Members), slices.Contains(r.options.Fleet.Uses, "failover"))
		if len(why) == 0 {
			r.options.Say("%s: all agree after %.1f s", after, time.Since(began).Seconds())
			return time.Since(began), nil
		}
		if time.Since(lastReport) > 5*time.Second {
			lastReport = time.Now()
			r.options.Say("%s: %.0f s, %d differ: %v", after, time.Since(began).Seconds(), len(why), why[:min(2, len(why))])
		}
		if time.Since(began) > r.options.AgreeWithin {
			return 0, fmt.Errorf("%s: after %v %d members differ: %v", after, r.options.AgreeWithin, len(why), why[:min(maxReasons, len(why))])
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(max(pollEvery, pollPause*time.Since(looked))):
		}
	}
}
