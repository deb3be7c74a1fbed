package operator_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pointport/pointport/customer"
	"github.com/pointport/pointport/intake"
	"github.com/pointport/pointport/operator"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// fakeJobService is a JobService that records the submitted spec and fails with err.
type fakeJobService struct {
	spec *workload.Spec
	err  error
}

func (f *fakeJobService) Submit(_ context.Context, _ *workload.Queue, _ string, s *workload.Spec) error {
	f.spec = s
	return f.err
}

func (f *fakeJobService) Cancel(context.Context, *workload.Queue, string) error { return f.err }

func (f *fakeJobService) Status(context.Context, *workload.Queue, string) (workload.Status, error) {
	return workload.Completed, f.err
}

// fakeExplainer is an Explainer that knows one job, and every customer except in
// the pool "silent", whose owner does not answer.
type fakeExplainer struct{}

func (fakeExplainer) Explain(_ context.Context, pool, id string) (schedule.Explanation, bool, error) {
	return schedule.Explanation{Job: id, Queue: pool, Status: workload.Running}, id == "00000000000000aa", nil
}

func (fakeExplainer) ExplainCustomer(_ context.Context, pool, name string) (schedule.CustomerExplanation, error) {
	if pool == "silent" {
		return schedule.CustomerExplanation{}, errors.New("no owner")
	}
	return schedule.CustomerExplanation{Pool: pool, Customer: name, Jobs: 3}, nil
}

// TestWorkloads checks the status and the body of the answers to commands and
// queries, for valid requests, invalid ones and failures of the job service.
func TestWorkloads(t *testing.T) {
	const document = "payload: p\nsteps:\n- {name: a, count: 2, need: {cpuMilli: 500}, estimate: 2s}\n- {name: b, count: 1, need: {cpuMilli: 500}, after: [a]}\n"
	cases := []struct {
		name, method, path, body string
		err                      error
		status                   int
		answer                   string // must be contained in the body
	}{
		{"submit", "PUT", "/v1/queues/q/jobs/00000000000000aa", document, nil, 200, `"status":"queued"`},
		{"no such queue", "PUT", "/v1/queues/none/jobs/00000000000000aa", document, nil, 404, `queue \"none\"`},
		{"invalid job ID", "PUT", "/v1/queues/q/jobs/aa", document, nil, 422, `id is aa: must be 16 hexadecimal digits`},
		{"unknown field", "PUT", "/v1/queues/q/jobs/00000000000000aa", "stepz: []", nil, 422, `unknown field \"stepz\"`},
		{"invalid duration", "PUT", "/v1/queues/q/jobs/00000000000000aa", "steps: [{count: 1, estimate: soon}]", nil, 422, `steps[0].estimate is soon: must be a duration`},
		{"unknown step", "PUT", "/v1/queues/q/jobs/00000000000000aa", "steps: [{count: 1, after: [x]}]", nil, 422, `steps[0].after is x: must name an earlier step`},
		{"duplicate step name", "PUT", "/v1/queues/q/jobs/00000000000000aa", "steps: [{name: a, count: 1}, {name: a, count: 1}]", nil, 422, `steps[1].name is a`},
		{"step without tasks", "PUT", "/v1/queues/q/jobs/00000000000000aa", "steps: [{count: 0}]", nil, 422, `steps[0].count is 0`},
		{"refused by the job service", "PUT", "/v1/queues/q/jobs/00000000000000aa", document, &intake.RefusedError{ID: "a", Cause: "store"}, 503, `"refused"`},
		{"effect unknown", "PUT", "/v1/queues/q/jobs/00000000000000aa", document, &intake.AmbiguousError{ID: "a", Err: errors.New("lost")}, 504, `"unsettled"`},
		{"status", "GET", "/v1/queues/q/jobs/00000000000000aa", "", nil, 200, `"status":"completed"`},
		{"unknown job", "GET", "/v1/queues/q/jobs/00000000000000aa", "", &intake.UnknownJobError{ID: "a"}, 404, `"not-found"`},
		{"cancel", "DELETE", "/v1/queues/q/jobs/00000000000000aa", "", nil, 200, `"status":"cancelled"`},
		{"explain", "GET", "/v1/queues/q/jobs/00000000000000aa/explanation", "", nil, 200, `"status":"running"`},
		{"explain from the store", "GET", "/v1/queues/q/jobs/00000000000000bb/explanation", "", nil, 200, `"status":"completed"`},
		{"customer", "GET", "/v1/customers/bistro", "", nil, 200, `"pool":"p","customer":"bistro"`},
		{"customer's keys", "GET", "/v1/customers/bistro", "", nil, 200, `"keys":["` + customer.DigestOf("k").Fingerprint() + `"]`},
		{"customer, one owner unreachable", "GET", "/v1/customers/bistro", "", nil, 200, `"silent":["silent"]`},
		{"no such customer", "GET", "/v1/customers/cafe", "", nil, 404, `customer \"cafe\"`},
		{"queues", "GET", "/v1/queues", "", nil, 200, `"Name":"q"`},
	}
	catalog := &workload.Catalog{
		Queues: []workload.Queue{{Name: "q", Pool: "p"}}, Pools: []workload.PoolInfo{{Name: "p"}, {Name: "silent"}},
		Customers: customer.NewDirectory([]customer.Customer{{Name: "bistro", Keys: []customer.Digest{customer.DigestOf("k")}}}),
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := operator.NewWorkloads(&fakeJobService{err: c.err}, fakeExplainer{}, func() *workload.Catalog { return catalog })
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
			if w.Code != c.status || !strings.Contains(w.Body.String(), c.answer) {
				t.Errorf("got status %d and body %s, want status %d and a body with %s", w.Code, w.Body, c.status, c.answer)
			}
		})
	}
}

// TestSubmitPassesStepsOn checks that the spec that reaches the job service has
// all steps of the submitted document with their fields, and that the references
// between steps are resolved.
func TestSubmitPassesStepsOn(t *testing.T) {
	jobs := &fakeJobService{}
	h := operator.NewWorkloads(jobs, fakeExplainer{}, func() *workload.Catalog {
		return &workload.Catalog{Queues: []workload.Queue{{Name: "q", Pool: "p"}}}
	})
	body := "payload: p\nsteps:\n- {name: a, count: 2, need: {cpuMilli: 500}, estimate: 2s}\n- {name: b, count: 1, after: [a], gang: true}\n"
	r := httptest.NewRequest(http.MethodPut, "/v1/queues/q/jobs/00000000000000aa", strings.NewReader(body))
	h.ServeHTTP(httptest.NewRecorder(), r)
	if jobs.spec == nil || len(jobs.spec.Steps) != 2 || jobs.spec.Steps[0].Estimate.Seconds() != 2 || len(jobs.spec.Steps[1].After) != 1 || !jobs.spec.Steps[1].Gang {
		t.Errorf("the job service got the spec %+v, want both steps of the document", jobs.spec)
	}
}

// Guards against a document that is cut at the limit and submitted with the steps before the cut.
func TestTooLargeDocumentIsRefused(t *testing.T) {
	jobs := &fakeJobService{}
	h := operator.NewWorkloads(jobs, fakeExplainer{}, func() *workload.Catalog {
		return &workload.Catalog{Queues: []workload.Queue{{Name: "q", Pool: "p"}}}
	})
	body := "steps:\n- {count: 1}\n" + strings.Repeat("# comment\n", 1<<17) + "- {count: 2}\n"
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/v1/queues/q/jobs/00000000000000aa", strings.NewReader(body)))
	if w.Code != http.StatusUnprocessableEntity || jobs.spec != nil {
		t.Errorf("status %d and body %s, submitted %+v, want status 422 and no job", w.Code, w.Body, jobs.spec)
	}
}
