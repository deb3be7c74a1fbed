package planner

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/assign"
	"github.com/pointport/pointport/config"
)

// This file defines the ledger of the floating budgets. Each zone may always
// spend an even share of a pool's budget, rounded down. The rest is the floating budget,
// which zones take from the ledger and give back, so that they can take turns if
// the budget is smaller than the number of zones.
//
// Invariants: the ledger never gives the zones of a pool more than the pool's
// floating budget, because every change is a compare-and-swap. A zone's log never
// holds more for the zone than the ledger does: taking raises the ledger first and the
// log second, giving back lowers the log first. A planner that was paused decides by the
// log and commits on the version that it read, so it cannot spend what was given back
// in the meantime.

// ledgerKey is the store key of the ledger.
const ledgerKey = "budget"

// A ledger is the stored form: units of floating budget by pool and zone.
type ledger map[string]map[pointport.ZoneID]int

// held returns how much of a pool's floating budget all zones hold together.
func (l ledger) held(pool string) int {
	n := 0
	for _, units := range l[pool] {
		n += units
	}
	return n
}

// readLedger returns the stored ledger, empty if there is none, and its revision.
func (p *Planner) readLedger(ctx context.Context) (ledger, pointport.Revision, error) {
	e, err := p.store.Get(ctx, ledgerKey)
	if err != nil {
		return nil, 0, err
	}
	l, err := decodeLedger(e)
	return l, e.Revision(), err
}

// maxLedgerUnits bounds what one zone holds of a budget. Sums over zones do not overflow.
const maxLedgerUnits = 1 << 30

// decodeLedger returns the ledger in an entry, empty if there is none. It rejects a ledger with a
// zone that holds less than nothing, with which others would take more than the budget.
func decodeLedger(e pointport.Entry) (ledger, error) {
	l := make(ledger)
	if !e.Exists() {
		return l, nil
	}
	if err := json.Unmarshal(e.Value(), &l); err != nil {
		return nil, fmt.Errorf("decode %s: %w", ledgerKey, err)
	}
	if l == nil {
		return nil, fmt.Errorf("decode %s: the value is null: must be an object", ledgerKey)
	}
	for pool, zones := range l {
		for zone, units := range zones {
			if units < 0 || units > maxLedgerUnits {
				return nil, fmt.Errorf("decode %s: %.64q has %d of %.64q: must be 0 to %d", ledgerKey, zone, units, pool, maxLedgerUnits)
			}
		}
	}
	return l, nil
}

// share returns what the zone may spend of a pool's budget now. Its floating budget
// counts only while the ledger, as last read or written, gives out no more than there is:
// an operator may have lowered the budget.
func (p *Planner) share(state *assign.State, t *config.Template) int {
	n := assign.ZoneShare(t, p.zones)
	if p.ledger.held(t.Name) <= assign.FloatingBudget(t, p.zones) {
		n += min(state.Pool(t.Name).Float, p.ledger[t.Name][p.zone])
	}
	return n
}

// wantedFloats returns what the zone should hold of each pool's floating budget.
func (p *Planner) wantedFloats(state *assign.State) map[string]int {
	return assign.FloatingBudgetDemand(p.input(p.clock.Now(), state, p.listed))
}

// settleFloats takes and gives back floating budget, and returns the state
// afterwards.
func (p *Planner) settleFloats(ctx context.Context, state *assign.State) (*assign.State, error) {
	wantedFloats := p.wantedFloats(state)
	if !p.floatsDiffer(state, wantedFloats) {
		return state, nil
	}
	state, err := p.lowerLog(ctx, state, wantedFloats)
	if err != nil {
		return nil, err
	}
	if err := p.changeLedger(ctx, state, wantedFloats); err != nil {
		return nil, err
	}
	return p.raiseLog(ctx, state, wantedFloats)
}

// floatsDiffer reports whether the log or the ledger, as last read or written, differs
// from what the zone wants.
func (p *Planner) floatsDiffer(state *assign.State, wants map[string]int) bool {
	for pool, units := range p.ledger {
		if units[p.zone] != wants[pool] {
			return true
		}
	}
	for pool, want := range wants {
		if state.Pool(pool).Float != want || p.ledger[pool][p.zone] != want {
			return true
		}
	}
	return false
}

// lowerLog lowers the log where the zone wants less than the log holds.
func (p *Planner) lowerLog(ctx context.Context, state *assign.State, wants map[string]int) (*assign.State, error) {
	return p.writeFloats(ctx, state, wants, func(_ string, have, want int) int { return min(have, want) })
}

// raiseLog raises the log to what the zone wants, as far as the ledger gives it.
func (p *Planner) raiseLog(ctx context.Context, state *assign.State, wants map[string]int) (*assign.State, error) {
	return p.writeFloats(ctx, state, wants, func(pool string, have, want int) int {
		return max(have, min(want, p.ledger[pool][p.zone]))
	})
}

// writeFloats writes what the zone holds to its log, where that changes.
func (p *Planner) writeFloats(ctx context.Context, state *assign.State, wants map[string]int, next func(pool string, have, want int) int) (*assign.State, error) {
	change := assign.Change{Pools: make(map[string]assign.Pool)}
	for pool, want := range wants {
		kept := state.Pool(pool)
		if n := next(pool, kept.Float, want); n != kept.Float {
			kept.Float = n
			change.Pools[pool] = kept
		}
	}
	if change.Empty() {
		return state, nil
	}
	return p.commit(ctx, state, change)
}

// changeLedger gives back what the log no longer holds and takes as much of what is wanted as
// is free. After a conflict or a failure the next round tries again.
func (p *Planner) changeLedger(ctx context.Context, state *assign.State, wants map[string]int) error {
	l, rev, err := p.readLedger(ctx)
	if err != nil {
		return err
	}
	p.ledger = l
	changed := false
	for _, t := range p.configs.State().Effective(p.clock.Now()) {
		have := l[t.Name][p.zone]
		free := assign.FloatingBudget(t, p.zones) - l.held(t.Name)
		next := max(state.Pool(t.Name).Float, min(wants[t.Name], have+max(0, free)))
		if next == have {
			continue
		}
		if l[t.Name] == nil {
			l[t.Name] = make(map[pointport.ZoneID]int)
		}
		l[t.Name][p.zone] = next
		if next == 0 {
			delete(l[t.Name], p.zone)
		}
		changed = true
	}
	if !changed {
		return nil
	}
	data, err := json.Marshal(l)
	if err != nil {
		return err
	}
	if _, err = p.store.CompareAndSwap(ctx, ledgerKey, rev, data); err != nil {
		// The write may or may not have happened, so the cached ledger is not valid.
		p.ledger = nil
		return err
	}
	return nil
}
