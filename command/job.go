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

// Bounds of what a job may ask for.
const (
	maxJobKey     = 255
	maxJobName    = 63
	maxJobRuntime = 7 * 24 * time.Hour
)

// A Submission is a job as its customer asks for it. Its fields are exported
// because a codec reads them.
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

// A FieldError says which field of a submission is wrong, and how.
type FieldError struct {
	Field  string
	Value  string
	Reason string
}

func (e *FieldError) Error() string { return fmt.Sprintf("%s: %q: %s", e.Field, e.Value, e.Reason) }

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

// A KeyReusedError says that a key was used before for another job.
type KeyReusedError struct {
	Key string
	Job string // the job that it named
}

func (e *KeyReusedError) Error() string {
	return fmt.Sprintf("key: %q: was used before for job %s, which asks for something else", e.Key, e.Job)
}

// Submit records a job, unless its key was used before: then the job that it
// named is returned.
func Submit(ctx context.Context, log *JobLog, clock pointport.Clock, s Submission) (job.Job, error) {
	if err := s.check(); err != nil {
		return job.Job{}, err
	}
	j := job.Job{
		ID: job.ID(s.Customer, s.Key), Customer: s.Customer, Kind: s.Kind, Service: s.Service, Need: s.Need,
		Runtime: s.Runtime.Value(), Priority: s.Priority, Billed: s.Billed,
		Phase: job.Waiting, Submitted: clock.Now().UTC(), Reason: "not looked at yet",
	}
	var found *foundJob
	id := uuid.NewString()
	_, err := log.Append(ctx, id, func(have *job.State) (job.Change, error) {
		if old, ok := have.Job(j.ID); ok {
			return job.Change{}, &foundJob{old}
		}
		return jobChange(have, clock, id, s.Customer, j), nil
	})
	if errors.As(err, &found) {
		return found.same(s, j)
	}
	return j, err
}

// A foundJob ends an attempt to submit a job that exists.
type foundJob struct{ job job.Job }

func (e *foundJob) Error() string { return "job " + e.job.ID + " exists" }

func (e *foundJob) same(s Submission, j job.Job) (job.Job, error) {
	old := e.job
	if old.Kind != j.Kind || old.Service != j.Service || old.Need != j.Need || old.Billed != j.Billed {
		return job.Job{}, &KeyReusedError{s.Key, old.ID}
	}
	return old, nil
}

// Cancel asks for a job to end. A job that has ended stays as it is.
func Cancel(ctx context.Context, log *JobLog, clock pointport.Clock, author, id string) (job.Job, error) {
	var found *foundJob
	var after job.Job
	change := uuid.NewString()
	_, err := log.Append(ctx, change, func(have *job.State) (job.Change, error) {
		j, ok := have.Job(id)
		if !ok {
			return job.Change{}, &pointport.NotFoundError{Kind: "job", Name: id}
		}
		if j.Phase.Ended() || j.Cancel {
			return job.Change{}, &foundJob{j}
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

func jobChange(have *job.State, clock pointport.Clock, id, author string, j job.Job) job.Change {
	return job.Change{
		ID: id, Version: have.Version() + 1, Author: author, At: clock.Now().UTC(),
		Steps: []job.Step{{Job: j.ID, After: &j}},
	}
}
