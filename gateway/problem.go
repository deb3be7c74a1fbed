package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// This file defines the refusal that a caller gets.

// HeaderRan says on every refusal whether the request ran.
const HeaderRan = "Pointport-Ran"

// A Ran says whether a refused request ran on an upstream.
type Ran string

// What a refusal can say.
const (
	RanNo      Ran = "no"      // no part of it ran
	RanUnknown Ran = "unknown" // it may have run
	RanYes     Ran = "yes"     // an earlier request with the same key ran
)

// A Problem is a refusal, as application/problem+json (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Ran    Ran    `json:"ran"`
	// RetryAfter is when it makes sense to ask again, in seconds.
	RetryAfter int `json:"retryAfter,omitempty"`
	// EarlierStatus is the status of the earlier request with the same key.
	EarlierStatus int `json:"earlierStatus,omitempty"`

	outcome outcome
}

// problemType starts the type of every problem.
const problemType = "https://pointport.example/problems/"

func newProblem(status int, o outcome, ran Ran, title, detail string) *Problem {
	return &Problem{Type: problemType + string(o), Title: title, Status: status, Detail: detail, Ran: ran, outcome: o}
}

// after says when it makes sense to ask again.
func (p *Problem) after(d time.Duration) *Problem {
	p.RetryAfter = int(math.Ceil(d.Seconds()))
	return p
}

// write sends the problem.
func (p *Problem) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderRan, string(p.Ran))
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(p.RetryAfter))
	}
	data, err := json.Marshal(p)
	if err != nil {
		panic("gateway: a problem cannot be written: " + err.Error())
	}
	h.Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(p.Status)
	_, _ = w.Write(data)
}
