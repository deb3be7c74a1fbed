package testbed

import (
	"fmt"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the checks of the orders that a fleet receives.

// addViolation records a violation. The lock is held.
func (f *Fleet) addViolation(now time.Time, task, what string) {
	f.violations = append(f.violations, Violation{At: now, Task: task, What: what})
}

// checkStart records a start and every violation that it constitutes. The lock is held.
func (f *Fleet) checkStart(now time.Time, at *incarnation, r *run, o pointport.StartOrder) {
	f.starts[r.Task]++
	f.startsIn[at.machine.zone]++
	f.checkCrashes(now, r)
	f.checkAttempts(now, r)
	if f.done[r.Task] && !r.work.Copies {
		f.addViolation(now, r.Task, "was started again after its end as done was acknowledged")
	}
	for _, before := range r.work.After {
		if !f.done[before] && !f.listedDone(before) {
			f.addViolation(now, r.Task, "was started before "+before+" is done")
		}
	}
	if r.work.Copies {
		return
	}
	for _, i := range f.incarnations {
		if i == at || i.gone {
			continue
		}
		i.advance(now)
		if other := i.runs[r.Task]; other != nil {
			f.addViolation(now, r.Task, fmt.Sprintf("has run %d on %s and run %d on %s at the same time", other.Run, i.id, o.Run, at.id))
		}
	}
}

// checkStop records a violation if an order stops a serving task that serves while as many others
// of its step as may be away are already away by order. The lock is held.
func (f *Fleet) checkStop(now time.Time, at *incarnation, r *run) {
	if r.work.MayMiss == 0 || r.progress(now) < fullProgress || !at.machine.drainsAt.IsZero() {
		return
	}
	step := gangName(r.Task)
	for _, i := range f.incarnations {
		if i.gone {
			continue
		}
		for _, o := range i.runs {
			if o.progress(now) >= fullProgress && o.stopsAt.IsZero() {
				delete(f.stoppedServices, o.Task) // it serves again
			}
		}
	}
	away := 0
	for task := range f.stoppedServices {
		if task != r.Task && gangName(task) == step {
			away++
		}
	}
	if away >= r.work.MayMiss {
		f.addViolation(now, r.Task, fmt.Sprintf("was stopped while %d others of its step were away; %d may be", away, r.work.MayMiss))
	}
	f.stoppedServices[r.Task] = true
}

// listedDone reports whether a task has ended as done and its incarnation lists the end, or listed
// it when the incarnation itself ended. The lock is held.
func (f *Fleet) listedDone(task string) bool {
	for _, ends := range f.unacknowledged {
		for _, t := range ends {
			if t == task {
				return true
			}
		}
	}
	return false
}

// noteDone records that a run has ended as done. The lock is held.
func (f *Fleet) noteDone(t pointport.TaskRun, at *incarnation) {
	if f.unacknowledged[at] == nil {
		f.unacknowledged[at] = make(map[int64]string)
	}
	f.unacknowledged[at][at.lastEndNumber] = t.Task
}

// noteAcknowledged records that the ends up to a number were acknowledged. The lock is held.
func (f *Fleet) noteAcknowledged(at *incarnation, upTo int64) {
	f.noteFailuresAcknowledged(at, upTo)
	for number, task := range f.unacknowledged[at] {
		if number <= upTo {
			f.done[task] = true
			delete(f.unacknowledged[at], number)
		}
	}
}

// noteListed records the ends that an answer lists. The lock is held.
func (f *Fleet) noteListed(now time.Time, ends []pointport.TaskEnd) {
	for _, e := range ends {
		if _, ok := f.listedSince[e.Task]; !ok && e.Kind == pointport.EndDone {
			f.listedSince[e.Task] = now
		}
	}
}

// answerReceiptTime is how long an answer may take until its owner has received and handled it.
const answerReceiptTime = 100 * time.Millisecond

// noteEndedByOrder records that an order ends an incarnation which lists ends that its owner has
// received. Nobody can learn of these ends from the incarnation any more, so they count as
// acknowledged. The lock is held.
func (f *Fleet) noteEndedByOrder(now time.Time, inc *incarnation) {
	for _, task := range f.unacknowledged[inc] {
		if since, ok := f.listedSince[task]; ok && now.Sub(since) >= answerReceiptTime {
			f.done[task] = true
		}
	}
}
