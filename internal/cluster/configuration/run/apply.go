package run

// This file puts a version in force here: checked, on disk, at the sender, and only then told.

import (
	"fmt"
	"os"
	"time"

	"go.uber.org/zap"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/sender/together"
)

// handing is a version that the sender was given, until its answer is known.
type handing struct {
	document configuration.Document
	before   together.Configuration // what the sender ran
	answer   chan error             // of one place
}

// apply has one version put in force; spread.State asks for one at a time. While the sender has not answered for the
// one before, that one's answer is waited for and nothing newer is handed over: it is not known what the sender runs.
func (r *Runner) apply(d configuration.Document) {
	if r.handed == nil {
		if err := r.handOver(d); err != nil {
			r.settle(d, err)
			return
		}
	}
	given := r.handed
	err, answered := r.awaitAnswer(given)
	switch {
	case r.ctx.Err() != nil:
		return // the sender may have taken it or not: the next life says
	case !answered:
		// The file stays: a sender that is slow may take the version yet, and its next life must not begin with an older one.
		r.settle(given.document, fmt.Errorf("version %d: the sender has not answered within %v", given.document.Version, r.o.AnswerWithin))
		return
	case err != nil:
		r.unkeep(given.before)
	}
	r.handed = nil
	r.settle(given.document, err)
}

// settle tells what came of a version.
func (r *Runner) settle(d configuration.Document, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.figures.Refused++
		r.o.Log.Warn("configuration: a version is not taken here; what was in force stays", zap.Uint64("version", d.Version),
			zap.Uint64("in force", r.running.Version), zap.Error(err))
	} else {
		r.figures.Applied++
		r.running = together.Configuration{Version: d.Version, Settings: d.Settings}
		r.o.Log.Info("configuration: in force", zap.Uint64("version", d.Version), zap.String("sum", string(d.Sum)))
	}
	r.state.Applied(d.Version, err, r.o.Now())
	r.signals.NotifyChange()
}

// handOver checks a version, puts it on disk and gives it to the sender.
func (r *Runner) handOver(d configuration.Document) error {
	r.mu.Lock()
	before := r.running
	r.mu.Unlock()
	inForce := before.Settings
	if before.Version == 0 {
		inForce = r.o.Own
	}
	if err := r.o.Check(inForce, d.Settings); err != nil {
		return err
	}
	// On disk first: a life that ends right after the sender has taken it must not begin again with an older one.
	c := together.Configuration{Version: d.Version, Settings: d.Settings}
	if err := configuration.Keep(r.o.Folder, c); err != nil {
		return fmt.Errorf("not kept: %w", err)
	}
	r.handed = &handing{document: d, before: before, answer: make(chan error, 1)}
	answer := r.handed.answer
	// A sender that takes no orders at present holds up this goroutine until it does or ends, and nothing else.
	r.going.Go(func() { r.o.Orders.Configure(c, func(err error) { answer <- err }) })
	return nil
}

// awaitAnswer waits for the sender's answer, AnswerWithin at most.
func (r *Runner) awaitAnswer(given *handing) (err error, answered bool) {
	late := time.NewTimer(r.o.AnswerWithin)
	defer late.Stop()
	select {
	case err = <-given.answer:
		return err, true
	case <-late.C:
	case <-r.ctx.Done():
	}
	return nil, false
}

// unkeep has the next life begin with what is in force here, and not with what the sender refused.
func (r *Runner) unkeep(before together.Configuration) {
	var err error
	if before.Version > 0 {
		err = configuration.Keep(r.o.Folder, before)
	} else {
		err = os.Remove(configuration.Path(r.o.Folder))
	}
	if err != nil {
		r.o.Log.Error("configuration: a version that the sender refused is still kept", zap.Error(err))
	}
}
