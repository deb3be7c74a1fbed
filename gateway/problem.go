package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// This file defines the refusals that callers get.

// HeaderRan is the header of every refusal whose value, a Ran, is whether the
// request ran.
const HeaderRan = "Pointport-Ran"

// A Ran is whether a refused request ran on an upstream.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"      // no part of the request ran
	RanUnknown Ran = "unknown" // the request may have run
	RanYes     Ran = "yes"     // an earlier request with the same key ran
)

// A Problem is the body of a refusal, in application/problem+json (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Ran    Ran    `json:"ran"`
	// RetryAfter is after how many seconds the caller should retry; 0 if the
	// refusal does not say.
	RetryAfter int `json:"retryAfter,omitempty"`
	// EarlierStatus is the HTTP status that the earlier request with the same key
	// was answered with, if it ran.
	EarlierStatus int `json:"earlierStatus,omitempty"`

	outcome outcome
}

// problemType is the prefix of every problem's type.
const problemType = "https://pointport.example/problems/"

func newProblem(status int, o outcome, ran Ran, title, detail string) *Problem {
	return &Problem{Type: problemType + string(o), Title: title, Status: status, Detail: detail, Ran: ran, outcome: o}
}

// withRetryAfter sets after which time the caller should retry, rounded up to seconds.
func (p *Problem) withRetryAfter(d time.Duration) *Problem {
	p.RetryAfter = int(math.Ceil(d.Seconds()))
	return p
}

// writeTo writes the problem as the answer.
func (p *Problem) writeTo(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderRan, string(p.Ran))
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(p.RetryAfter))
	}
	data, err := json.Marshal(p)
	if err != nil {
		panic("gateway: cannot encode a problem: " + err.Error())
	}
	h.Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(p.Status)
	_, _ = w.Write(data)
}
