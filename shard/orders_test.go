package shard

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file tests in which order queued starts are sent.

// A startRecorder is an Executor that passes each start to a channel.
type startRecorder struct {
	pointport.Executor
	started chan pointport.StartOrder
}

// Start passes the order to the channel.
func (s *startRecorder) Start(_ context.Context, _ pointport.Endpoint, o pointport.StartOrder) (pointport.InstanceTime, error) {
	s.started <- o
	return 1, nil
}

// Guards against starts that wait forever. While the owner cannot prove its ownership it sends
// nothing, so if all starts in flight are answered during that time, no later answer lets the
// queued starts go. They must be sent at the next tick: otherwise so many may wait that no more
// tasks are placed.
func TestBlockedStartsAreSentWithoutAnAnswer(t *testing.T) {
	now := time.Now()
	scheduler := schedule.NewScheduler(now, schedule.Settings{Lease: time.Second}, slog.New(slog.DiscardHandler))
	size := pointport.Shape{CPUMilli: 4000, MemoryMiB: 4000}
	scheduler.SetIncarnations(now, []pointport.Incarnation{
		pointport.NewIncarnation("i-1", "p", "10.0.0.1:1", pointport.WithInstance("m-1"), pointport.WithCapacity(size)),
	})
	worker := scheduler.Workers()[0]
	scheduler.Report(worker, now, now, pointport.Report{Clock: 1})
	scheduler.Add(now, workload.New("a", "q", workload.Policy{}, &workload.Spec{
		Steps: []workload.Step{{Count: 1, Need: pointport.Shape{CPUMilli: 100, MemoryMiB: 100}}},
	}, now))
	scheduler.Plan(now)
	scheduler.Stored(scheduler.TakeBatch(fastBatchEntries), now)
	order := scheduler.TakeOrders()[0]
	executor := &startRecorder{started: make(chan pointport.StartOrder, 1)}
	o := &Owner{
		scheduler: scheduler, executor: executor, clock: clock.System{}, lease: time.Second, window: newWindow(),
		inbox: make(chan func(time.Time), inboxSize), done: make(chan struct{}),
		queues: map[*schedule.Worker]*workerQueue{worker: {worker: worker, orders: []schedule.Order{order}, blocked: true}},
	}
	o.blocked = append(o.blocked, o.queues[worker])
	o.starts.queued = 1
	o.send(t.Context(), now)
	select {
	case <-executor.started:
	case <-time.After(5 * time.Second):
		t.Fatal("a queued start is not sent although no start is in flight")
	}
	if o.starts.queued != 0 || o.starts.inFlight != 1 {
		t.Errorf("%d starts are queued and %d in flight, want 0 and 1", o.starts.queued, o.starts.inFlight)
	}
}

// Guards against stops that wait behind a start. While no start may be sent, other orders of the
// queue must pass it.
func TestStopsPassBlockedStarts(t *testing.T) {
	now := time.Now()
	start, stop := schedule.Order{Kind: schedule.OrderStart}, schedule.Order{Kind: schedule.OrderStop}
	q := &workerQueue{orders: []schedule.Order{start, start, stop}}
	o := &Owner{scheduler: schedule.NewScheduler(now, schedule.Settings{}, slog.New(slog.DiscardHandler)), window: window{size: 1}, starts: starts{queued: 2, inFlight: 1}}
	if got, ok := o.nextOrder(q, o.mayStart()); !ok || got.Kind != schedule.OrderStop {
		t.Fatalf("next order is %v, %v, want the stop", got.Kind, ok)
	}
	if _, ok := o.nextOrder(q, o.mayStart()); ok || len(q.orders) != 2 || o.starts.queued != 2 {
		t.Errorf("%d orders are queued, %d of them starts, want 2 starts", len(q.orders), o.starts.queued)
	}
	o.starts.inFlight = 0
	if got, ok := o.nextOrder(q, o.mayStart()); !ok || got.Kind != schedule.OrderStart || o.starts.queued != 1 {
		t.Errorf("next order is %v, %v, and %d starts are queued, want a start and 1", got.Kind, ok, o.starts.queued)
	}
}

// While a poll that acknowledges ended runs is in flight to an instance, no start is sent there.
// Other orders still are. The start waits for the instance's answer and not for the window, so its
// queue is not blocked.
func TestNoStartWhileEndsAreAcknowledged(t *testing.T) {
	now := time.Now()
	b := schedule.NewScheduler(now, schedule.Settings{}, slog.New(slog.DiscardHandler))
	b.SetIncarnations(now, []pointport.Incarnation{pointport.NewIncarnation(pointport.NewIncarnationID("i", now), "p", "10.0.0.1:1")})
	w := b.Workers()[0]
	b.Report(w, now, now, pointport.Report{Ended: []pointport.TaskEnd{{Number: 1, Kind: pointport.EndDone}}})
	b.Stored(b.TakeBatch(1), now)
	if w.NextPoll().Acknowledged != 1 || !w.AckInFlight(now) {
		t.Fatal("the poll acknowledges nothing")
	}
	q := &workerQueue{worker: w, orders: []schedule.Order{{Kind: schedule.OrderStart, Worker: w}}}
	o := &Owner{scheduler: b, clock: clock.NewFake(now), window: window{size: 1}, starts: starts{queued: 1}, queues: map[*schedule.Worker]*workerQueue{w: q}}
	o.sendQueued(t.Context(), now, q)
	if len(q.orders) != 1 || q.inFlight != 0 || len(o.blocked) != 0 {
		t.Errorf("%d orders are queued, %d in flight, and %d queues blocked by the window; want the start to wait for the instance", len(q.orders), q.inFlight, len(o.blocked))
	}
}
