package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/intake"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file defines the operators' API of an entry instance that accepts jobs with
// several steps: submitting, querying and cancelling jobs, and explaining what
// they wait for.

// A JobService accepts jobs, cancels them and returns their status.
type JobService interface {
	Submit(ctx context.Context, q *workload.Queue, id string, spec *workload.Spec) error
	Cancel(ctx context.Context, q *workload.Queue, id string) error
	Status(ctx context.Context, q *workload.Queue, id string) (workload.Status, error)
}

// An Explainer explains the state of jobs and customers.
type Explainer interface {
	// Explain explains the state of a job. It returns false if it does not know
	// the job.
	Explain(ctx context.Context, pool, id string) (schedule.Explanation, bool, error)
	// ExplainCustomer explains the state of a customer in a pool.
	ExplainCustomer(ctx context.Context, pool, name string) (schedule.CustomerExplanation, error)
}

// A CustomerState is the answer to a query about a customer.
type CustomerState struct {
	Name   string          `json:"name"`
	Weight float64         `json:"weight"`
	Cap    pointport.Shape `json:"cap,omitzero"`
	// Keys holds the fingerprints of the customer's API keys.
	Keys []string `json:"keys"`
	// Pools explains the customer's state in each pool whose owner has answered.
	// Silent lists the other pools.
	Pools  []schedule.CustomerExplanation `json:"pools"`
	Silent []string                       `json:"silent,omitempty"`
}

// A JobState is the answer to a query or command about a job.
type JobState struct {
	ID     string          `json:"id"`
	Queue  string          `json:"queue"`
	Status workload.Status `json:"status"`
}

// workloads implements the API.
type workloads struct {
	jobs    JobService
	explain Explainer
	catalog func() *workload.Catalog
}

// NewWorkloads returns the handler of the API. catalog returns the configuration
// in force, or nil while there is none.
func NewWorkloads(jobs JobService, explain Explainer, catalog func() *workload.Catalog) http.Handler {
	a := &workloads{jobs, explain, catalog}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/queues", a.jsonHandler(a.queues))
	mux.HandleFunc("PUT /v1/queues/{queue}/jobs/{id}", a.jsonHandler(a.submit))
	mux.HandleFunc("GET /v1/queues/{queue}/jobs/{id}", a.jsonHandler(a.status))
	mux.HandleFunc("DELETE /v1/queues/{queue}/jobs/{id}", a.jsonHandler(a.cancel))
	mux.HandleFunc("GET /v1/queues/{queue}/jobs/{id}/explanation", a.jsonHandler(a.explanation))
	mux.HandleFunc("GET /v1/customers/{name}", a.jsonHandler(a.customer))
	return mux
}

// jsonHandler returns a handler that encodes the result of do, or its error as a
// Failure, in JSON.
func (a *workloads) jsonHandler(do func(r *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		status := http.StatusOK
		v, err := do(r)
		if err != nil {
			var code string
			status, code = classifyJob(err)
			v = Failure{code, err.Error()}
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		// An error here means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(v)
	}
}

// classifyJob returns the HTTP status and the code of the answer for an error.
func classifyJob(err error) (status int, code string) {
	var field *workload.SpecError
	var missing *pointport.NotFoundError
	var unknown *intake.UnknownJobError
	var refused *intake.RefusedError
	var ambiguous *intake.AmbiguousError
	switch {
	case errors.As(err, &field):
		return http.StatusUnprocessableEntity, "invalid"
	case errors.As(err, &missing), errors.As(err, &unknown):
		return http.StatusNotFound, "not-found"
	case errors.As(err, &refused):
		return http.StatusServiceUnavailable, "refused"
	case errors.As(err, &ambiguous):
		return http.StatusGatewayTimeout, "unsettled"
	}
	return http.StatusServiceUnavailable, "unavailable"
}

// queue returns the queue that a request names.
func (a *workloads) queue(r *http.Request) (*workload.Queue, error) {
	name := r.PathValue("queue")
	if k := a.catalog(); k != nil {
		for i := range k.Queues {
			if k.Queues[i].Name == name {
				return &k.Queues[i], nil
			}
		}
	}
	return nil, &pointport.NotFoundError{Kind: "queue", Name: name}
}

func (a *workloads) queues(*http.Request) (any, error) {
	if k := a.catalog(); k != nil {
		return k.Queues, nil
	}
	return []workload.Queue{}, nil
}

func (a *workloads) submit(r *http.Request) (any, error) {
	q, err := a.queue(r)
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxDocument))
	if err != nil {
		return nil, &workload.SpecError{Field: "document", Value: "", Reason: err.Error()}
	}
	doc, err := workload.ParseDocument(data)
	if err != nil {
		return nil, &workload.SpecError{Field: "document", Value: "", Reason: err.Error()}
	}
	spec, err := doc.Spec()
	if err != nil {
		return nil, err
	}
	id := r.PathValue("id")
	if !workload.ValidID(id) {
		return nil, &workload.SpecError{Field: "id", Value: id, Reason: fmt.Sprintf("must be %d hexadecimal digits", workload.IDDigits)}
	}
	if err := a.jobs.Submit(r.Context(), q, id, spec); err != nil {
		return nil, err
	}
	return JobState{ID: id, Queue: q.Name, Status: workload.Queued}, nil
}

func (a *workloads) status(r *http.Request) (any, error) {
	q, err := a.queue(r)
	if err != nil {
		return nil, err
	}
	id := r.PathValue("id")
	status, err := a.jobs.Status(r.Context(), q, id)
	return JobState{ID: id, Queue: q.Name, Status: status}, err
}

func (a *workloads) cancel(r *http.Request) (any, error) {
	q, err := a.queue(r)
	if err != nil {
		return nil, err
	}
	id := r.PathValue("id")
	if err := a.jobs.Cancel(r.Context(), q, id); err != nil {
		return nil, err
	}
	return JobState{ID: id, Queue: q.Name, Status: workload.Cancelled}, nil
}

// customer returns a customer's configuration and its state in each pool.
func (a *workloads) customer(r *http.Request) (any, error) {
	name, k := r.PathValue("name"), a.catalog()
	if k == nil {
		return nil, &pointport.NotFoundError{Kind: "customer", Name: name}
	}
	c, ok := k.Customers.Find(name)
	if !ok {
		return nil, &pointport.NotFoundError{Kind: "customer", Name: name}
	}
	state := CustomerState{Name: name, Weight: c.Weight, Cap: c.Cap, Keys: []string{}, Pools: []schedule.CustomerExplanation{}}
	for _, key := range c.Keys {
		state.Keys = append(state.Keys, key.Fingerprint())
	}
	for _, pool := range k.WorkPools() {
		x, err := a.explain.ExplainCustomer(r.Context(), pool, name)
		if err != nil {
			state.Silent = append(state.Silent, pool)
			continue
		}
		state.Pools = append(state.Pools, x)
	}
	return state, nil
}

func (a *workloads) explanation(r *http.Request) (any, error) {
	q, err := a.queue(r)
	if err != nil {
		return nil, err
	}
	id := r.PathValue("id")
	x, known, err := a.explain.Explain(r.Context(), q.Pool, id)
	if err == nil && known {
		return x, nil
	}
	// If the owner does not know the job or does not answer, the status comes from
	// the store, which also has the jobs that have ended.
	status, err := a.jobs.Status(r.Context(), q, id)
	return schedule.Explanation{Job: id, Queue: q.Name, Status: status}, err
}
