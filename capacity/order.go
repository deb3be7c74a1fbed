package capacity

import (
	"errors"
	"sort"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
)

// This file defines orders about machines, and when one is under way.

const (
	// orderRetryInterval is after how long an order without an answer is given again.
	orderRetryInterval = time.Second
	// unconfirmedTimeout is for how long after its answer, or after it was last given without one, an
	// order that the list does not show to be done counts as under way: the list is a few
	// seconds behind, and an order whose effect something else has undone is never shown.
	unconfirmedTimeout = 15 * time.Second
)

// An Order is to be given to the platform: a move if Pool is set, else
// maintenance for a wave.
type Order struct {
	Machine pointport.InstanceID
	Pool    string
	Wave    int64
	Reason  string
	// Replaces is the addressee of the life that the list showed when the order was given, Ends
	// the life that the pool's owner told of, empty if it told of none.
	Replaces pointport.Addressee
	Ends     pointport.IncarnationID
	// From is the pool in which the machine was then.
	From string
}

// confirmedBy reports whether the list shows that the order is done, or the pool's owner tells of
// another life, which may have the addressee of the one before. Maintenance of a machine that is
// off changes nothing that could be seen.
func (o *Order) confirmedBy(m *machine) bool {
	if o.Pool != "" {
		return m.pool == o.Pool
	}
	return o.Replaces == "" || m.addressee != o.Replaces ||
		o.Ends != "" && m.load.Incarnation != "" && m.load.Incarnation != o.Ends
}

// A FormerOrder is what an earlier planner ordered last about a machine. It is
// not known whether the order was carried out.
type FormerOrder struct {
	Order
	At time.Time
}

// PendingOrderTimeout is for how long an order of an earlier planner may count as under way.
const PendingOrderTimeout = unconfirmedTimeout

// mayBePending reports whether the order may be one of which the list does not show yet that it is
// done. What was ordered is not known of orders that were recorded without it.
func (f *FormerOrder) mayBePending(now time.Time, m *machine) bool {
	return now.Sub(f.At) < unconfirmedTimeout && !(f.hasTarget() && f.confirmedBy(m))
}

// hasTarget reports whether it is hasTarget what was ordered.
func (f *FormerOrder) hasTarget() bool { return f.Pool != "" || f.Wave != 0 }

// SetFormer takes in what earlier planners ordered last.
func (p *Planner) SetFormer(orders map[pointport.InstanceID]FormerOrder) { p.former = orders }

// orderable reports whether a machine may be ordered about.
func (p *Planner) orderable(now time.Time, m *machine) bool {
	if f, ok := p.former[m.id]; ok && (now.Sub(f.At) < p.settings.HolderTime || f.mayBePending(now, m)) {
		return false
	}
	return m.state == pointport.MachineUp && m.order == nil && !p.listBehindOwner(m)
}

// issueOrder gives an issueOrder about a machine, which stays closed meanwhile.
func (p *Planner) issueOrder(now time.Time, d *Decision, m *machine, o Order) {
	d.Closures[m.pool] = append(d.Closures[m.pool], schedule.Closure{Instance: m.id})
	o.Replaces, o.Ends, o.From = m.addressee, m.load.Incarnation, m.pool
	m.order, m.ordered, m.answered, m.resent = &o, now, false, false
	m.emptyingSince, m.claimedBy = time.Time{}, ""
	d.Orders = append(d.Orders, o)
}

// closeInstance has an instance closed.
func (p *Planner) closeInstance(d *Decision, m *machine, c schedule.Closure) {
	m.closing = true
	d.Closures[m.pool] = append(d.Closures[m.pool], c)
}

// retryOrders gives orders again that got no answer. Until one comes, the machine
// stays closed: the order may be carried out at any time.
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

// HandleAnswer takes in the answer to an order; err is nil if it was carried out, and settled says
// that it was refused. That a machine is busy says nothing of a former sending that got no
// answer: one that is moving refuses to be moved.
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

// An endedOrder is an order that was carried out and when it was answered.
type endedOrder struct {
	Order
	at time.Time
}

// recordEnded notes which incarnation an order has ended.
func (p *Planner) recordEnded(now time.Time, o Order) {
	if o.Ends != "" {
		p.ended[o.Ends] = endedOrder{o, now}
	}
}

// OrderedEnds returns the incarnations of a pool that orders have ended and that the pool's
// owner still tells of.
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

// WithdrawUnsent takes in that an order was not given after all. What was given of it before may still
// be carried out.
func (p *Planner) WithdrawUnsent(o Order) {
	if m := p.machines[o.Machine]; m != nil && m.order != nil && *m.order == o && !m.resent {
		m.order = nil
	}
}

// settleOrder ends an order that the list shows to be done. That it was answered long before the
// list was asked for is not enough: a list that is behind shows the machine as it was before,
// spare or with a life that is over, and the next order would end what runs there by then.
func (p *Planner) settleOrder(m *machine, asked time.Time) {
	if m.order == nil || m.state != pointport.MachineUp {
		return
	}
	since := asked.Sub(m.ordered)
	switch {
	case since > unconfirmedTimeout:
		m.order = nil
	case !m.answered:
		// Only a move is surely shown: a life may have ended by itself.
		if m.order.Pool != "" && m.order.confirmedBy(m) {
			m.order = nil
		}
	case since > p.outageTime(m.order) && m.order.confirmedBy(m):
		m.order = nil
	}
}

// outageTime returns for how long an order takes a machine away.
func (p *Planner) outageTime(o *Order) time.Duration {
	if o.Wave != 0 {
		return p.settings.UpkeepTime
	}
	return p.settings.MoveTime
}
