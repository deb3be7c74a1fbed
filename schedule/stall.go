package schedule

import (
	"log/slog"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/workload"
)

// This file defines how runs are found that stand still or crawl: an instance may
// say that it is well and yet do nothing, or work many times slower than others.

const (
	// stuckAfter is for how long a run shows no progress before it counts as
	// stuck. Reports come at least once a second.
	stuckAfter = 1500 * time.Millisecond
	// stuckMost is how often a task is started anew because it is stuck. A task
	// that crawled is started anew once: if it crawls again, it is itself slow.
	stuckMost = 3
	// crawlAfter is how old a run must be before its speed says anything.
	crawlAfter = 600 * time.Millisecond
	// crawlFactor is how many times as long as others of its step a run must
	// probably take to be started anew elsewhere, if it is alone on its instance;
	// crawlTogether is enough if the other runs there are as slow. Tasks of a step
	// differ by a third, and those that are done first are the short ones.
	crawlFactor   = 4.0
	crawlTogether = 2.6
	// restartCost stands for what a new start takes beside the work itself.
	restartCost = 250 * time.Millisecond
	// stallAvoid is for how long an instance is avoided on which a run stood
	// still or crawled.
	stallAvoid = 2500 * time.Millisecond
	// wholePercent is the progress of a run that is done.
	wholePercent = 100
)

// stopStalledRuns stops the runs of a worker that would be done sooner elsewhere.
func (b *Scheduler) stopStalledRuns(now time.Time, w *Worker) {
	for _, r := range w.runs {
		if r.state != runLive || r.stopping || r.step().Service || r.step().Gang || r.progress >= wholePercent || r.pace < fullPace {
			continue
		}
		again := r.entry.stalled[r.ref]
		stuck := r.stuck() && again < stuckMost
		if !stuck && (again > 0 || !b.crawls(r)) {
			continue
		}
		event.RunStalled.Log(b.logger, slog.String("task", r.name), slog.Int("run", r.number),
			slog.String("incarnation", string(w.inc.ID())), slog.Duration("age", r.age()),
			slog.Int("progress", r.progress), slog.Duration("unchanged", r.unchanged()))
		if r.entry.stalled == nil {
			r.entry.stalled = make(map[workload.TaskRef]int)
		}
		r.entry.stalled[r.ref]++
		w.health.stalled(now)
		b.stop(now, r, "it would be done sooner elsewhere")
	}
}

// stuck reports whether a run shows no progress any more.
func (r *Run) stuck() bool { return r.unchanged() > stuckAfter }

// unchanged returns for how long a run has shown the same progress, by its instance's
// clock: an owner that is late takes answers in at times that say nothing of the run.
func (r *Run) unchanged() time.Duration {
	if r.movedAt.IsZero() {
		return 0
	}
	return time.Duration(r.shownAt - r.movedClock)
}

// crawls reports whether a run would be done sooner elsewhere, going by the
// other runs of its step.
func (b *Scheduler) crawls(r *Run) bool {
	if r.age() < crawlAfter || r.progress <= r.from {
		return false
	}
	others := b.others(r)
	if others == 0 {
		return false
	}
	whole := r.whole()
	factor := crawlFactor
	if b.slowness(r.worker) > crawlTogether {
		factor = crawlTogether
	}
	left := whole * time.Duration(wholePercent-r.progress) / wholePercent
	return float64(whole) > factor*float64(others) && left > others+restartCost
}

// age returns for how long a run was known to run when it was last reported.
func (r *Run) age() time.Duration { return time.Duration(r.shownAt - r.liveClock) }

// measured reports whether the progress that was seen of a run tells how fast it is.
func (r *Run) measured() bool { return r.progress > r.from && r.movedClock > r.liveClock }

// whole returns how long the whole task takes by the progress that was seen of
// the run, which must be some. It goes by the instance's clock: a report that is taken in
// late made every run on the instance look slow.
func (r *Run) whole() time.Duration {
	return time.Duration(r.movedClock-r.liveClock) * wholePercent / time.Duration(r.progress-r.from)
}

// observeProgress takes in the progress that a report shows whose clock showed a time. A report that
// was passed by a newer one says nothing new.
func (r *Run) observeProgress(now time.Time, clock pointport.InstanceClock, progress int) {
	if clock < r.shownAt {
		return
	}
	r.shownAt = clock
	if r.movedAt.IsZero() || progress != r.progress {
		r.movedClock = clock
	}
	switch {
	case r.movedAt.IsZero():
		if r.inherited || r.age() > freshReport {
			r.from = progress
		}
		r.progress, r.movedAt = progress, now
	case progress != r.progress:
		r.progress, r.movedAt = progress, now
	}
}

// freshReport is how old a run may be when its first report comes for the
// progress in it to count from the run's beginning.
const freshReport = 1500 * time.Millisecond

// slowness returns how many times as long as elsewhere the runs on a worker
// take, zero if there are too few to tell.
func (b *Scheduler) slowness(w *Worker) float64 {
	sum, n := 0.0, 0
	for _, r := range w.runs {
		if r.state != runLive || r.step().Service || !r.measured() {
			continue
		}
		if others := b.others(r); others > 0 {
			sum += float64(r.whole()) / float64(others)
			n++
		}
	}
	const tellingRuns = 2
	if n < tellingRuns {
		return 0
	}
	return sum / float64(n)
}

// others returns how long the other tasks of a run's step take, those that are
// done or, if none is, those that run on other instances; zero if neither says
// anything.
func (b *Scheduler) others(r *Run) time.Duration {
	if took := r.entry.durations[stepKey{r.ref.Occurrence, r.ref.Step}]; took.n > 0 {
		return took.mean()
	}
	var sum time.Duration
	n := 0
	for ref, o := range r.entry.runs {
		if ref.Occurrence != r.ref.Occurrence || ref.Step != r.ref.Step || o.worker == r.worker || o.progress <= o.from || o.state != runLive {
			continue
		}
		sum += o.whole()
		n++
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

// remaining returns how long a run will probably go on.
func (b *Scheduler) remaining(now time.Time, r *Run) time.Duration {
	age := now.Sub(r.liveAt)
	if r.measured() {
		left := r.whole() * time.Duration(wholePercent-r.progress) / wholePercent
		return max(0, left-now.Sub(r.movedAt))
	}
	expected := b.estimates.duration(r.entry.job.Queue(), r.step())
	if took := r.entry.durations[stepKey{r.ref.Occurrence, r.ref.Step}]; took.n > 0 {
		expected = took.mean()
	}
	return max(0, expected-age)
}

// stepDurations is how long the tasks of a step took that are done.
type stepDurations struct {
	n   int
	sum time.Duration
}

func (t stepDurations) mean() time.Duration { return t.sum / time.Duration(t.n) }

// addDuration takes in how long a task of a step took.
func (e *entry) addDuration(key stepKey, d time.Duration) {
	if e.durations == nil {
		e.durations = make(map[stepKey]stepDurations)
	}
	t := e.durations[key]
	e.durations[key] = stepDurations{t.n + 1, t.sum + d}
}
