package node

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pointport/pointport"
	clocks "github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/customer"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/quota"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/steward"
	"github.com/pointport/pointport/workload"
)

// This file defines what a node follows in the store: the operators'
// configuration and the registrations of instances.

const (
	// registrationChangePause is how long to wait between two changes of registrations, which
	// change with every heartbeat of every instance.
	registrationChangePause = 100 * time.Millisecond
	// DefaultConfigTime is the time within which a change must be in force where the platform
	// does not tell.
	DefaultConfigTime = 2 * time.Second
	// configWatchTimePerMember is for each member how long a watch of the configuration may wait, so
	// that all watches together end a hundred times a second. configWaitLeast is the least,
	// and the most is configWaitPart of the time within which a change must be in force: a
	// connection that has gone silent is noticed when the wait is over and configAnswer later,
	// and the change has to be read after that.
	configWatchTimePerMember = 10 * time.Millisecond
	minConfigWatchTimeout    = time.Second
	maxConfigWatchFraction   = 0.6
	// configAnswerTimeout is within which time after its wait a watch ends. A node that has not
	// been told so says that it does not know whether its version is the newest.
	configAnswerTimeout = time.Second
	// configRecheckPerMember is for each member the time between two conditional reads of the
	// configuration, so that all together make 20 of them a second, a twentieth of the
	// least that a store takes of writing calls; configRecheckMost keeps it within the
	// time for which the store remembers changes.
	configRecheckPerMember   = 50 * time.Millisecond
	maxConfigRecheckInterval = 15 * time.Second
)

// configWatchTimeout returns how long a watch of the configuration of one of so many members may wait
// if a change must be in force within a time.
func configWatchTimeout(members int, within time.Duration) time.Duration {
	most := max(time.Duration(maxConfigWatchFraction*float64(within)), minConfigWatchTimeout)
	return min(max(time.Duration(members)*configWatchTimePerMember, minConfigWatchTimeout), most)
}

// configRecheckInterval returns how often one of so many members makes sure of the configuration.
func configRecheckInterval(members int) time.Duration {
	return min(max(time.Duration(members)*configRecheckPerMember, member.DefaultRecheckInterval), maxConfigRecheckInterval)
}

// A Source says where a kind of thing is in the store and how to read it.
type Source[T any] struct {
	Prefix string // of its keys; the configuration is the one key of that name
	Decode func(pointport.Entry) (T, error)
}

// A configs keeps the newest configuration.
type configs struct {
	source  Source[*workload.Catalog]
	clock   pointport.Clock
	logger  *slog.Logger
	current atomic.Pointer[workload.Catalog]
	quotas  atomic.Pointer[quota.Policy]
	// watchTimeout returns how long a watch of it may wait.
	watchTimeout func() time.Duration

	mu                sync.Mutex
	confirmed         clocks.Interval // since the version in force was last known to be the newest
	unconfirmedLogged bool            // whether the log says that it is not known
}

// startConfigs follows the configuration until ctx ends. size tells how many members there are,
// within is the time within which a change must be in force.
func startConfigs(ctx context.Context, kv pointport.KV, clock pointport.Clock, source Source[*workload.Catalog], size func() int, within time.Duration, logger *slog.Logger) *configs {
	c := &configs{source: source, clock: clock, logger: logger, confirmed: clocks.NewInterval(clock)}
	c.watchTimeout = func() time.Duration { return configWatchTimeout(size(), within) }
	recheck := func() time.Duration { return configRecheckInterval(size()) }
	go member.FollowKey(ctx, kv, clock, source.Prefix, c.apply, c.onResult, member.RecheckInterval(recheck), member.KeyWatchTimeout(c.watchTimeout))
	return c
}

// confirmedRecently reports whether the version in force was known to be the newest so lately that another
// one cannot have come into force since.
func (c *configs) confirmedRecently() bool { return c.age() < c.unconfirmedAfter() }

// unconfirmedAfter returns after which time without an answer the newest version is not known.
func (c *configs) unconfirmedAfter() time.Duration { return c.watchTimeout() + configAnswerTimeout }

// onResult takes in whether the newest version is known, and logs once when that is lost
// and once when it is regained.
func (c *configs) onResult(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := c.confirmed.Age()
	switch {
	case err == nil && c.unconfirmedLogged:
		event.ConfigConfirmed.Log(c.logger, slog.Int64("version", c.version()), slog.Duration("after", age))
	case err != nil && !c.unconfirmedLogged && age >= c.unconfirmedAfter():
		event.ConfigUnconfirmed.Log(c.logger, slog.Int64("version", c.version()), slog.Duration("age", age), slog.Any("error", err))
	case err != nil:
		return
	}
	c.unconfirmedLogged = err != nil
	if err == nil {
		c.confirmed = clocks.NewInterval(c.clock)
	}
}

// age returns for how long the newest version has not been known.
func (c *configs) age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmed.Age()
}

// version returns the version in force, zero while there is none.
func (c *configs) version() int64 {
	if k := c.Catalog(); k != nil {
		return k.Version
	}
	return 0
}

// apply puts a version in force, unless a newer one is.
func (c *configs) apply(e pointport.Entry) {
	if !e.Exists() {
		return
	}
	next, err := c.source.Decode(e)
	if err != nil {
		event.ConfigInvalid.Log(c.logger, slog.Any("error", err))
		return
	}
	if old := c.Catalog(); old != nil && next.Version <= old.Version {
		return
	}
	c.quotas.Store(quota.NewPolicy(c.quotas.Load(), next.Customers, next.WorkPools(), next.Version))
	c.current.Store(next)
	event.ConfigApplied.Log(c.logger, slog.Int64("version", next.Version), slog.Int64("revision", int64(e.Revision())),
		slog.Int("queues", len(next.Queues)), slog.Int("pools", len(next.Pools)))
}

// Catalog returns the configuration in force, nil while there is none.
func (c *configs) Catalog() *workload.Catalog { return c.current.Load() }

// Trusted returns the configuration in force, nil while there is none or it is not known
// to be the newest because the machine was suspended since that was last made sure of.
// While the store is away the last one is used on; but a woken member would go on as if
// no time had passed, and take jobs for queues that are gone for long.
func (c *configs) Trusted() *workload.Catalog {
	c.mu.Lock()
	suspended := c.confirmed.Suspended()
	c.mu.Unlock()
	if suspended > 0 {
		return nil
	}
	return c.Catalog()
}

// customers returns the customers in force and the version that lists them.
func (c *configs) customers() (*customer.Directory, int64) {
	if k := c.Catalog(); k != nil {
		return k.Customers, k.Version
	}
	return nil, 0
}

// caps returns what the configuration in force says of customers' caps, and whether it was
// known to be the newest so lately that a lowered cap cannot have come into force since.
func (c *configs) caps() (policy *quota.Policy, fresh bool) {
	return c.quotas.Load(), c.confirmedRecently()
}

// workPools returns the pools that need an owner.
func (c *configs) workPools() []string {
	if k := c.Catalog(); k != nil {
		return k.WorkPools()
	}
	return nil
}

// layout returns which pools there are.
func (c *configs) layout() steward.Layout {
	k := c.Catalog()
	if k == nil {
		return steward.Layout{}
	}
	l := steward.Layout{WorkPools: k.WorkPools()}
	for _, p := range k.Pools {
		if p.Spare {
			l.SparePool = p.Name
		}
	}
	return l
}

// A registrations keeps the registrations of instances, while anybody asks for them.
type registrations struct {
	start func() // follows the registrations from the first question on
	once  sync.Once

	mu       sync.Mutex
	entries  *entries[pointport.Incarnation]
	changed  chan struct{} // closed and replaced at every change
	coverage schedule.RegistryCoverage
}

// newRegistrations returns a fleet that follows the registrations from the first
// question until ctx ends. Most nodes own no pool and need not know them.
func newRegistrations(ctx context.Context, kv pointport.KV, clock pointport.Clock, source Source[pointport.Incarnation], logger *slog.Logger) *registrations {
	f := &registrations{entries: newEntries(source.Decode, event.RegistrationUnreadable, logger), changed: make(chan struct{})}
	heard := func(err error) { f.onResult(clock.Now(), err) }
	f.start = func() {
		go member.Follow(ctx, kv, clock, source.Prefix, f.reset, f.apply, member.PauseAfterChange(registrationChangePause), member.OnResult(heard))
	}
	return f
}

// onResult takes in what became of a question about the registrations.
func (f *registrations) onResult(now time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err != nil:
		f.coverage = schedule.RegistryCoverage{}
		return
	case f.coverage.Since.IsZero():
		f.coverage.Since = now
	}
	f.coverage.Until = now
}

// Coverage returns how well the registrations are known.
func (f *registrations) Coverage() schedule.RegistryCoverage {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.coverage
}

func (f *registrations) reset(all []pointport.Entry) { f.update(f.entries.reset, all) }

func (f *registrations) apply(changes []pointport.Entry) { f.update(f.entries.apply, changes) }

func (f *registrations) update(how func([]pointport.Entry), entries []pointport.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	how(entries)
	close(f.changed)
	f.changed = make(chan struct{})
}

// InPool returns the registrations of a pool's instances, and a channel that is
// closed when any registration changes.
func (f *registrations) InPool(pool string) ([]pointport.Incarnation, <-chan struct{}) {
	f.once.Do(f.start)
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []pointport.Incarnation
	for _, inc := range f.entries.byKey {
		if inc.Pool() == pool {
			out = append(out, inc)
		}
	}
	return out, f.changed
}
