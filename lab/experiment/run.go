package experiment

// This file plays runs on workers. Runs on sockets must not be played concurrently, and the order of results must not depend
// on which run ends first.

import (
	"context"
	"sync"
	"time"
)

// Options are how a plan is played.
type Options struct {
	Cores    int
	Out      string // the file of results
	Self     string // this program, for runs on sockets
	Progress func(done, all int, left time.Duration, r *Result)
}

// Run plays the runs that have no result yet, and returns all results of the plan in its order.
func Run(ctx context.Context, p *Plan, jobs []*Job, o Options) ([]*Result, error) {
	file, err := openResults(o.Out)
	if err != nil {
		return nil, err
	}
	defer file.close()
	todo := file.missing(jobs)
	began, count := time.Now(), 0
	var failed error
	for r := range playAll(ctx, p, todo, o) {
		if ctx.Err() != nil {
			continue // drain the channel until all workers have ended
		}
		count++
		if err := file.add(r); err != nil && failed == nil {
			failed = err
		}
		if o.Progress != nil {
			left := time.Since(began) / time.Duration(count) * time.Duration(len(todo)-count)
			o.Progress(len(jobs)-len(todo)+count, len(jobs), left, r)
		}
	}
	if failed != nil {
		return nil, failed
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return file.of(jobs), nil
}

// playAll plays runs on as many workers as there are cores to use. The channel is closed when all workers have ended.
func playAll(ctx context.Context, p *Plan, todo []*Job, o Options) <-chan *Result {
	workers := max(1, o.Cores)
	if p.Engine == engineSockets {
		workers = 1 // two at once would delay each other
	}
	work, done := make(chan *Job), make(chan *Result)
	var running sync.WaitGroup
	for range workers {
		running.Go(func() {
			for j := range work {
				done <- play(ctx, p, j, o)
			}
		})
	}
	go func() {
		defer close(done)
		defer running.Wait()
		defer close(work)
		handOut(ctx, todo, work)
	}()
	return done
}

// handOut gives runs to free workers, until all are given out or ctx ends.
func handOut(ctx context.Context, todo []*Job, work chan<- *Job) {
	for _, j := range todo {
		select {
		case work <- j:
		case <-ctx.Done():
			return
		}
	}
}

// play plays one run of a plan.
func play(ctx context.Context, p *Plan, j *Job, o Options) *Result {
	v, err := RunOnce(ctx, RunSpec{
		Engine:   p.Engine,
		Spec:     j.spec,
		Scenario: j.loaded,
		Seed:     j.Seed,
		Policy:   j.variant.Policy,
		Binary:   j.variant.Binary,
		Self:     o.Self,
	})
	r := &Result{Job: *j, Engine: p.Engine}
	if err != nil {
		r.Error = err.Error()
		return r
	}
	r.Figure, r.Service, r.Rules, r.Void = v.Figure, v.Service, v.Rules, v.Void
	r.Asked, r.Delivered, r.InTime, r.Calls, r.Refusals = v.Asked, v.Delivered, v.InTime, v.Calls, v.Refusals
	r.Classes, r.Engines = v.Classes, v.EngineFigures
	r.Sizes = Sizes{Senders: j.spec.Senders, Rate: int(j.spec.Load.Rate)}
	for i := range j.spec.Partners {
		r.Sizes.Partners += j.spec.Partners[i].Count
	}
	return r
}
