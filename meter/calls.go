package meter

import (
	"context"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the wrappers that count and time calls.

// A kv measures the calls of a pointport.KV.
type kv struct {
	pointport.KV
	meter *Meter
}

// KV returns a wrapper of next that measures its calls.
func (m *Meter) KV(next pointport.KV) pointport.KV { return &kv{next, m} }

func (k *kv) Get(ctx context.Context, key string) (pointport.Entry, error) {
	start := k.meter.clock.Now()
	e, err := k.KV.Get(ctx, key)
	k.meter.observeCall(toStore, "get", start, 0, err)
	return e, err
}

func (k *kv) Commit(ctx context.Context, txn pointport.Txn) (pointport.Revision, error) {
	start := k.meter.clock.Now()
	revision, err := k.KV.Commit(ctx, txn)
	k.meter.observeCall(toStore, "commit", start, 0, err)
	return revision, err
}

func (k *kv) Range(ctx context.Context, prefix, after string) (pointport.Page, error) {
	start := k.meter.clock.Now()
	page, err := k.KV.Range(ctx, prefix, after)
	k.meter.observeCall(toStore, "range", start, 0, err)
	return page, err
}

func (k *kv) WatchPrefix(ctx context.Context, prefix string, after pointport.Revision, wait time.Duration) (pointport.Changes, error) {
	start := k.meter.clock.Now()
	changes, err := k.KV.WatchPrefix(ctx, prefix, after, wait)
	k.meter.observeCall(toStore, "watch", start, wait, err)
	return changes, err
}

func (k *kv) Grant(ctx context.Context, ttl time.Duration) (pointport.LeaseID, error) {
	start := k.meter.clock.Now()
	lease, err := k.KV.Grant(ctx, ttl)
	k.meter.observeCall(toStore, "grant", start, 0, err)
	return lease, err
}

func (k *kv) Renew(ctx context.Context, lease pointport.LeaseID) error {
	start := k.meter.clock.Now()
	err := k.KV.Renew(ctx, lease)
	k.meter.observeCall(toStore, "renew", start, 0, err)
	return err
}

func (k *kv) Revoke(ctx context.Context, lease pointport.LeaseID) error {
	start := k.meter.clock.Now()
	err := k.KV.Revoke(ctx, lease)
	k.meter.observeCall(toStore, "revoke", start, 0, err)
	return err
}

// An executor measures the orders of a pointport.Executor.
type executor struct {
	next  pointport.Executor
	meter *Meter
}

// Executor returns a wrapper of next that measures its orders.
func (m *Meter) Executor(next pointport.Executor) pointport.Executor { return &executor{next, m} }

func (e *executor) Start(ctx context.Context, at pointport.Endpoint, o pointport.StartOrder) (pointport.InstanceTime, error) {
	start := e.meter.clock.Now()
	instanceTime, err := e.next.Start(ctx, at, o)
	e.meter.observeCall(toInstance, "start", start, 0, err)
	return instanceTime, err
}

func (e *executor) Stop(ctx context.Context, at pointport.Endpoint, o pointport.StopOrder) (pointport.InstanceTime, error) {
	start := e.meter.clock.Now()
	instanceTime, err := e.next.Stop(ctx, at, o)
	e.meter.observeCall(toInstance, "stop", start, 0, err)
	return instanceTime, err
}

func (e *executor) Poll(ctx context.Context, at pointport.Endpoint, o pointport.PollOrder) (pointport.Report, error) {
	start := e.meter.clock.Now()
	report, err := e.next.Poll(ctx, at, o)
	e.meter.observeCall(toInstance, "hold", start, o.Wait, err)
	return report, err
}

func (e *executor) Pace(ctx context.Context, at pointport.Endpoint, o pointport.PaceOrder) error {
	start := e.meter.clock.Now()
	err := e.next.Pace(ctx, at, o)
	e.meter.observeCall(toInstance, "pace", start, 0, err)
	return err
}

// A machines measures the calls of a pointport.Machines.
type machines struct {
	next  pointport.Machines
	meter *Meter
}

// Machines returns a wrapper of next that measures its calls.
func (m *Meter) Machines(next pointport.Machines) pointport.Machines { return &machines{next, m} }

func (m *machines) List(ctx context.Context) ([]pointport.Machine, error) {
	start := m.meter.clock.Now()
	list, err := m.next.List(ctx)
	m.meter.observeCall(toMachines, "list", start, 0, err)
	return list, err
}

func (m *machines) Move(ctx context.Context, by pointport.Holder, id pointport.InstanceID, pool string) error {
	start := m.meter.clock.Now()
	err := m.next.Move(ctx, by, id, pool)
	m.meter.observeCall(toMachines, "move", start, 0, err)
	return err
}

func (m *machines) Maintain(ctx context.Context, by pointport.Holder, id pointport.InstanceID, wave int64) error {
	start := m.meter.clock.Now()
	err := m.next.Maintain(ctx, by, id, wave)
	m.meter.observeCall(toMachines, "maintain", start, 0, err)
	return err
}

// An advisor measures the calls of a pointport.Advisor.
type advisor struct {
	next  pointport.Advisor
	meter *Meter
}

// Advisor returns a wrapper of next that measures its calls.
func (m *Meter) Advisor(next pointport.Advisor) pointport.Advisor { return &advisor{next, m} }

func (a *advisor) Advise(ctx context.Context, q pointport.AdviceQuery) (pointport.Advice, error) {
	start := a.meter.clock.Now()
	answer, err := a.next.Advise(ctx, q)
	a.meter.observeCall(toAdvisor, "advise", start, 0, err)
	return answer, err
}
