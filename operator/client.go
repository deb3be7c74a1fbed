package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// This file defines the client of the operators' API.

// clientTimeout is the timeout of a call, in addition to maxJobWait.
const clientTimeout = 15 * time.Second

// A Client calls the operators' API of one entry instance.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the API at the URL base.
func NewClient(base string) *Client {
	return &Client{strings.TrimSuffix(base, "/"), &http.Client{}}
}

// An Error reports a failed call. A status of zero means that there was no
// answer, or that the request could not be built.
type Error struct {
	Status  int
	Code    string
	Message string
}

func (e *Error) Error() string {
	if e.Status == 0 {
		return e.Message
	}
	return fmt.Sprintf("%s (%s, status %d)", e.Message, e.Code, e.Status)
}

// CodeNoAnswer is the code of a call that got no answer. A change may have taken
// effect nevertheless.
const CodeNoAnswer = "no-answer"

// Call makes a call with the body encoded in JSON, unless it is nil, and decodes
// the answer into out, unless that is nil. Its error is an *Error.
func (c *Client) Call(ctx context.Context, method, path string, q url.Values, body, out any) error {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout+maxJobWait)
	defer cancel()
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return &Error{Code: "bad-request", Message: err.Error()}
		}
	}
	u := c.base + path
	if len(q) > 0 {
		u += "?" + q.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(data))
	if err != nil {
		return &Error{Code: "bad-request", Message: err.Error()}
	}
	req.GetBody = nil // prevents the HTTP client from sending a command again
	req.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(req)
	if err != nil {
		return &Error{Code: CodeNoAnswer, Message: err.Error()}
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return &Error{Code: CodeNoAnswer, Message: err.Error()}
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		var f Failure
		if json.Unmarshal(answer, &f) != nil || f.Error == "" {
			f = Failure{"bad-answer", strings.TrimSpace(string(answer))}
		}
		return &Error{res.StatusCode, f.Code, f.Error}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return &Error{res.StatusCode, "bad-answer", err.Error()}
	}
	return nil
}
