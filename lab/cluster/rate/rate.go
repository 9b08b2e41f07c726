// Package rate measures what the cluster costs the data path: the highest rate of one real sender, with and without it.
//
// This file sets a run up and takes its figure. process.go starts the senders, environment.go serves endpoints, discovery
// and the platform, client.go hands messages in, change.go changes the settings, pairs.go compares runs. The package must
// use loopback addresses only and leave no process or file behind.
package rate

import (
	"context"
	"fmt"
	"os"
	"time"
)

// Options are the inputs of a run.
type Options struct {
	Command []string      // the program and its arguments, as in flaxcove serve
	Cluster bool          // the processes form a cluster that shares its configuration
	Plain   bool          // with Cluster: it has membership and consensus only, and nothing changes
	Members int           // number of processes; the first is measured, the others are idle
	Port    int           // the first port that the cluster tries
	Warm    time.Duration // warm-up from the first delivery
	For     time.Duration // measured span after Warm
	// Every is the time between changes of the settings. Without a cluster, or in a plain one, there are none.
	Every time.Duration
}

// Figure is the result of a run. Counts and times are of the measured span.
type Figure struct {
	Delivered int64
	Refused   int64
	Ended     int64 // not delivered, by the sender's outcome callbacks
	Span      time.Duration
	Processor time.Duration // of the measured sender's process
	Changes   int           // changes of the settings that came into force in all processes
}

// PerSecond is the rate at which messages were delivered.
func (f Figure) PerSecond() float64 { return float64(f.Delivered) / f.Span.Seconds() }

// ProcessorPerMessage is the sender's processor time for a message that was delivered.
func (f Figure) ProcessorPerMessage() time.Duration {
	return f.Processor / time.Duration(max(1, f.Delivered))
}

// Cores is how many cores the measured sender kept busy. Without a cluster it runs Go code on one thread: a figure well
// below 1 means that the sender was not the bottleneck.
func (f Figure) Cores() float64 { return f.Processor.Seconds() / f.Span.Seconds() }

// Run measures once. Messages are handed in as fast as the sender delivers them, with a fixed number in progress.
func Run(ctx context.Context, o Options) (figure Figure, err error) {
	ctx, stop := context.WithTimeout(ctx, o.Warm+o.For+setUpTimeout)
	defer stop()
	home, err := os.MkdirTemp("", "flaxcove-rate-")
	if err != nil {
		return figure, err
	}
	defer os.RemoveAll(home)
	out, err := openEnvironment()
	if err != nil {
		return figure, err
	}
	defer out.close()
	senders, err := startSenders(ctx, o, home, out)
	if err != nil {
		return figure, err
	}
	defer senders.end()
	if err := senders.awaitReady(ctx); err != nil {
		return figure, err
	}
	client, err := handIn(senders.all[0].listen, out)
	if err != nil {
		return figure, err
	}
	defer client.close()
	if err := out.awaitFirst(ctx); err != nil {
		return figure, err
	}
	if err := sleep(ctx, o.Warm); err != nil {
		return figure, err
	}
	return measure(ctx, o, senders, out)
}

// measure waits for the measured span and returns its figure.
func measure(ctx context.Context, o Options, senders *senders, out *environment) (figure Figure, err error) {
	pid := senders.all[0].command.Process.Pid
	usedBefore, err := processorTime(pid)
	if err != nil {
		return figure, err
	}
	before, began := out.counts(), time.Now()
	orders := startChangeLoop(ctx, o, senders)
	waited := sleep(ctx, o.For)
	after, span := out.counts(), time.Since(began)
	usedAfter, err := processorTime(pid)
	changes, refused := orders.end()
	for _, problem := range []error{waited, err, refused} {
		if problem != nil {
			return figure, problem
		}
	}
	return Figure{Delivered: after.delivered - before.delivered, Refused: after.refused - before.refused,
		Ended: after.ended - before.ended, Span: span, Processor: usedAfter - usedBefore, Changes: changes}, nil
}

// sleep waits for a time. It returns an error if ctx ends before.
func sleep(ctx context.Context, span time.Duration) error {
	select {
	case <-time.After(span):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("the run was cut short: %w", ctx.Err())
	}
}
