package command

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/changelog"
	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/job"
)

// This file defines the commands about jobs.

// JobLog is the log of a zone's jobs.
type JobLog = changelog.Log[*job.State, job.Change]

// Limits on the fields of a submission: lengths in bytes, the run time, and the need in each unit,
// a million cores or a petabyte of memory. No instance has more, and sums of needs do not overflow.
const (
	maxJobKey     = 255
	maxJobName    = 63
	maxJobRuntime = 7 * 24 * time.Hour
	maxJobNeed    = 1_000_000_000
)

// A Submission is a customer's request to run a job. Its fields are exported for
// decoding.
type Submission struct {
	Key      string          `json:"key"`
	Customer string          `json:"customer"`
	Kind     string          `json:"kind"`
	Service  string          `json:"service"`
	Need     pointport.Shape `json:"need"`
	// Runtime is the declared run time.
	Runtime  config.Duration `json:"runtime"`
	Priority config.Priority `json:"priority"`
	Billed   bool            `json:"billed"`
}

// A FieldError reports an invalid field of a request. Reason states what the field
// must be.
type FieldError struct {
	Field  string
	Value  string
	Reason string
}

func (e *FieldError) Error() string { return fmt.Sprintf("%s: %q: %s", e.Field, e.Value, e.Reason) }

// check validates the submission and sets its priority if there is none.
func (s *Submission) check() error {
	switch {
	case s.Key == "" || len(s.Key) > maxJobKey:
		return &FieldError{"key", s.Key, fmt.Sprintf("must have from 1 to %d bytes", maxJobKey)}
	case s.Customer == "" || len(s.Customer) > maxJobName:
		return &FieldError{"customer", s.Customer, fmt.Sprintf("must have from 1 to %d bytes", maxJobName)}
	case s.Kind == "" || len(s.Kind) > maxJobName:
		return &FieldError{"kind", s.Kind, fmt.Sprintf("must have from 1 to %d bytes", maxJobName)}
	case s.Service == "" || len(s.Service) > maxJobName:
		return &FieldError{"service", s.Service, fmt.Sprintf("must have from 1 to %d bytes", maxJobName)}
	case s.Need.CPUMilli <= 0 || s.Need.MemoryMiB < 0 || s.Need.Accelerators < 0:
		return &FieldError{"need", fmt.Sprintf("%+v", s.Need), "must ask for some processor and nothing negative"}
	case s.Need.CPUMilli > maxJobNeed || s.Need.MemoryMiB > maxJobNeed || s.Need.Accelerators > maxJobNeed:
		return &FieldError{"need", fmt.Sprintf("%+v", s.Need), fmt.Sprintf("must not exceed %d in any unit", maxJobNeed)}
	case s.Runtime.Value() <= 0 || s.Runtime.Value() > maxJobRuntime:
		return &FieldError{"runtime", s.Runtime.String(), fmt.Sprintf("must be a duration with its unit, up to %v", maxJobRuntime)}
	}
	switch s.Priority {
	case "":
		s.Priority = config.Normal
	case config.Urgent, config.Normal, config.Bulk:
	default:
		return &FieldError{"priority", string(s.Priority), "must be one of urgent, normal, bulk"}
	}
	return nil
}

// A KeyReusedError reports that a key was used before for a different job.
type KeyReusedError struct {
	Key string
	Job string // the ID of the job that was submitted with the key
}

func (e *KeyReusedError) Error() string {
	return fmt.Sprintf("key: %q: was used before for job %s, which asks for something else", e.Key, e.Job)
}

// Submit records a job and returns it. If the customer has used the key before,
// it returns the earlier job; it fails with a *KeyReusedError if that job asks
// for something else, and with a *FieldError if a field is invalid. It fails like
// Configure if the store does.
func Submit(ctx context.Context, log *JobLog, clock pointport.Clock, s Submission) (job.Job, error) {
	if err := s.check(); err != nil {
		return job.Job{}, err
	}
	j := job.Job{
		ID: job.ID(s.Customer, s.Key), Customer: s.Customer, Kind: s.Kind, Service: s.Service, Need: s.Need,
		Runtime: s.Runtime.Value(), Priority: s.Priority, Billed: s.Billed,
		Phase: job.Waiting, Submitted: clock.Now().UTC(), Reason: "not looked at yet",
	}
	var found *existingJobError
	id := uuid.NewString()
	_, err := log.Append(ctx, id, func(have *job.State) (job.Change, error) {
		if old, ok := have.Job(j.ID); ok {
			return job.Change{}, &existingJobError{old}
		}
		return jobChange(have, clock, id, s.Customer, j), nil
	})
	if errors.As(err, &found) {
		return found.sameJob(s, j)
	}
	return j, err
}

// An existingJobError ends an attempt to change a job that needs no change.
type existingJobError struct{ job job.Job }

func (e *existingJobError) Error() string { return "job " + e.job.ID + " exists" }

// sameJob returns the existing job if it asks for the same as j.
func (e *existingJobError) sameJob(s Submission, j job.Job) (job.Job, error) {
	old := e.job
	if old.Kind != j.Kind || old.Service != j.Service || old.Need != j.Need || old.Billed != j.Billed {
		return job.Job{}, &KeyReusedError{s.Key, old.ID}
	}
	return old, nil
}

// Cancel requests the end of a job and returns the job. A job that has ended or
// whose cancellation was requested before is returned unchanged. Cancel fails with
// a *pointport.NotFoundError if the job does not exist.
func Cancel(ctx context.Context, log *JobLog, clock pointport.Clock, author, id string) (job.Job, error) {
	var found *existingJobError
	var after job.Job
	change := uuid.NewString()
	_, err := log.Append(ctx, change, func(have *job.State) (job.Change, error) {
		j, ok := have.Job(id)
		if !ok {
			return job.Change{}, &pointport.NotFoundError{Kind: "job", Name: id}
		}
		if j.Phase.Ended() || j.Cancel {
			return job.Change{}, &existingJobError{j}
		}
		j.Cancel = true
		if j.Phase == job.Waiting {
			j.Phase, j.Ended, j.Reason = job.Cancelled, clock.Now().UTC(), "cancelled before it ran"
		}
		after = j
		return jobChange(have, clock, change, author, j), nil
	})
	if errors.As(err, &found) {
		return found.job, nil
	}
	return after, err
}

// jobChange returns the change that replaces a job in have.
func jobChange(have *job.State, clock pointport.Clock, id, author string, j job.Job) job.Change {
	return job.Change{
		ID: id, Version: have.Version() + 1, Author: author, At: clock.Now().UTC(),
		Steps: []job.Step{{Job: j.ID, After: &j}},
	}
}
