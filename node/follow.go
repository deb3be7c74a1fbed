package node

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pointport/pointport"
	clocks "github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/customer"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/internal/stall"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/quota"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/steward"
	"github.com/pointport/pointport/workload"
)

// This file defines what a node follows in the store: the operators' configuration and the
// registrations of instances.

const (
	// registrationChangePause is the pause after each batch of changed registrations. They
	// change with every heartbeat of every instance.
	registrationChangePause = 100 * time.Millisecond
	// DefaultConfigApplyTime is the time within which a change must be in force if the platform
	// does not specify one.
	DefaultConfigApplyTime = 2 * time.Second
	// The watch timeout of the configuration is configWatchTimePerMember times the number of
	// members, so that the watches of all members together end a hundred times a second. It is
	// at least minConfigWatchTimeout, and at most maxConfigWatchFraction of the time within
	// which a change must be in force: a connection that has gone silent is noticed only after
	// the watch timeout and configAnswerTimeout, and the change must still be read after that.
	configWatchTimePerMember = 10 * time.Millisecond
	minConfigWatchTimeout    = time.Second
	maxConfigWatchFraction   = 0.6
	// configAnswerTimeout is how long after its timeout a watch may take to return. A node
	// whose watch has not returned by then reports that its version may not be the newest.
	configAnswerTimeout = time.Second
	// The time between two conditional reads of the configuration is configRecheckPerMember
	// times the number of members, so that all members together make 20 of them a second. That
	// is a twentieth of the smallest rate of writing calls that a store accepts.
	// maxConfigRecheckInterval keeps the time shorter than the store's history of changes.
	configRecheckPerMember   = 50 * time.Millisecond
	maxConfigRecheckInterval = 15 * time.Second
)

// configWatchTimeout returns the timeout of a configuration watch in a cluster of the given
// number of members, if a change must be in force within the given time.
func configWatchTimeout(members int, within time.Duration) time.Duration {
	longest := max(time.Duration(maxConfigWatchFraction*float64(within)), minConfigWatchTimeout)
	return min(max(time.Duration(members)*configWatchTimePerMember, minConfigWatchTimeout), longest)
}

// configRecheckInterval returns the time between two conditional reads of the configuration by
// one member, in a cluster of the given number of members.
func configRecheckInterval(members int) time.Duration {
	return min(max(time.Duration(members)*configRecheckPerMember, member.DefaultRecheckInterval), maxConfigRecheckInterval)
}

// A Source defines where entries of one kind are in the store and how to decode them.
type Source[T any] struct {
	Prefix string // prefix of the keys; for the configuration, its only key
	Decode func(pointport.Entry) (T, error)
	// MaxValue is how many bytes of a value are kept of registrations, zero for all. Decode must
	// reject an entry of a larger Size.
	MaxValue int
}

// configs holds the newest known configuration.
type configs struct {
	source  Source[*workload.Catalog]
	clock   pointport.Clock
	logger  *slog.Logger
	current atomic.Pointer[workload.Catalog]
	quotas  atomic.Pointer[quota.Policy]
	// watchTimeout returns the timeout of a watch of the configuration.
	watchTimeout func() time.Duration

	mu                sync.Mutex
	sinceConfirmed    clocks.Interval // since the version in force was last known to be the newest
	unconfirmedLogged bool            // whether the last log line about it reports that the version is unconfirmed
}

// startConfigs follows the configuration until ctx ends. size returns the number of members,
// and within is the time within which a change must be in force.
func startConfigs(ctx context.Context, kv pointport.KV, clock pointport.Clock, source Source[*workload.Catalog], size func() int, within time.Duration, logger *slog.Logger) *configs {
	c := &configs{source: source, clock: clock, logger: logger, sinceConfirmed: clocks.NewInterval(clock)}
	c.watchTimeout = func() time.Duration { return configWatchTimeout(size(), within) }
	recheck := func() time.Duration { return configRecheckInterval(size()) }
	go member.FollowKey(ctx, kv, clock, source.Prefix, c.apply, c.onResult, member.RecheckInterval(recheck), member.KeyWatchTimeout(c.watchTimeout))
	return c
}

// confirmedRecently reports whether the version in force was known to be the newest so recently
// that no other version can have come into force since.
func (c *configs) confirmedRecently() bool { return c.age() < c.unconfirmedAfter() }

// unconfirmedAfter returns how long after the last confirmation the version in force counts as
// unconfirmed.
func (c *configs) unconfirmedAfter() time.Duration { return c.watchTimeout() + configAnswerTimeout }

// onResult records the result of a watch or read of the configuration. It logs once when the
// version in force becomes unconfirmed, and once when it is confirmed again.
func (c *configs) onResult(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := c.sinceConfirmed.Age()
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
		c.sinceConfirmed = clocks.NewInterval(c.clock)
	}
}

// age returns the time since the version in force was last known to be the newest.
func (c *configs) age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sinceConfirmed.Age()
}

// version returns the version in force, or zero if there is none.
func (c *configs) version() int64 {
	if k := c.Catalog(); k != nil {
		return k.Version
	}
	return 0
}

// apply puts the version in an entry into force if it is newer than the one in force.
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

// Catalog returns the configuration in force, or nil if there is none.
func (c *configs) Catalog() *workload.Catalog { return c.current.Load() }

// Trusted returns the configuration in force. It returns nil if there is none, or if the
// machine has been suspended since the configuration was last confirmed. While the store is
// unavailable, the last configuration stays in use; but a member that resumes after a
// suspension would continue as if no time had passed, and accept jobs for queues that were
// removed long ago.
func (c *configs) Trusted() *workload.Catalog {
	c.mu.Lock()
	suspended := c.sinceConfirmed.Suspended()
	c.mu.Unlock()
	if suspended > 0 {
		return nil
	}
	return c.Catalog()
}

// customers returns the customers in force and the version of the configuration that lists
// them.
func (c *configs) customers() (*customer.Directory, int64) {
	if k := c.Catalog(); k != nil {
		return k.Customers, k.Version
	}
	return nil, 0
}

// newestCaps returns the customers' caps in force, or nil if there is no configuration.
func (c *configs) newestCaps() *quota.Policy { return c.quotas.Load() }

// caps returns the customers' caps in force, and whether they were known to be the newest so
// recently that no lower cap can have come into force since.
func (c *configs) caps() (policy *quota.Policy, newest bool) {
	return c.quotas.Load(), c.confirmedRecently()
}

// adviceFigures returns how the advisor behaves for a queue, zero if the queue is not known.
func (c *configs) adviceFigures(queue string) workload.Advice {
	k := c.Catalog()
	if k == nil {
		return workload.Advice{}
	}
	n := slices.IndexFunc(k.Queues, func(q workload.Queue) bool { return q.Name == queue })
	if n < 0 {
		return workload.Advice{}
	}
	return k.Queues[n].Advice
}

// workPools returns the names of the pools that need an owner.
func (c *configs) workPools() []string {
	if k := c.Catalog(); k != nil {
		return k.WorkPools()
	}
	return nil
}

// layout returns the work pools and the spare pool.
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

// registrations holds the registrations of instances. It follows them from the first call of
// InPool.
type registrations struct {
	start func() // starts following the registrations
	once  sync.Once

	mu       sync.Mutex
	entries  *entries[pointport.Incarnation]
	changed  chan struct{} // closed and replaced at every change
	coverage schedule.RegistryCoverage
}

// newRegistrations returns registrations that are followed from the first call of InPool until
// ctx ends. Most nodes own no pool and do not need them.
func newRegistrations(ctx context.Context, kv pointport.KV, clock pointport.Clock, source Source[pointport.Incarnation], logger *slog.Logger) *registrations {
	f := &registrations{entries: newEntries(source.Decode, clock, event.RegistrationUnreadable, logger), changed: make(chan struct{})}
	onResult := func(err error) { f.onResult(clock.Now(), err) }
	f.start = func() {
		go member.Follow(ctx, kv, clock, source.Prefix, f.reset, f.apply, member.PauseAfterChange(registrationChangePause), member.OnResult(onResult), member.MaxValue(source.MaxValue))
	}
	return f
}

// onResult records whether a read or watch of the registrations, which ended at the given time,
// succeeded. If its answer was too large, the store has answered, and all registrations are read
// next. The coverage then continues, since otherwise a few large values that change often would keep
// all instances from being shown to be gone.
func (f *registrations) onResult(now time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var tooLarge *stall.TooLargeError
	switch {
	case errors.As(err, &tooLarge):
		return
	case err != nil:
		f.coverage = schedule.RegistryCoverage{}
		return
	case f.coverage.Since.IsZero():
		f.coverage.Since = now
	}
	f.coverage.Until = now
}

// Coverage returns the interval for which the registrations have been readable.
func (f *registrations) Coverage() schedule.RegistryCoverage {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.coverage
}

func (f *registrations) reset(all []pointport.Entry) { f.update(f.entries.reset, all) }

func (f *registrations) apply(changes []pointport.Entry) { f.update(f.entries.apply, changes) }

func (f *registrations) update(apply func([]pointport.Entry), entries []pointport.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	apply(entries)
	close(f.changed)
	f.changed = make(chan struct{})
}

// InPool returns the registrations of a pool's instances, and a channel that is closed when any
// registration changes.
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
