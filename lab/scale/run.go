package scale

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"flaxcove/lab/cluster/schedule"
	"flaxcove/lab/scale/fleet"
)

// run is the state of a run. It belongs to one goroutine.
type run struct {
	options     Options
	fleet       *fleet.Fleet
	dir         string // temporary folder of the hollow members
	began       time.Time
	hosts       []*hostProcess
	real        realRun
	realMembers []fleet.Member
	realHomes   []string // folders of the real members, in the order of realMembers
	result      *Result
}

// Run plays a run. It returns an error if the run could not be played or members did not agree in time; the result then holds
// what was measured before, and is nil if the run could not be set up.
func Run(ctx context.Context, o Options) (result *Result, err error) {
	if err := o.fillAndCheck(); err != nil {
		return nil, err
	}
	r := &run{options: o, began: time.Now(), result: &Result{Options: o}}
	if r.options.Fleet.Port == 0 {
		if r.options.Fleet.Port, err = freePort(o.Fleet); err != nil {
			return nil, err
		}
	}
	r.fleet = fleet.Plan(r.options.Fleet)
	if r.dir, err = os.MkdirTemp("", "flaxcove-scale-"); err != nil {
		return nil, err
	}
	if o.Logs != "" {
		if err := os.MkdirAll(o.Logs, 0o755); err != nil {
			return nil, err
		}
	}
	defer os.RemoveAll(r.dir)
	defer func() { err = errors.Join(err, r.stopAll()) }()
	if err := r.playAll(ctx); err != nil {
		return r.result, err
	}
	return r.result, nil
}

// playAll plays the parts of a run in order.
func (r *run) playAll(ctx context.Context) (err error) {
	if err := r.startHosts(); err != nil {
		return err
	}
	if err := r.startMembers(ctx); err != nil {
		return err
	}
	r.options.Logf("%d hollow members in %d processes were started after %.1f s", len(r.fleet.Members)-r.options.Fleet.Real, len(r.hosts), time.Since(r.began).Seconds())
	if err := r.startReal(ctx); err != nil {
		return err
	}
	if _, err := r.awaitAgreement(ctx, "start"); err != nil {
		return err
	}
	r.result.StartS = time.Since(r.began).Seconds()
	if r.options.Calm > 0 {
		if !sleep(ctx, r.options.Settle) {
			return ctx.Err()
		}
		if err := r.measureCalm(ctx); err != nil {
			return err
		}
	}
	if err := r.orderAll(ctx); err != nil {
		return err
	}
	for _, s := range r.options.Schedules {
		if len(s.Faults) == 0 {
			continue
		}
		if err := r.playSchedule(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

// playSchedule plays one schedule, waits until all members agree again, and records the cost.
func (r *run) playSchedule(ctx context.Context, s *schedule.Schedule) error {
	before, err := r.takeReading(ctx)
	if err != nil {
		return err
	}
	if err := r.playFaults(ctx, s); err != nil {
		return err
	}
	took, err := r.awaitAgreement(ctx, s.Name)
	if err != nil {
		return err
	}
	after, err := r.takeReading(ctx)
	if err != nil {
		return err
	}
	d := Disturbance{Name: s.Name, Seconds: after.at.Sub(before.at).Seconds(), AgreedS: took.Seconds()}
	d.CPU = after.cpu(r) - before.cpu(r)
	d.BytesPerMember = after.bytesSince(before)
	r.result.Disturbances = append(r.result.Disturbances, d)
	return nil
}

// stopAll stops the real members and all hosts.
func (r *run) stopAll() error {
	errs := []error{r.stopReal()}
	problems := make(chan error, len(r.hosts))
	for _, h := range r.hosts {
		go func() { problems <- h.end() }()
	}
	for range r.hosts {
		errs = append(errs, <-problems)
	}
	return errors.Join(errs...)
}

const (
	firstPort, portRange, portStep, portTries = 10_000, 9_000, 7, 40
)

// freePort returns the first of three consecutive ports that are free at all members' addresses and lie below the range from
// which the system assigns ports.
func freePort(size fleet.Size) (int, error) {
	for try := range portTries {
		size.Port = firstPort + (os.Getpid()*31+int(time.Now().UnixNano()%997)+try*portStep)%portRange
		f := fleet.Plan(size)
		if portsFree(f) {
			return size.Port, nil
		}
	}
	return 0, fmt.Errorf("found no port that is free at all members' addresses")
}

// portsFree reports whether a fleet's addresses are free, including those of the gossip relays.
func portsFree(f *fleet.Fleet) bool {
	for i := range f.Members {
		at, relayed := f.Addresses(i), f.RelayAddresses(i)
		for _, address := range []string{at.Gossip, at.Consensus, at.HTTP, relayed.Gossip} {
			ln, err := net.Listen("tcp", address)
			if err != nil {
				return false
			}
			ln.Close()
		}
	}
	return true
}
