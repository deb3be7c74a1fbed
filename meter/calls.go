package meter

import (
	"context"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the wrappers that count and time calls.

// A kv is a KV whose calls are measured.
type kv struct {
	pointport.KV
	meter *Meter
}

// KV returns next with its calls measured.
func (m *Meter) KV(next pointport.KV) pointport.KV { return &kv{next, m} }

func (k *kv) Get(ctx context.Context, key string) (pointport.Entry, error) {
	from := k.meter.clock.Now()
	e, err := k.KV.Get(ctx, key)
	k.meter.observeCall(toStore, "get", from, 0, err)
	return e, err
}

func (k *kv) Commit(ctx context.Context, txn pointport.Txn) (pointport.Revision, error) {
	from := k.meter.clock.Now()
	at, err := k.KV.Commit(ctx, txn)
	k.meter.observeCall(toStore, "commit", from, 0, err)
	return at, err
}

func (k *kv) Range(ctx context.Context, prefix, after string) (pointport.Page, error) {
	from := k.meter.clock.Now()
	page, err := k.KV.Range(ctx, prefix, after)
	k.meter.observeCall(toStore, "range", from, 0, err)
	return page, err
}

func (k *kv) WatchPrefix(ctx context.Context, prefix string, after pointport.Revision, wait time.Duration) (pointport.Changes, error) {
	from := k.meter.clock.Now()
	changes, err := k.KV.WatchPrefix(ctx, prefix, after, wait)
	k.meter.observeCall(toStore, "watch", from, wait, err)
	return changes, err
}

func (k *kv) Grant(ctx context.Context, ttl time.Duration) (pointport.LeaseID, error) {
	from := k.meter.clock.Now()
	lease, err := k.KV.Grant(ctx, ttl)
	k.meter.observeCall(toStore, "grant", from, 0, err)
	return lease, err
}

func (k *kv) Renew(ctx context.Context, lease pointport.LeaseID) error {
	from := k.meter.clock.Now()
	err := k.KV.Renew(ctx, lease)
	k.meter.observeCall(toStore, "renew", from, 0, err)
	return err
}

func (k *kv) Revoke(ctx context.Context, lease pointport.LeaseID) error {
	from := k.meter.clock.Now()
	err := k.KV.Revoke(ctx, lease)
	k.meter.observeCall(toStore, "revoke", from, 0, err)
	return err
}

// An executor is an Executor whose orders are measured.
type executor struct {
	next  pointport.Executor
	meter *Meter
}

// Executor returns next with its orders measured.
func (m *Meter) Executor(next pointport.Executor) pointport.Executor { return &executor{next, m} }

func (e *executor) Start(ctx context.Context, at pointport.Endpoint, o pointport.StartOrder) (pointport.InstanceClock, error) {
	from := e.meter.clock.Now()
	clock, err := e.next.Start(ctx, at, o)
	e.meter.observeCall(toInstance, "start", from, 0, err)
	return clock, err
}

func (e *executor) Stop(ctx context.Context, at pointport.Endpoint, o pointport.StopOrder) (pointport.InstanceClock, error) {
	from := e.meter.clock.Now()
	clock, err := e.next.Stop(ctx, at, o)
	e.meter.observeCall(toInstance, "stop", from, 0, err)
	return clock, err
}

func (e *executor) Hold(ctx context.Context, at pointport.Endpoint, o pointport.HoldOrder) (pointport.Report, error) {
	from := e.meter.clock.Now()
	report, err := e.next.Hold(ctx, at, o)
	e.meter.observeCall(toInstance, "hold", from, o.Wait, err)
	return report, err
}

func (e *executor) Pace(ctx context.Context, at pointport.Endpoint, o pointport.PaceOrder) error {
	from := e.meter.clock.Now()
	err := e.next.Pace(ctx, at, o)
	e.meter.observeCall(toInstance, "pace", from, 0, err)
	return err
}

// A machines is a Machines whose calls are measured.
type machines struct {
	next  pointport.Machines
	meter *Meter
}

// Machines returns next with its calls measured.
func (m *Meter) Machines(next pointport.Machines) pointport.Machines { return &machines{next, m} }

func (c *machines) List(ctx context.Context) ([]pointport.Machine, error) {
	from := c.meter.clock.Now()
	list, err := c.next.List(ctx)
	c.meter.observeCall(toMachines, "list", from, 0, err)
	return list, err
}

func (c *machines) Move(ctx context.Context, by pointport.Holder, id pointport.InstanceID, pool string) error {
	from := c.meter.clock.Now()
	err := c.next.Move(ctx, by, id, pool)
	c.meter.observeCall(toMachines, "move", from, 0, err)
	return err
}

func (c *machines) Maintain(ctx context.Context, by pointport.Holder, id pointport.InstanceID, wave int64) error {
	from := c.meter.clock.Now()
	err := c.next.Maintain(ctx, by, id, wave)
	c.meter.observeCall(toMachines, "maintain", from, 0, err)
	return err
}

// An advisor is an Advisor whose questions are measured.
type advisor struct {
	next  pointport.Advisor
	meter *Meter
}

// Advisor returns next with its questions measured.
func (m *Meter) Advisor(next pointport.Advisor) pointport.Advisor { return &advisor{next, m} }

func (a *advisor) Advise(ctx context.Context, step string, incarnations []pointport.IncarnationID) (map[pointport.IncarnationID]string, time.Duration, error) {
	from := a.meter.clock.Now()
	tickets, valid, err := a.next.Advise(ctx, step, incarnations)
	a.meter.observeCall(toAdvisor, "advise", from, 0, err)
	return tickets, valid, err
}
