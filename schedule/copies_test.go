package schedule_test

import (
	"errors"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file tests tasks of which copies may run beside each other.

// A start that got no answer before its task was given to another instance is
// never sent again: the copy may be done by then (jlpa-grid-grown, a day of our own
// with instances that go down and up: a task started again 1.5 s after its end).
func TestAbandonedStartIsRuledOut(t *testing.T) {
	b := newBook()
	hear(b, start, incarnation(0), incarnation(1))
	b.Add(start, job("a", policy, step(1, 100, func(s *workload.Step) { s.Copies = true })))
	sent := orders(b, start)
	if len(sent) != 1 {
		t.Fatalf("orders %v, want one start", sent)
	}
	first := sent[0]
	first.Worker.Until(start, 10*time.Second) // as whoever sends it extends the instance
	silence := &pointport.UnavailableError{Op: "start", Ambiguous: true, Err: errors.New("reset")}
	now := start
	started, stopped := 0, 0
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		b.Silent(first.Worker, now, silence)
		for _, o := range orders(b, now) {
			switch {
			case o.Worker != first.Worker && o.Kind == schedule.OrderStart:
				started++
				b.Answered(o, now, 1, nil)
			case o.Worker == first.Worker && o.Kind == schedule.OrderStart && started > 0:
				t.Fatalf("%v is started on a silent instance after it was given to another", o.TaskRun)
			case o.Worker == first.Worker && o.Kind == schedule.OrderStop && o.TaskRun == first.TaskRun:
				stopped++
				b.Answered(o, now, 0, silence)
			default:
				b.Answered(o, now, 0, silence)
			}
		}
		b.Answered(first, now, 0, silence)
	}
	if started != 1 || stopped == 0 {
		t.Errorf("%d starts elsewhere and %d stops of the first one, want one and some", started, stopped)
	}
}
