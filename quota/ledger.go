package quota

import (
	"time"

	"github.com/pointport/pointport"
)

// This file defines what the owner of one pool may use of customers' caps.

const (
	// growPercent of what is used and wanted must be held, or else as much is asked for as
	// holdPercent of it, so that the next tasks need not wait for a change of the account
	// and not each of them makes one.
	growPercent, holdPercent = 110, 130
	// minShrinkDivisor is the least part of what floats, as a divisor, for which a row is lowered.
	minShrinkDivisor = 16
	// excessRetention is how long a pool holds what it does not need. Demand comes and goes by
	// turns of some seconds, and each change is a call.
	excessRetention = time.Second
)

// A Usage is what a pool uses of a customer's cap. Shapes are as tasks declare them.
type Usage struct {
	// Used is taken by runs, Wanted by tasks that wait for the cap alone.
	Used, Wanted pointport.Shape
}

// A Change is to be made of an account, if it is still at a revision.
type Change struct {
	Customer string
	Key      string
	Revision pointport.Revision
	Value    []byte
}

// A Ledger says what the owner of a pool may use of customers' caps, and what to store for
// that. It is not safe for concurrent use.
type Ledger struct {
	pool     string
	policy   *Policy
	loaded   bool
	holdings map[string]*holding
}

// A holding is one customer's part in the pool.
type holding struct {
	account  Account
	revision pointport.Revision // zero while there is no account
	use      Usage
	// loweredVersion is the version by which the cap was last seen lowered, zero if it was not.
	loweredVersion int64
	// excessSince is since when more is held than is needed, zero while it is not.
	excessSince time.Time
	// inFlight says that a change of the account is under way.
	inFlight bool
	// pendingRow is the row of a change that may have been made, or may yet be, and gives
	// something back; nil if there is none. It stands until the account is seen to have
	// changed, since no change can be made of an older state.
	pendingRow *pointport.Shape
	// ambiguous says that a change of this state of the account may still be made.
	ambiguous bool
}

// held returns what the pool surely holds.
func (h *holding) held(pool string) pointport.Shape {
	held := h.account.Rows[pool].Held
	if h.pendingRow != nil {
		held = minShape(held, *h.pendingRow)
	}
	return held
}

// update takes in what the store has.
func (h *holding) update(a Account, at pointport.Revision) {
	h.account, h.revision, h.pendingRow, h.ambiguous = a, at, nil, false
}

// NewLedger returns the ledger of a pool's owner, which must hear of the accounts before it
// allows anything.
func NewLedger(pool string) *Ledger {
	return &Ledger{pool: pool, holdings: make(map[string]*holding)}
}

// SetPolicy takes in the newest configuration.
func (l *Ledger) SetPolicy(p *Policy) {
	if p == l.policy {
		return
	}
	l.policy = p
	for name, t := range p.limits {
		h := l.holding(name)
		h.loweredVersion = max(h.loweredVersion, t.Lowered)
	}
}

func (l *Ledger) holding(name string) *holding {
	h := l.holdings[name]
	if h == nil {
		h = &holding{}
		l.holdings[name] = h
	}
	return h
}

// allReported reports whether the owners of all pools have told what they use under the cap as
// it was lowered last.
func (l *Ledger) allReported(h *holding) bool {
	return h.loweredVersion == 0 || h.account.reportedBy(h.loweredVersion, l.policy.pools)
}

// Reset takes in all accounts. It returns the first that cannot be read, if any; what such a
// one held counts as held by nobody, since nobody can use it.
func (l *Ledger) Reset(entries []pointport.Entry) error {
	there := make(map[string]bool, len(entries))
	for _, e := range entries {
		there[e.Key()] = true
	}
	for name, h := range l.holdings {
		if !there[Key(name)] && !h.inFlight {
			h.update(Account{}, 0)
		}
	}
	l.loaded = true
	return l.Apply(entries)
}

// Apply takes in changed accounts.
func (l *Ledger) Apply(entries []pointport.Entry) error {
	var first error
	for _, e := range entries {
		if err := l.applyEntry(e); err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (l *Ledger) applyEntry(e pointport.Entry) error {
	name, ok := ParseKey(e.Key())
	if !ok {
		return nil
	}
	h := l.holding(name)
	if e.Exists() && e.Revision() <= h.revision {
		return nil // what is known is newer
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

// An AccountError says that a stored account cannot be read.
type AccountError struct {
	Customer string
	Err      error
}

func (e *AccountError) Error() string { return "account of " + e.Customer + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *AccountError) Unwrap() error { return e.Err }

// SetUsage takes in what the pool uses of a customer's cap.
func (l *Ledger) SetUsage(name string, u Usage) { l.holding(name).use = u }

// Allowed returns how much of each cap the pool may use, by customer; customers that are
// not in it have none.
func (l *Ledger) Allowed() map[string]pointport.Shape {
	if !l.policy.HasCaps() {
		return nil
	}
	out := make(map[string]pointport.Shape, len(l.policy.limits))
	for name, t := range l.policy.limits {
		out[name] = l.allowed(l.holding(name), t)
	}
	return out
}

func (l *Ledger) allowed(h *holding, t Limits) pointport.Shape {
	if !l.loaded {
		return t.withUnbounded(pointport.Shape{})
	}
	if !l.allReported(h) || !l.fits(h, t) {
		return t.withUnbounded(pointport.Shape{})
	}
	return t.withUnbounded(t.PerPool.Plus(h.held(l.pool)))
}

// fits reports whether what all pools hold fits into what floats.
func (l *Ledger) fits(h *holding, t Limits) bool {
	return t.withUnbounded(t.Floating).Fits(h.account.held(l.policy.pools, ""))
}

// Changes returns what is to be stored now, at most so many, and notes that it is under
// way until Changed is told.
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
		row, due := l.nextRow(now, h, l.policy.limits[name])
		if !due {
			continue
		}
		h.inFlight = true
		if !row.Held.Fits(h.held(l.pool)) {
			given := minShape(row.Held, h.held(l.pool))
			h.pendingRow = &given
		}
		out = append(out, Change{
			Customer: name, Key: Key(name), Revision: h.revision,
			Value: h.account.with(l.pool, row, h.loweredVersion).encode(),
		})
	}
	return out
}

// nextRow returns the row that the pool should have, and whether that is to be stored.
func (l *Ledger) nextRow(now time.Time, h *holding, t Limits) (Row, bool) {
	own := h.held(l.pool)
	beyond := cappedParts(t, nonNegative(h.use.Used.Minus(t.PerPool)))
	room := nonNegative(t.Floating.Minus(h.account.held(l.policy.pools, l.pool)))
	goalOf := func(percent int64) pointport.Shape {
		wanted := minShape(h.use.Used.Plus(h.use.Wanted), t.withUnbounded(t.Cap))
		return cappedParts(t, maxShape(beyond, minShape(nonNegative(percentOf(wanted, percent).Minus(t.PerPool)), room)))
	}
	goal := goalOf(holdPercent)
	h.updateExcess(now, t, goal, own)
	grows := !own.Fits(goalOf(growPercent))
	shrinks := !h.excessSince.IsZero() && (now.Sub(h.excessSince) >= excessRetention || !l.fits(h, t))
	tells := h.loweredVersion > h.account.Rows[l.pool].Version
	switch {
	case !grows && !shrinks && !tells:
		return Row{}, false
	case !shrinks:
		goal = maxShape(goal, own)
	}
	return Row{Version: l.policy.version, Held: goal}, true
}

// updateExcess notes whether more is held than should be, by so much that it is worth a call.
func (h *holding) updateExcess(now time.Time, t Limits, goal, held pointport.Shape) {
	step := combine(t.Floating, t.Floating, func(f, _ int64) int64 { return f / minShrinkDivisor })
	switch {
	case goal.Plus(step).Fits(held) && (goal != pointport.Shape{} || held == pointport.Shape{}):
		h.excessSince = time.Time{}
	case h.excessSince.IsZero():
		h.excessSince = now
	}
}

// An Outcome says what became of a change.
type Outcome uint8

// The outcomes of a change.
const (
	Committed    Outcome = iota
	NotCommitted         // and it never will be; Apply is told what the store has, if that is known
	Ambiguous            // it may have been made, or may be yet
)

// HandleOutcome takes in what became of a change; at is the revision at which it was made.
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
			panic("quota: what was encoded here can be read: " + err.Error())
		}
		h.update(a, at)
		h.excessSince = time.Time{}
		h.loweredVersion = max(h.loweredVersion, a.Lowered)
	}
}

// cappedParts returns a shape without the parts that have no bound.
func cappedParts(t Limits, s pointport.Shape) pointport.Shape {
	return combine(t.Cap, s, func(limit, v int64) int64 {
		if limit == 0 {
			return 0
		}
		return v
	})
}

// nonNegative returns a shape without the parts that are below zero.
func nonNegative(s pointport.Shape) pointport.Shape { return maxShape(s, pointport.Shape{}) }

// percentOf returns some percent of a shape.
func percentOf(s pointport.Shape, percent int64) pointport.Shape {
	return combine(s, s, func(v, _ int64) int64 { return v * percent / 100 })
}
