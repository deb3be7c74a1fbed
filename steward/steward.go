// Package steward carries out what package capacity decides: it asks the owners
// of pools how their pools stand, reads the platform's list of machines, and
// orders moves and maintenance.
//
// The model: one member at a time is the steward. It owns a key like that of a
// pool, and its fence goes with every order. It surveys all pools a few times a
// second; an instance is moved or maintained only after its pool's owner has
// closed it and says that nothing runs there.
//
// Invariants:
//
//   - Every order is in the journal before it is given, so a new steward leaves
//     exactly those machines alone for a while that its predecessor ordered last.
//   - No order is given while this member cannot prove its lease.
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
	// OwnershipName is the name under which the steward's ownership is kept. It is no
	// pool's name, because those have no slash.
	OwnershipName = "/steward"
	// roundEvery is how often the steward looks, freshEvery how soon after it has
	// closed an instance.
	roundEvery = 100 * time.Millisecond
	freshEvery = 20 * time.Millisecond
	// listBusy and listIdle are how often the list of machines is read while
	// orders are under way and while none are.
	listBusy = 450 * time.Millisecond
	listIdle = 2 * time.Second
	// surveyTimeout bounds a question to the owner of a pool.
	surveyTimeout = 400 * time.Millisecond
	// writeTimeout bounds a change that the steward makes; while the store is away
	// it must go on keeping instances closed.
	writeTimeout = 800 * time.Millisecond
	// turnSlack is kept beyond the time that must lie between two holders.
	turnSlack = 300 * time.Millisecond
	// inboxSize is how many answers may wait for the loop.
	inboxSize = 128
	// paceShare is the share of the orders about machines which the platform takes in a second
	// that a steward gives on end, burstShare the share that it gives at once: in no second
	// more than are taken. Without them, the orders to a fleet of 2,976 instances, given again
	// each second, were 1,000 to 1,700 a second, of which the platform took 64.
	paceShare  = 0.75
	burstShare = 0.25
	// defaultOrders is how many orders a second the platform takes where it does not say.
	defaultOrders = 64
)

// Pools reaches the owners of pools.
type Pools interface {
	Survey(ctx context.Context, pool string, req schedule.SurveyRequest) (schedule.Survey, error)
}

// A Layout says which pools there are.
type Layout struct {
	WorkPools []string // the pools that run tasks
	SparePool string   // the pool whose instances are switched off, or empty
}

// Waves follows the waves that operators ask for and reports on them.
type Waves interface {
	// Waves returns the waves that are asked for.
	Waves() []capacity.Wave
	// Status returns the key and the value that report on a wave.
	Status(wave int64, completed bool) pointport.Put
}

// Services are what a steward stands on.
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

// Settings are a steward's name and times.
type Settings struct {
	Name string
	// HolderTime must lie between the orders of two holders.
	HolderTime time.Duration
	// OrdersPerSecond is how many orders about machines the platform takes in a second from all
	// members, zero if it does not say.
	OrdersPerSecond float64
	Planner         capacity.Settings
}

// A Steward is the one member that orders machines about. Its methods are safe
// for concurrent use.
type Steward struct {
	services Services
	settings Settings
	own      member.Ownership
	logger   *slog.Logger
	cancel   context.CancelFunc
	done     chan struct{}
	err      error

	// What follows belongs to the loop.
	planner  *capacity.Planner
	inbox    chan func(now time.Time)
	closures map[string][]schedule.Closure
	soon     []pointport.InstanceID
	listed   time.Time
	listing  bool
	writer   *member.Writer
	journal  *journal
	pace     *rate.Limiter // of orders
	stored   map[int64]string
	restored map[int64]bool
	sizes    map[string]capacity.PoolSize // as last logged
	// toldOver holds, by pool, the incarnations of which it was last logged that they are over.
	toldOver map[string]map[pointport.IncarnationID]bool
}

var _ member.Controller = (*Steward)(nil)

// Start returns a steward that works until ctx ends or another member is the
// steward.
func Start(ctx context.Context, s Services, settings Settings, own member.Ownership, logger *slog.Logger) *Steward {
	ctx, cancel := context.WithCancel(ctx)
	taken := cmp.Or(settings.OrdersPerSecond, defaultOrders)
	settings.Planner.HolderTime = settings.HolderTime + turnSlack
	settings.Planner.OrdersPerSecond = paceShare * taken
	st := &Steward{
		services: s, settings: settings, own: own, cancel: cancel, done: make(chan struct{}),
		logger:  logger.With(slog.Int64("fence", int64(own.Fence))),
		planner: capacity.NewPlanner(settings.Planner), inbox: make(chan func(time.Time), inboxSize),
		stored: make(map[int64]string), restored: make(map[int64]bool),
		pace:  rate.NewLimiter(rate.Limit(paceShare*taken), max(1, int(burstShare*taken))),
		sizes: make(map[string]capacity.PoolSize), toldOver: make(map[string]map[pointport.IncarnationID]bool),
	}
	st.writer = member.NewWriter(s.KV, s.Clock, own, st.logger)
	st.journal = newJournal(s.KV, st.writer, own, settings.HolderTime+turnSlack)
	go func() {
		defer close(st.done)
		st.run(ctx)
		cancel()
	}()
	return st
}

// Ownership returns what the steward owns.
func (s *Steward) Ownership() member.Ownership { return s.own }

// Stop ends the steward.
func (s *Steward) Stop() { s.cancel() }

// Done returns a channel that is closed when the steward has ended.
func (s *Steward) Done() <-chan struct{} { return s.done }

// Err returns why the steward has ended.
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

// do hands a message to the loop.
func (s *Steward) do(f func(now time.Time)) {
	select {
	case s.inbox <- f:
	case <-s.done:
	}
}

// round surveys, decides and orders, and returns when to do so again.
func (s *Steward) round(ctx context.Context) time.Duration {
	layout := s.services.Layout()
	s.planner.SetSpare(layout.SparePool)
	s.planner.SetEvacuations(s.services.Evacuations())
	s.survey(ctx, layout.WorkPools)
	s.list(ctx)
	now := s.services.Clock.Now()
	s.takeWaves(ctx, now)
	if s.listed.IsZero() || !s.own.Proven() {
		return roundEvery
	}
	if err := s.open(ctx); err != nil {
		event.PlanFailed.Log(s.logger, slog.String("part", "journal"), slog.Any("error", err))
		return roundEvery
	}
	s.planner.SetFormer(s.journal.former)
	d := s.planner.Decide(now)
	s.closures, s.soon = d.Closures, d.PendingMaintenance
	s.logSizes(d.Sizes)
	s.orders(ctx, d.Orders)
	s.report(ctx, now)
	if d.NewClosures {
		return freshEvery
	}
	return roundEvery
}

// open reads what the steward must know before its first order.
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
		event.StoreRefused.Log(s.logger, slog.Any("error", err))
		s.cancel()
	case ctx.Err() == nil:
		event.PlanFailed.Log(s.logger, slog.Any("error", err))
	}
	return false
}

// logSizes notes the pools whose size has changed, or should.
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

// survey asks the owners of all pools how these stand.
func (s *Steward) survey(ctx context.Context, pools []string) {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	var wg sync.WaitGroup
	surveys := make([]schedule.Survey, len(pools))
	errs := make([]error, len(pools))
	for n, pool := range pools {
		req := schedule.SurveyRequest{Closures: s.closures[pool], Soon: s.soon, Over: s.over(pool), Ordered: s.planner.OrderedEnds(s.services.Clock.Now(), pool)}
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

// over returns the incarnations of a pool that the list of machines shows to be over. Each
// is logged once.
func (s *Steward) over(pool string) []pointport.IncarnationID {
	now := s.services.Clock.Now()
	told := make(map[pointport.IncarnationID]bool)
	var out []pointport.IncarnationID
	for _, o := range s.planner.EndedIncarnations(pool) {
		out = append(out, o.ID)
		told[o.ID] = true
		if s.toldOver[pool][o.ID] {
			continue
		}
		event.IncarnationOver.Log(s.logger, slog.String("pool", pool), slog.String("incarnation", string(o.ID)), slog.String("instance", string(o.Instance)),
			slog.String("life", string(o.Addressee)), slog.String("state", string(o.State)), slog.Duration("listAge", now.Sub(o.ListedAt)), slog.Duration("known", o.KnownFor))
	}
	s.toldOver[pool] = told
	return out
}

// list reads the list of machines, if that is due.
func (s *Steward) list(ctx context.Context) {
	now := s.services.Clock.Now()
	every := listIdle
	if s.planner.Busy() {
		every = listBusy
	}
	if s.listing || now.Sub(s.listed) < every {
		return
	}
	s.listing = true
	go func() {
		list, err := s.services.Machines.List(ctx)
		s.do(func(time.Time) {
			s.listing = false
			if err != nil {
				event.MachinesCut.Log(s.logger, slog.Any("error", err))
				return
			}
			s.listed = now
			s.planner.SetMachines(now, list)
		})
	}()
}

// orders writes orders to the journal and gives them. Those that cannot be
// written are not given, nor are those that the platform would refuse because they are too
// many: they come up again in a later round.
func (s *Steward) orders(ctx context.Context, orders []capacity.Order) {
	orders = s.admit(orders)
	if len(orders) == 0 {
		return
	}
	journaled := s.write(ctx, func(ctx context.Context) error {
		return s.journal.add(ctx, s.services.Clock.Now(), orders)
	})
	if !journaled || !s.own.Proven() {
		// Either it is not known whether they are in the journal, or the write took
		// too long to count on what was surveyed and on the key.
		for _, o := range orders {
			s.planner.WithdrawUnsent(o)
		}
		return
	}
	for _, o := range orders {
		s.order(ctx, o)
	}
}

// admit returns the orders that may be given now.
func (s *Steward) admit(orders []capacity.Order) []capacity.Order {
	now := s.services.Clock.Now()
	var out []capacity.Order
	for _, o := range orders {
		if s.pace.AllowN(now, 1) {
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

// order gives an order and hands its answer to the planner.
func (s *Steward) order(ctx context.Context, o capacity.Order) {
	by := pointport.Holder{Name: s.settings.Name, Fence: s.own.Fence}
	from := s.services.Clock.Now()
	go func() {
		var err error
		if o.Pool != "" {
			err = s.services.Machines.Move(ctx, by, o.Machine, o.Pool)
		} else {
			err = s.services.Machines.Maintain(ctx, by, o.Machine, o.Wave)
		}
		s.do(func(now time.Time) {
			event.MachineOrdered.Log(s.logger, slog.String("instance", string(o.Machine)), slog.String("pool", o.Pool),
				slog.Int64("wave", o.Wave), slog.String("reason", o.Reason), slog.Duration("took", now.Sub(from)), slog.Any("error", err))
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

// takeWaves takes in the waves, and what an earlier steward has stored of each.
func (s *Steward) takeWaves(ctx context.Context, now time.Time) {
	waves := s.services.Waves.Waves()
	s.planner.SetWaves(now, waves)
	for _, w := range waves {
		if s.restored[w.ID] {
			continue
		}
		e, err := s.services.KV.Get(ctx, waveKey(s.services.Waves.Status(w.ID, false)))
		if err != nil {
			event.PlanFailed.Log(s.logger, slog.Int64("wave", w.ID), slog.Any("error", err))
			continue
		}
		s.restored[w.ID] = true
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

// report stores how far waves have come, for their operators and for the next
// steward.
func (s *Steward) report(ctx context.Context, now time.Time) {
	for _, p := range s.planner.Progress(now) {
		value, err := json.Marshal(waveRecord{Begun: p.Begun.UTC(), Ordered: p.Ordered, Completed: p.Completed})
		if err != nil {
			event.PlanFailed.Log(s.logger, slog.Int64("wave", p.Wave), slog.Any("error", err))
			continue
		}
		if s.stored[p.Wave] == string(value) {
			continue
		}
		status := s.services.Waves.Status(p.Wave, p.Completed)
		written := s.write(ctx, func(ctx context.Context) error {
			return s.writer.Commit(ctx, pointport.Txn{Put: []pointport.Put{status, {Key: waveKey(status), Value: value}}})
		})
		if !written {
			return
		}
		s.stored[p.Wave] = string(value)
		event.WaveReported.Log(s.logger, slog.Int64("wave", p.Wave), slog.Int("ordered", len(p.Ordered)), slog.Bool("completed", p.Completed))
	}
}
