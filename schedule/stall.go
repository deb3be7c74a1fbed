package schedule

import (
	"log/slog"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/workload"
)

// This file defines how runs are detected that make no progress or are far too slow: an instance may
// report that it is healthy and yet do nothing, or work many times slower than others.

const (
	// stuckAfter is for how long a run must show no progress to count as stuck. Reports come at
	// least once a second.
	stuckAfter = 1500 * time.Millisecond
	// maxStuckRestarts is how often a task is restarted because it is stuck. A task is restarted
	// once for being slow: if it is slow again, the cause is the task itself.
	maxStuckRestarts = 3
	// slowMinAge is how old a run must be before its speed can be judged.
	slowMinAge = 600 * time.Millisecond
	// slowFactor is how many times as long as other runs of its step a run must be expected to take
	// to be restarted elsewhere, if it is the only slow run on its instance; slowTogetherFactor is
	// enough if the other runs there are as slow. Tasks of a step differ by a third, and those that
	// finish first are the short ones.
	slowFactor         = 4.0
	slowTogetherFactor = 2.6
	// restartCost is the time that a restart takes in addition to the work itself.
	restartCost = 250 * time.Millisecond
	// stallAvoid is for how long an instance is avoided on which a run was stuck or slow.
	stallAvoid = 2500 * time.Millisecond
	// wholePercent is the progress of a run that is done.
	wholePercent = 100
)

// stopStalledRuns stops the runs of a worker that would be done sooner elsewhere.
func (s *Scheduler) stopStalledRuns(now time.Time, w *Worker) {
	if s.unrecorded.peerLeased {
		return
	}
	for _, r := range w.runs {
		if r.state != runLive || r.stopping || r.step().Service || r.step().Gang || r.progress >= wholePercent || r.pace < fullPace {
			continue
		}
		again := r.entry.stalled[r.ref]
		stuck := r.stuck() && again < maxStuckRestarts
		if !stuck && (again > 0 || !s.tooSlow(r)) {
			continue
		}
		event.RunStalled.Log(s.logger, slog.String("task", r.name), slog.Int("run", r.number),
			slog.String("incarnation", string(w.inc.ID())), slog.Duration("age", r.age()),
			slog.Int("progress", r.progress), slog.Duration("unchanged", r.unchanged()))
		if r.entry.stalled == nil {
			r.entry.stalled = make(map[workload.TaskRef]int)
		}
		r.entry.stalled[r.ref]++
		w.health.stalled(now)
		s.stop(now, r, "it would be done sooner elsewhere")
	}
}

// stuck reports whether a run has stopped making progress.
func (r *Run) stuck() bool { return r.unchanged() > stuckAfter }

// unchanged returns for how long a run has shown the same progress, by its instance's clock: an
// owner that lags handles reports late, at times that do not reflect the run's progress.
func (r *Run) unchanged() time.Duration {
	if r.progressAt.IsZero() {
		return 0
	}
	return time.Duration(r.reportClock - r.progressClock)
}

// tooSlow reports whether a run would be done sooner elsewhere, judged by the other runs of its
// step.
func (s *Scheduler) tooSlow(r *Run) bool {
	if r.age() < slowMinAge || r.progress <= r.from {
		return false
	}
	peerDuration := s.peerDuration(r)
	if peerDuration == 0 {
		return false
	}
	total := r.total()
	factor := slowFactor
	if s.slowness(r.worker) > slowTogetherFactor {
		factor = slowTogetherFactor
	}
	left := total * time.Duration(wholePercent-r.progress) / wholePercent
	return float64(total) > factor*float64(peerDuration) && left > peerDuration+restartCost
}

// age returns for how long a run was known to run when it was last reported.
func (r *Run) age() time.Duration { return time.Duration(r.reportClock - r.liveClock) }

// measured reports whether the reported progress of a run shows how fast it is.
func (r *Run) measured() bool { return r.progress > r.from && r.progressClock > r.liveClock }

// total returns the estimated duration of the whole task, from the progress reported so far; the run
// must have made some. It uses the instance's clock: with the owner's clock, a report that was
// handled late made every run on the instance look slow.
func (r *Run) total() time.Duration {
	return time.Duration(r.progressClock-r.liveClock) * wholePercent / time.Duration(r.progress-r.from)
}

// observeProgress records the progress in a report that was made when the instance's clock showed
// clock. A report that is older than one handled before is ignored.
func (r *Run) observeProgress(now time.Time, clock pointport.InstanceTime, progress int) {
	if clock < r.reportClock {
		return
	}
	r.reportClock = clock
	if r.progressAt.IsZero() || progress != r.progress {
		r.progressClock = clock
	}
	switch {
	case r.progressAt.IsZero():
		if r.inherited || r.age() > freshReport {
			r.from = progress
		}
		r.progress, r.progressAt = progress, now
	case progress != r.progress:
		r.progress, r.progressAt = progress, now
	}
}

// freshReport is the maximum age of a run at its first report for the progress in it to count from
// the start of the run.
const freshReport = 1500 * time.Millisecond

// slowness returns the mean ratio of the durations of the runs on a worker to those elsewhere, zero
// if there are too few runs to tell.
func (s *Scheduler) slowness(w *Worker) float64 {
	sum, n := 0.0, 0
	for _, r := range w.runs {
		if r.state != runLive || r.step().Service || !r.measured() {
			continue
		}
		if peerDuration := s.peerDuration(r); peerDuration > 0 {
			sum += float64(r.total()) / float64(peerDuration)
			n++
		}
	}
	const tellingRuns = 2
	if n < tellingRuns {
		return 0
	}
	return sum / float64(n)
}

// peerDuration returns how long the other tasks of a run's step take: those that are done or, if
// there are none, those that run on other instances. It returns zero if neither can be measured.
func (s *Scheduler) peerDuration(r *Run) time.Duration {
	if took := r.entry.durations[stepKey{r.ref.Occurrence, r.ref.Step}]; took.n > 0 {
		return took.mean()
	}
	var sum time.Duration
	n := 0
	for ref, o := range r.entry.runs {
		if ref.Occurrence != r.ref.Occurrence || ref.Step != r.ref.Step || o.worker == r.worker || o.progress <= o.from || o.state != runLive {
			continue
		}
		sum += o.total()
		n++
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

// remaining returns the expected remaining time of a run.
func (s *Scheduler) remaining(now time.Time, r *Run) time.Duration {
	age := now.Sub(r.liveAt)
	if r.measured() {
		left := r.total() * time.Duration(wholePercent-r.progress) / wholePercent
		return max(0, left-now.Sub(r.progressAt))
	}
	expected := s.estimates.duration(r.entry.job.Queue(), r.step())
	if took := r.entry.durations[stepKey{r.ref.Occurrence, r.ref.Step}]; took.n > 0 {
		expected = took.mean()
	}
	return max(0, expected-age)
}

// stepDurations holds the number and the total duration of the finished tasks of a step.
type stepDurations struct {
	n   int
	sum time.Duration
}

func (t stepDurations) mean() time.Duration { return t.sum / time.Duration(t.n) }

// addDuration records the duration of a finished task of a step.
func (e *entry) addDuration(key stepKey, d time.Duration) {
	if e.durations == nil {
		e.durations = make(map[stepKey]stepDurations)
	}
	t := e.durations[key]
	e.durations[key] = stepDurations{t.n + 1, t.sum + d}
}
