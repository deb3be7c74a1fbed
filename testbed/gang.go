package testbed

import (
	"time"

	"github.com/pointport/pointport"
)

// This file defines how the runs of a gang start and end together.

// startGangIfComplete makes a gang begin to work once all its members are present. The lock is
// held.
func (f *Fleet) startGangIfComplete(now time.Time, r *run) {
	if r.work.Gang <= 1 {
		return
	}
	members := f.gangMembers(r)
	if len(members) < r.work.Gang {
		return
	}
	for _, m := range members {
		m.run.workingSince = now
	}
}

// A gangMember is a run of a gang and the incarnation that it runs on.
type gangMember struct {
	run *run
	at  *incarnation
}

// gangMembers returns the runs of the gang that a run belongs to. The lock is held.
func (f *Fleet) gangMembers(r *run) []gangMember {
	var out []gangMember
	for _, i := range f.incarnations {
		if i.gone {
			continue
		}
		for _, o := range i.runs {
			if gangName(o.Task) == gangName(r.Task) && o.Run == r.Run {
				out = append(out, gangMember{o, i})
			}
		}
	}
	return out
}

// gangName returns the name of a task without its index.
func gangName(task string) string {
	for n := len(task) - 1; n >= 0; n-- {
		if task[n] == '.' {
			return task[:n]
		}
	}
	return task
}

// breakGang ends the other members of a gang after one has ended other than as done. The lock is
// held.
func (f *Fleet) breakGang(r *run) {
	if r.work.Gang <= 1 {
		return
	}
	for _, m := range f.gangMembers(r) {
		if m.run != r {
			m.at.endRun(m.run, pointport.EndGangBroken)
		}
	}
}

// finishGang ends the other members of a gang as done after one has ended as done. The lock is
// held.
func (f *Fleet) finishGang(r *run) {
	if r.work.Gang <= 1 {
		return
	}
	for _, m := range f.gangMembers(r) {
		f.endAsDone(m.at, m.run, r.endsAt())
	}
}
