// Package placer carries out the decisions about an availability zone's jobs:
// it asks package job what to do, commits that to the zone's log and then
// starts and stops tasks.
//
// Invariants: no task is started before the step that names it is committed; a
// commit follows on the very version that the decision read; starting a task
// again changes nothing, because an instance starts a task's ID at most once.
package placer

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/google/uuid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/assign"
	"github.com/pointport/pointport/changelog"
	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/evacuation"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/job"
)

// This file defines the placer and its round.

// DefaultInterval is how often the placer looks. Urgent work must start within
// seconds.
const DefaultInterval = 500 * time.Millisecond

// A JobLog is the log of a zone's jobs.
type JobLog = changelog.Log[*job.State, job.Change]

// LogName returns the name of a zone's log.
func LogName(zone pointport.ZoneID) string { return "jobs." + string(zone) }

// An Election says whether this process places jobs.
type Election interface {
	Held() bool
}

// Sources are where the placer reads what it decides on.
type Sources struct {
	Config func() *config.State
	Assign func() *assign.State
}

// A Placer places the jobs of one availability zone.
type Placer struct {
	zone     pointport.ZoneID
	clock    pointport.Clock
	runner   pointport.TaskRunner
	sources  Sources
	log      *JobLog
	election Election
	logger   *slog.Logger
	author   string
	interval time.Duration
	cut      bool
}

// An Option changes a Placer.
type Option func(*Placer)

// WithLogger sets where events go.
func WithLogger(l *slog.Logger) Option { return func(p *Placer) { p.logger = l } }

// WithInterval sets how often the placer looks.
func WithInterval(d time.Duration) Option { return func(p *Placer) { p.interval = d } }

// WithAuthor sets the name under which the placer writes.
func WithAuthor(a string) Option { return func(p *Placer) { p.author = a } }

// New returns a placer that acts only by Round.
func New(clock pointport.Clock, zone pointport.ZoneID, runner pointport.TaskRunner, sources Sources, log *JobLog, election Election, options ...Option) *Placer {
	p := &Placer{
		zone: zone, clock: clock, runner: runner, sources: sources, log: log, election: election,
		logger: slog.New(slog.DiscardHandler), author: "placer", interval: DefaultInterval,
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// Start returns a placer that works until ctx ends.
func Start(ctx context.Context, clock pointport.Clock, zone pointport.ZoneID, runner pointport.TaskRunner, sources Sources, log *JobLog, election Election, options ...Option) *Placer {
	p := New(clock, zone, runner, sources, log, election, options...)
	go func() {
		for ctx.Err() == nil {
			if p.election.Held() {
				p.report(ctx, p.Round(ctx))
			}
			select {
			case <-clock.After(p.interval):
			case <-log.Changed():
				// A new job need not wait for the next look.
			case <-ctx.Done():
			}
		}
	}()
	return p
}

func (p *Placer) report(ctx context.Context, err error) {
	if err != nil && !p.cut && ctx.Err() == nil {
		event.PlacementUnavailable.Log(p.logger, slog.Any("error", err))
	}
	p.cut = err != nil
}

// Round reads, decides, commits, and starts and stops tasks, once.
func (p *Placer) Round(ctx context.Context) error {
	state := p.log.State()
	if !state.HasUnfinished() {
		return nil
	}
	tasks, err := p.runner.Tasks(ctx, p.zone)
	if err != nil {
		return err
	}
	steps := job.Decide(p.input(state, tasks))
	if len(steps) > 0 {
		if state, err = p.commit(ctx, state, steps); err != nil {
			return err
		}
	}
	return p.tell(ctx, state, tasks)
}

func (p *Placer) input(state *job.State, tasks []pointport.Task) job.Input {
	cfg := p.sources.Config()
	in := job.Input{
		Now: p.clock.Now(), State: state, Members: p.sources.Assign().Members(), Tasks: tasks,
		Services: make(map[string]string), Quotas: make(map[string]int64), Evacuated: p.evacuated(),
	}
	for _, t := range cfg.Templates() {
		in.Services[t.Name] = t.Service
	}
	for customer, params := range cfg.Customers() {
		in.Quotas[customer] = params.QuotaCPUMilli
	}
	return in
}

// evacuated reports whether nothing may be started in the availability zone.
func (p *Placer) evacuated() bool {
	return p.sources.Config().Evacuations().State(p.zone) != evacuation.Open
}

func (p *Placer) commit(ctx context.Context, state *job.State, steps []job.Step) (*job.State, error) {
	change := job.Change{
		ID: uuid.NewString(), Version: state.Version() + 1, Author: p.author,
		At: p.clock.Now().UTC(), Steps: steps,
	}
	err := p.log.Commit(ctx, change)
	var stale *changelog.StaleError
	if errors.As(err, &stale) {
		// What was committed before still holds and may be told again.
		return state, nil
	}
	if err != nil {
		return nil, err
	}
	p.logSteps(steps)
	return state.Apply(change)
}

func (p *Placer) logSteps(steps []job.Step) {
	for _, s := range steps {
		if s.After == nil {
			continue
		}
		attrs := []slog.Attr{
			slog.String("job", s.Job), slog.String("instance", string(s.After.Instance)),
			slog.String("phase", string(s.After.Phase)), slog.String("reason", s.After.Reason),
		}
		switch {
		case s.After.Phase == job.Running:
			event.JobPlaced.Log(p.logger, attrs...)
		case s.After.Phase.Ended():
			event.JobEnded.Log(p.logger, attrs...)
		}
	}
}

// tell starts and stops tasks as the committed state calls for.
func (p *Placer) tell(ctx context.Context, state *job.State, tasks []pointport.Task) error {
	known := make(map[pointport.TaskID]bool, len(tasks))
	for _, t := range tasks {
		known[t.ID] = true
	}
	var errs []error
	for _, j := range state.Jobs() {
		var err error
		switch {
		case j.Phase == job.Running && !known[j.Task] && p.evacuated():
			// It is told once the availability zone is open again.
		case j.Phase == job.Running && !known[j.Task]:
			err = p.runner.StartTask(ctx, pointport.Task{
				ID: j.Task, Instance: j.Instance, Kind: j.Kind, Need: j.Need, Runtime: j.Runtime, Lease: job.DefaultLease,
			})
		case j.Phase == job.Stopping:
			err = p.runner.StopTask(ctx, j.Instance, j.Task)
		}
		if err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}
