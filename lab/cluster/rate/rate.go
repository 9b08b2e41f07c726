// Package rate measures the cost of the cluster on the data path: the highest message rate of one real sender process, with
// and without a cluster.
//
// This file sets a run up and measures it. process.go starts the senders, environment.go serves endpoints, discovery and the
// platform, client.go submits messages, change.go changes the settings, pairs.go compares runs. The package must use loopback
// addresses only and leave no process or file behind.
package rate

import (
	"context"
	"fmt"
	"os"
	"time"
)

// Options are the inputs of a run.
type Options struct {
	Command      []string      // program and arguments that run a sender, as in flaxcove serve
	Cluster      bool          // the processes form a cluster with a shared configuration
	Plain        bool          // with Cluster: membership and consensus only, without changes of the settings
	Members      int           // number of processes; the first is measured, the others get no messages
	Port         int           // first port that the cluster's relays try
	WarmUp       time.Duration // time from the first delivery to the measured span
	MeasuredSpan time.Duration // duration of the measurement
	// ChangeInterval is the time from a change of the settings in force to the next one; 0 for no changes. It is ignored
	// without Cluster and with Plain.
	ChangeInterval time.Duration
}

// Figure is the result of a run. Counts and times cover the measured span.
type Figure struct {
	Delivered   int64
	Refused     int64 // not accepted by the sender
	Undelivered int64 // reported as not delivered by the sender's outcome callbacks
	Span        time.Duration
	Processor   time.Duration // processor time of the measured sender's process
	Changes     int           // changes of the settings that came into force at all processes
}

// PerSecond returns the number of delivered messages per second.
func (f Figure) PerSecond() float64 { return float64(f.Delivered) / f.Span.Seconds() }

// ProcessorPerMessage returns the sender's processor time per delivered message.
func (f Figure) ProcessorPerMessage() time.Duration {
	return f.Processor / time.Duration(max(1, f.Delivered))
}

// Cores returns the mean number of cores that the measured sender used. Without a cluster it runs Go code on one thread: a
// value well below 1 means that the sender was not the bottleneck.
func (f Figure) Cores() float64 { return f.Processor.Seconds() / f.Span.Seconds() }

// Run measures once. The client submits messages as fast as the sender delivers them, with a fixed number in progress.
func Run(ctx context.Context, o Options) (figure Figure, err error) {
	ctx, stop := context.WithTimeout(ctx, o.WarmUp+o.MeasuredSpan+setUpTimeout)
	defer stop()
	home, err := os.MkdirTemp("", "flaxcove-rate-")
	if err != nil {
		return figure, err
	}
	defer os.RemoveAll(home)
	env, err := openEnvironment()
	if err != nil {
		return figure, err
	}
	defer env.close()
	senders, err := startSenders(ctx, o, home, env)
	if err != nil {
		return figure, err
	}
	defer senders.end()
	if err := senders.awaitReady(ctx); err != nil {
		return figure, err
	}
	client, err := startClient(senders.all[0].listen, env)
	if err != nil {
		return figure, err
	}
	defer client.close()
	if err := env.awaitFirstDelivery(ctx); err != nil {
		return figure, err
	}
	if err := sleep(ctx, o.WarmUp); err != nil {
		return figure, err
	}
	return measure(ctx, o, senders, env)
}

// measure changes the settings for the measured span, waits for its end and returns its figure.
func measure(ctx context.Context, o Options, senders *senders, env *environment) (figure Figure, err error) {
	pid := senders.all[0].command.Process.Pid
	usedBefore, err := processorTime(pid)
	if err != nil {
		return figure, err
	}
	before, began := env.counts(), time.Now()
	orders := startChangeLoop(ctx, o, senders)
	waited := sleep(ctx, o.MeasuredSpan)
	after, span := env.counts(), time.Since(began)
	usedAfter, err := processorTime(pid)
	changes, refused := orders.end()
	for _, problem := range []error{waited, err, refused} {
		if problem != nil {
			return figure, problem
		}
	}
	return Figure{Delivered: after.delivered - before.delivered, Refused: after.refused - before.refused,
		Undelivered: after.undelivered - before.undelivered, Span: span, Processor: usedAfter - usedBefore, Changes: changes}, nil
}

// sleep waits for span. It returns an error if ctx ends first.
func sleep(ctx context.Context, span time.Duration) error {
	select {
	case <-time.After(span):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("the run ended early: %w", ctx.Err())
	}
}
