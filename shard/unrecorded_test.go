package shard

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file tests how unrecorded starts are noted and counted.

// A fakePeerLease records what is noted. It ends with the first note if endsWhenNoted is set.
type fakePeerLease struct {
	leased, endsWhenNoted bool
	notes                 []bool
	onNote                func()
}

// PeerLeased reports what the test has set.
func (f *fakePeerLease) PeerLeased() bool { return f.leased }

// NoteUnrecorded records the note.
func (f *fakePeerLease) NoteUnrecorded(unrecorded bool) {
	f.notes = append(f.notes, unrecorded)
	f.leased = f.leased && !f.endsWhenNoted
	if f.onNote != nil {
		f.onNote()
	}
}

// ownerWithReadyTasks returns an owner on peer leases with placed tasks that may start unrecorded.
func ownerWithReadyTasks(now time.Time, tasks int, lease *fakePeerLease) *Owner {
	scheduler := schedule.NewScheduler(now, schedule.Settings{Lease: time.Second}, slog.New(slog.DiscardHandler))
	size := pointport.Shape{CPUMilli: 4000, MemoryMiB: 4000}
	scheduler.SetIncarnations(now, []pointport.Incarnation{
		pointport.NewIncarnation("i-1", "p", "10.0.0.1:1", pointport.WithInstance("m-1"), pointport.WithCapacity(size)),
	})
	scheduler.Report(scheduler.Workers()[0], now, now, pointport.Report{Clock: 1})
	need := pointport.Shape{CPUMilli: 10, MemoryMiB: 10}
	j := workload.New("a", "q", workload.Policy{MaxAttempts: 3}, &workload.Spec{Steps: []workload.Step{{Count: 1, Need: need}, {Count: tasks, Need: need}}}, now)
	j.BeginDue(now)
	j.Place(workload.TaskRef{}, "i-9", 1)
	j.Finish(workload.TaskRef{})
	scheduler.Add(now, j)
	scheduler.SetPeerLeased(true)
	scheduler.Plan(now)
	return &Owner{scheduler: scheduler, peerLease: lease, window: newWindow()}
}

// Guards against an unrecorded start of which a successor is not told: it must be noted before the
// first start is released, and until the last one is stored.
func TestUnrecordedStartsAreNotedFirst(t *testing.T) {
	now := time.Now()
	lease := &fakePeerLease{leased: true}
	o := ownerWithReadyTasks(now, 3, lease)
	lease.onNote = func() {
		if lease.notes[len(lease.notes)-1] && len(o.scheduler.TakeOrders()) > 0 {
			t.Error("starts are released before that is noted")
		}
	}
	o.releaseUnrecorded(now)
	o.updateUnrecorded()
	if got := len(o.scheduler.TakeOrders()); got != 3 || !slices.Equal(lease.notes, []bool{true}) {
		t.Fatalf("%d starts, notes %v; want 3 and one note", got, lease.notes)
	}
	batch := o.scheduler.TakeBatch(100)
	o.updateUnrecorded()
	o.scheduler.Stored(batch, now)
	o.updateUnrecorded()
	if !slices.Equal(lease.notes, []bool{true, false}) {
		t.Errorf("notes %v, want that starts are unrecorded until the batch is stored", lease.notes)
	}
}

// Guards against an unrecorded start under a list of standbys that changed while it was noted: the
// owner may hold no lease of a standby of the new list, which would tell a successor that nothing is
// unrecorded.
func TestNoUnrecordedStartIfLeaseEndsWhenNoted(t *testing.T) {
	now := time.Now()
	lease := &fakePeerLease{leased: true, endsWhenNoted: true}
	o := ownerWithReadyTasks(now, 3, lease)
	o.releaseUnrecorded(now)
	o.updateUnrecorded()
	if got := len(o.scheduler.TakeOrders()); got != 0 || !slices.Equal(lease.notes, []bool{true, false}) {
		t.Errorf("%d starts, notes %v; want none, and that nothing is unrecorded", got, lease.notes)
	}
}

// Guards against starts that are counted twice, in the batch that records them and in the queue from
// which they are sent: the owner would place too few tasks while the store is unavailable.
func TestReleasedStartsAreCountedOnce(t *testing.T) {
	now := time.Now()
	o := ownerWithReadyTasks(now, 3, &fakePeerLease{leased: true})
	limit := o.maxNewStarts()
	o.storing = o.scheduler.TakeBatch(100)
	if got := o.maxNewStarts(); got != limit-3 {
		t.Errorf("%d more starts while 3 are being stored, want %d", got, limit-3)
	}
	o.releaseUnrecorded(now)
	o.starts.queued += len(o.scheduler.TakeOrders())
	if got := o.maxNewStarts(); got != limit-3 {
		t.Errorf("%d more starts once 3 are queued, want %d", got, limit-3)
	}
}
