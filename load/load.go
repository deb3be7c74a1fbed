// Package load sends callers' requests at a fixed rate and measures their outcomes.
//
// The load is open-loop: requests start on a schedule that does not wait for responses,
// because independent callers do not wait for each other either, and latency is measured
// from the scheduled time. Targets are used in turn, as by a load balancer; one that
// cannot be reached gets no requests for a short time.
package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/pointport/pointport/gateway"
)

// This file defines how load is sent and what is measured.

const (
	// maxLatencyMicros is the longest latency that is recorded, in microseconds; longer
	// ones count as this one.
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	// significantDigits is the precision of recorded latencies, in decimal digits.
	significantDigits = 3
	// unreachableBackoff is how long a target that cannot be reached gets no requests.
	unreachableBackoff = time.Second
	// maxInFlight bounds the requests that wait for a response.
	maxInFlight = 20000
)

// Outcome is the outcome of a request.
type Outcome string

// The outcomes of requests.
const (
	OK          Outcome = "ok"          // a response with a status below 500
	Refused     Outcome = "refused"     // refused, and did not run
	KeyUsed     Outcome = "taken"       // the idempotency key was used before
	Unknown     Outcome = "unknown"     // refused, but may have run
	Failed      Outcome = "failed"      // an upstream's response with a status of 500 or more
	Broken      Outcome = "broken"      // no complete response
	Unreachable Outcome = "unreachable" // no connection
	Overflow    Outcome = "overflow"    // not sent, because too many requests were in flight
)

// Outcomes returns all outcomes in the order in which they are shown.
func Outcomes() []Outcome {
	return []Outcome{OK, Refused, KeyUsed, Unknown, Failed, Broken, Unreachable, Overflow}
}

// Plan describes the load to send.
type Plan struct {
	Targets     []string // URLs of entry instances, or of upstreams
	Method      string
	Path        string
	Rate        float64 // requests per second
	Duration    time.Duration
	Customers   int               // how many customers the requests are spread over
	Keyed       bool              // whether each request has an idempotency key of its own
	RepeatShare float64           // share of the keyed requests that are sent twice, from 0 to 1
	Header      map[string]string // further headers of each request
}

// Result holds the measurements of a run. Latencies are in milliseconds.
type Result struct {
	Sent       int64             `json:"sent"`
	Seconds    float64           `json:"seconds"`
	Counts     map[Outcome]int64 `json:"counts"`
	Goodput    float64           `json:"goodput"` // responses with outcome OK per second
	P50        float64           `json:"p50"`
	P99        float64           `json:"p99"`
	P999       float64           `json:"p999"`
	RefusedP50 float64           `json:"refusedP50"`
	RefusedP99 float64           `json:"refusedP99"`
}

// runner is a run in progress.
type runner struct {
	plan      Plan
	client    *http.Client
	next      atomic.Int64 // counts the targets used
	inFlight  atomic.Int64
	skipUntil []atomic.Int64 // by target, when it gets requests again, as a Unix time in nanoseconds

	mu               sync.Mutex
	counts           map[Outcome]int64
	okLatencies      *hdrhistogram.Histogram
	refusedLatencies *hdrhistogram.Histogram
}

// Run sends the load that p describes, waits for the responses, and returns what was
// measured. It stops early if ctx ends.
func Run(ctx context.Context, p Plan) Result {
	r := &runner{
		plan: p, skipUntil: make([]atomic.Int64, len(p.Targets)), counts: make(map[Outcome]int64),
		client: &http.Client{
			Transport: &http.Transport{MaxIdleConnsPerHost: 4096, DisableCompression: true},
			Timeout:   2 * time.Minute,
		},
		okLatencies: hdrhistogram.New(1, maxLatencyMicros, significantDigits), refusedLatencies: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
	}
	defer r.client.CloseIdleConnections()
	start := time.Now()
	sent := r.sendAll(ctx, start)
	return r.result(sent, time.Since(start))
}

// sendAll starts each request at its scheduled time, waits for the responses, and returns
// how many requests were due.
func (r *runner) sendAll(ctx context.Context, start time.Time) int64 {
	var wg sync.WaitGroup
	defer wg.Wait()
	interval := float64(time.Second) / r.plan.Rate
	for n := int64(0); ; n++ {
		scheduled := start.Add(time.Duration(float64(n) * interval))
		if scheduled.Sub(start) >= r.plan.Duration || ctx.Err() != nil {
			return n
		}
		if d := time.Until(scheduled); d > 0 {
			time.Sleep(d)
		}
		if r.inFlight.Load() >= maxInFlight {
			r.record(Overflow, 0)
			continue
		}
		r.inFlight.Add(1)
		wg.Go(func() {
			defer r.inFlight.Add(-1)
			r.sendOne(ctx, n, scheduled)
		})
	}
}

// sendOne sends request n and, if it is one of those to repeat, sends it again with the
// same idempotency key.
func (r *runner) sendOne(ctx context.Context, n int64, scheduled time.Time) {
	key := ""
	if r.plan.Keyed {
		key = uuid.NewString()
	}
	r.record(r.send(ctx, n, key), time.Since(scheduled))
	if key != "" && float64(n%100) < 100*r.plan.RepeatShare {
		r.record(r.send(ctx, n, key), time.Since(scheduled))
	}
}

// record counts an outcome and, for OK and Refused, records the latency.
func (r *runner) record(o Outcome, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[o]++
	us := min(max(1, latency.Microseconds()), maxLatencyMicros)
	switch o {
	case OK:
		_ = r.okLatencies.RecordValue(us)
	case Refused:
		_ = r.refusedLatencies.RecordValue(us)
	}
}

// nextTarget returns the index of the next target, without those that could not be reached
// a short time ago unless that is all of them.
func (r *runner) nextTarget() int {
	now := time.Now().UnixNano()
	for range r.plan.Targets {
		n := int(r.next.Add(1) % int64(len(r.plan.Targets)))
		if r.skipUntil[n].Load() < now {
			return n
		}
	}
	return int(r.next.Add(1) % int64(len(r.plan.Targets)))
}

// send sends one request, with an idempotency key unless it is empty.
func (r *runner) send(ctx context.Context, n int64, key string) Outcome {
	t := r.nextTarget()
	req, err := http.NewRequestWithContext(ctx, r.plan.Method, r.plan.Targets[t]+r.plan.Path, strings.NewReader("amount=1"))
	if err != nil {
		return Unreachable
	}
	req.GetBody = nil
	req.Header.Set(gateway.HeaderCustomer, fmt.Sprint("customer-", n%int64(max(1, r.plan.Customers))))
	if key != "" {
		req.Header.Set(gateway.HeaderKey, key)
	}
	for name, value := range r.plan.Header {
		req.Header.Set(name, value)
	}
	res, err := r.client.Do(req)
	if err != nil {
		if dialFailed(err) {
			r.skipUntil[t].Store(time.Now().Add(unreachableBackoff).UnixNano())
			return Unreachable
		}
		return Broken
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return Broken
	}
	return classify(res)
}

// dialFailed reports whether err occurred before a connection was established.
func dialFailed(err error) bool {
	e, ok := err.(*url.Error)
	return ok && strings.Contains(e.Err.Error(), "dial tcp")
}

// classify returns the outcome of a request with a complete response.
func classify(res *http.Response) Outcome {
	switch ran := gateway.Ran(res.Header.Get(gateway.HeaderRan)); {
	case ran == gateway.RanNo:
		return Refused
	case ran == gateway.RanYes, res.StatusCode == http.StatusConflict:
		return KeyUsed
	case ran == gateway.RanUnknown:
		return Unknown
	case res.StatusCode >= http.StatusInternalServerError:
		return Failed
	}
	return OK
}

// result returns the measurements of a run.
func (r *runner) result(sent int64, elapsed time.Duration) Result {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / 1000
	}
	return Result{
		Sent: sent, Seconds: elapsed.Seconds(), Counts: r.counts,
		Goodput: float64(r.counts[OK]) / elapsed.Seconds(),
		P50:     ms(r.okLatencies, 50), P99: ms(r.okLatencies, 99), P999: ms(r.okLatencies, 99.9),
		RefusedP50: ms(r.refusedLatencies, 50), RefusedP99: ms(r.refusedLatencies, 99),
	}
}
