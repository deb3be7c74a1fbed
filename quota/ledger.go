package quota

import (
	"time"

	"github.com/pointport/pointport"
)

// This file defines how much of each customer's cap the owner of one pool may use.

const (
	// A pool that holds less than growPercent of what it uses and wants asks for
	// holdPercent of it. The margins spare the next tasks the wait for a change of the
	// account, and avoid a change for every task.
	growPercent, holdPercent = 110, 130
	// minShrinkDivisor sets the least excess for which a row is lowered while enough of the floating
	// part is free for other pools: the floating part divided by it.
	minShrinkDivisor = 16
	// excessRetention is how long a pool keeps what it does not need. Demand fluctuates
	// within some seconds, and each change of the account costs a call.
	excessRetention = time.Second
)

// A Usage is what a pool uses of a customer's cap, as tasks declare it.
type Usage struct {
	// Used is the need of running tasks, Wanted that of tasks that wait only for the cap and fit into what
	// is reachable, and of serving tasks that have lost their instance.
	Used, Wanted pointport.Shape
}

// A Change is a compare-and-swap of an account: Value is to be stored under Key if that is
// still at Revision.
type Change struct {
	Customer string
	Key      string
	Revision pointport.Revision
	Value    []byte
	// Usage is what the pool used when the change was made.
	Usage Usage
}

// A Ledger tracks how much of customers' caps the owner of a pool may use, and which changes
// of accounts to store for that. It is not safe for concurrent use.
type Ledger struct {
	pool     string
	policy   *Policy
	loaded   bool
	holdings map[string]*holding
}

// A holding is the state of one customer's account in the pool's ledger.
type holding struct {
	account  Account
	revision pointport.Revision // zero while there is no account
	usage    Usage
	// loweredVersion is the version of the configuration that last lowered the cap; zero
	// if none is known.
	loweredVersion int64
	// excessSince is when the pool began to hold more than it needs; zero while it doesn't.
	excessSince time.Time
	// inFlight reports whether a change of the account is in flight.
	inFlight bool
	// pendingRow is the row of a change that lowers what the pool holds and that may have
	// been made or may yet be made; nil if there is none. It is kept until a newer revision
	// of the account is seen: from then on the compare-and-swap of the change fails.
	pendingRow *pointport.Shape
	// ambiguous reports whether an earlier change of this revision of the account may still
	// be made.
	ambiguous bool
}

// confirmed returns what the pool holds for certain: the lower of its stored and its pending row.
func (h *holding) confirmed(pool string) pointport.Shape {
	held := h.account.Rows[pool].Held
	if h.pendingRow != nil {
		held = minShape(held, *h.pendingRow)
	}
	return held
}

// update sets the account as read from the store, at its revision.
func (h *holding) update(a Account, at pointport.Revision) {
	h.account, h.revision, h.pendingRow, h.ambiguous = a, at, nil, false
}

// NewLedger returns the ledger of a pool's owner. It allows nothing of any cap before Reset
// has provided the accounts.
func NewLedger(pool string) *Ledger {
	return &Ledger{pool: pool, holdings: make(map[string]*holding)}
}

// SetPolicy sets the policy of the newest configuration.
func (l *Ledger) SetPolicy(p *Policy) {
	if p == l.policy {
		return
	}
	l.policy = p
	for name, limits := range p.byCustomer {
		h := l.holding(name)
		h.loweredVersion = max(h.loweredVersion, limits.Lowered)
	}
}

// holding returns the holding of a customer, and creates it if there is none.
func (l *Ledger) holding(name string) *holding {
	h := l.holdings[name]
	if h == nil {
		h = &holding{}
		l.holdings[name] = h
	}
	return h
}

// allReported reports whether the owners of all pools have written their rows since the cap
// was last lowered.
func (l *Ledger) allReported(h *holding) bool {
	return h.loweredVersion == 0 || h.account.reportedBy(h.loweredVersion, l.policy.pools)
}

// Reset replaces all accounts by entries, except that a missing account is kept while a
// change of it is in flight. It returns an *AccountError for the first account
// that cannot be decoded, if any. Such an account counts as empty, since no owner can use
// what it held.
func (l *Ledger) Reset(entries []pointport.Entry) error {
	stored := make(map[string]bool, len(entries))
	for _, e := range entries {
		stored[e.Key()] = true
	}
	for name, h := range l.holdings {
		if !stored[Key(name)] && !h.inFlight {
			h.update(Account{}, 0)
		}
	}
	l.loaded = true
	return l.Apply(entries)
}

// Apply updates the accounts that have changed. It returns an error like Reset.
func (l *Ledger) Apply(entries []pointport.Entry) error {
	var first error
	for _, e := range entries {
		if err := l.applyEntry(e); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// applyEntry updates the account of one entry, unless a newer one is known.
func (l *Ledger) applyEntry(e pointport.Entry) error {
	name, ok := ParseKey(e.Key())
	if !ok {
		return nil
	}
	h := l.holding(name)
	if e.Exists() && e.Revision() <= h.revision {
		return nil // the known account is as new or newer
	}
	if !e.Exists() {
		h.update(Account{}, 0)
		return nil
	}
	a, err := decodeAccount(e.Value())
	h.update(a, e.Revision())
	if err != nil {
		return &AccountError{Customer: name, Err: err}
	}
	h.loweredVersion = max(h.loweredVersion, a.Lowered)
	return nil
}

// An AccountError reports a stored account that cannot be decoded.
type AccountError struct {
	Customer string
	Err      error
}

func (e *AccountError) Error() string { return "account of " + e.Customer + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *AccountError) Unwrap() error { return e.Err }

// SetUsage sets what the pool uses of a customer's cap.
func (l *Ledger) SetUsage(name string, u Usage) { l.holding(name).usage = u }

// Allowed returns how much of each cap the pool may use, by customer. Customers without a
// cap are omitted.
func (l *Ledger) Allowed() map[string]pointport.Shape {
	if !l.policy.HasCaps() {
		return nil
	}
	out := make(map[string]pointport.Shape, len(l.policy.byCustomer))
	for name, limits := range l.policy.byCustomer {
		out[name] = l.allowed(l.holding(name), limits)
	}
	return out
}

// allowed returns how much of a customer's cap the pool may use: nothing before the accounts
// are loaded, before all owners have reported on a lowered cap, or while the rows don't fit;
// else its even part and what it holds.
func (l *Ledger) allowed(h *holding, limits Limits) pointport.Shape {
	if !l.loaded {
		return limits.withUnbounded(pointport.Shape{})
	}
	if !l.allReported(h) || !l.fits(h, limits) {
		return limits.withUnbounded(pointport.Shape{})
	}
	return limits.withUnbounded(limits.PerPool.Plus(h.confirmed(l.pool)))
}

// Reachable returns how much of each cap the pool could use if its row grew by all that no pool holds,
// by customer. Customers without a cap are omitted.
func (l *Ledger) Reachable() map[string]pointport.Shape {
	if !l.policy.HasCaps() {
		return nil
	}
	out := make(map[string]pointport.Shape, len(l.policy.byCustomer))
	for name, limits := range l.policy.byCustomer {
		out[name] = limits.withUnbounded(limits.PerPool.Plus(l.available(l.holding(name), limits)))
	}
	return out
}

// available returns the floating part of the cap without what other pools hold.
func (l *Ledger) available(h *holding, limits Limits) pointport.Shape {
	return nonNegative(limits.Floating.Minus(h.account.held(l.policy.pools, l.pool)))
}

// fits reports whether the rows of all pools fit into the floating part of the cap.
func (l *Ledger) fits(h *holding, limits Limits) bool {
	return limits.withUnbounded(limits.Floating).Fits(h.account.held(l.policy.pools, ""))
}

// Changes returns at most atMost changes to store now. Each is in flight until HandleOutcome
// is called for it, and its account gets no other change meanwhile.
func (l *Ledger) Changes(now time.Time, atMost int) []Change {
	if !l.loaded || !l.policy.HasCaps() {
		return nil
	}
	var out []Change
	for _, name := range l.policy.names {
		if len(out) == atMost {
			break
		}
		h := l.holding(name)
		if h.inFlight {
			continue
		}
		row, due := l.nextRow(now, h, l.policy.byCustomer[name])
		if !due {
			continue
		}
		h.inFlight = true
		if !row.Held.Fits(h.confirmed(l.pool)) {
			lowered := minShape(row.Held, h.confirmed(l.pool))
			h.pendingRow = &lowered
		}
		out = append(out, Change{
			Customer: name, Key: Key(name), Revision: h.revision,
			Value: h.account.with(l.pool, row, h.loweredVersion).encode(), Usage: h.usage,
		})
	}
	return out
}

// nextRow returns the row that the pool should have, and whether to store it: if the pool
// needs more, has had an excess for long enough, or has not reported on a lowered cap yet.
func (l *Ledger) nextRow(now time.Time, h *holding, limits Limits) (Row, bool) {
	confirmed := h.confirmed(l.pool)
	needed := cappedParts(limits, nonNegative(h.usage.Used.Minus(limits.PerPool)))
	available := l.available(h, limits)
	targetFor := func(percent int64) pointport.Shape {
		wanted := minShape(h.usage.Used.Plus(h.usage.Wanted), limits.withUnbounded(limits.Cap))
		return cappedParts(limits, maxShape(needed, minShape(nonNegative(percentOf(wanted, percent).Minus(limits.PerPool)), available)))
	}
	target := targetFor(holdPercent)
	stored := h.account.Rows[l.pool]
	h.updateExcess(now, target, stored.Held, l.minShrink(h, limits))
	grows := !confirmed.Fits(targetFor(growPercent))
	shrinks := !h.excessSince.IsZero() && (now.Sub(h.excessSince) >= excessRetention || !l.fits(h, limits))
	reports := min(h.loweredVersion, l.policy.version) > stored.Version
	switch {
	case !grows && !shrinks && !reports:
		return Row{}, false
	case !shrinks:
		target = maxShape(target, confirmed)
	}
	return Row{Version: l.policy.version, Held: target}, true
}

// minShrink returns the least excess for which the pool lowers its row. It is zero in each component
// of which less is free for other pools: small excesses of many pools would add up to all of
// the floating part, and no pool may use anything until rows that exceed it have been lowered.
func (l *Ledger) minShrink(h *holding, limits Limits) pointport.Shape {
	free := limits.Floating.Minus(h.account.held(l.policy.pools, ""))
	return combine(limits.Floating, free, func(floating, free int64) int64 {
		least := floating / minShrinkDivisor
		if free < least {
			return 0
		}
		return least
	})
}

// updateExcess sets or clears excessSince. A pool has an excess if its stored row exceeds target by
// more than least in any component, or at all while target is zero. The stored row counts even if a
// lower one is pending, which may never be stored.
func (h *holding) updateExcess(now time.Time, target, stored, least pointport.Shape) {
	switch {
	case target.Plus(least).Fits(stored) && (target != pointport.Shape{} || stored == pointport.Shape{}):
		h.excessSince = time.Time{}
	case h.excessSince.IsZero():
		h.excessSince = now
	}
}

// An Outcome is the result of storing a change.
type Outcome uint8

// The outcomes of a change.
const (
	Committed    Outcome = iota
	NotCommitted         // and never will be; the caller passes the current account to Apply if it is known
	Ambiguous            // may have been made, or may yet be made
)

// HandleOutcome records the outcome of a change; at is the revision that it produced, if it
// was committed.
func (l *Ledger) HandleOutcome(c Change, at pointport.Revision, o Outcome) {
	h := l.holding(c.Customer)
	h.inFlight = false
	switch {
	case o == Ambiguous && h.revision == c.Revision:
		h.ambiguous = true
	case o == NotCommitted && h.revision == c.Revision && !h.ambiguous:
		h.pendingRow = nil
	case o == Committed && at > h.revision:
		a, err := decodeAccount(c.Value)
		if err != nil {
			panic("quota: decoding an account encoded here: " + err.Error())
		}
		h.update(a, at)
		h.excessSince = time.Time{}
		h.loweredVersion = max(h.loweredVersion, a.Lowered)
	}
}

// cappedParts returns a shape with the parts that the cap doesn't bound set to zero.
func cappedParts(limits Limits, s pointport.Shape) pointport.Shape {
	return combine(limits.Cap, s, func(limit, v int64) int64 {
		if limit == 0 {
			return 0
		}
		return v
	})
}

// nonNegative returns a shape with its negative parts set to zero.
func nonNegative(s pointport.Shape) pointport.Shape { return maxShape(s, pointport.Shape{}) }

// percentOf returns percent hundredths of a shape, rounded towards zero.
func percentOf(s pointport.Shape, percent int64) pointport.Shape {
	return combine(s, s, func(v, _ int64) int64 { return v * percent / 100 })
}
