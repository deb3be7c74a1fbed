package schedule

import (
	"log/slog"
	"sort"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/workload"
)

// This file defines the plan: which waiting task goes where.

// A waiting task is one whose turn has come.
type waiting struct {
	entry *entry
	ref   workload.TaskRef
	step  *workload.Step
}

// Plan decides what to do at now.
func (b *Book) Plan(now time.Time) {
	b.sweep(now)
	b.repeatStops(now)
	b.begin(now)
	b.relocate(now)
	tasks := b.waiting(now)
	if len(tasks) == 0 {
		return
	}
	workers := b.usable(now)
	if len(workers) == 0 {
		return
	}
	for _, t := range tasks {
		if w := b.choose(t, workers); w != nil {
			b.place(now, t, w)
		}
	}
}

// begin starts the occurrences that are due.
func (b *Book) begin(now time.Time) {
	for _, e := range b.jobs {
		if e.ended == "" && e.job.Begin(now.Add(b.settings.Early)) {
			b.touch(e, false)
		}
	}
}

// NextDue returns when the next occurrence of any job is due; false if there is
// none.
func (b *Book) NextDue() (time.Time, bool) {
	var next time.Time
	found := false
	for _, e := range b.jobs {
		if due, ok := e.job.NextDue(); ok && (!found || due.Before(next)) {
			next, found = due, true
		}
	}
	return next, found
}

// waiting returns the tasks whose turn has come, the most pressing first.
func (b *Book) waiting(now time.Time) []waiting {
	var out []waiting
	for _, e := range b.jobs {
		if e.ended != "" || e.job.Stopping() {
			continue
		}
		before := len(out)
		e.job.Occurrences(func(o *workload.Occurrence) { out = b.waitingOf(e, o, out) })
		if len(out) > before {
			e.deadline = b.deadline(e)
		}
	}
	sort.Slice(out, func(i, k int) bool { return less(&out[i], &out[k], now) })
	return out
}

func (b *Book) waitingOf(e *entry, o *workload.Occurrence, out []waiting) []waiting {
	for n, step := range o.Steps {
		if o.Left(n) == 0 || !e.job.Ready(o, n) {
			continue
		}
		for i := range step {
			if step[i].Phase == workload.Pending {
				ref := workload.TaskRef{K: o.K, Step: n, Index: i}
				out = append(out, waiting{e, ref, &e.job.Spec().Steps[n]})
			}
		}
	}
	return out
}

// deadline returns when a job should have ended.
func (b *Book) deadline(e *entry) time.Time {
	chain := time.Duration(0)
	for _, d := range b.learned.chains(e.job.Spec()) {
		chain = max(chain, d)
	}
	p := e.job.Policy()
	return e.job.Submitted().Add(time.Duration(p.Stretch*float64(chain)) + p.Target)
}

// less orders waiting tasks: by priority, then by deadline, then by name so that
// the order is the same each time.
func less(a, b *waiting, _ time.Time) bool {
	if x, y := a.entry.job.Policy().Priority, b.entry.job.Policy().Priority; x != y {
		return x < y
	}
	if !a.entry.deadline.Equal(b.entry.deadline) {
		return a.entry.deadline.Before(b.entry.deadline)
	}
	if a.entry != b.entry {
		return a.entry.job.ID() < b.entry.job.ID()
	}
	if a.ref.K != b.ref.K {
		return a.ref.K < b.ref.K
	}
	if a.ref.Step != b.ref.Step {
		return a.ref.Step < b.ref.Step
	}
	return a.ref.Index < b.ref.Index
}

// usable returns the workers on which tasks may be placed.
func (b *Book) usable(now time.Time) []*Worker {
	var out []*Worker
	for _, w := range b.workers {
		if w.usable(now) {
			out = append(out, w)
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].inc.ID() < out[k].inc.ID() })
	return out
}

// choose returns the worker that suits a task best, or nil.
func (b *Book) choose(t waiting, workers []*Worker) *Worker {
	var best *Worker
	bestScore := 0.0
	room := t.step.Room()
	for _, w := range workers {
		if !w.free.Fits(room) || !w.hasLabel(t.step.Label) || b.crowded(t, w) {
			continue
		}
		score := b.score(t, w)
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// crowded reports whether a worker holds as many tasks of the step as one may.
func (b *Book) crowded(t waiting, w *Worker) bool {
	if t.step.MaxPerInstance == 0 {
		return false
	}
	n := 0
	for _, r := range w.runs {
		if r.entry == t.entry && r.ref.K == t.ref.K && r.ref.Step == t.ref.Step {
			n++
		}
	}
	return n >= t.step.MaxPerInstance
}

const (
	// dataRackScore is what being near the data is worth, in shares of a free
	// instance: elsewhere a task takes twice or three times as long.
	dataRackScore = 2.0
	// servingScore is what it is worth that an instance has serving tasks, which
	// keep it in the pool anyway.
	servingScore = 0.5
	// soonScore is what it is worth that a serving task need not move again.
	soonScore = 2.0
)

// score says how well a worker suits a task; more is better. Work is packed, so
// that instances fall empty and can go where they are needed more.
func (b *Book) score(t waiting, w *Worker) float64 {
	score := -freeShare(w.free, w.inc.Capacity())
	if t.step.DataRack != "" && w.inc.Rack() == t.step.DataRack {
		score += dataRackScore
	}
	if w.serving > 0 {
		score += servingScore
	}
	if t.step.Service && b.soon[w.inc.Instance()] {
		score -= soonScore
	}
	return score
}

// freeShare returns the smaller of the free shares of processors and memory.
func freeShare(free, all pointport.Shape) float64 {
	return min(ratio(free.CPUMilli, all.CPUMilli), ratio(free.MemoryMiB, all.MemoryMiB))
}

func ratio(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// place gives a task to a worker; it is sent once that is stored.
func (b *Book) place(now time.Time, t waiting, w *Worker) {
	number := t.entry.job.Task(t.ref).Run + 1
	t.entry.job.Place(t.ref, w.inc.ID(), number)
	r := b.newRun(now, t.entry, t.ref, w, number, runDecided)
	b.decided = append(b.decided, r)
	b.touch(t.entry, true)
	event.TaskPlaced.Log(b.logger, slog.String("task", r.name), slog.Int("run", number),
		slog.String("incarnation", string(w.inc.ID())), slog.Int64("freeCPUMilli", w.free.CPUMilli))
}
