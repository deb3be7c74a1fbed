// Package load sends callers' requests at a set rate and measures what comes of
// them.
//
// The model: requests start on a schedule that does not wait for answers, as
// callers don't, and latency counts from the scheduled time. Targets are used
// in turn, as a balancer would; one that cannot be reached is left out for a
// moment.
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

// This file defines a run and its result.

const (
	// maxLatency is the longest time that is told apart, in microseconds.
	maxLatency = int64(10 * time.Minute / time.Microsecond)
	// digits is how exact latencies are.
	digits = 3
	// leaveOut is how long a target that cannot be reached is left out.
	leaveOut = time.Second
	// maxOpen bounds the requests that wait for an answer.
	maxOpen = 20000
)

// A Class says what came of a request.
type Class string

// The classes of what can come of a request.
const (
	OK          Class = "ok"          // an answer below 500
	Refused     Class = "refused"     // refused as not run
	Taken       Class = "taken"       // the key was used before
	Unknown     Class = "unknown"     // refused, and it may have run
	Failed      Class = "failed"      // an upstream's answer from 500 on
	Broken      Class = "broken"      // no whole answer
	Unreachable Class = "unreachable" // no connection
	Overflow    Class = "overflow"    // not sent, because too many were open
)

// Classes lists the classes in the order in which they are shown.
func Classes() []Class {
	return []Class{OK, Refused, Taken, Unknown, Failed, Broken, Unreachable, Overflow}
}

// A Plan is what to send.
type Plan struct {
	Targets   []string // URLs of entry instances, or of upstreams
	Method    string
	Path      string
	Rate      float64 // requests a second
	Duration  time.Duration
	Customers int // how many customers to take turns
	Keyed     bool
	Repeat    float64 // part of the keyed requests that are sent twice
	Header    map[string]string
}

// A Result is what came of a run. Latencies are in milliseconds.
type Result struct {
	Sent       int64           `json:"sent"`
	Seconds    float64         `json:"seconds"`
	Counts     map[Class]int64 `json:"counts"`
	Goodput    float64         `json:"goodput"` // answers a second
	P50        float64         `json:"p50"`
	P99        float64         `json:"p99"`
	P999       float64         `json:"p999"`
	RefusedP50 float64         `json:"refusedP50"`
	RefusedP99 float64         `json:"refusedP99"`
}

// A runner is a run under way.
type runner struct {
	plan   Plan
	client *http.Client
	next   atomic.Int64
	open   atomic.Int64
	skip   []atomic.Int64 // until when a target is left out, in nanoseconds

	mu      sync.Mutex
	counts  map[Class]int64
	answers *hdrhistogram.Histogram
	refused *hdrhistogram.Histogram
}

// Run sends what p plans, and waits for the answers.
func Run(ctx context.Context, p Plan) Result {
	r := &runner{
		plan: p, skip: make([]atomic.Int64, len(p.Targets)), counts: make(map[Class]int64),
		client: &http.Client{
			Transport: &http.Transport{MaxIdleConnsPerHost: 4096, DisableCompression: true},
			Timeout:   2 * time.Minute,
		},
		answers: hdrhistogram.New(1, maxLatency, digits), refused: hdrhistogram.New(1, maxLatency, digits),
	}
	defer r.client.CloseIdleConnections()
	start := time.Now()
	sent := r.sendAll(ctx, start)
	return r.result(sent, time.Since(start))
}

// sendAll starts each request at its time and returns how many it started.
func (r *runner) sendAll(ctx context.Context, start time.Time) int64 {
	var wg sync.WaitGroup
	defer wg.Wait()
	gap := float64(time.Second) / r.plan.Rate
	for n := int64(0); ; n++ {
		at := start.Add(time.Duration(float64(n) * gap))
		if at.Sub(start) >= r.plan.Duration || ctx.Err() != nil {
			return n
		}
		if d := time.Until(at); d > 0 {
			time.Sleep(d)
		}
		if r.open.Load() >= maxOpen {
			r.count(Overflow, 0)
			continue
		}
		r.open.Add(1)
		wg.Go(func() {
			defer r.open.Add(-1)
			r.sendOne(ctx, n, at)
		})
	}
}

// sendOne sends request n, and perhaps again with the same key.
func (r *runner) sendOne(ctx context.Context, n int64, at time.Time) {
	key := ""
	if r.plan.Keyed {
		key = uuid.NewString()
	}
	r.count(r.send(ctx, n, key), time.Since(at))
	if key != "" && float64(n%100) < 100*r.plan.Repeat {
		r.count(r.send(ctx, n, key), time.Since(at))
	}
}

func (r *runner) count(c Class, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[c]++
	us := min(max(1, d.Microseconds()), maxLatency)
	switch c {
	case OK:
		_ = r.answers.RecordValue(us)
	case Refused:
		_ = r.refused.RecordValue(us)
	}
}

// target returns the next target that is not left out.
func (r *runner) target() int {
	now := time.Now().UnixNano()
	for range r.plan.Targets {
		n := int(r.next.Add(1) % int64(len(r.plan.Targets)))
		if r.skip[n].Load() < now {
			return n
		}
	}
	return int(r.next.Add(1) % int64(len(r.plan.Targets)))
}

func (r *runner) send(ctx context.Context, n int64, key string) Class {
	t := r.target()
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
		if isDial(err) {
			r.skip[t].Store(time.Now().Add(leaveOut).UnixNano())
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

func isDial(err error) bool {
	e, ok := err.(*url.Error)
	return ok && strings.Contains(e.Err.Error(), "dial tcp")
}

func classify(res *http.Response) Class {
	switch ran := gateway.Ran(res.Header.Get(gateway.HeaderRan)); {
	case ran == gateway.RanNo:
		return Refused
	case ran == gateway.RanYes, res.StatusCode == http.StatusConflict:
		return Taken
	case ran == gateway.RanUnknown:
		return Unknown
	case res.StatusCode >= http.StatusInternalServerError:
		return Failed
	}
	return OK
}

func (r *runner) result(sent int64, took time.Duration) Result {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / 1000
	}
	return Result{
		Sent: sent, Seconds: took.Seconds(), Counts: r.counts,
		Goodput: float64(r.counts[OK]) / took.Seconds(),
		P50:     ms(r.answers, 50), P99: ms(r.answers, 99), P999: ms(r.answers, 99.9),
		RefusedP50: ms(r.refused, 50), RefusedP99: ms(r.refused, 99),
	}
}
