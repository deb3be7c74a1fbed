package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// This file defines jobs as clients submit them, and what is known of their work units.

// step is a step of a job as encoded on the wire; duration is what the runners know of it.
type step struct {
	Count    int    `json:"count"`
	CPU      int64  `json:"cpu"`
	MemoryMB int64  `json:"memory_request_mb"`
	Estimate int64  `json:"estimated_ms"`
	After    []int  `json:"after_revision,omitempty"`
	Saves    bool   `json:"checkpointing,omitempty"`
	Gang     bool   `json:"gang_scheduled,omitempty"`
	Lasts    bool   `json:"long_running,omitempty"`
	Copies   bool   `json:"allow_concurrent,omitempty"`
	Apart    int    `json:"anti_affinity,omitempty"`
	MayMiss  int    `json:"may_miss,omitempty"`
	Needs    string `json:"requirements,omitempty"`

	duration time.Duration
	// ends, if set, decides how a run ends besides.
	ends func(r *run, worked time.Duration) string
}

// job is a job that a client submits.
type job struct {
	id           string
	text         string
	steps        []*step
	units        map[string]*unit
	advised      bool // whether its queue asks for advice
	acknowledged time.Time
}

// unit is a work unit of a job.
type unit struct {
	job   *job
	step  *step
	index int
	name  string
	group string

	starts  int
	doneAt  time.Time
	lastEnd time.Time
	noted   bool // whether its end as done is taken note of
	again   bool // whether it was started after it was done
}

// owner returns what a checkpoint belongs to: the work unit, or all of a gang.
func (u *unit) owner() string {
	if u.step.Gang {
		return u.group
	}
	return u.name
}

// endsBy returns how a run ends that has worked for a time, empty if it goes on.
func (u *unit) endsBy(r *run, worked time.Duration) string {
	if u.step.ends != nil {
		if how := u.step.ends(r, worked); how != "" {
			return how
		}
	}
	if !u.step.Lasts && r.base+worked >= u.step.duration {
		return "done"
	}
	return ""
}

func newJob(id, text string, steps ...*step) *job {
	j := &job{id: id, text: text, steps: steps, units: make(map[string]*unit)}
	for n, s := range steps {
		for i := range s.Count {
			group := fmt.Sprintf("%s.0.%d", id, n)
			name := group + "." + strconv.Itoa(i)
			j.units[name] = &unit{job: j, step: s, index: i, name: name, group: group}
		}
	}
	return j
}

// prefix returns the path prefix of the job's queue.
func (j *job) prefix() string {
	if j.advised {
		return advisedPath
	}
	return queuePath
}

// unit returns the work unit with a name, nil if no client has sent it.
func (w *world) unit(task string) *unit {
	id, _, _ := strings.Cut(task, ".")
	if j := w.jobs[id]; j != nil {
		return j.units[task]
	}
	return nil
}

// noteStart records a start and checks the rules TWICE and ORDER.
func (w *world) noteStart(x *runner, r *run) {
	u := r.unit
	u.starts++
	w.record.printf("start of %s run %d on %s, checkpoint %q", r.task, r.number, x.id, r.checkpoint)
	for _, o := range w.runners {
		if o != x && o.up && o.runs[r.task] != nil && !u.step.Copies {
			w.record.breach("TWICE", "%s runs on %s and on %s", r.task, x.id, o.id)
		}
	}
	if !u.doneAt.IsZero() && !u.step.Copies {
		u.again = true
		if u.noted {
			w.record.breach("TWICE", "%s starts although it is done and that is taken note of", r.task)
		}
	}
	for _, n := range u.step.After {
		for _, o := range u.job.units {
			if o.step == u.job.steps[n] && o.doneAt.IsZero() {
				w.record.breach("ORDER", "%s starts before %s is done", r.task, o.name)
			}
		}
	}
}

// noteEnd records the end of a run.
func (w *world) noteEnd(x *runner, r *run, how string) {
	w.record.printf("end of %s run %d on %s: %s, saved %q", r.task, r.number, x.id, how, r.saved)
	r.unit.lastEnd = time.Now()
	if how != "done" {
		return
	}
	for _, u := range r.unit.job.units {
		if u == r.unit || u.step == r.unit.step && u.step.Gang {
			u.doneAt = time.Now()
		}
	}
}

// noted records that an end is taken note of.
func (w *world) noted(e end) {
	u := w.unit(e.task)
	if u == nil || e.how != "done" {
		return
	}
	u.noted = true
	if u.again {
		w.record.breach("TWICE", "%s was started after it was done, and that end is taken note of", e.task)
	}
}
