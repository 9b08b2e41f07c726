package run

// This file puts a version in force here. The version is checked, stored on disk and handed to the sender, and is
// reported as in force only after the sender has confirmed it.

import (
	"fmt"
	"os"
	"time"

	"go.uber.org/zap"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/sender/clusterapi"
)

// handover is a version that was handed to the sender and for which no answer was received yet.
type handover struct {
	document configuration.Document
	before   clusterapi.Configuration // the version that the sender ran before
	answer   chan error               // receives the sender's answer; has a buffer of one
}

// apply puts one version in force and records the outcome. Only one call runs at a time (see spread.State.NextToApply).
// If the sender has not answered for an earlier version, apply waits for that answer and does not hand over the new
// version, because it is unknown which version the sender runs.
func (r *Runner) apply(d configuration.Document) {
	if r.pendingHandover == nil {
		if err := r.handOver(d); err != nil {
			r.recordOutcome(d, err)
			return
		}
	}
	pending := r.pendingHandover
	err, answered := r.awaitAnswer(pending)
	switch {
	case r.ctx.Err() != nil:
		return // whether the sender has put the version in force is known only after the restart
	case !answered:
		// The stored version stays: a slow sender may still put it in force, and a restart must not begin with an older
		// one.
		r.recordOutcome(pending.document, fmt.Errorf("version %d: the sender has not answered within %v", pending.document.Version, r.options.AnswerWithin))
		return
	case err != nil:
		r.restoreCached(pending.before)
	}
	r.pendingHandover = nil
	r.recordOutcome(pending.document, err)
}

// recordOutcome records and logs that a version is in force, or err as the reason why it is not.
func (r *Runner) recordOutcome(d configuration.Document, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.counters.Rejected++
		r.options.Log.Warn("configuration: version not put in force here; the previous version stays in force", zap.Uint64("version", d.Version),
			zap.Uint64("in force", r.running.Version), zap.Error(err))
	} else {
		r.counters.Applied++
		r.running = clusterapi.Configuration{Version: d.Version, Settings: d.Settings}
		r.options.Log.Info("configuration: version is in force", zap.Uint64("version", d.Version), zap.String("sum", string(d.Sum)))
	}
	r.state.RecordApplied(d.Version, err, r.options.Now())
	r.signals.NotifyChange()
}

// handOver checks a version, stores it on disk and hands it to the sender.
func (r *Runner) handOver(d configuration.Document) error {
	r.mu.Lock()
	before := r.running
	r.mu.Unlock()
	inForce := before.Settings
	if before.Version == 0 {
		inForce = r.options.OwnSettings
	}
	if err := r.options.Check(inForce, d.Settings); err != nil {
		return err
	}
	// The version is stored first. A process that ends right after the sender has put it in force must not restart with
	// an older one.
	c := clusterapi.Configuration{Version: d.Version, Settings: d.Settings}
	if err := configuration.Store(r.options.Folder, c); err != nil {
		return fmt.Errorf("not kept on disk: %w", err)
	}
	r.pendingHandover = &handover{document: d, before: before, answer: make(chan error, 1)}
	answer := r.pendingHandover.answer
	// A sender that accepts no orders blocks only this goroutine, until it accepts them or ends.
	r.goroutines.Go(func() { r.options.Orders.Configure(c, func(err error) { answer <- err }) })
	return nil
}

// awaitAnswer waits for the sender's answer, for Options.AnswerWithin at most, and reports whether there was one.
func (r *Runner) awaitAnswer(pending *handover) (err error, answered bool) {
	timeout := time.NewTimer(r.options.AnswerWithin)
	defer timeout.Stop()
	select {
	case err = <-pending.answer:
		return err, true
	case <-timeout.C:
	case <-r.ctx.Done():
	}
	return nil, false
}

// restoreCached stores the version again that the sender ran before, so that a restart does not begin with the rejected
// version.
func (r *Runner) restoreCached(before clusterapi.Configuration) {
	var err error
	if before.Version > 0 {
		err = configuration.Store(r.options.Folder, before)
	} else {
		err = os.Remove(configuration.Path(r.options.Folder))
	}
	if err != nil {
		r.options.Log.Error("configuration: the rejected version is still stored; a restart would begin with it", zap.Error(err))
	}
}
