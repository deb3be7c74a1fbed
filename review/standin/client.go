package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// This file defines the clients.

const (
	clientHost = "pule25.example"
	prefix     = "/puxa400/"
	timeLimit  = 3 * time.Second
)

// step is a step of a job as a client sends it.
type step struct {
	Count         int   `json:"count"`
	CPU           int64 `json:"cpu"`
	Memory        int64 `json:"memory_request_mb"`
	EstimatedMS   int64 `json:"estimated_ms"`
	Checkpointing bool  `json:"checkpointing,omitempty"`
	Gang          bool  `json:"gang_scheduled,omitempty"`
	PerRunner     int   `json:"anti_affinity,omitempty"`
}

// call makes one call of a client to an entry instance. It returns status 0 without an answer.
func (p *play) call(e *entry, method, id string, body any) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+e.frontend()+prefix+id, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = clientHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(timeLimit.Milliseconds()))
	client := http.Client{Timeout: timeLimit}
	res, err := client.Do(req)
	status, text := 0, ""
	if err == nil {
		answer, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		status, text = res.StatusCode, string(answer)
	}
	p.rec.line("client %s %s at %s -> %d %s", method, id, e.name, status, bytes.TrimSpace([]byte(text)))
	return status, text
}

// submit hands a job in, with the retries of a client. It reports whether the job was accepted.
func (p *play) submit(id, spec string, steps []step) bool {
	for try := range 5 {
		e := p.entries[(p.turn()+try)%len(p.entries)]
		status, _ := p.call(e, http.MethodPost, id, map[string]any{"task_spec": spec, "steps": steps})
		if status/100 == 2 {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// state asks for a job's state, at any entry instance that answers.
func (p *play) state(id string) string {
	for try := range 5 {
		e := p.entries[(p.turn()+try)%len(p.entries)]
		status, text := p.call(e, http.MethodGet, id, nil)
		var body struct{ State string }
		if status == http.StatusOK && json.Unmarshal([]byte(text), &body) == nil {
			return body.State
		}
		if status == http.StatusGone {
			return "gone"
		}
		time.Sleep(300 * time.Millisecond)
	}
	return "not answered"
}
