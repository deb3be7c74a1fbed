package schedule

import (
	"slices"
	"time"

	"github.com/pointport/pointport/workload"
)

// This file keeps the results of ended jobs for a limited time, for status requests.

// An endedJob is the result of a job.
type endedJob struct {
	status   workload.Status
	customer string
	at       time.Time // when its end was stored
}

// endedJobs holds the results of ended jobs.
type endedJobs struct {
	byID map[string]endedJob
	ids  []string // in the order of their ends, so that forget need not search all
}

func newEndedJobs() *endedJobs { return &endedJobs{byID: make(map[string]endedJob)} }

func (j *endedJobs) add(id string, result endedJob) {
	j.byID[id] = result
	j.ids = append(j.ids, id)
}

func (j *endedJobs) get(id string) (endedJob, bool) {
	result, ok := j.byID[id]
	return result, ok
}

// forget removes the results of jobs that ended before a time.
func (j *endedJobs) forget(before time.Time) {
	n := 0
	for n < len(j.ids) && j.byID[j.ids[n]].at.Before(before) {
		delete(j.byID, j.ids[n])
		n++
	}
	j.ids = slices.Delete(j.ids, 0, n)
}
