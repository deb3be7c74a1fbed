// Package placer carries out the decisions about an availability zone's jobs: it
// commits the steps that package job decides on to the zone's log, and then
// starts and stops tasks.
//
// Invariants: no task is started before the step that assigns it is committed; a
// commit directly follows the version that the decision was based on; starting a
// task again changes nothing, because an instance starts a task ID at most once.
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

// This file defines the placer and its control loop.

// DefaultInterval is the default interval between rounds. It is short because
// urgent jobs must start within seconds.
const DefaultInterval = 500 * time.Millisecond

// A JobLog is the log of a zone's jobs.
type JobLog = changelog.Log[*job.State, job.Change]

// LogName returns the name of a zone's log.
func LogName(zone pointport.ZoneID) string { return "jobs." + string(zone) }

// An Election reports whether this process is the one that places jobs.
type Election interface {
	Held() bool
}

// Sources provide the current state of the configuration and of the assignment
// of instances to pools.
type Sources struct {
	Config func() *config.State
	Assign func() *assign.State
}

// A Placer places the jobs of one availability zone.
type Placer struct {
	zone        pointport.ZoneID
	clock       pointport.Clock
	runner      pointport.TaskRunner
	sources     Sources
	log         *JobLog
	election    Election
	logger      *slog.Logger
	author      string
	interval    time.Duration
	unavailable bool // whether the last round failed
}

// An Option configures a Placer.
type Option func(*Placer)

// WithLogger sets the logger for events. The default discards them.
func WithLogger(l *slog.Logger) Option { return func(p *Placer) { p.logger = l } }

// WithInterval sets the interval between rounds. The default is DefaultInterval.
func WithInterval(d time.Duration) Option { return func(p *Placer) { p.interval = d } }

// WithAuthor sets the author of the placer's changes. The default is "placer".
func WithAuthor(a string) Option { return func(p *Placer) { p.author = a } }

// New returns a placer that acts only when Round is called.
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

// Start returns a placer that runs rounds in the background until ctx ends. It
// skips them while election is not held.
func Start(ctx context.Context, clock pointport.Clock, zone pointport.ZoneID, runner pointport.TaskRunner, sources Sources, log *JobLog, election Election, options ...Option) *Placer {
	p := New(clock, zone, runner, sources, log, election, options...)
	go func() {
		for ctx.Err() == nil {
			if p.election.Held() {
				p.logFailure(ctx, p.Round(ctx))
			}
			select {
			case <-clock.After(p.interval):
			case <-log.Changed():
				// A new job is handled without waiting for the interval.
			case <-ctx.Done():
			}
		}
	}()
	return p
}

// logFailure logs the first of several consecutive failed rounds.
func (p *Placer) logFailure(ctx context.Context, err error) {
	if err != nil && !p.unavailable && ctx.Err() == nil {
		event.PlacementUnavailable.Log(p.logger, slog.Any("error", err))
	}
	p.unavailable = err != nil
}

// Round runs one round: it reads the tasks, decides and commits the next steps,
// and starts and stops tasks. It does nothing if no job is unfinished.
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
	return p.startAndStopTasks(ctx, state, tasks)
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

// evacuated reports whether no task may be started in the availability zone.
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
		// The state that was committed before is still valid, and its orders may be
		// sent again.
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

// startAndStopTasks starts and stops tasks according to the committed state.
func (p *Placer) startAndStopTasks(ctx context.Context, state *job.State, tasks []pointport.Task) error {
	known := make(map[pointport.TaskID]bool, len(tasks))
	for _, t := range tasks {
		known[t.ID] = true
	}
	var errs []error
	for _, j := range state.Jobs() {
		var err error
		switch {
		case j.Phase == job.Running && !known[j.Task] && p.evacuated():
			// The start is sent once the availability zone is open again.
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
