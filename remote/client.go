// Package remote is the client of the platform: its key-value service, its list
// of instances and its tasks, over HTTP with JSON.
//
// Invariants: no call is ever repeated by the client, because only its caller
// knows whether a change may be made twice; an error says whether the change
// may have taken effect.
package remote

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/internal/stall"
)

// This file defines the client and the way a call is made.

const (
	// DefaultTimeout bounds how long an answer may take to begin, but for a watch, and
	// how long it may pause.
	DefaultTimeout = 2 * time.Second
	// DefaultWatchTimeout is how long the service is asked to hold a watch.
	DefaultWatchTimeout = 30 * time.Second
	// maxAnswer bounds what is read of an answer, in bytes: a value of a
	// megabyte in base64, and some room.
	maxAnswer = 2 << 20
)

// A Client calls one platform. It is safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
	watch   time.Duration

	calls, sent, received, listBytes atomic.Int64
}

var (
	_ pointport.Store      = (*Client)(nil)
	_ pointport.Watcher    = (*Client)(nil)
	_ pointport.Deleter    = (*Client)(nil)
	_ pointport.Leaser     = (*Client)(nil)
	_ pointport.Fleet      = (*Client)(nil)
	_ pointport.Rebooter   = (*Client)(nil)
	_ pointport.TaskRunner = (*Client)(nil)
)

// An Option changes how a Client calls.
type Option func(*Client)

// WithTimeout bounds the time until an answer begins, but for a watch.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithWatchTimeout sets how long the service is asked to hold a watch.
func WithWatchTimeout(d time.Duration) Option { return func(c *Client) { c.watch = d } }

// New returns a client of the platform at base, such as http://10.0.0.1:7000.
func New(base string, options ...Option) *Client {
	c := &Client{
		base:    strings.TrimSuffix(base, "/"),
		timeout: DefaultTimeout,
		watch:   DefaultWatchTimeout,
	}
	c.http = &http.Client{Transport: &http.Transport{
		DialContext:         c.dial,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     time.Minute,
	}}
	for _, o := range options {
		o(c)
	}
	return c
}

// Base returns the platform's URL.
func (c *Client) Base() string { return c.base }

// A call is one request to the platform.
type call struct {
	op, key string // as named in errors
	method  string
	path    string
	query   url.Values
	body    []byte
	timeout time.Duration
	changes bool // whether the call changes something
	// compressed asks for a compressed answer and notes its size.
	compressed bool
}

// do makes a call and decodes its answer into out, unless out is nil.
func (c *Client) do(ctx context.Context, k call, out any) error {
	if k.timeout == 0 {
		k.timeout = c.timeout
	}
	guard := stall.Start(ctx, k.timeout)
	defer guard.Stop()
	u := c.base + k.path
	if len(k.query) > 0 {
		u += "?" + k.query.Encode()
	}
	req, err := http.NewRequestWithContext(guard.Context(), k.method, u, bytes.NewReader(k.body))
	if err != nil {
		return &pointport.UnavailableError{Op: k.op, Key: k.key, Err: err}
	}
	// A request with GetBody set may be sent twice by the transport.
	req.GetBody = nil
	if k.compressed {
		req.Header.Set("Accept-Encoding", "gzip")
	}
	c.calls.Add(1)
	res, err := c.http.Do(req)
	if err != nil {
		return &pointport.UnavailableError{Op: k.op, Key: k.key, Ambiguous: k.changes && !dialFailed(err), Err: guard.Cause(err)}
	}
	defer res.Body.Close()
	data, err := guard.ReadAll(res.Body, maxAnswer, DefaultTimeout, func() { pointport.Progress(ctx) })
	if err != nil {
		return &pointport.UnavailableError{Op: k.op, Key: k.key, Ambiguous: k.changes, Err: err}
	}
	if k.compressed {
		c.listBytes.Store(int64(len(data)))
		if data, err = expand(res, data); err != nil {
			return &pointport.UnavailableError{Op: k.op, Key: k.key, Err: err}
		}
	}
	return k.decode(res.StatusCode, data, out)
}

// maxList bounds a list of instances once it is expanded, in bytes.
const maxList = 64 << 20

// expand returns the body of an answer that may be compressed.
func expand(res *http.Response, data []byte) ([]byte, error) {
	if res.Header.Get("Content-Encoding") != "gzip" {
		return data, nil
	}
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(z, maxList))
}

// dialFailed reports whether err came before a connection stood.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// refusal is what the platform says beside a status of 409.
type refusal struct {
	Have   pointport.Revision `json:"have"`
	Want   pointport.Revision `json:"want"`
	Holder string             `json:"holder"`
}

func (k call) decode(status int, data []byte, out any) error {
	switch {
	case status == http.StatusConflict:
		return k.refused(data)
	case status == http.StatusNotFound:
		return &pointport.NotFoundError{Kind: k.op, Name: k.key}
	case status != http.StatusOK:
		err := fmt.Errorf("status %d: %s", status, bytes.TrimSpace(data))
		return &pointport.UnavailableError{Op: k.op, Key: k.key, Ambiguous: k.changes && status >= 500 && status != http.StatusServiceUnavailable, Err: err}
	case out == nil:
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &pointport.UnavailableError{Op: k.op, Key: k.key, Ambiguous: k.changes, Err: err}
	}
	return nil
}

func (k call) refused(data []byte) error {
	var r refusal
	if err := json.Unmarshal(data, &r); err != nil {
		return &pointport.UnavailableError{Op: k.op, Key: k.key, Err: err}
	}
	if r.Holder != "" {
		return &pointport.HeldError{Name: k.key, Holder: r.Holder}
	}
	return &pointport.ConflictError{Key: k.key, Want: r.Want, Have: r.Have}
}

// value is a key's state on the wire.
type value struct {
	Revision pointport.Revision `json:"revision"`
	Value    []byte             `json:"value,omitempty"`
}

// Get returns the state of key.
func (c *Client) Get(ctx context.Context, key string) (pointport.Entry, error) {
	var v value
	err := c.do(ctx, call{op: "get", key: key, method: http.MethodGet, path: kvPath(key)}, &v)
	if err != nil {
		return pointport.Entry{}, err
	}
	return pointport.NewEntry(key, v.Value, v.Revision), nil
}

// Watch waits until key has a revision greater than after, or until the
// service ends the wait.
func (c *Client) Watch(ctx context.Context, key string, after pointport.Revision) (pointport.Entry, error) {
	q := url.Values{"after": {formatRevision(after)}, "wait": {c.watch.String()}}
	var v value
	err := c.do(ctx, call{
		op: "watch", key: key, method: http.MethodGet, path: kvPath(key),
		query: q, timeout: c.watch + c.timeout,
	}, &v)
	if err != nil {
		return pointport.Entry{}, err
	}
	return pointport.NewEntry(key, v.Value, v.Revision), nil
}

// CompareAndSwap sets key to val if its revision is still have.
func (c *Client) CompareAndSwap(ctx context.Context, key string, have pointport.Revision, val []byte) (pointport.Revision, error) {
	var v value
	err := c.do(ctx, call{
		op: "cas", key: key, method: http.MethodPut, path: kvPath(key),
		query: url.Values{"have": {formatRevision(have)}}, body: val, changes: true,
	}, &v)
	return v.Revision, err
}

// Delete removes key if its revision is still have.
func (c *Client) Delete(ctx context.Context, key string, have pointport.Revision) error {
	return c.do(ctx, call{
		op: "delete", key: key, method: http.MethodDelete, path: kvPath(key),
		query: url.Values{"have": {formatRevision(have)}}, changes: true,
	}, nil)
}

// Lease grants or extends a lease.
func (c *Client) Lease(ctx context.Context, name, holder string, ttl time.Duration) error {
	return c.do(ctx, call{
		op: "lease", key: name, method: http.MethodPut, path: "/v1/leases/" + url.PathEscape(name),
		query: url.Values{"holder": {holder}, "ttl": {ttl.String()}}, changes: true,
	}, nil)
}

// Release ends holder's lease, if it still has it.
func (c *Client) Release(ctx context.Context, name, holder string) error {
	return c.do(ctx, call{
		op: "release", key: name, method: http.MethodDelete, path: "/v1/leases/" + url.PathEscape(name),
		query: url.Values{"holder": {holder}}, changes: true,
	}, nil)
}

func kvPath(key string) string { return "/v1/kv/" + url.PathEscape(key) }

func formatRevision(r pointport.Revision) string { return strconv.FormatInt(int64(r), 10) }
