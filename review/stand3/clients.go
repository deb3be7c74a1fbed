package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// This file defines the clients and their jobs.

// A step is a step of a job, as it is sent and as it works.
type step struct {
	Count         int  `json:"count"`
	CPU           int  `json:"cpu,omitempty"`
	Memory        int  `json:"memory_request_mb,omitempty"`
	EstimatedMS   int  `json:"estimated_ms,omitempty"`
	Checkpointing bool `json:"checkpointing,omitempty"`
	Gang          bool `json:"gang_scheduled,omitempty"`
	AntiAffinity  int  `json:"anti_affinity,omitempty"`

	Work time.Duration `json:"-"`
}

// A job is a job that a client has sent.
type job struct {
	id       string
	pool     string
	steps    []step
	accepted time.Time
	state    string          // the last one that was answered
	done     map[string]bool // the work units that have ended so
	noted    map[string]bool // those of which last_seen has taken note
}

// newJob returns a job with an ID of its own.
func (b *bed) newJob(pool string, steps ...step) *job {
	b.mu.Lock()
	defer b.mu.Unlock()
	j := &job{id: fmt.Sprintf("%08x%08x", b.seed.Uint32(), b.seed.Uint32()), pool: pool, steps: steps, done: make(map[string]bool), noted: make(map[string]bool)}
	b.jobs[j.id] = j
	return j
}

// unit returns the job and the step of a work unit, nil if there is none. The lock is held.
func (b *bed) unit(task string) (*job, *step) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil, nil
	}
	j := b.jobs[parts[0]]
	n, err := strconv.Atoi(parts[2])
	if j == nil || err != nil || n >= len(j.steps) {
		return nil, nil
	}
	return j, &j.steps[n]
}

// call sends a call of a client to an entry instance. The status is 0 without an answer.
func (b *bed) call(e *entry, method, path string, body any, limit time.Duration) (int, string, time.Duration) {
	var text []byte
	if body != nil {
		text, _ = json.Marshal(body) // it holds only what JSON can
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.ip+":8624"+path, bytes.NewReader(text))
	if err != nil {
		return 0, err.Error(), 0
	}
	req.Host = clientHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	res, err := b.clients.Do(req)
	if err != nil {
		b.record("%s %s at %s: no answer", method, path, e.name)
		return 0, err.Error(), 0
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error(), 0
	}
	after, _ := strconv.Atoi(res.Header.Get("Retry-After"))
	if method != http.MethodGet || res.StatusCode != http.StatusOK {
		b.record("%s %s at %s: %d %s", method, path, e.name, res.StatusCode, strings.TrimSpace(string(answer)))
	}
	return res.StatusCode, string(answer), time.Duration(after) * time.Second
}

// clientLimit is the time limit of a client.
const clientLimit = 3 * time.Second

// submit hands a job in, with the retries of a client, beginning at an entry instance. It reports
// whether the job was accepted.
func (b *bed) submit(j *job, first int) bool {
	for n := range 5 {
		e := b.entries[(first+n)%len(b.entries)]
		status, _, after := b.call(e, http.MethodPost, prefixOf(j.pool)+j.id, map[string]any{"task_spec": "spec of " + j.id, "steps": j.steps}, clientLimit)
		switch {
		case status/100 == 2:
			b.mu.Lock()
			j.accepted = time.Now()
			b.mu.Unlock()
			return true
		case status == 0, status == http.StatusBadGateway, status == http.StatusGatewayTimeout:
			time.Sleep(100 * time.Millisecond)
		default:
			time.Sleep(max(after, 200*time.Millisecond))
		}
	}
	return false
}

// ask asks for the state of a job at the entry instances in turn, until one answers 200 or 410.
func (b *bed) ask(j *job) string {
	for n := range len(b.entries) {
		status, answer, _ := b.call(b.entries[(n+int(j.id[15]))%len(b.entries)], http.MethodGet, prefixOf(j.pool)+j.id, nil, clientLimit)
		switch status {
		case http.StatusOK:
			var body struct {
				State string `json:"state"`
			}
			if json.Unmarshal([]byte(answer), &body) != nil {
				return "unreadable"
			}
			b.mu.Lock()
			changed := j.state != body.State
			j.state = body.State
			b.mu.Unlock()
			if changed {
				b.record("GET   %s: %s", j.id, body.State)
			}
			return body.State
		case http.StatusGone:
			return "410"
		}
	}
	return ""
}
