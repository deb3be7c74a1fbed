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

// This file tests how starts that wait are sent.

// A starter is an Executor that tells of each start.
type starter struct {
	pointport.Executor
	started chan pointport.StartOrder
}

// Start tells of a start.
func (s *starter) Start(_ context.Context, _ pointport.Endpoint, o pointport.StartOrder) (pointport.InstanceClock, error) {
	s.started <- o
	return 1, nil
}

// All starts under way may be answered while the owner cannot prove its ownership, when it
// sends nothing. Those that wait behind them go on with its next turn: no answer will come
// that lets them go, and so many may wait that nothing more is placed.
func TestHeldStartsGoOnWithoutAnAnswer(t *testing.T) {
	now := time.Now()
	book := schedule.NewScheduler(now, schedule.Settings{Lease: time.Second}, slog.New(slog.DiscardHandler))
	size := pointport.Shape{CPUMilli: 4000, MemoryMiB: 4000}
	book.SetIncarnations(now, []pointport.Incarnation{
		pointport.NewIncarnation("i-1", "p", "10.0.0.1:1", pointport.WithInstance("m-1"), pointport.WithCapacity(size)),
	})
	worker := book.Workers()[0]
	book.Report(worker, now, now, pointport.Report{Clock: 1})
	book.Add(now, workload.New("a", "q", workload.Policy{}, &workload.Spec{
		Steps: []workload.Step{{Count: 1, Need: pointport.Shape{CPUMilli: 100, MemoryMiB: 100}}},
	}, now))
	book.Plan(now)
	book.Stored(book.TakeBatch(quickEntries), now)
	order := book.TakeOrders()[0]
	executor := &starter{started: make(chan pointport.StartOrder, 1)}
	o := &Owner{
		book: book, executor: executor, clock: clock.System{}, lease: time.Second, window: newWindow(),
		inbox: make(chan func(time.Time), inboxSize), done: make(chan struct{}),
		lanes: map[*schedule.Worker]*lane{worker: {worker: worker, queue: []schedule.Order{order}, held: true}},
	}
	o.held = append(o.held, o.lanes[worker])
	o.starts.queued = 1
	o.send(t.Context(), now)
	select {
	case <-executor.started:
	case <-time.After(5 * time.Second):
		t.Fatal("a start that waits while nothing is under way is not sent")
	}
	if o.starts.queued != 0 || o.starts.underWay != 1 {
		t.Errorf("%d starts wait and %d are under way, want none and one", o.starts.queued, o.starts.underWay)
	}
}

// While no start may be sent, other orders of a lane do not wait behind one.
func TestStopsPassStartsThatMayNotBeSent(t *testing.T) {
	now := time.Now()
	start, stop := schedule.Order{Kind: schedule.OrderStart}, schedule.Order{Kind: schedule.OrderStop}
	l := &lane{queue: []schedule.Order{start, start, stop}}
	o := &Owner{book: schedule.NewScheduler(now, schedule.Settings{}, slog.New(slog.DiscardHandler)), window: window{size: 1}, starts: starts{queued: 2, underWay: 1}}
	if got, ok := o.next(l, o.mayStart()); !ok || got.Kind != schedule.OrderStop {
		t.Fatalf("%v, %v, want the stop", got.Kind, ok)
	}
	if _, ok := o.next(l, o.mayStart()); ok || len(l.queue) != 2 || o.starts.queued != 2 {
		t.Errorf("%d orders wait, %d of them starts, want two starts", len(l.queue), o.starts.queued)
	}
	o.starts.underWay = 0
	if got, ok := o.next(l, o.mayStart()); !ok || got.Kind != schedule.OrderStart || o.starts.queued != 1 {
		t.Errorf("%v, %v, %d starts wait, want a start and one that waits", got.Kind, ok, o.starts.queued)
	}
}

// While an instance is told which of its ends are stored, no start goes there, and other orders do.
func TestNoStartWhileEndsAreAcknowledged(t *testing.T) {
	now := time.Now()
	b := schedule.NewScheduler(now, schedule.Settings{}, slog.New(slog.DiscardHandler))
	b.SetIncarnations(now, []pointport.Incarnation{pointport.NewIncarnation(pointport.NewIncarnationID("i", now), "p", "10.0.0.1:1")})
	w := b.Workers()[0]
	b.Report(w, now, now, pointport.Report{Ended: []pointport.TaskEnd{{Number: 1, Kind: pointport.EndDone}}})
	b.Stored(b.TakeBatch(1), now)
	if w.NextPoll().Acknowledged != 1 || !w.AckInFlight(now) {
		t.Fatal("nothing is acknowledged")
	}
	l := &lane{worker: w, queue: []schedule.Order{{Kind: schedule.OrderStart, Worker: w}}}
	o := &Owner{book: b, clock: clock.NewFake(now), window: window{size: 1}, starts: starts{queued: 1}, lanes: map[*schedule.Worker]*lane{w: l}}
	o.pump(t.Context(), now, l)
	if len(l.queue) != 1 || l.inFlight != 0 || len(o.held) != 0 {
		t.Errorf("%d orders wait, %d are under way, %d lanes wait for the window; want the start to wait for the instance", len(l.queue), l.inFlight, len(o.held))
	}
}
