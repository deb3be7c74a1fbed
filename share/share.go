// Package share divides the connections of upstreams among the entry instances
// that use them.
//
// An upstream accepts a limited number of connections from all entry instances
// together. Most of them are divided into fixed shares, which an entry instance
// may use without asking. The rest is elastic: an entry instance that needs more
// leases a part of it, which holds for all upstreams of an availability zone. The
// leases of a zone are stored in one value.
//
// Invariants:
//
//   - The fixed shares and the elastic part together don't exceed what an upstream
//     accepts. The settings guarantee that; it is checked once.
//   - The grants in the value never add up to more than the elastic part, since
//     every change of the value is a compare-and-swap.
//   - An entry instance uses a grant only until its lease expires by its own
//     clock, counted from before the write. It lowers its use before it returns a
//     grant.
//   - Other entry instances reuse an expired grant only after they have seen it
//     unchanged for longer than the lease plus the longest request that may still
//     run under it.
//
// So the number of connections stays within the limit while entry instances start,
// stop, pause and lose their connection to the store, without synchronized clocks.
// An entry instance that cannot reach the store continues with its fixed share.
package share

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/pointport/pointport"
)

const (
	// DefaultTTL is the default lease duration of a grant.
	DefaultTTL = 15 * time.Second
	// RenewalsPerTTL is how often a grant is renewed within its lease duration.
	RenewalsPerTTL = 3
	// clockSkewFactor is how much slower the clock of another entry instance may run
	// than this one's.
	clockSkewFactor = 1.1
)

// grant is the part of the elastic connections that is leased to one entry instance.
type grant struct {
	Extra int `json:"extra"`
	// Beat is the value's revision before the last renewal. It changes with each
	// renewal and so shows others that the holder is alive. Since revisions never
	// repeat, it also differs after the grant was returned and taken again between two
	// reads by another entry instance.
	Beat pointport.Revision `json:"beat"`
	// Bound is the longest duration of the holder's requests, in nanoseconds.
	Bound time.Duration `json:"bound"`
	// TTL is the holder's lease duration, in nanoseconds. Earlier versions do not store it;
	// theirs is DefaultTTL.
	TTL time.Duration `json:"ttl,omitempty"`
}

// document is the stored value of one availability zone, with grants by holder.
type document struct {
	Grants map[string]grant `json:"grants"`
}

// observation is the last change seen in the grant of another holder, and when it was
// seen.
type observation struct {
	beat pointport.Revision
	at   time.Time // by the clock's Steady time
}

// Key returns the key of a zone's value.
func Key(zone pointport.ZoneID) string { return "share." + string(zone) }

// A Holder leases elastic connections of one zone for one entry instance. It is safe
// for concurrent use, but Idle and Reconcile must be called by a single goroutine.
type Holder struct {
	store   pointport.Store
	clock   pointport.Clock
	key     string
	name    string
	elastic int
	ttl     time.Duration
	used    func() int

	others    map[string]observation
	stored    int  // this holder's grant as last read or written
	ambiguous bool // whether the last write may have been made without an answer

	mu             sync.Mutex
	maxRequestTime time.Duration // longest duration of a request
	limit          int
	validUntil     time.Time // by the clock's Steady time
}

// An Option configures a Holder.
type Option func(*Holder)

// WithTTL sets the lease duration of a grant.
func WithTTL(d time.Duration) Option { return func(h *Holder) { h.ttl = d } }

// WithMaxRequestTime sets the longest duration of a request; the default is one hour.
// It must hold for all requests. See SetMaxRequestTime.
func WithMaxRequestTime(d time.Duration) Option { return func(h *Holder) { h.maxRequestTime = d } }

// New returns a holder for the elastic part of zone. Its name must be unique among all
// processes. The function used returns the current number of elastic connections from
// this entry instance to the zone's busiest upstream.
func New(store pointport.Store, clock pointport.Clock, zone pointport.ZoneID, name string, elastic int, used func() int, options ...Option) *Holder {
	h := &Holder{
		store: store, clock: clock, key: Key(zone), name: name, elastic: elastic, used: used,
		ttl: DefaultTTL, maxRequestTime: time.Hour, others: make(map[string]observation),
	}
	for _, o := range options {
		o(h)
	}
	return h
}

// ElasticLimit returns how many elastic connections this entry instance may now have
// to each upstream of the zone.
func (h *Holder) ElasticLimit() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.clock.Steady().Before(h.validUntil) {
		return 0
	}
	return h.limit
}

// SetMaxRequestTime changes the longest duration of a request. After an increase, no
// elastic connection is used until the stored grant contains the new duration. It may
// be called during Reconcile.
func (h *Holder) SetMaxRequestTime(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if d > h.maxRequestTime {
		h.limit = 0
	}
	h.maxRequestTime = d
}

// lowerLimit lowers the limit to at most limit.
func (h *Holder) lowerLimit(limit int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limit = min(h.limit, limit)
}

// applyGrant starts the use of a grant that was stored for requests of at most bound.
func (h *Holder) applyGrant(limit int, validUntil time.Time, maxRequestTime time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.validUntil = validUntil
	h.limit = limit
	if h.maxRequestTime > maxRequestTime {
		h.limit = 0 // SetMaxRequestTime was called during the write
	}
}

// requestTime returns the longest duration of a request.
func (h *Holder) requestTime() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.maxRequestTime
}

// Idle reports whether the holder has no grant in the store and wants none, so that
// Reconcile has nothing to do and need not read the store.
func (h *Holder) Idle(want int) bool { return want == 0 && h.stored == 0 && !h.ambiguous }

// Reconcile requests a grant of want connections, renews the grant that is held, and
// returns what is not wanted once it is no longer used. Its errors come from the store
// or from decoding the value. If another holder changes the value at the same time, it
// returns nil and the next call tries again.
func (h *Holder) Reconcile(ctx context.Context, want int) error {
	if h.Idle(want) {
		return nil
	}
	h.lowerLimit(want)
	start := h.clock.Steady()
	e, err := h.store.Get(ctx, h.key)
	if err != nil {
		return err
	}
	doc, err := decode(e)
	if err != nil {
		return err
	}
	h.stored, h.ambiguous = doc.Grants[h.name].Extra, false
	h.observeOthers(doc)
	next := h.next(doc, want)
	if next == 0 && h.stored == 0 {
		return nil
	}
	return h.write(ctx, e, doc, next, start)
}

// decode returns the document of an entry.
func decode(e pointport.Entry) (document, error) {
	doc := document{}
	if e.Exists() {
		if err := json.Unmarshal(e.Value(), &doc); err != nil {
			return doc, fmt.Errorf("%s: %w", e.Key(), err)
		}
	}
	if doc.Grants == nil {
		doc.Grants = make(map[string]grant)
	}
	return doc, nil
}

// observeOthers records which grants of other holders have changed.
func (h *Holder) observeOthers(doc document) {
	now := h.clock.Steady()
	for name, g := range doc.Grants {
		if s, ok := h.others[name]; !ok || s.beat != g.Beat {
			h.others[name] = observation{g.Beat, now}
		}
	}
	maps.DeleteFunc(h.others, func(name string, _ observation) bool {
		_, ok := doc.Grants[name]
		return !ok
	})
}

// expired reports whether the grant of another holder can no longer be in use.
func (h *Holder) expired(name string, g grant) bool {
	unchanged := h.clock.Steady().Sub(h.others[name].at)
	ttl := g.TTL
	if ttl == 0 {
		ttl = DefaultTTL
	}
	return unchanged > time.Duration(clockSkewFactor*float64(ttl+g.Bound))
}

// next returns the size of this holder's next grant: as much as it wants and is
// free, but no less than it still uses.
func (h *Holder) next(doc document, want int) int {
	free := h.elastic
	for name, g := range doc.Grants {
		if name != h.name && !h.expired(name, g) {
			free -= g.Extra
		}
	}
	next := min(want, max(0, free))
	// Until requests end, more may be in use than the limit allows. Such use is
	// covered only by the previous grant, so no more than that is kept.
	return max(next, min(h.used(), h.stored))
}

// write stores the next grant, without the expired grants of others, and applies it.
func (h *Holder) write(ctx context.Context, e pointport.Entry, doc document, next int, start time.Time) error {
	maps.DeleteFunc(doc.Grants, func(name string, g grant) bool { return name != h.name && h.expired(name, g) })
	bound := h.requestTime()
	if next == 0 {
		delete(doc.Grants, h.name)
	} else {
		doc.Grants[h.name] = grant{next, e.Revision(), bound, h.ttl}
	}
	data, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	// Until the result is known, use no more than both the old and the new grant
	// allow.
	h.lowerLimit(next)
	_, err = h.store.CompareAndSwap(ctx, h.key, e.Revision(), data)
	var conflict *pointport.ConflictError
	switch {
	case err == nil:
		h.stored = next
		h.applyGrant(next, start.Add(h.ttl), bound)
		return nil
	case errors.As(err, &conflict):
		return nil // the next call reads the value again
	}
	h.ambiguous = true
	return err
}
