// Package rate measures what the cluster costs the data path: the highest rate of one real sender, with and without it.
//
// It owns the set-up of one run and its figure. The processes are process.go's, endpoints, discovery and platform are
// environment.go's, the client is client.go's, changes of the settings are change.go's, pairs of runs are pairs.go's. It
// must never judge a figure, call anything but loopback addresses, or leave a process or a file behind.
package rate

import (
	"context"
	"fmt"
	"os"
	"time"
)

// Options are what one run is made with.
type Options struct {
	Command []string      // the program and its arguments, as in flaxcove serve
	Cluster bool          // whether the processes are a cluster that has its configuration in common
	Plain   bool          // with Cluster: it has membership and a council alone, and nothing changes
	Members int           // processes; the first is measured, the others have nothing to do
	Port    int           // from which on the cluster looks for free ones
	Warm    time.Duration // from the first message that was delivered
	For     time.Duration // of the figure, after Warm
	// Every is the time from one change of the settings to the next; without the cluster, or in a plain one, there are none.
	Every time.Duration
}

// Figure is what one run gave. Counts and times are those of the measured span alone.
type Figure struct {
	Delivered int64
	Refused   int64
	Ended     int64 // undelivered, as the sender told the platform
	Span      time.Duration
	Processor time.Duration // of the measured sender's process
	Changes   int           // of the settings, each in force in all processes
}

// PerSecond is the rate at which messages were delivered.
func (f Figure) PerSecond() float64 { return float64(f.Delivered) / f.Span.Seconds() }

// ProcessorPerMessage is the sender's processor time for a message that was delivered.
func (f Figure) ProcessorPerMessage() time.Duration {
	return f.Processor / time.Duration(max(1, f.Delivered))
}

// Cores is how many cores the measured sender kept busy. Without a cluster it has one thread for Go code: a figure well
// below 1 says that not the sender was the bottleneck.
func (f Figure) Cores() float64 { return f.Processor.Seconds() / f.Span.Seconds() }

// Run measures once. Messages are handed in as fast as the sender delivers them, so many under way at a time.
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

// measure is the span that the figure is of.
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

// sleep waits, or says that the run's time is over.
func sleep(ctx context.Context, span time.Duration) error {
	select {
	case <-time.After(span):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("the run was cut short: %w", ctx.Err())
	}
}
