package schedule

import (
	"log/slog"
	"sort"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/workload"
)

// This file defines gangs: the tasks of a step that can only work together. They are placed together
// under one run number, and the end of one ends all.

// gatherShare is the share of GangTimeout after which a gang whose members are not all running is
// given up. A member that waits out the whole time has held its resources for nothing.
const gatherShare = 0.6

// A gang is one start of all tasks of a step.
type gang struct {
	entry  *entry
	k      int
	step   int
	number int
	since  time.Time
}

// otherMembers returns the runs of the other members of a run's gang, by index.
func (s *Scheduler) otherMembers(r *Run) []*Run {
	var out []*Run
	for ref, other := range r.entry.runs {
		if other != r && ref.Occurrence == r.ref.Occurrence && ref.Step == r.ref.Step {
			out = append(out, other)
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].ref.Index < out[k].ref.Index })
	return out
}

// stopRestOfGang stops the other members of a run's gang because the run has ended or never started.
func (s *Scheduler) stopRestOfGang(now time.Time, r *Run, reason string) {
	for _, member := range s.otherMembers(r) {
		s.stop(now, member, reason)
	}
}

// gangDone handles the successful end of a gang: the end of one member counts for all.
func (s *Scheduler) gangDone(now time.Time, r *Run) {
	for _, member := range s.otherMembers(r) {
		s.removeRun(now, member)
	}
	for i := range r.entry.job.Spec().Steps[r.ref.Step].Count {
		ref := r.ref
		ref.Index = i
		if t := r.entry.job.Task(ref); t != nil && t.Phase != workload.Done {
			r.entry.job.Finish(ref)
		}
	}
	s.markDirty(r.entry, true)
	s.endJobIfDone(now, r.entry)
}

// expireGangs gives up gangs whose members do not all start in time, before the members have waited
// in vain.
func (s *Scheduler) expireGangs(now time.Time) {
	for g := range s.gangs {
		gathered, first := 0, (*Run)(nil)
		for ref, r := range g.entry.runs {
			if ref.Occurrence != g.k || ref.Step != g.step || r.number != g.number {
				continue
			}
			first = r
			if r.state == runLive {
				gathered++
			}
		}
		switch {
		case first == nil, gathered == g.entry.job.Spec().Steps[g.step].Count:
			delete(s.gangs, g)
		case now.Sub(g.since) > time.Duration(gatherShare*float64(s.settings.GangTimeout)):
			delete(s.gangs, g)
			event.GangGivenUp.Log(s.logger, slog.String("job", g.entry.job.ID()), slog.Int("step", g.step),
				slog.Int("run", g.number), slog.Int("gathered", gathered))
			s.stop(now, first, "its gang did not gather in time")
			s.stopRestOfGang(now, first, "its gang did not gather in time")
		}
	}
}

// placeGang places all tasks of a gang, or none. It reports whether it placed them.
func (p *placement) placeGang(tasks []waitingTask) bool {
	chosen := p.chooseForGang(tasks)
	if chosen == nil {
		p.reserveForGang(tasks)
		return false
	}
	number := 0
	for _, t := range tasks {
		number = max(number, t.entry.job.Task(t.ref).Run)
	}
	for n, t := range tasks {
		p.scheduler.assign(p.now, t, chosen[n], number+1, len(p.workers))
	}
	t := tasks[0]
	p.scheduler.gangs[&gang{entry: t.entry, k: t.ref.Occurrence, step: t.ref.Step, number: number + 1, since: p.now}] = struct{}{}
	return true
}

// chooseForGang returns a worker for each task of a gang, or nil if they do not all fit. A gang that
// serves accepts every worker after a while, as a single serving task does.
func (p *placement) chooseForGang(tasks []waitingTask) []*Worker {
	first := tasks[0]
	for _, workers := range gangSets(first.step, p.workers) {
		if chosen := p.fitGang(tasks, workers, p.scheduler.permits); chosen != nil {
			return chosen
		}
	}
	if first.step.Service && first.waited(p.now) >= besideWait {
		return p.fitGang(tasks, p.withAvoided(), p.scheduler.permitsBeside)
	}
	return nil
}

// gangSets returns the sets of some workers on which the tasks of a step may be placed, in order of
// preference: single racks for a gang that is slower across racks, then all the workers.
func gangSets(step *workload.Step, workers []*Worker) [][]*Worker {
	if !step.Gang || !step.SameRack {
		return [][]*Worker{workers}
	}
	racks := make(map[string][]*Worker)
	for _, w := range workers {
		racks[w.inc.Rack()] = append(racks[w.inc.Rack()], w)
	}
	if len(racks) == 1 {
		return [][]*Worker{workers}
	}
	names := make([]string, 0, len(racks))
	for name := range racks {
		names = append(names, name)
	}
	sort.Strings(names)
	sets := make([][]*Worker, 0, len(names)+1)
	for _, name := range names {
		sets = append(sets, racks[name])
	}
	return append(sets, workers)
}

// fitGang returns a worker for each task of a gang, or nil if they do not all fit.
func (p *placement) fitGang(tasks []waitingTask, workers []*Worker, may permission) []*Worker {
	step := tasks[0].step
	need := step.Reservation()
	taken := make(map[*Worker]int)
	chosen := make([]*Worker, 0, len(tasks))
	for _, t := range tasks {
		var best *Worker
		bestScore := 0.0
		for _, w := range workers {
			if !p.holds(w, t, need, taken[w]) || !may(t, w, p.now) {
				continue
			}
			score := p.scheduler.score(p.now, t, w)
			if best == nil || score > bestScore {
				best, bestScore = w, score
			}
		}
		if best == nil {
			return nil
		}
		taken[best]++
		chosen = append(chosen, best)
	}
	return chosen
}

// holds reports whether a worker has free resources for a task, and may hold it by the limit of its
// step, in addition to more others of its gang.
func (p *placement) holds(w *Worker, t waitingTask, need pointport.Shape, more int) bool {
	free := w.free
	for range more {
		free = free.Minus(need)
	}
	if !free.Fits(need) {
		return false
	}
	return t.step.MaxPerInstance == 0 || p.scheduler.tasksOfStep(t, w)+more < t.step.MaxPerInstance
}

// reserveForGang reserves workers for a gang that could not be placed.
func (p *placement) reserveForGang(tasks []waitingTask) {
	if tasks[0].displaced() {
		p.reserveDisplaced(tasks)
		return
	}
	p.reserveGang(tasks)
}

// reserveGang excludes as many workers from placement as a gang needs, because smaller tasks would
// otherwise always take the resources that become free. It does so for one gang at a time.
func (p *placement) reserveGang(tasks []waitingTask) {
	if p.gangWaits {
		return
	}
	p.gangWaits = true
	step := tasks[0].step
	need := step.Reservation()
	rest := make([]*Worker, 0, len(p.workers))
	byFree := append([]*Worker(nil), p.workers...)
	sort.SliceStable(byFree, func(i, k int) bool { return byFree[i].free.CPUMilli > byFree[k].free.CPUMilli })
	left := len(tasks)
	for _, w := range byFree {
		fits := 0
		for all := w.freeAfterTasks(); all.Fits(need) && fits < left; all = all.Minus(need) {
			fits++
			if step.MaxPerInstance > 0 && fits >= step.MaxPerInstance {
				break
			}
		}
		if left > 0 && fits > 0 && p.scheduler.permits(tasks[0], w, p.now) {
			left -= fits
			continue
		}
		rest = append(rest, w)
	}
	if left <= 0 {
		sort.Slice(rest, func(i, k int) bool { return rest[i].inc.ID() < rest[k].inc.ID() })
		p.workers = rest
	}
}
