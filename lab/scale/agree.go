package scale

import (
	"context"
	"fmt"
	"slices"
	"time"

	"flaxcove/lab/scale/host"
)

// This file waits until all members agree. A run fails if they do not; the time until they do is only measured.

const (
	pollInterval = 400 * time.Millisecond
	// pollPauseFactor is the duration of the pause after a poll, as a multiple of the duration of the poll. It bounds the
	// cost of polling: a poll of 660 members takes half a second of processor time, which the members need themselves.
	pollPauseFactor = 5
	// maxReasons is the largest number of differences in an error text.
	maxReasons = 5
)

// states polls the states of all members, the real ones first.
func (r *run) states(ctx context.Context) ([]host.MemberState, error) {
	answers, err := r.orderAllHosts(host.Order{Kind: host.ReportState})
	if err != nil {
		return nil, err
	}
	states := r.realStates(ctx)
	for _, a := range answers {
		states = append(states, a.States...)
	}
	return states, nil
}

// differences describes where members disagree: on the view, leader, root, epoch, configuration or purges. want is the number
// of members; epochs are compared if failover is set.
func differences(all []host.MemberState, want int, failover bool) (reasons []string) {
	if len(all) != want {
		return []string{fmt.Sprintf("%d of %d members answered", len(all), want)}
	}
	first := all[0]
	for _, s := range all {
		switch {
		case !s.Up:
			reasons = append(reasons, fmt.Sprintf("member %d is not up", s.No))
		case s.Alive != want:
			reasons = append(reasons, fmt.Sprintf("member %d sees %d of %d members alive", s.No, s.Alive, want))
		case s.ViewSum != first.ViewSum:
			reasons = append(reasons, fmt.Sprintf("members %d and %d see different incarnations of members", s.No, first.No))
		case s.Root != first.Root:
			reasons = append(reasons, fmt.Sprintf("member %d reports %s as the root, member %d reports %s", s.No, s.Root, first.No, first.Root))
		case s.Leader == "" || s.Leader != first.Leader:
			reasons = append(reasons, fmt.Sprintf("member %d reports %q as the leader, member %d reports %q", s.No, s.Leader, first.No, first.Leader))
		case failover && (s.Epoch == 0 || s.Epoch != first.Epoch):
			reasons = append(reasons, fmt.Sprintf("member %d is at epoch %d, member %d is at epoch %d", s.No, s.Epoch, first.No, first.Epoch))
		case s.Version != first.Version:
			reasons = append(reasons, fmt.Sprintf("member %d runs version %d of the configuration, member %d runs version %d", s.No, s.Version, first.No, first.Version))
		case s.Purged != first.Purged:
			reasons = append(reasons, fmt.Sprintf("member %d has applied purges up to %d, member %d up to %d", s.No, s.Purged, first.No, first.Purged))
		}
	}
	return reasons
}

// awaitAgreement waits until all members agree and returns the time that this took. after names the preceding event in reports
// and errors. It returns an error if they do not agree within Options.AgreeWithin.
func (r *run) awaitAgreement(ctx context.Context, after string) (time.Duration, error) {
	began := time.Now()
	lastReport := time.Now()
	for {
		pollStarted := time.Now()
		states, err := r.states(ctx)
		if err != nil {
			return 0, err
		}
		reasons := differences(states, len(r.fleet.Members), slices.Contains(r.options.Fleet.Uses, "failover"))
		if len(reasons) == 0 {
			r.options.Logf("%s: all members agree after %.1f s", after, time.Since(began).Seconds())
			return time.Since(began), nil
		}
		if time.Since(lastReport) > 5*time.Second {
			lastReport = time.Now()
			r.options.Logf("%s: after %.0f s there are %d differences, for example %v", after, time.Since(began).Seconds(), len(reasons), reasons[:min(2, len(reasons))])
		}
		if time.Since(began) > r.options.AgreeWithin {
			return 0, fmt.Errorf("%s: after %v there are %d differences between members: %v", after, r.options.AgreeWithin, len(reasons), reasons[:min(maxReasons, len(reasons))])
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(max(pollInterval, pollPauseFactor*time.Since(pollStarted))):
		}
	}
}
