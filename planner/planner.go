// Package planner carries out the decisions about an availability zone's
// instances: it reads the platform's list, asks package assign what to do,
// commits that to the zone's log and then tells the platform.
//
// Invariants: nothing is told to the platform before the step that asks for it
// is committed; a commit follows on the very version that the decision read, so
// of two planners one does nothing; what is told may be told again, because the
// platform fences it by the instance's boot count.
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

// DefaultInterval is how often the planner looks.
const DefaultInterval = time.Second

// An AssignLog is the log of a zone's assignment.
type AssignLog = changelog.Log[*assign.State, assign.Change]

// LogName returns the name of a zone's log.
func LogName(zone pointport.ZoneID) string { return "assign." + string(zone) }

// A Fleet is what the planner needs of the platform.
type Fleet interface {
	pointport.Fleet
	pointport.Rebooter
}

// An Election says whether this process plans.
type Election interface {
	Held() bool
}

// A ConfigSource gives the configuration in force.
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
	pause    func() time.Duration
	listedTo func([]pointport.Instance)

	store  pointport.Store
	ledger ledger // as last read or written
	seen   tracker
	listed []pointport.Instance // as last read
	held   bool
	cut    bool
}

// An Option changes a Planner.
type Option func(*Planner)

// WithLogger sets where events go.
func WithLogger(l *slog.Logger) Option { return func(p *Planner) { p.logger = l } }

// WithInterval sets how long the planner waits between two looks.
func WithInterval(pause func() time.Duration) Option { return func(p *Planner) { p.pause = pause } }

// WithListObserver sets who else is told of each reading of the platform's list.
func WithListObserver(told func([]pointport.Instance)) Option {
	return func(p *Planner) { p.listedTo = told }
}

// WithAuthor sets the name under which the planner writes.
func WithAuthor(a string) Option { return func(p *Planner) { p.author = a } }

// New returns a planner of zone, one of zones, that acts only by Round.
func New(clock pointport.Clock, zone pointport.ZoneID, zones []pointport.ZoneID, fleet Fleet, store pointport.Store, configs ConfigSource, log *AssignLog, election Election, options ...Option) *Planner {
	p := &Planner{
		store: store,
		zone:  zone, zones: zones, clock: clock, fleet: fleet, configs: configs, log: log,
		election: election, logger: slog.New(slog.DiscardHandler), author: "planner", pause: func() time.Duration { return DefaultInterval },
		listedTo: func([]pointport.Instance) {},
		seen:     newTracker(),
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// Start returns a planner that works until ctx ends.
func Start(ctx context.Context, clock pointport.Clock, zone pointport.ZoneID, zones []pointport.ZoneID, fleet Fleet, store pointport.Store, configs ConfigSource, log *AssignLog, election Election, options ...Option) *Planner {
	p := New(clock, zone, zones, fleet, store, configs, log, election, options...)
	go func() {
		p.run(ctx)
	}()
	return p
}

// run looks again and again. What an operator asks for does not wait for the
// list to be read again: it is decided on by the list as it was last read, which
// lags in any case.
func (p *Planner) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.tick(ctx, p.Round)
		next := p.clock.After(p.pause())
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

// tick does a round if this process plans, and logs what changed about that.
func (p *Planner) tick(ctx context.Context, round func(context.Context) error) {
	held := p.election.Held()
	if held != p.held {
		p.held = held
		if held {
			event.PlannerElected.Log(p.logger, slog.String("zone", string(p.zone)))
			p.seen, p.listed, p.ledger = newTracker(), nil, nil
		} else {
			event.PlannerLost.Log(p.logger, slog.String("zone", string(p.zone)))
		}
	}
	if !held {
		return
	}
	err := round(ctx)
	if err != nil && !p.cut && ctx.Err() == nil {
		event.PlanFailed.Log(p.logger, slog.Any("error", err))
	}
	p.cut = err != nil
}

// Round reads, decides, commits and tells the platform, once. The log is not
// read again each time: it is followed, and a commit on an old version fails.
func (p *Planner) Round(ctx context.Context) error {
	if p.log.Heard().IsZero() {
		if err := p.log.Refresh(ctx); err != nil {
			return err
		}
	}
	listed, err := p.fleet.Instances(ctx, p.zone)
	if err != nil {
		return err
	}
	p.listed = listed
	p.listedTo(listed)
	p.seen.look(p.clock.Now(), p.log.State(), listed)
	return p.decide(ctx, p.log.State())
}

// replan decides by the list as it was last read.
func (p *Planner) replan(ctx context.Context) error {
	if p.listed == nil {
		return nil
	}
	return p.decide(ctx, p.log.State())
}

// decide decides on state, commits and tells the platform. What it may spend of
// the floating budgets is settled first.
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
	return p.tell(ctx, state, p.listed)
}

func (p *Planner) input(now time.Time, state *assign.State, listed []pointport.Instance) assign.Input {
	cfg := p.configs.State()
	in := assign.Input{
		Now: now, Zone: p.zone, Zones: p.zones, State: state, Templates: cfg.Effective(now), Evacuations: cfg.Evacuations(),
		Listed: listed, IdleFor: p.seen.quietFor(), AbsentSince: p.seen.absent,
		Share: func(t *config.Template) int { return p.share(state, t) },
	}
	for _, o := range cfg.List(config.KindWave) {
		_, version, _ := cfg.Get(config.KindWave, o.Name())
		in.Waves = append(in.Waves, assign.WaveOrder{Wave: o.Wave(), Version: version})
	}
	return in
}

// commit writes a change that was decided on state.
func (p *Planner) commit(ctx context.Context, state *assign.State, change assign.Change) (*assign.State, error) {
	change.ID = uuid.NewString()
	change.Version = state.Version() + 1
	change.Author = p.author
	change.At = p.clock.Now().UTC()
	if err := p.log.Commit(ctx, change); err != nil {
		return nil, err
	}
	p.report(change)
	return state.Apply(change)
}

func (p *Planner) report(change assign.Change) {
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

// tell asks the platform for what the committed state calls for. A planner that
// has just taken over tells again what its predecessor may not have.
func (p *Planner) tell(ctx context.Context, state *assign.State, listed []pointport.Instance) error {
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
