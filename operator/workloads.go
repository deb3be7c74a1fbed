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

// This file defines the operators' API of an entry instance that takes jobs of
// steps: it hands jobs in, follows and cancels them, and explains what they wait
// for.

// A JobService takes jobs.
type JobService interface {
	Submit(ctx context.Context, q *workload.Queue, id string, spec *workload.Spec) error
	Cancel(ctx context.Context, q *workload.Queue, id string) error
	Status(ctx context.Context, q *workload.Queue, id string) (workload.Status, error)
}

// An Explainer says how jobs and customers stand and why.
type Explainer interface {
	// Explain says how a job stands; false if it does not know the job.
	Explain(ctx context.Context, pool, id string) (schedule.Explanation, bool, error)
	// ExplainCustomer says how a customer stands in a pool.
	ExplainCustomer(ctx context.Context, pool, name string) (schedule.CustomerExplanation, error)
}

// A CustomerState is what the API says of a customer.
type CustomerState struct {
	Name   string          `json:"name"`
	Weight float64         `json:"weight"`
	Cap    pointport.Shape `json:"cap,omitzero"`
	// Keys holds the fingerprints of its keys.
	Keys []string `json:"keys"`
	// Pools says how it stands in each pool whose owner has answered, Silent names the
	// others.
	Pools  []schedule.CustomerExplanation `json:"pools"`
	Silent []string                       `json:"silent,omitempty"`
}

// A JobState is what the API says of a job.
type JobState struct {
	ID     string          `json:"id"`
	Queue  string          `json:"queue"`
	Status workload.Status `json:"status"`
}

// workloads is the API.
type workloads struct {
	desk    JobService
	explain Explainer
	catalog func() *workload.Catalog
}

// NewWorkloads returns the handler of the API. catalog returns the configuration
// in force, nil while there is none.
func NewWorkloads(desk JobService, explain Explainer, catalog func() *workload.Catalog) http.Handler {
	a := &workloads{desk, explain, catalog}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/queues", a.answer(a.queues))
	mux.HandleFunc("PUT /v1/queues/{queue}/jobs/{id}", a.answer(a.submit))
	mux.HandleFunc("GET /v1/queues/{queue}/jobs/{id}", a.answer(a.status))
	mux.HandleFunc("DELETE /v1/queues/{queue}/jobs/{id}", a.answer(a.cancel))
	mux.HandleFunc("GET /v1/queues/{queue}/jobs/{id}/explanation", a.answer(a.explanation))
	mux.HandleFunc("GET /v1/customers/{name}", a.answer(a.customer))
	return mux
}

// answer turns a function into a handler that answers in JSON.
func (a *workloads) answer(do func(r *http.Request) (any, error)) http.HandlerFunc {
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
		// An error here means that the caller has gone.
		_ = json.NewEncoder(w).Encode(v)
	}
}

// classifyJob returns the status and the code that a caller sees of an error.
func classifyJob(err error) (status int, code string) {
	var field *workload.SpecError
	var missing *pointport.NotFoundError
	var unknown *intake.UnknownJobError
	var refused *intake.RefusedError
	var unsure *intake.AmbiguousError
	switch {
	case errors.As(err, &field):
		return http.StatusUnprocessableEntity, "invalid"
	case errors.As(err, &missing), errors.As(err, &unknown):
		return http.StatusNotFound, "not-found"
	case errors.As(err, &refused):
		return http.StatusServiceUnavailable, "refused"
	case errors.As(err, &unsure):
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
	data, err := io.ReadAll(io.LimitReader(r.Body, maxDocument))
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
	if err := a.desk.Submit(r.Context(), q, id, spec); err != nil {
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
	status, err := a.desk.Status(r.Context(), q, id)
	return JobState{ID: id, Queue: q.Name, Status: status}, err
}

func (a *workloads) cancel(r *http.Request) (any, error) {
	q, err := a.queue(r)
	if err != nil {
		return nil, err
	}
	id := r.PathValue("id")
	if err := a.desk.Cancel(r.Context(), q, id); err != nil {
		return nil, err
	}
	return JobState{ID: id, Queue: q.Name, Status: workload.Cancelled}, nil
}

// customer says what the configuration has of a customer and how it stands in each pool.
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
	// The owner does not know it, or gives no answer; the store knows how it ended.
	status, err := a.desk.Status(r.Context(), q, id)
	return schedule.Explanation{Job: id, Queue: q.Name, Status: status}, err
}
