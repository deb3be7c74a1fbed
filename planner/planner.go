// Package planner carries out the decisions about an availability zone's
// instances: it reads the platform's list, asks package assign what to do,
// commits that to the zone's log and then sends the commands to the platform.
//
// Invariants: no command is sent to the platform before the step that requires it
// is committed. A commit requires that the log is at the version that the decision
// used, so if two planners decide at once, only one succeeds. Commands may be sent
// again, because the platform fences them by the instance's boot count.
package planner

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
	"github.com/pointport/pointport/event"
)

// This file defines the planner and its round.

// DefaultInterval is the default time between two rounds.
const DefaultInterval = time.Second

// An AssignLog is the log of a zone's assignment.
type AssignLog = changelog.Log[*assign.State, assign.Change]

// LogName returns the name of a zone's log.
func LogName(zone pointport.ZoneID) string { return "assign." + string(zone) }

// A Fleet lists, drains, restores and reboots the platform's instances.
type Fleet interface {
	pointport.Fleet
	pointport.Rebooter
}

// An Election reports whether this process holds the planner's lease.
type Election interface {
	Held() bool
}

// A ConfigSource returns the current configuration and signals its changes.
type ConfigSource interface {
	State() *config.State
	Changed() <-chan struct{}
}

// A Planner plans one availability zone.
type Planner struct {
	zone     pointport.ZoneID
	zones    []pointport.ZoneID
	clock    pointport.Clock
	fleet    Fleet
	configs  ConfigSource
	log      *AssignLog
	election Election
	logger   *slog.Logger
	author   string
	interval func() time.Duration
	onList   func([]pointport.Instance)

	store    pointport.Store
	ledger   ledger // as last read or written
	observed tracker
	listed   []pointport.Instance // as last read
	held     bool
	failing  bool
}

// An Option configures a Planner.
type Option func(*Planner)

// WithLogger sets the logger for events.
func WithLogger(l *slog.Logger) Option { return func(p *Planner) { p.logger = l } }

// WithInterval sets the function that returns the time between two rounds.
func WithInterval(interval func() time.Duration) Option {
	return func(p *Planner) { p.interval = interval }
}

// WithListObserver sets a function that is called with each list read from the platform.
func WithListObserver(observer func([]pointport.Instance)) Option {
	return func(p *Planner) { p.onList = observer }
}

// WithAuthor sets the author name in the planner's changes.
func WithAuthor(a string) Option { return func(p *Planner) { p.author = a } }

// New returns a planner of zone, one of zones, that acts only when Round is called.
func New(clock pointport.Clock, zone pointport.ZoneID, zones []pointport.ZoneID, fleet Fleet, store pointport.Store, configs ConfigSource, log *AssignLog, election Election, options ...Option) *Planner {
	p := &Planner{
		store: store,
		zone:  zone, zones: zones, clock: clock, fleet: fleet, configs: configs, log: log,
		election: election, logger: slog.New(slog.DiscardHandler), author: "planner", interval: func() time.Duration { return DefaultInterval },
		onList:   func([]pointport.Instance) {},
		observed: newTracker(),
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// Start returns a planner that runs until ctx ends.
func Start(ctx context.Context, clock pointport.Clock, zone pointport.ZoneID, zones []pointport.ZoneID, fleet Fleet, store pointport.Store, configs ConfigSource, log *AssignLog, election Election, options ...Option) *Planner {
	p := New(clock, zone, zones, fleet, store, configs, log, election, options...)
	go func() {
		p.run(ctx)
	}()
	return p
}

// run does rounds until ctx ends. A change of the configuration is planned at once,
// with the list as last read: the list lags in any case, so reading it again
// would only delay an operator's request.
func (p *Planner) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.tick(ctx, p.Round)
		next := p.clock.After(p.interval())
		for waiting := true; waiting && ctx.Err() == nil; {
			changed := p.configs.Changed()
			select {
			case <-next:
				waiting = false
			case <-changed:
				p.tick(ctx, p.replan)
			case <-ctx.Done():
			}
		}
	}
}

// tick does a round if this process is elected, and logs changes of the election.
func (p *Planner) tick(ctx context.Context, round func(context.Context) error) {
	held := p.election.Held()
	if held != p.held {
		p.held = held
		if held {
			event.PlannerElected.Log(p.logger, slog.String("zone", string(p.zone)))
			p.observed, p.listed, p.ledger = newTracker(), nil, nil
		} else {
			event.PlannerLost.Log(p.logger, slog.String("zone", string(p.zone)))
		}
	}
	if !held {
		return
	}
	err := round(ctx)
	if err != nil && !p.failing && ctx.Err() == nil {
		event.PlanFailed.Log(p.logger, slog.Any("error", err))
	}
	p.failing = err != nil
}

// Round reads the list, decides, commits and sends commands, once. It refreshes the log only
// the first time: later the log is followed, and a commit on an old version fails.
func (p *Planner) Round(ctx context.Context) error {
	if p.log.LastAnswer().IsZero() {
		if err := p.log.Refresh(ctx); err != nil {
			return err
		}
	}
	listed, err := p.fleet.Instances(ctx, p.zone)
	if err != nil {
		return err
	}
	p.listed = listed
	p.onList(listed)
	p.observed.observe(p.clock.Now(), p.log.State(), listed)
	return p.decide(ctx, p.log.State())
}

// replan decides by the list as last read.
func (p *Planner) replan(ctx context.Context) error {
	if p.listed == nil {
		return nil
	}
	return p.decide(ctx, p.log.State())
}

// decide decides on state, commits and sends commands. The zone's share of the floating
// budgets is settled first.
func (p *Planner) decide(ctx context.Context, state *assign.State) error {
	state, err := p.settleFloats(ctx, state)
	if err != nil {
		return err
	}
	change := assign.Decide(p.input(p.clock.Now(), state, p.listed))
	if !change.Empty() {
		if state, err = p.commit(ctx, state, change); err != nil {
			return err
		}
	}
	return p.sendCommands(ctx, state, p.listed)
}

func (p *Planner) input(now time.Time, state *assign.State, listed []pointport.Instance) assign.Input {
	cfg := p.configs.State()
	in := assign.Input{
		Now: now, Zone: p.zone, Zones: p.zones, State: state, Templates: cfg.Effective(now), Evacuations: cfg.Evacuations(),
		Listed: listed, IdleFor: p.observed.quietFor(), AbsentSince: p.observed.absent,
		Share: func(t *config.Template) int { return p.share(state, t) },
	}
	for _, o := range cfg.List(config.KindWave) {
		_, version, _ := cfg.Get(config.KindWave, o.Name())
		in.Waves = append(in.Waves, assign.WaveOrder{Wave: o.Wave(), Version: version})
	}
	return in
}

// commit writes a change that was decided on state, and returns the state with it applied.
func (p *Planner) commit(ctx context.Context, state *assign.State, change assign.Change) (*assign.State, error) {
	change.ID = uuid.NewString()
	change.Version = state.Version() + 1
	change.Author = p.author
	change.At = p.clock.Now().UTC()
	if err := p.log.Commit(ctx, change); err != nil {
		return nil, err
	}
	p.logChange(change)
	return state.Apply(change)
}

// logChange logs the steps of a change and the waves that it stops.
func (p *Planner) logChange(change assign.Change) {
	for _, s := range change.Steps {
		to := "forgotten"
		if s.After != nil {
			to = string(s.After.Phase) + " " + s.After.Pool
		}
		event.StepDecided.Log(p.logger, slog.String("instance", string(s.Instance)),
			slog.String("from", s.From), slog.String("to", to), slog.String("reason", s.Reason))
	}
	for _, w := range change.Waves {
		if w.Stopped != "" {
			event.WaveStopped.Log(p.logger, slog.String("wave", w.Name), slog.String("reason", w.Stopped))
		}
	}
}

// sendCommands sends the platform the commands that the committed state requires. A planner that
// has just been elected repeats them, because its predecessor may not have sent them.
func (p *Planner) sendCommands(ctx context.Context, state *assign.State, listed []pointport.Instance) error {
	var errs []error
	for _, i := range listed {
		m, ok := state.Member(i.ID)
		if !ok || i.Boots != m.Boots {
			continue
		}
		var err error
		switch {
		case m.Phase == assign.Draining && i.State == pointport.InstanceLive:
			err = p.fleet.Drain(ctx, i.ID, m.Boots)
		case m.Phase == assign.Rebooting && i.State != pointport.InstanceDown:
			err = p.fleet.Reboot(ctx, i.ID, m.Boots)
		case (m.Phase == assign.Serving || m.Phase == assign.Spare) && i.State == pointport.InstanceLeaving:
			err = p.fleet.Restore(ctx, i.ID, m.Boots)
		}
		if err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}
