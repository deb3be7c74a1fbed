package schedule_test

import (
	"errors"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file tests tasks on instances that fall silent.

var silence = &pointport.UnavailableError{Op: "hold", Ambiguous: true, Err: errors.New("silent")}

// What users saw: a task that was done ran again. The order of events: a start reached an
// instance that answered nobody; the run ended well; the instance expired and its tasks
// waited again; the instance answered and listed the end, which was passed over because
// its run had been given up; the task was started elsewhere. The evidence: 'instance
// expired' and 'task returned' of run 1, 0.5 s after its end, and run 2 placed 0.1 s later.
func TestTaskThatEndedBeforeItsInstanceExpiredIsNotRunAgain(t *testing.T) {
	b := newBook()
	hear(b, start, incarnation(0))
	b.Add(start, job("a", policy, step(1, 100, nil)))
	sent := orders(b, start)
	if len(sent) != 1 {
		t.Fatalf("orders %v, want one start", sent)
	}
	first := sent[0]
	first.Worker.ExtendLease(start, settings.Lease)
	b.OrderAnswered(first, start, 0, silence)
	now := start
	for range 60 { // well beyond the lease
		now = now.Add(100 * time.Millisecond)
		b.PollFailed(first.Worker, now, silence)
		for _, o := range orders(b, now) {
			b.OrderAnswered(o, now, 0, silence)
		}
	}
	if s, _ := b.Status("a"); s.Ended() {
		t.Fatalf("the job is %s before anything was heard of its task", s)
	}
	b.Report(first.Worker, now, now, pointport.Report{Clock: 1, Ended: []pointport.TaskEnd{
		{Number: 1, TaskRun: first.TaskRun, Kind: pointport.EndDone},
	}})
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		for _, o := range orders(b, now) {
			if o.Kind == schedule.OrderStart {
				t.Fatalf("%v is started although run %d of it is done", o.TaskRun, first.Run.TaskRun().Run)
			}
		}
	}
	if s, _ := b.Status("a"); !s.Ended() {
		t.Errorf("the job is %s, want it ended", s)
	}
}

// registrationsAreBack is within what time registrations are back that lapsed by mistake,
// and known to be, while the store answers.
const registrationsAreBack = 3 * time.Second

// never is how long a task is waited for that must not start elsewhere.
const never = 2 * time.Minute

// While a silent instance is registered, and for as long after that as a registration that
// lapsed by mistake takes to be back, tasks that may be done there wait to hear how they
// ended. All others start elsewhere once their time is over, or at once.
func TestTasksOfSilentInstancesWaitToBeHeard(t *testing.T) {
	s := func(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
	missing := func(from, until float64) func(time.Duration) bool {
		return func(at time.Duration) bool { return at >= s(from) && at < s(until) }
	}
	cases := map[string]struct {
		gone    func(at time.Duration) bool // whether the registration is missing; nil for never
		unread  func(at time.Duration) bool // whether the store gives no answer; nil for never
		reborn  float64                     // when another life registers, in seconds; zero for never
		change  func(*workload.Step)
		least   time.Duration // from the silence to the start elsewhere
		atMost  time.Duration
		nowhere bool // it never starts elsewhere
	}{
		"registered":               {nowhere: true},
		"gone":                     {gone: missing(3, 999), least: s(6), atMost: s(6.2)},
		"gone at once":             {gone: missing(0, 999), least: s(4), atMost: s(4.5)},
		"gone late":                {gone: missing(7, 999), least: s(10), atMost: s(10.2)},
		"gone by mistake":          {gone: missing(5, 7.5), nowhere: true},
		"gone while unread":        {gone: missing(7, 999), unread: missing(8, 30), least: s(33), atMost: s(33.2)},
		"another life":             {gone: missing(3, 999), reborn: 5, least: s(5), atMost: s(5.2)},
		"another life, both there": {reborn: 5, nowhere: true},
		"serving tasks":            {change: func(s *workload.Step) { s.Service = true }, least: s(4), atMost: s(5)},
		"with copies":              {change: func(s *workload.Step) { s.Copies = true }, least: s(.5), atMost: s(1)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBook()
			other := []pointport.Incarnation{incarnation(0), incarnation(1)}
			hear(b, start, other...)
			b.Add(start, job("a", policy, step(1, 100, c.change)))
			first := orders(b, start)[0]
			first.Worker.ExtendLease(start, settings.Lease)
			b.OrderAnswered(first, start, 0, nil)
			silent := first.Worker.Incarnation()
			if silent.ID() == other[0].ID() {
				other = other[1:]
			} else {
				other = other[:1]
			}
			again := pointport.NewIncarnation("i-again", "p", "10.0.0.9:1", pointport.WithInstance(silent.Instance()), pointport.WithCapacity(size))
			sight := schedule.RegistryCoverage{Since: start}
			for at := time.Duration(0); at < never; at += 50 * time.Millisecond {
				now := start.Add(at)
				b.PollFailed(first.Worker, now, silence)
				registered := other
				if c.gone == nil || !c.gone(at) {
					registered = append(registered[:1:1], silent)
				}
				if c.reborn > 0 && at >= s(c.reborn) {
					registered = append(registered[:len(registered):len(registered)], again)
				}
				switch unread := c.unread != nil && c.unread(at); {
				case unread:
					sight = schedule.RegistryCoverage{}
				case sight.Since.IsZero():
					sight = schedule.RegistryCoverage{Since: now, Until: now}
				default:
					sight.Until = now
				}
				b.SetIncarnations(now, registered)
				b.SetRegistryCoverage(sight)
				for _, o := range orders(b, now) {
					if o.Kind != schedule.OrderStart || o.Worker == first.Worker {
						continue
					}
					if c.nowhere || at < c.least || at > c.atMost {
						t.Errorf("the task starts elsewhere after %v, want %v to %v, never: %v", at, c.least, c.atMost, c.nowhere)
					}
					return
				}
			}
			if !c.nowhere {
				t.Error("the task never starts elsewhere")
			}
		})
	}
}

// A job that was cancelled is over once the time of its tasks on a silent instance is: none
// of them starts again, so nothing waits to hear how they ended.
func TestCancelledJobDoesNotWaitForSilentInstance(t *testing.T) {
	b := newBook()
	hear(b, start, incarnation(0))
	b.Add(start, job("a", policy, step(1, 100, nil)))
	first := orders(b, start)[0]
	first.Worker.ExtendLease(start, settings.Lease)
	b.OrderAnswered(first, start, 0, nil)
	b.Cancel(start, "a")
	now := start
	for range 60 {
		now = now.Add(100 * time.Millisecond)
		b.PollFailed(first.Worker, now, silence)
		orders(b, now)
	}
	if status, _ := b.Status("a"); status != workload.Cancelled {
		t.Errorf("the job is %s, want it cancelled", status)
	}
}

// A start that waits to be sent while its instance falls silent is not sent, and its task
// need not wait until the instance expires.
func TestStartThatWaitsForSilentInstanceGoesElsewhere(t *testing.T) {
	b := newBook()
	hear(b, start, incarnation(0), incarnation(1))
	b.Add(start, job("a", policy, step(1, 100, nil)))
	sent := orders(b, start)
	if len(sent) != 1 {
		t.Fatalf("orders %v, want one start", sent)
	}
	if b.SkipStart(start, sent[0]) {
		t.Fatal("the start is left out although its instance answers")
	}
	b.PollFailed(sent[0].Worker, start, silence)
	if !b.SkipStart(start, sent[0]) {
		t.Fatal("the start is sent although its instance is silent")
	}
	again := orders(b, start.Add(10*time.Millisecond))
	if len(again) != 1 || again[0].Worker == sent[0].Worker {
		t.Errorf("orders %v, want one start on the other instance", again)
	}
}

// A start whose order may have reached its instance is not left out.
func TestStartThatMayHaveArrivedIsNotLeftOut(t *testing.T) {
	b := newBook()
	hear(b, start, incarnation(0))
	b.Add(start, job("a", policy, step(1, 100, nil)))
	sent := orders(b, start)
	sent[0].Worker.ExtendLease(start, settings.Lease)
	b.OrderAnswered(sent[0], start, 0, silence)
	b.PollFailed(sent[0].Worker, start, silence)
	if b.SkipStart(start, sent[0]) {
		t.Error("the start is left out although an earlier order of it may have arrived")
	}
}

// No more is placed than may wait to be stored and sent.
func TestNoMoreIsPlacedThanMayWait(t *testing.T) {
	b := newBook()
	hear(b, start, incarnation(0), incarnation(1))
	for _, id := range []string{"a", "b", "c", "d"} {
		b.Add(start, job(id, policy, step(4, 100, nil)))
	}
	b.LimitUnstoredStarts(8)
	if n := len(placed(orders(b, start))); n == 0 {
		t.Fatal("nothing is placed")
	}
	b.LimitUnstoredStarts(0)
	b.Add(start, job("e", policy, step(1, 100, nil)))
	if got := orders(b, start); len(got) != 0 {
		t.Errorf("%d orders while nothing may wait", len(got))
	}
}

// What users saw: a task that was done ran again. The order of events: a run ended well and
// its instance said so; the owner learned that the instance had crashed since, and only
// then took in what it had said. The cause: nothing was taken from an answer of an instance
// that counts as over.
func TestEndThatIsTakenInAfterItsInstanceIsOverCounts(t *testing.T) {
	b := newBook()
	hear(b, start, incarnation(0), incarnation(1))
	b.Add(start, job("a", policy, step(1, 100, nil)))
	first := orders(b, start)[0]
	b.MarkSending(first)
	b.OrderAnswered(first, start, clockAt(start), nil)
	b.EndIncarnation(start, first.Worker.Incarnation().ID())
	b.Report(first.Worker, start, start, ended(first, pointport.EndDone))
	if got := placed(orders(b, start)); len(got) != 0 {
		t.Errorf("starts %v although the task is done", got)
	}
	if s, _ := b.Status("a"); s != workload.Completed {
		t.Errorf("the job is %q, want completed", s)
	}
}

// What users saw: a gang that was done ran again. The order of events: all of it ran on an
// instance that was silent until its time was over, or known to be over; its tasks were put
// back, and only then its ends were taken in. The cause: the end of a gang's run that was
// given up counted for nothing.
func TestGangThatEndedBeforeItWasGivenUpIsNotRunAgain(t *testing.T) {
	b := newBook()
	hear(b, start, incarnation(0))
	b.Add(start, job("a", policy, step(2, 100, func(s *workload.Step) { s.Gang = true })))
	both := orders(b, start)
	for _, o := range both {
		b.MarkSending(o)
		b.OrderAnswered(o, start, clockAt(start), nil)
	}
	b.SetIncarnations(start, []pointport.Incarnation{incarnation(0), incarnation(1)})
	for _, w := range b.Workers() {
		if w != both[0].Worker {
			b.Report(w, start, start, pointport.Report{Clock: 1})
		}
	}
	b.EndIncarnation(start, incarnation(0).ID())
	again := orders(b, start) // on the other instance, before anything is heard of the first one
	if got := placed(again); got[incarnation(1).ID()] != 2 {
		t.Fatalf("starts %v, want the gang on the other instance", got)
	}
	b.Report(both[0].Worker, start, start, pointport.Report{Clock: 1, Ended: []pointport.TaskEnd{
		{Number: 1, TaskRun: both[0].TaskRun, Kind: pointport.EndDone}, {Number: 2, TaskRun: both[1].TaskRun, Kind: pointport.EndDone},
	}})
	for _, o := range again {
		if o.Kind == schedule.OrderStart && !b.SkipStart(start, o) {
			t.Errorf("%v is sent although its gang is done", o.TaskRun)
		}
	}
	if got := placed(orders(b, start)); len(got) != 0 {
		t.Errorf("starts %v although the gang is done", got)
	}
	if s, _ := b.Status("a"); s != workload.Completed {
		t.Errorf("the job is %q, want completed", s)
	}
}
