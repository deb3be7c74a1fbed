package workload

import (
	"encoding/json"
	"fmt"
	"time"
)

// This file defines the stored form of an accepted job, which is written once.

// acceptedDocument is the stored form of an accepted job.
type acceptedDocument struct {
	Queue     string    `json:"queue"`
	Customer  string    `json:"customer,omitempty"`
	Policy    Policy    `json:"policy"`
	Spec      *Spec     `json:"spec"`
	Submitted time.Time `json:"submitted"`
	// FirstSubmitted is when the customer first submitted the job, if that was before Submitted.
	// Earlier versions of the program neither write nor read it.
	FirstSubmitted time.Time `json:"firstSubmitted,omitzero"`
}

// EncodeAccepted returns the stored form of the job as it was accepted.
func (j *Job) EncodeAccepted() ([]byte, error) {
	d := acceptedDocument{Queue: j.queue, Customer: j.customer, Policy: j.policy, Spec: j.spec, Submitted: j.submitted}
	if j.age > 0 {
		d.FirstSubmitted = j.FirstSubmitted()
	}
	return json.Marshal(d)
}

// DecodeAccepted decodes the stored form of the job called id. It fails if no customer
// could have submitted the job.
func DecodeAccepted(id string, data []byte) (*Job, error) {
	var d acceptedDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, fmt.Errorf("stored job %s: %w", id, err)
	}
	if d.Spec == nil {
		return nil, fmt.Errorf("stored job %s has no spec", id)
	}
	if err := d.Spec.Check(); err != nil {
		// Each owner in turn would run out of memory for a step of a billion tasks.
		return nil, fmt.Errorf("stored job %s: %w", id, err)
	}
	return New(id, d.Queue, d.Policy, d.Spec, d.Submitted, WithCustomer(d.Customer), WithFirstSubmitted(d.FirstSubmitted)), nil
}
