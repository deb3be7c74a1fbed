// Package share divides an upstream's connections among the entry instances
// that use it.
//
// The model: an upstream accepts a fixed number of connections from all entry
// instances together. Most of them are fixed shares, which no one has to ask
// for. The rest is elastic: an entry instance that needs more leases some of it
// for all upstreams of an availability zone, in one value of the store.
//
// Invariants:
//
//   - The fixed shares and the elastic part together are no more than what an
//     upstream accepts. That is settings, checked once.
//   - What the value grants never adds up to more than the elastic part, since
//     every change of it is a compare-and-swap.
//   - An entry instance uses a grant only until its lease lapses by its own
//     clock, counted from before the write. It lowers its use before it gives a
//     grant back.
//   - Others take a lapsed grant only after they have seen it unchanged for
//     longer than the lease and longer than any request that it may still serve.
//
// So connections stay within the bound while members come, go, pause and are
// cut off, without any agreement on time. An entry instance that is cut off
// goes on with its fixed share.
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

// This file defines the value and the holder of a grant.

const (
	// DefaultTTL is how long a grant lasts unrenewed.
	DefaultTTL = 15 * time.Second
	// RenewalsPerTTL is how often a grant is renewed within its time.
	RenewalsPerTTL = 3
	// clockSkewFactor is how much slower another's clock may run than this one's.
	clockSkewFactor = 1.1
)

// grant is what one entry instance has of the elastic part.
type grant struct {
	Extra int `json:"extra"`
	// Beat is the revision that the last renewal followed on, so that others see
	// that the holder is alive. It never comes twice, also not after the grant
	// was given back and made anew between two looks of another.
	Beat pointport.Revision `json:"beat"`
	// Bound is how long a request of the holder may last, in nanoseconds.
	Bound time.Duration `json:"bound"`
}

// document is the stored value of one availability zone.
type document struct {
	Grants map[string]grant `json:"grants"`
}

// observation is when another's grant was last seen to change.
type observation struct {
	beat pointport.Revision
	at   time.Time
}

// Key returns the key of a zone's value.
func Key(zone pointport.ZoneID) string { return "share." + string(zone) }

// A Holder is one entry instance's part of a zone's connections. It is safe for
// concurrent use; Round is called by one goroutine.
type Holder struct {
	store   pointport.Store
	clock   pointport.Clock
	key     string
	name    string
	elastic int
	ttl     time.Duration
	used    func() int

	others    map[string]observation
	stored    int // what the value grants to this holder, as last read or written
	ambiguous bool

	mu             sync.Mutex
	maxRequestTime time.Duration // how long a request may last
	limit          int
	validUntil     time.Time
}

// An Option changes a Holder.
type Option func(*Holder)

// WithTTL sets how long a grant lasts unrenewed.
func WithTTL(d time.Duration) Option { return func(h *Holder) { h.ttl = d } }

// WithMaxRequestTime sets how long a request may last. It must hold for all requests;
// see SetBound.
func WithMaxRequestTime(d time.Duration) Option { return func(h *Holder) { h.maxRequestTime = d } }

// New returns a holder called name, which no other process is called, of the
// elastic part of zone. The function used returns how many elastic connections
// the busiest upstream of the zone has from this entry instance now.
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

// ElasticLimit returns how many elastic connections this entry instance may have to
// each upstream of the zone now.
func (h *Holder) ElasticLimit() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.clock.Steady().Before(h.validUntil) {
		return 0
	}
	return h.limit
}

// SetMaxRequestTime changes how long a request may last. Before requests may last
// longer, nothing elastic is used until the value says so. It may be called
// while a round goes on.
func (h *Holder) SetMaxRequestTime(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if d > h.maxRequestTime {
		h.limit = 0
	}
	h.maxRequestTime = d
}

// lowerLimit lowers the limit if it is higher.
func (h *Holder) lowerLimit(limit int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limit = min(h.limit, limit)
}

// applyGrant puts a grant in use that was written for requests of up to bound.
func (h *Holder) applyGrant(limit int, until time.Time, bound time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.validUntil = until
	h.limit = limit
	if h.maxRequestTime > bound {
		h.limit = 0 // requests may last longer by now
	}
}

func (h *Holder) requestTime() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.maxRequestTime
}

// Idle reports whether the holder has nothing in the store and wants nothing,
// so that a round would cost a read for no use.
func (h *Holder) Idle(want int) bool { return want == 0 && h.stored == 0 && !h.ambiguous }

// Reconcile asks for as much as want, renews what is held, and gives back what is
// not wanted once it is not used.
func (h *Holder) Reconcile(ctx context.Context, want int) error {
	if h.Idle(want) {
		return nil
	}
	h.lowerLimit(want)
	from := h.clock.Steady()
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
	next := h.nextGrant(doc, want)
	if next == 0 && h.stored == 0 {
		return nil
	}
	return h.write(ctx, e, doc, next, from)
}

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

// observeOthers notes which of the others' grants have changed.
func (h *Holder) observeOthers(doc document) {
	now := h.clock.Now()
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

// expired reports whether another's grant cannot be in use any more.
func (h *Holder) expired(name string, g grant) bool {
	unchanged := h.clock.Now().Sub(h.others[name].at)
	return unchanged > time.Duration(clockSkewFactor*float64(h.ttl+g.Bound))
}

// nextGrant returns what this holder should be granted: as much as it wants and is
// free, but no less than it still uses.
func (h *Holder) nextGrant(doc document, want int) int {
	free := h.elastic
	for name, g := range doc.Grants {
		if name != h.name && !h.expired(name, g) {
			free -= g.Extra
		}
	}
	next := min(want, max(0, free))
	// What is used may exceed the limit until requests end. It can only be
	// kept from what was granted before.
	return max(next, min(h.used(), h.stored))
}

func (h *Holder) write(ctx context.Context, e pointport.Entry, doc document, next int, from time.Time) error {
	maps.DeleteFunc(doc.Grants, func(name string, g grant) bool { return name != h.name && h.expired(name, g) })
	bound := h.requestTime()
	if next == 0 {
		delete(doc.Grants, h.name)
	} else {
		doc.Grants[h.name] = grant{next, e.Revision(), bound}
	}
	data, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	// Until the answer is here, no more is used than either state allows.
	h.lowerLimit(next)
	_, err = h.store.CompareAndSwap(ctx, h.key, e.Revision(), data)
	var conflict *pointport.ConflictError
	switch {
	case err == nil:
		h.stored = next
		h.applyGrant(next, from.Add(h.ttl), bound)
		return nil
	case errors.As(err, &conflict):
		return nil // the next round reads again
	}
	h.ambiguous = true
	return err
}
