package workload

import "time"

// This file defines when a job was accepted and when its customer first submitted it.

// MaxSubmissionAge bounds how long before its acceptance a job may have been submitted first.
// Customers give up a few seconds after their first attempt.
const MaxSubmissionAge = 5 * time.Second

// WithFirstSubmitted sets when the customer first submitted the job, if earlier submissions of it
// were refused. A time after the job's acceptance counts as the acceptance, and one that is more
// than MaxSubmissionAge before it as the earliest possible. The zero time has no effect.
func WithFirstSubmitted(at time.Time) Option {
	return func(j *Job) {
		if !at.IsZero() && at.Before(j.submitted) {
			j.age = min(j.submitted.Sub(at), MaxSubmissionAge)
		}
	}
}

// Submitted returns when the job was accepted.
func (j *Job) Submitted() time.Time { return j.submitted }

// FirstSubmitted returns when the customer first submitted the job, from which its objective
// counts. It is at most Submitted.
func (j *Job) FirstSubmitted() time.Time { return j.submitted.Add(-j.age) }
