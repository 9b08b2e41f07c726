package run

// This file puts a version in force here: it is checked, stored on disk, handed to the sender, and only then reported.

import (
	"fmt"
	"os"
	"time"

	"go.uber.org/zap"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/sender/clusterapi"
)

// handover is a version that was handed to the sender, until its answer is known.
type handover struct {
	document configuration.Document
	before   clusterapi.Configuration // what the sender ran before
	answer   chan error               // with a buffer of one
}

// apply puts one version in force; spread.State asks for one at a time. While the sender has not answered for the version
// before, its answer is waited for and nothing newer is handed over, as it is not known what the sender runs.
func (r *Runner) apply(d configuration.Document) {
	if r.pendingHandover == nil {
		if err := r.handOver(d); err != nil {
			r.recordOutcome(d, err)
			return
		}
	}
	given := r.pendingHandover
	err, answered := r.awaitAnswer(given)
	switch {
	case r.ctx.Err() != nil:
		return // the sender may have put it in force or not: that is known after the restart
	case !answered:
		// The file stays: a slow sender may still put the version in force, and must not start with an older one next time.
		r.recordOutcome(given.document, fmt.Errorf("version %d: the sender has not answered within %v", given.document.Version, r.options.AnswerWithin))
		return
	case err != nil:
		r.restoreCached(given.before)
	}
	r.pendingHandover = nil
	r.recordOutcome(given.document, err)
}

// recordOutcome records and logs whether a version is in force.
func (r *Runner) recordOutcome(d configuration.Document, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.figures.Rejected++
		r.options.Log.Warn("configuration: version rejected here; the previous one stays in force", zap.Uint64("version", d.Version),
			zap.Uint64("in force", r.running.Version), zap.Error(err))
	} else {
		r.figures.Applied++
		r.running = clusterapi.Configuration{Version: d.Version, Settings: d.Settings}
		r.options.Log.Info("configuration: in force", zap.Uint64("version", d.Version), zap.String("sum", string(d.Sum)))
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
	// Stored first: a process that ends right after the sender has put it in force must not restart with an older one.
	c := clusterapi.Configuration{Version: d.Version, Settings: d.Settings}
	if err := configuration.Store(r.options.Folder, c); err != nil {
		return fmt.Errorf("not kept: %w", err)
	}
	r.pendingHandover = &handover{document: d, before: before, answer: make(chan error, 1)}
	answer := r.pendingHandover.answer
	// A sender that accepts no orders blocks this goroutine, and nothing else, until it does or ends.
	r.goroutines.Go(func() { r.options.Orders.Configure(c, func(err error) { answer <- err }) })
	return nil
}

// awaitAnswer waits for the sender's answer, for AnswerWithin at most.
func (r *Runner) awaitAnswer(given *handover) (err error, answered bool) {
	late := time.NewTimer(r.options.AnswerWithin)
	defer late.Stop()
	select {
	case err = <-given.answer:
		return err, true
	case <-late.C:
	case <-r.ctx.Done():
	}
	return nil, false
}

// restoreCached stores the version that is in force here again, so that a restart does not begin with the rejected one.
func (r *Runner) restoreCached(before clusterapi.Configuration) {
	var err error
	if before.Version > 0 {
		err = configuration.Store(r.options.Folder, before)
	} else {
		err = os.Remove(configuration.Path(r.options.Folder))
	}
	if err != nil {
		r.options.Log.Error("configuration: rejected version is still stored", zap.Error(err))
	}
}
