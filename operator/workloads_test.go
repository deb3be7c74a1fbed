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

// desk is a Desk that remembers what it got and fails as it is told.
type desk struct {
	spec *workload.Spec
	err  error
}

func (d *desk) Submit(_ context.Context, _ *workload.Queue, _ string, s *workload.Spec) error {
	d.spec = s
	return d.err
}

func (d *desk) Cancel(context.Context, *workload.Queue, string) error { return d.err }

func (d *desk) Status(context.Context, *workload.Queue, string) (workload.Status, error) {
	return workload.Completed, d.err
}

// owners is an Explainer that knows one job.
type owners struct{}

func (owners) Explain(_ context.Context, pool, id string) (schedule.Explanation, bool, error) {
	return schedule.Explanation{Job: id, Queue: pool, Status: workload.Running}, id == "00000000000000aa", nil
}

func (owners) ExplainCustomer(_ context.Context, pool, name string) (schedule.CustomerExplanation, error) {
	if pool == "silent" {
		return schedule.CustomerExplanation{}, errors.New("no owner")
	}
	return schedule.CustomerExplanation{Pool: pool, Customer: name, Jobs: 3}, nil
}

func TestWorkloads(t *testing.T) {
	const document = "payload: p\nsteps:\n- {name: a, count: 2, need: {cpuMilli: 500}, estimate: 2s}\n- {name: b, count: 1, need: {cpuMilli: 500}, after: [a]}\n"
	cases := []struct {
		name, method, path, body string
		err                      error
		status                   int
		answer                   string // part of it
	}{
		{"submit", "PUT", "/v1/queues/q/jobs/00000000000000aa", document, nil, 200, `"status":"queued"`},
		{"no such queue", "PUT", "/v1/queues/none/jobs/00000000000000aa", document, nil, 404, `queue \"none\"`},
		{"bad identity", "PUT", "/v1/queues/q/jobs/aa", document, nil, 422, `id is aa: must be 16 hexadecimal digits`},
		{"unknown field", "PUT", "/v1/queues/q/jobs/00000000000000aa", "stepz: []", nil, 422, `unknown field \"stepz\"`},
		{"bad duration", "PUT", "/v1/queues/q/jobs/00000000000000aa", "steps: [{count: 1, estimate: soon}]", nil, 422, `steps[0].estimate is soon: must be a duration`},
		{"unknown step", "PUT", "/v1/queues/q/jobs/00000000000000aa", "steps: [{count: 1, after: [x]}]", nil, 422, `steps[0].after is x: must name an earlier step`},
		{"same name", "PUT", "/v1/queues/q/jobs/00000000000000aa", "steps: [{name: a, count: 1}, {name: a, count: 1}]", nil, 422, `steps[1].name is a`},
		{"no tasks", "PUT", "/v1/queues/q/jobs/00000000000000aa", "steps: [{count: 0}]", nil, 422, `steps[0].count is 0`},
		{"refused", "PUT", "/v1/queues/q/jobs/00000000000000aa", document, &intake.RefusedError{ID: "a", Cause: "store"}, 503, `"refused"`},
		{"unsure", "PUT", "/v1/queues/q/jobs/00000000000000aa", document, &intake.AmbiguousError{ID: "a", Err: errors.New("lost")}, 504, `"unsettled"`},
		{"status", "GET", "/v1/queues/q/jobs/00000000000000aa", "", nil, 200, `"status":"completed"`},
		{"unknown job", "GET", "/v1/queues/q/jobs/00000000000000aa", "", &intake.UnknownJobError{ID: "a"}, 404, `"not-found"`},
		{"cancel", "DELETE", "/v1/queues/q/jobs/00000000000000aa", "", nil, 200, `"status":"cancelled"`},
		{"explain", "GET", "/v1/queues/q/jobs/00000000000000aa/explanation", "", nil, 200, `"status":"running"`},
		{"explain from the store", "GET", "/v1/queues/q/jobs/00000000000000bb/explanation", "", nil, 200, `"status":"completed"`},
		{"customer", "GET", "/v1/customers/bistro", "", nil, 200, `"pool":"p","customer":"bistro"`},
		{"customer's keys", "GET", "/v1/customers/bistro", "", nil, 200, `"keys":["` + customer.DigestOf("k").Fingerprint() + `"]`},
		{"customer, an owner silent", "GET", "/v1/customers/bistro", "", nil, 200, `"silent":["silent"]`},
		{"no such customer", "GET", "/v1/customers/cafe", "", nil, 404, `customer \"cafe\"`},
		{"queues", "GET", "/v1/queues", "", nil, 200, `"Name":"q"`},
	}
	catalog := &workload.Catalog{
		Queues: []workload.Queue{{Name: "q", Pool: "p"}}, Pools: []workload.PoolInfo{{Name: "p"}, {Name: "silent"}},
		Customers: customer.NewDirectory([]customer.Customer{{Name: "bistro", Keys: []customer.Digest{customer.DigestOf("k")}}}),
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := operator.NewWorkloads(&desk{err: c.err}, owners{}, func() *workload.Catalog { return catalog })
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
			if w.Code != c.status || !strings.Contains(w.Body.String(), c.answer) {
				t.Errorf("answer %d %s, want %d with %s", w.Code, w.Body, c.status, c.answer)
			}
		})
	}
}

// The steps of a document are in a job as they were written, and refer to each
// other by number.
func TestDocumentArrives(t *testing.T) {
	d := &desk{}
	h := operator.NewWorkloads(d, owners{}, func() *workload.Catalog {
		return &workload.Catalog{Queues: []workload.Queue{{Name: "q", Pool: "p"}}}
	})
	body := "payload: p\nsteps:\n- {name: a, count: 2, need: {cpuMilli: 500}, estimate: 2s}\n- {name: b, count: 1, after: [a], gang: true}\n"
	r := httptest.NewRequest(http.MethodPut, "/v1/queues/q/jobs/00000000000000aa", strings.NewReader(body))
	h.ServeHTTP(httptest.NewRecorder(), r)
	if d.spec == nil || len(d.spec.Steps) != 2 || d.spec.Steps[0].Estimate.Seconds() != 2 || len(d.spec.Steps[1].After) != 1 || !d.spec.Steps[1].Gang {
		t.Errorf("the desk got %+v", d.spec)
	}
}
