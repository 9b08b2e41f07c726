package experiment

// This file executes the runs of a plan on parallel workers. Runs on sockets must not be executed in parallel, because they
// would delay each other. The order of results must not depend on which run ends first.

import (
	"context"
	"sync"
	"time"
)

// Options are the settings of an experiment's execution.
type Options struct {
	Cores int    // number of runs to execute in parallel; engine simulated only
	Out   string // path of the results file
	Self  string // path of this program, which runs on sockets start as senders
	// Progress, if not nil, is called after each run. Done includes results from earlier executions; remaining is an
	// estimate of the time until all runs are done.
	Progress func(done, all int, remaining time.Duration, r *Result)
}

// Run executes the runs that have no result yet, and returns all results of the plan in the order of jobs. If ctx ends, it
// returns the error of ctx; the results of completed runs remain in the file.
func Run(ctx context.Context, p *Plan, jobs []*Job, o Options) ([]*Result, error) {
	file, err := openResults(o.Out)
	if err != nil {
		return nil, err
	}
	defer file.close()
	todo := file.missing(jobs)
	startedAt, count := time.Now(), 0
	var firstErr error
	for r := range runAll(ctx, p, todo, o) {
		if ctx.Err() != nil {
			continue // drain the channel until all workers have ended
		}
		count++
		if err := file.add(r); err != nil && firstErr == nil {
			firstErr = err
		}
		if o.Progress != nil {
			remaining := time.Since(startedAt) / time.Duration(count) * time.Duration(len(todo)-count)
			o.Progress(len(jobs)-len(todo)+count, len(jobs), remaining, r)
		}
	}
	if firstErr != nil {
		return nil, firstErr
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return file.resultsOf(jobs), nil
}

// runAll executes runs on parallel workers and sends their results to the returned channel. The channel is closed when all
// workers have ended.
func runAll(ctx context.Context, p *Plan, todo []*Job, o Options) <-chan *Result {
	workers := max(1, o.Cores)
	if p.Engine == engineSockets {
		workers = 1 // parallel runs would delay each other
	}
	work, done := make(chan *Job), make(chan *Result)
	var running sync.WaitGroup
	for range workers {
		running.Go(func() {
			for j := range work {
				done <- runJob(ctx, p, j, o)
			}
		})
	}
	go func() {
		defer close(done)
		defer running.Wait()
		defer close(work)
		dispatch(ctx, todo, work)
	}()
	return done
}

// dispatch sends runs to the workers until all are sent or ctx ends.
func dispatch(ctx context.Context, todo []*Job, work chan<- *Job) {
	for _, j := range todo {
		select {
		case work <- j:
		case <-ctx.Done():
			return
		}
	}
}

// runJob executes one run of a plan. An error of the run is stored in Result.Error.
func runJob(ctx context.Context, p *Plan, j *Job, o Options) *Result {
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
		r.Sizes.Destinations += j.spec.Partners[i].Count
	}
	return r
}
