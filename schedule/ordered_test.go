package schedule_test

import (
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
)

// This file tests instances that are moved to other pools and come back.

// What callers saw: jobs that waited at the beginning of a peak although instances had come to
// the pool for them. The order of events: an instance is moved away and its registration stays
// until heartbeats are missed; its owner hears nothing of it, and is told by the list of machines
// that it is over at a time when nobody asks any more that it be closed; so it counts as crashed,
// and when it has come and gone twice, it is avoided. Evidence: 1,162 of 1,401 incarnations that
// ended on a quiet day had crashed by their owners' logs, and 224 times an instance was suspected.
func TestInstanceThatIsMovedHasNotCrashed(t *testing.T) {
	b := newBook()
	now := start
	silence := &pointport.UnavailableError{Op: "hold", Ambiguous: true}
	for round := range 4 {
		inc := pointport.NewIncarnation(pointport.IncarnationID([]string{"i-0", "i-1", "i-2", "i-3"}[round]), "p", "10.0.0.1:1",
			pointport.WithInstance("m-0"), pointport.WithCapacity(size))
		hear(b, now, inc)
		w := b.Workers()[0]
		if s := b.Survey(now, schedule.SurveyRequest{}); len(s.Instances) != 1 || s.Instances[0].Avoided {
			t.Fatalf("in round %d the pool has %+v, want an instance that is not avoided", round, s.Instances)
		}
		now = now.Add(time.Second)
		b.PollFailed(w, now, silence)
		ended := schedule.OrderedEnd{Incarnation: inc.ID(), Sure: round%2 == 0}
		s := b.Survey(now, schedule.SurveyRequest{Ordered: []schedule.OrderedEnd{ended}})
		if ended.Sure != (len(s.Instances) == 0 && len(b.Workers()) == 0) {
			t.Errorf("in round %d, of an order that has surely ended it: %v, the pool still has %+v", round, ended.Sure, s.Instances)
		}
		b.Survey(now.Add(time.Second), schedule.SurveyRequest{Over: []pointport.IncarnationID{inc.ID()}})
		now = now.Add(3 * time.Second)
		b.SetIncarnations(now, nil)
	}
}

// An instance that was ordered away while something is placed on it is not taken for over by
// that alone: what became of the task has to be known.
func TestInstanceWithTasksIsNotOverByAnOrder(t *testing.T) {
	b := newBook()
	hear(b, start, incarnation(0))
	b.Add(start, job("a", policy, step(1, 500, nil)))
	orders(b, start)
	s := b.Survey(start, schedule.SurveyRequest{Ordered: []schedule.OrderedEnd{{Incarnation: "i-0", Sure: true}}})
	if len(s.Instances) != 1 || s.Instances[0].Runs != 1 {
		t.Errorf("the pool has %+v, want the instance with its run", s.Instances)
	}
}
