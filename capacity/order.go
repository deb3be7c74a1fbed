package capacity

import (
	"errors"
	"sort"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
)

// This file defines orders for machines and how long they are pending.

const (
	// orderRetryInterval is how long after an order without an answer the order is sent again.
	orderRetryInterval = time.Second
	// unconfirmedTimeout is for how long an order that the list does not confirm counts as
	// pending after its answer, or after it was last sent without one. The list lags by a few
	// seconds, and never confirms an order whose effect something else has undone.
	unconfirmedTimeout = 15 * time.Second
)

// An Order is an instruction to the platform: a move if Pool is set, otherwise
// maintenance for a wave.
type Order struct {
	Machine pointport.InstanceID
	Pool    string
	Wave    int64
	Reason  string
	// Replaces is the addressee that the list showed when the order was issued. Ends is the
	// incarnation that the pool's owner reported then, empty if it reported none.
	Replaces pointport.Addressee
	Ends     pointport.IncarnationID
	// From is the pool of the machine when the order was issued.
	From string
}

// confirmedBy reports whether the list shows that the order was carried out, or the pool's owner
// reports another incarnation, which may share the addressee of the one before. Maintenance of a
// machine that is switched off has no visible effect and counts as confirmed.
func (o *Order) confirmedBy(m *machine) bool {
	if o.Pool != "" {
		return m.pool == o.Pool
	}
	return o.Replaces == "" || m.addressee != o.Replaces ||
		o.Ends != "" && m.load.Incarnation != "" && m.load.Incarnation != o.Ends
}

// A FormerOrder is the last order of an earlier planner for a machine. Whether it was
// carried out is unknown.
type FormerOrder struct {
	Order
	At time.Time
}

// PendingOrderTimeout is for how long an order of an earlier planner may count as pending.
const PendingOrderTimeout = unconfirmedTimeout

// mayBePending reports whether the order may be unfinished or not yet shown by the list. Orders
// that were recorded without a target count as unconfirmed until they time out.
func (f *FormerOrder) mayBePending(now time.Time, m *machine) bool {
	return now.Sub(f.At) < unconfirmedTimeout && !(f.hasTarget() && f.confirmedBy(m))
}

// hasTarget reports whether the record contains the order's pool or wave.
func (f *FormerOrder) hasTarget() bool { return f.Pool != "" || f.Wave != 0 }

// SetFormer sets the last orders of earlier planners.
func (p *Planner) SetFormer(orders map[pointport.InstanceID]FormerOrder) { p.former = orders }

// orderable reports whether an order for a machine may be issued now.
func (p *Planner) orderable(now time.Time, m *machine) bool {
	if f, ok := p.former[m.id]; ok && (now.Sub(f.At) < p.settings.MinHolderInterval || f.mayBePending(now, m)) {
		return false
	}
	return m.state == pointport.MachineUp && m.order == nil && !p.listBehindOwner(m)
}

// issueOrder adds an order for a machine to the decision and closes the machine meanwhile.
func (p *Planner) issueOrder(now time.Time, d *Decision, m *machine, o Order) {
	d.Closures[m.pool] = append(d.Closures[m.pool], schedule.Closure{Instance: m.id})
	o.Replaces, o.Ends, o.From = m.addressee, m.load.Incarnation, m.pool
	m.order, m.ordered, m.answered, m.resent = &o, now, false, false
	m.emptyingSince, m.claimedBy = time.Time{}, ""
	d.Orders = append(d.Orders, o)
}

// closeInstance adds the closure of an instance to the decision.
func (p *Planner) closeInstance(d *Decision, m *machine, c schedule.Closure) {
	m.closing = true
	d.Closures[m.pool] = append(d.Closures[m.pool], c)
}

// retryOrders sends orders without an answer again. Their machines stay closed until an answer
// comes, because the order may be carried out at any time.
func (p *Planner) retryOrders(now time.Time, d *Decision) {
	for _, m := range p.machines {
		if m.order == nil || m.answered {
			continue
		}
		d.Closures[m.pool] = append(d.Closures[m.pool], schedule.Closure{Instance: m.id})
		if now.Sub(m.ordered) > orderRetryInterval && m.safeToOrder(p.spare) {
			m.ordered, m.resent = now, true
			d.Orders = append(d.Orders, *m.order)
		}
	}
}

// HandleAnswer processes the answer to an order: err is nil if it was carried out, and settled is
// true if it was refused. A refusal because the machine is busy does not settle an earlier attempt
// without an answer: that attempt may be why the machine is moving and refuses to be moved.
func (p *Planner) HandleAnswer(now time.Time, o Order, err error, settled bool) {
	m := p.machines[o.Machine]
	if m == nil || m.order == nil || *m.order != o {
		return
	}
	switch {
	case err == nil:
		m.answered, m.ordered = true, now
		if w := p.waves[o.Wave]; w != nil {
			w.ordered[o.Machine] = now
		}
		m.idleSince, m.load = time.Time{}, schedule.InstanceLoad{}
		p.recordEnded(now, o)
	case settled && !(m.resent && isBusyRefusal(err)):
		m.order = nil
	}
}

// An endedOrder is an order that was carried out, and when its answer came.
type endedOrder struct {
	Order
	at time.Time
}

// recordEnded records which incarnation an order has ended.
func (p *Planner) recordEnded(now time.Time, o Order) {
	if o.Ends != "" {
		p.ended[o.Ends] = endedOrder{o, now}
	}
}

// OrderedEnds returns the incarnations of a pool that orders have ended and that the pool's
// owner still reports, sorted.
func (p *Planner) OrderedEnds(now time.Time, pool string) []schedule.OrderedEnd {
	var out []schedule.OrderedEnd
	for id, o := range p.ended {
		switch {
		case now.Sub(o.at) > unconfirmedTimeout:
			delete(p.ended, id)
		case o.From == pool && p.loads[pool][o.Machine].Incarnation == id:
			out = append(out, schedule.OrderedEnd{Incarnation: id, Sure: o.Pool != ""})
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Incarnation < out[k].Incarnation })
	return out
}

// isBusyRefusal reports whether an order was refused because its machine was not up, or leaving.
func isBusyRefusal(err error) bool {
	var refused *pointport.MachineRefusedError
	return errors.As(err, &refused) && refused.Reason == pointport.RefuseBusy
}

// WithdrawUnsent drops an order that was not sent after all. If an earlier attempt was sent, the
// order stays pending, because that attempt may still be carried out.
func (p *Planner) WithdrawUnsent(o Order) {
	if m := p.machines[o.Machine]; m != nil && m.order != nil && *m.order == o && !m.resent {
		m.order = nil
	}
}

// settleOrder ends an order that the list shows to be done. An answer long before the list was
// requested is not enough: a list that lags shows the machine as it was before, spare or with an
// incarnation that has ended, and the next order would interrupt what runs there by now.
func (p *Planner) settleOrder(m *machine, asked time.Time) {
	if m.order == nil || m.state != pointport.MachineUp {
		return
	}
	since := asked.Sub(m.ordered)
	switch {
	case since > unconfirmedTimeout:
		m.order = nil
	case !m.answered:
		// Only a move is confirmed with certainty: an incarnation may have ended by itself.
		if m.order.Pool != "" && m.order.confirmedBy(m) {
			m.order = nil
		}
	case since > p.outageTime(m.order) && m.order.confirmedBy(m):
		m.order = nil
	}
}

// outageTime returns for how long an order makes a machine unavailable.
func (p *Planner) outageTime(o *Order) time.Duration {
	if o.Wave != 0 {
		return p.settings.MaintenanceTime
	}
	return p.settings.MoveTime
}
