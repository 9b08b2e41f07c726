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

// run is a run in progress. It belongs to one goroutine.
type run struct {
	options     Options
	fleet       *fleet.Fleet
	dir         string
	began       time.Time
	hosts       []*hostProcess
	real        realRun
	realMembers []fleet.Member
	realHomes   []string // their folders
	result      *Result
}

// Run plays a run. An error says that it could not be played, or that members did not agree in time.
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
	defer func() { err = errors.Join(err, r.end()) }()
	if err := r.playAll(ctx); err != nil {
		return r.result, err
	}
	return r.result, nil
}

// playAll plays the parts of a run in their order.
func (r *run) playAll(ctx context.Context) (err error) {
	if err := r.startHosts(); err != nil {
		return err
	}
	if err := r.startMembers(ctx); err != nil {
		return err
	}
	r.options.Say("%d hollow members in %d processes started after %.1f s", len(r.fleet.Members)-r.options.Fleet.Real, len(r.hosts), time.Since(r.began).Seconds())
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

// playSchedule plays one schedule and waits until all members agree again.
func (r *run) playSchedule(ctx context.Context, s *schedule.Schedule) error {
	before, err := r.read(ctx)
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
	after, err := r.read(ctx)
	if err != nil {
		return err
	}
	d := Disturbance{Name: s.Name, Seconds: after.at.Sub(before.at).Seconds(), AgreedS: took.Seconds()}
	d.CPU = after.cpu(r) - before.cpu(r)
	d.BytesPerMember = after.bytesSince(before)
	r.result.Disturbances = append(r.result.Disturbances, d)
	return nil
}

// end stops all processes.
func (r *run) end() error {
	errs := []error{r.endReal()}
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
	firstPort, morePorts, portStep, portTries = 10_000, 9_000, 7, 40
)

// freePort finds three consecutive ports that are free at the members' addresses, below the range that the system assigns.
func freePort(size fleet.Size) (int, error) {
	for try := range portTries {
		size.Port = firstPort + (os.Getpid()*31+int(time.Now().UnixNano()%997)+try*portStep)%morePorts
		f := fleet.Plan(size)
		if free(f) {
			return size.Port, nil
		}
	}
	return 0, fmt.Errorf("no port is free at all members' addresses")
}

func free(f *fleet.Fleet) bool {
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
