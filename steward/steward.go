// Package steward carries out what package capacity decides: it surveys the owners
// of pools, reads the platform's list of machines, and orders moves and maintenance.
//
// One member at a time is the steward. It owns a key like that of a pool, and its
// fencing token goes with every order. It surveys all pools a few times a second. An
// instance is moved or maintained only after its pool's owner has closed it and
// reported that nothing runs there.
//
// Invariants:
//
//   - Every order is in the journal before it is sent, so a new steward can leave
//     exactly the machines alone for a while that its predecessor ordered last.
//   - No order is sent while this member cannot prove its lease.
package steward

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/capacity"
	"github.com/pointport/pointport/evacuation"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/schedule"
)

// This file defines the steward and its rounds.

const (
	// OwnershipName is the name under which the steward's ownership is stored. It cannot be
	// a pool's name, because those contain no slash.
	OwnershipName = "/steward"
	// roundInterval is the time between two rounds, newClosureInterval the time after a round
	// that has closed an instance.
	roundInterval      = 100 * time.Millisecond
	newClosureInterval = 20 * time.Millisecond
	// busyListInterval and idleListInterval are how often the list of machines is read while
	// the planner is busy and while it is not.
	busyListInterval = 450 * time.Millisecond
	idleListInterval = 2 * time.Second
	// surveyTimeout bounds the surveys of a round.
	surveyTimeout = 400 * time.Millisecond
	// writeTimeout bounds a write to the store. While the store is unavailable, the steward
	// must continue to renew closures.
	writeTimeout = 800 * time.Millisecond
	// holderMargin is added to the least time between two holders.
	holderMargin = 300 * time.Millisecond
	// inboxSize is how many messages the loop's inbox buffers.
	inboxSize = 128
	// sustainedShare is the share of the platform's rate limit for orders that a steward uses
	// continuously, burstShare the share that it may use at once. Together they stay within the
	// limit in any second. Without a limit here, the orders to a fleet of 2,976 instances, sent
	// again each second, were 1,000 to 1,700 a second, of which the platform accepted 64.
	sustainedShare = 0.75
	burstShare     = 0.25
	// defaultOrdersPerSecond is the assumed rate limit where the platform does not report one.
	defaultOrdersPerSecond = 64
)

// Pools sends surveys to the owners of pools.
type Pools interface {
	Survey(ctx context.Context, pool string, req schedule.SurveyRequest) (schedule.Survey, error)
}

// A Layout lists the pools.
type Layout struct {
	WorkPools []string // the pools that run tasks
	SparePool string   // the pool whose instances are switched off, or empty
}

// Waves returns the waves that operators request, and encodes their status.
type Waves interface {
	// Waves returns the requested waves.
	Waves() []capacity.Wave
	// Status returns the key and the value that report a wave's status.
	Status(wave int64, completed bool) pointport.Put
}

// Services are the dependencies of a steward.
type Services struct {
	KV       pointport.KV
	Machines pointport.Machines
	Clock    pointport.Clock
	Session  *member.Session
	Pools    Pools
	Waves    Waves
	Layout   func() Layout
	// Evacuations returns what is known of evacuated availability zones.
	Evacuations func() evacuation.Zones
}

// Settings are a steward's name, times and limits.
type Settings struct {
	Name string
	// MinHolderInterval is the least time between the orders of two holders.
	MinHolderInterval time.Duration
	// OrdersPerSecond is how many orders for machines the platform accepts per second from all
	// members together, zero if it does not report a limit.
	OrdersPerSecond float64
	Planner         capacity.Settings
}

// A Steward is the one member that sends orders for machines. Its methods are safe
// for concurrent use.
type Steward struct {
	services Services
	settings Settings
	own      member.Ownership
	logger   *slog.Logger
	cancel   context.CancelFunc
	done     chan struct{}
	err      error

	// The fields below are used only by the goroutine of run.
	planner            *capacity.Planner
	inbox              chan func(now time.Time)
	closures           map[string][]schedule.Closure
	pendingMaintenance []pointport.InstanceID
	listedAt           time.Time
	listing            bool
	writer             *member.Writer
	journal            *journal
	limiter            *rate.Limiter // of orders
	// storedWaves holds the last stored waveRecord by wave, restoredWaves the waves that were read.
	storedWaves   map[int64]string
	restoredWaves map[int64]bool
	sizes         map[string]capacity.PoolSize // as last logged
	// loggedEnded holds, by pool, the incarnations that were logged as ended in the last round.
	loggedEnded map[string]map[pointport.IncarnationID]bool
}

var _ member.Controller = (*Steward)(nil)

// Start returns a steward that runs until ctx ends, Stop is called or another member has
// become the steward.
func Start(ctx context.Context, s Services, settings Settings, own member.Ownership, logger *slog.Logger) *Steward {
	ctx, cancel := context.WithCancel(ctx)
	limit := cmp.Or(settings.OrdersPerSecond, defaultOrdersPerSecond)
	settings.Planner.MinHolderInterval = settings.MinHolderInterval + holderMargin
	settings.Planner.OrdersPerSecond = sustainedShare * limit
	st := &Steward{
		services: s, settings: settings, own: own, cancel: cancel, done: make(chan struct{}),
		logger:  logger.With(slog.Int64("fence", int64(own.Fence))),
		planner: capacity.NewPlanner(settings.Planner), inbox: make(chan func(time.Time), inboxSize),
		storedWaves: make(map[int64]string), restoredWaves: make(map[int64]bool),
		limiter: rate.NewLimiter(rate.Limit(sustainedShare*limit), max(1, int(burstShare*limit))),
		sizes:   make(map[string]capacity.PoolSize), loggedEnded: make(map[string]map[pointport.IncarnationID]bool),
	}
	st.writer = member.NewWriter(s.KV, s.Clock, own, st.logger)
	st.journal = newJournal(s.KV, st.writer, own, settings.MinHolderInterval+holderMargin)
	go func() {
		defer close(st.done)
		st.run(ctx)
		cancel()
	}()
	return st
}

// Ownership returns the ownership under which the steward acts.
func (s *Steward) Ownership() member.Ownership { return s.own }

// Stop ends the steward.
func (s *Steward) Stop() { s.cancel() }

// Done returns a channel that is closed when the steward has ended.
func (s *Steward) Done() <-chan struct{} { return s.done }

// Err waits until the steward has ended and returns why.
func (s *Steward) Err() error {
	<-s.done
	return s.err
}

func (s *Steward) run(ctx context.Context) {
	wake := s.services.Clock.After(0)
	for {
		select {
		case f := <-s.inbox:
			f(s.services.Clock.Now())
		case <-wake:
			wake = s.services.Clock.After(s.round(ctx))
		case <-ctx.Done():
			s.err = ctx.Err()
			return
		}
	}
}

// enqueue sends a function to the goroutine of run, or drops it if the steward has ended.
func (s *Steward) enqueue(f func(now time.Time)) {
	select {
	case s.inbox <- f:
	case <-s.done:
	}
}

// round surveys the pools, decides and sends orders. It returns the time until the next round.
func (s *Steward) round(ctx context.Context) time.Duration {
	layout := s.services.Layout()
	s.planner.SetSpare(layout.SparePool)
	s.planner.SetEvacuations(s.services.Evacuations())
	s.survey(ctx, layout.WorkPools)
	s.list(ctx)
	now := s.services.Clock.Now()
	s.loadWaves(ctx, now)
	if s.listedAt.IsZero() || !s.own.Proven() {
		return roundInterval
	}
	if err := s.open(ctx); err != nil {
		event.PlanFailed.Log(s.logger, slog.String("part", "journal"), slog.Any("error", err))
		return roundInterval
	}
	s.planner.SetFormer(s.journal.former)
	d := s.planner.Decide(now)
	s.closures, s.pendingMaintenance = d.Closures, d.PendingMaintenance
	s.logSizes(d.Sizes)
	s.sendOrders(ctx, d.Orders)
	s.report(ctx, now)
	if d.NewClosures {
		return newClosureInterval
	}
	return roundInterval
}

// open reads the state that the steward must know before its first order.
func (s *Steward) open(ctx context.Context) error {
	if err := s.writer.Open(ctx); err != nil {
		return err
	}
	return s.journal.open(ctx)
}

// write makes a change under the steward's ownership. It reports whether the
// change is known to be made.
func (s *Steward) write(ctx context.Context, change func(context.Context) error) bool {
	limited, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := change(limited)
	switch {
	case err == nil:
		return true
	case errors.Is(err, member.ErrNotOwner):
		event.ChangeRefused.Log(s.logger, slog.Any("error", err))
		s.cancel()
	case ctx.Err() == nil:
		event.PlanFailed.Log(s.logger, slog.Any("error", err))
	}
	return false
}

// logSizes logs the pools whose actual or wanted size has changed.
func (s *Steward) logSizes(sizes []capacity.PoolSize) {
	for _, z := range sizes {
		if last, ok := s.sizes[z.Pool]; ok && last.Have == z.Have && last.Want == z.Want {
			continue
		}
		s.sizes[z.Pool] = z
		event.PoolSized.Log(s.logger, slog.String("pool", z.Pool), slog.Int("have", z.Have), slog.Int("want", z.Want),
			slog.Int("idle", z.Idle), slog.Int64("needCPUMilli", z.Need.CPUMilli), slog.Int64("waitingCPUMilli", z.Waiting.CPUMilli))
	}
}

// survey requests surveys from the owners of all pools.
func (s *Steward) survey(ctx context.Context, pools []string) {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	var wg sync.WaitGroup
	surveys := make([]schedule.Survey, len(pools))
	errs := make([]error, len(pools))
	for n, pool := range pools {
		req := schedule.SurveyRequest{Closures: s.closures[pool], ClosingSoon: s.pendingMaintenance, Ended: s.endedIncarnations(pool), Ordered: s.planner.OrderedEnds(s.services.Clock.Now(), pool)}
		wg.Go(func() { surveys[n], errs[n] = s.services.Pools.Survey(ctx, pool, req) })
	}
	wg.Wait()
	now := s.services.Clock.Now()
	for n, pool := range pools {
		if errs[n] != nil {
			s.planner.ForgetSurvey(pool)
			continue
		}
		s.planner.SetSurvey(now, pool, surveys[n])
	}
}

// endedIncarnations returns the incarnations of a pool that have ended according to the list of
// machines. Each is logged once.
func (s *Steward) endedIncarnations(pool string) []pointport.IncarnationID {
	now := s.services.Clock.Now()
	logged := make(map[pointport.IncarnationID]bool)
	var out []pointport.IncarnationID
	for _, o := range s.planner.EndedIncarnations(pool) {
		out = append(out, o.ID)
		logged[o.ID] = true
		if s.loggedEnded[pool][o.ID] {
			continue
		}
		event.IncarnationListedEnded.Log(s.logger, slog.String("pool", pool), slog.String("incarnation", string(o.ID)), slog.String("instance", string(o.Instance)),
			slog.String("life", string(o.Addressee)), slog.String("state", string(o.State)), slog.Duration("listAge", now.Sub(o.ListedAt)), slog.Duration("known", o.KnownFor))
	}
	s.loggedEnded[pool] = logged
	return out
}

// list reads the list of machines in the background, if that is due.
func (s *Steward) list(ctx context.Context) {
	now := s.services.Clock.Now()
	interval := idleListInterval
	if s.planner.Busy() {
		interval = busyListInterval
	}
	if s.listing || now.Sub(s.listedAt) < interval {
		return
	}
	s.listing = true
	go func() {
		list, err := s.services.Machines.List(ctx)
		s.enqueue(func(time.Time) {
			s.listing = false
			if err != nil {
				event.MachineListUnavailable.Log(s.logger, slog.Any("error", err))
				return
			}
			s.listedAt = now
			s.planner.SetMachines(now, list)
		})
	}()
}

// sendOrders writes orders to the journal and sends them. Orders that cannot be written are not
// sent, and neither are those beyond the rate limit, which the platform would refuse. The planner
// issues them again in a later round.
func (s *Steward) sendOrders(ctx context.Context, orders []capacity.Order) {
	orders = s.admit(orders)
	if len(orders) == 0 {
		return
	}
	journaled := s.write(ctx, func(ctx context.Context) error {
		return s.journal.add(ctx, s.services.Clock.Now(), orders)
	})
	if !journaled || !s.own.Proven() {
		// Either it is unknown whether the orders are in the journal, or the write took so long
		// that the surveys and the proof of ownership may be outdated.
		for _, o := range orders {
			s.planner.WithdrawUnsent(o)
		}
		return
	}
	for _, o := range orders {
		s.sendOrder(ctx, o)
	}
}

// admit returns the orders that the rate limit allows now, and withdraws the others.
func (s *Steward) admit(orders []capacity.Order) []capacity.Order {
	now := s.services.Clock.Now()
	var out []capacity.Order
	for _, o := range orders {
		if s.limiter.AllowN(now, 1) {
			out = append(out, o)
			continue
		}
		s.planner.WithdrawUnsent(o)
	}
	if held := len(orders) - len(out); held > 0 {
		event.OrdersHeldBack.Log(s.logger, slog.Int("given", len(out)), slog.Int("held", held))
	}
	return out
}

// sendOrder sends an order in the background and passes its answer to the planner.
func (s *Steward) sendOrder(ctx context.Context, o capacity.Order) {
	holder := pointport.Holder{Name: s.settings.Name, Fence: s.own.Fence}
	sentAt := s.services.Clock.Now()
	go func() {
		var err error
		if o.Pool != "" {
			err = s.services.Machines.Move(ctx, holder, o.Machine, o.Pool)
		} else {
			err = s.services.Machines.Maintain(ctx, holder, o.Machine, o.Wave)
		}
		s.enqueue(func(now time.Time) {
			event.MachineOrdered.Log(s.logger, slog.String("instance", string(o.Machine)), slog.String("pool", o.Pool),
				slog.Int64("wave", o.Wave), slog.String("reason", o.Reason), slog.Duration("took", now.Sub(sentAt)), slog.Any("error", err))
			var refused *pointport.MachineRefusedError
			s.planner.HandleAnswer(now, o, err, errors.As(err, &refused))
		})
	}()
}

// waveRecord is what is stored of a wave for the next steward.
type waveRecord struct {
	Begun     time.Time              `json:"begun"`
	Ordered   []pointport.InstanceID `json:"ordered,omitempty"`
	Completed bool                   `json:"completed,omitempty"`
}

func waveKey(put pointport.Put) string { return "wave/" + put.Key }

// loadWaves passes the requested waves to the planner, and restores what an earlier steward has
// stored of each.
func (s *Steward) loadWaves(ctx context.Context, now time.Time) {
	waves := s.services.Waves.Waves()
	s.planner.SetWaves(now, waves)
	for _, w := range waves {
		if s.restoredWaves[w.ID] {
			continue
		}
		e, err := s.services.KV.Get(ctx, waveKey(s.services.Waves.Status(w.ID, false)))
		if err != nil {
			event.PlanFailed.Log(s.logger, slog.Int64("wave", w.ID), slog.Any("error", err))
			continue
		}
		s.restoredWaves[w.ID] = true
		var r waveRecord
		if !e.Exists() {
			continue
		}
		if err := json.Unmarshal(e.Value(), &r); err != nil {
			event.PlanFailed.Log(s.logger, slog.Int64("wave", w.ID), slog.Any("error", err))
			continue
		}
		s.planner.RestoreWave(w.ID, r.Begun, r.Ordered)
	}
}

// report stores the progress of waves, for their operators and for the next steward.
func (s *Steward) report(ctx context.Context, now time.Time) {
	for _, p := range s.planner.Progress(now) {
		value, err := json.Marshal(waveRecord{Begun: p.Begun.UTC(), Ordered: p.Ordered, Completed: p.Completed})
		if err != nil {
			event.PlanFailed.Log(s.logger, slog.Int64("wave", p.Wave), slog.Any("error", err))
			continue
		}
		if s.storedWaves[p.Wave] == string(value) {
			continue
		}
		status := s.services.Waves.Status(p.Wave, p.Completed)
		written := s.write(ctx, func(ctx context.Context) error {
			return s.writer.Commit(ctx, pointport.Txn{Put: []pointport.Put{status, {Key: waveKey(status), Value: value}}})
		})
		if !written {
			return
		}
		s.storedWaves[p.Wave] = string(value)
		event.WaveReported.Log(s.logger, slog.Int64("wave", p.Wave), slog.Int("ordered", len(p.Ordered)), slog.Bool("completed", p.Completed))
	}
}
