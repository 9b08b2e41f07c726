package recovery

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// This file plays a plan.

// Addresses that are closed and opened again in a run, by the number of the sender. Outgoing connections don't use them, and so
// can't take their ports meanwhile.
const (
	endpointAddresses = "127.0.1.%d:0"
	senderAddresses   = "127.0.2.%d:0"
	maxSenders        = 250
)

// readyTimeout is how long the senders have to serve clients.
const readyTimeout = 20 * time.Second

// fleet is a run: the senders and what they meet.
type fleet struct {
	plan     Plan
	endpoint *endpoint
	servers  []*http.Server
	senders  []*sender
}

// Run plays a plan in real time, which takes half a minute. The senders are processes of the command, "serve" included; their
// folders are made in folder. Run returns when all processes have ended.
func Run(ctx context.Context, plan Plan, command []string, folder string) (Result, error) {
	if plan.Senders < 1 || plan.Senders > maxSenders || len(plan.Outages) == 0 {
		return Result{}, fmt.Errorf("a plan needs 1 to %d senders and a kind of outage", maxSenders)
	}
	f := &fleet{plan: plan}
	defer f.close()
	if err := f.prepare(command, folder); err != nil {
		return Result{}, err
	}
	if err := f.start(); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	var clients sync.WaitGroup
	for _, c := range newClients(plan, f.senders) {
		clients.Go(func() { c.run(ctx) })
	}
	err := f.play(ctx)
	cancel()
	clients.Wait()
	return f.endpoint.result(), err
}

// prepare makes all stand-ins, and the folders of the senders.
func (f *fleet) prepare(command []string, folder string) (err error) {
	if f.endpoint, err = newEndpoint(f.plan); err != nil {
		return err
	}
	var healthy []string
	for range healthyDestinations {
		address, err := f.serve(http.HandlerFunc(serveHealthy))
		if err != nil {
			return err
		}
		healthy = append(healthy, address)
	}
	for number := range f.plan.Senders {
		if err := f.prepareSender(number, command, folder, healthy); err != nil {
			return err
		}
	}
	return nil
}

// serve serves a handler until the end of the run.
func (f *fleet) serve(handler http.Handler) (address string, err error) {
	server, address, err := serve(handler)
	f.servers = append(f.servers, server)
	return address, err
}

// prepareSender makes the folder, the discovery and the configuration of a sender.
func (f *fleet) prepareSender(number int, command []string, folder string, healthy []string) error {
	s := &sender{number: number, command: command, folder: filepath.Join(folder, fmt.Sprintf("s%d", number))}
	if err := os.MkdirAll(s.folder, 0o700); err != nil {
		return err
	}
	list := f.listFor(number, healthy)
	discovery, err := f.serve(newDiscovery(list))
	if err != nil {
		return err
	}
	if s.address, err = freeAddress(fmt.Sprintf(senderAddresses, number+1)); err != nil {
		return err
	}
	f.senders = append(f.senders, s)
	return s.writeConfig(f.plan, discovery, list)
}

// listFor returns the endpoint list of a sender.
func (f *fleet) listFor(number int, healthy []string) endpointList {
	list := endpointList{Version: 1, Full: true}
	for i, address := range healthy {
		list.Servers = append(list.Servers, listEntry{ID: fmt.Sprintf("healthy%d", i+1), Addr: address, Zone: "here", Kind: "small",
			Cell: i + 1, State: "up", Weight: healthyRating})
	}
	rating := f.plan.Rating
	if f.plan.RoughRating {
		rating *= 1.5
	}
	return endpointList{Version: 1, Full: true, Servers: append(list.Servers, listEntry{ID: "played",
		Addr: f.endpoint.listeners[number].address, Zone: "here", Kind: "small", Cell: playedDestination, State: "up", Weight: rating})}
}

// freeAddress returns an address with a free port.
func freeAddress(address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// start starts all senders and waits until they accept connections.
func (f *fleet) start() error {
	for _, s := range f.senders {
		if err := s.start(); err != nil {
			return err
		}
	}
	end := time.Now().Add(readyTimeout)
	for _, s := range f.senders {
		for {
			conn, err := net.DialTimeout("tcp", s.address, time.Second)
			if err == nil {
				conn.Close()
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("sender %d is not ready: %w", s.number, err)
			}
			time.Sleep(redialPause)
		}
	}
	return nil
}

// play plays the outage and the kills, and returns at the end of the run.
func (f *fleet) play(ctx context.Context) error {
	if err := sleep(ctx, warmUp); err != nil {
		return err
	}
	returnAt := time.Now().Add(outageTime)
	errs := make(chan error, len(f.senders))
	killed := f.drawKilled()
	for at, s := range killed {
		go func() { errs <- restart(ctx, s, returnAt.Add(at)) }()
	}
	err := f.endpoint.play(ctx)
	for range killed {
		err = errors.Join(err, <-errs)
	}
	return errors.Join(err, sleep(ctx, time.Until(f.endpoint.upAt.Add(slowStartTime+settleTime))))
}

// drawKilled returns the senders that are killed, by the time of their kill, which counts from the return.
func (f *fleet) drawKilled() map[time.Duration]*sender {
	random := rand.New(rand.NewPCG(f.plan.Seed, 1))
	order := slices.Clone(f.senders)
	random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	killed := map[time.Duration]*sender{}
	for _, s := range order[:int(f.plan.KilledShare*float64(len(order)))] {
		killed[-f.plan.KillBefore+time.Duration(random.Float64()*float64(f.plan.KillSpread))] = s
	}
	return killed
}

// restart kills a sender and starts it again a little later.
func restart(ctx context.Context, s *sender, at time.Time) error {
	if err := sleep(ctx, time.Until(at)); err != nil {
		return err
	}
	s.kill()
	if err := sleep(ctx, restartDelay); err != nil {
		return err
	}
	return s.start()
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	for _, s := range f.senders {
		s.kill()
	}
	for _, server := range f.servers {
		if server != nil {
			server.Close()
		}
	}
	if f.endpoint != nil {
		f.endpoint.disconnect()
	}
}
