// Package remote is the client of the platform's key-value store, instances and
// tasks, with JSON over HTTP.
//
// The client never retries a call, because only its caller knows whether a change
// may be made twice. The error of a failed call states whether the change may have
// taken effect.
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

// This file defines the client, how it makes calls, and the calls to the key-value store.

const (
	// DefaultTimeout bounds the time until a response begins, except that of a watch,
	// which may take longer. It also bounds how long a response may pause.
	DefaultTimeout = 2 * time.Second
	// DefaultWatchTimeout is how long the server is asked to wait for a change before it
	// ends a watch.
	DefaultWatchTimeout = 30 * time.Second
	// maxResponseBytes bounds the body of a response, as it is received. The largest holds
	// a value of a megabyte in base64; the rest is a reserve.
	maxResponseBytes = 2 << 20
)

// Client is a client of one platform. It is safe for concurrent use.
type Client struct {
	base         string
	http         *http.Client
	timeout      time.Duration
	watchTimeout time.Duration

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

// Option configures a Client.
type Option func(*Client)

// WithTimeout bounds the time until a response begins. For a watch, the time for which
// the server may hold it is added.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithWatchTimeout sets how long the server is asked to wait for a change before it ends
// a watch.
func WithWatchTimeout(d time.Duration) Option { return func(c *Client) { c.watchTimeout = d } }

// New returns a client of the platform with the URL base, such as http://10.0.0.1:7000.
func New(base string, options ...Option) *Client {
	c := &Client{
		base:         strings.TrimSuffix(base, "/"),
		timeout:      DefaultTimeout,
		watchTimeout: DefaultWatchTimeout,
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
	op, key  string // for errors
	method   string
	path     string
	query    url.Values
	body     []byte
	timeout  time.Duration // until the response begins, zero for the client's timeout
	mutating bool          // whether the call changes the platform's state
	// compressed requests a compressed response, whose size becomes ListBytes.
	compressed bool
}

// do makes a call and decodes its response into out, unless out is nil. It fails with a
// *pointport.UnavailableError, *pointport.NotFoundError, *pointport.HeldError or
// *pointport.ConflictError.
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
	// The transport may send a request with GetBody set twice.
	req.GetBody = nil
	if k.compressed {
		req.Header.Set("Accept-Encoding", "gzip")
	}
	c.calls.Add(1)
	res, err := c.http.Do(req)
	if err != nil {
		return &pointport.UnavailableError{Op: k.op, Key: k.key, Ambiguous: k.mutating && !dialFailed(err), Err: guard.Cause(err)}
	}
	defer res.Body.Close()
	data, err := guard.ReadAll(res.Body, maxResponseBytes, DefaultTimeout, func() { pointport.Progress(ctx) })
	if err != nil {
		return &pointport.UnavailableError{Op: k.op, Key: k.key, Ambiguous: k.mutating, Err: err}
	}
	if k.compressed {
		c.listBytes.Store(int64(len(data)))
		if data, err = decompress(res, data); err != nil {
			return &pointport.UnavailableError{Op: k.op, Key: k.key, Err: err}
		}
	}
	return k.decode(res.StatusCode, data, out)
}

// maxListBytes bounds a list of instances after decompression.
const maxListBytes = 64 << 20

// decompress returns the decompressed body of a response, or data if the response is not
// compressed. It fails with a *stall.TooLargeError if there is more than maxListBytes.
func decompress(res *http.Response, data []byte) ([]byte, error) {
	if res.Header.Get("Content-Encoding") != "gzip" {
		return data, nil
	}
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	list, err := io.ReadAll(io.LimitReader(z, maxListBytes+1))
	if err == nil && len(list) > maxListBytes {
		return nil, &stall.TooLargeError{Limit: maxListBytes}
	}
	return list, err
}

// dialFailed reports whether err occurred before a connection was established.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// conflictBody is the body of a response with status 409. Holder is set if another
// holder has the lease, otherwise the revisions are set.
type conflictBody struct {
	Have   pointport.Revision `json:"have"`
	Want   pointport.Revision `json:"want"`
	Holder string             `json:"holder"`
}

// decode decodes the body of a response into out, unless out is nil, or returns the
// error for the response's status. A 5xx status other than 503 makes a mutating call
// ambiguous.
func (k call) decode(status int, data []byte, out any) error {
	switch {
	case status == http.StatusConflict:
		return k.conflictError(data)
	case status == http.StatusNotFound:
		return &pointport.NotFoundError{Kind: k.op, Name: k.key}
	case status != http.StatusOK:
		err := fmt.Errorf("status %d: %s", status, bytes.TrimSpace(data))
		return &pointport.UnavailableError{Op: k.op, Key: k.key, Ambiguous: k.mutating && status >= 500 && status != http.StatusServiceUnavailable, Err: err}
	case out == nil:
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &pointport.UnavailableError{Op: k.op, Key: k.key, Ambiguous: k.mutating, Err: err}
	}
	return nil
}

// conflictError returns the error for the body of a response with status 409.
func (k call) conflictError(data []byte) error {
	var r conflictBody
	if err := json.Unmarshal(data, &r); err != nil {
		return &pointport.UnavailableError{Op: k.op, Key: k.key, Err: err}
	}
	if r.Holder != "" {
		return &pointport.HeldError{Name: k.key, Holder: r.Holder}
	}
	return &pointport.ConflictError{Key: k.key, Want: r.Want, Have: r.Have}
}

// keyState is the JSON form of a key's state.
type keyState struct {
	Revision pointport.Revision `json:"revision"`
	Value    []byte             `json:"value,omitempty"`
}

// Get returns the state of key.
func (c *Client) Get(ctx context.Context, key string) (pointport.Entry, error) {
	var v keyState
	err := c.do(ctx, call{op: "get", key: key, method: http.MethodGet, path: kvPath(key)}, &v)
	if err != nil {
		return pointport.Entry{}, err
	}
	return pointport.NewEntry(key, v.Value, v.Revision), nil
}

// Watch waits until key has a revision greater than after, or until the watch timeout
// has passed, and returns the state of key.
func (c *Client) Watch(ctx context.Context, key string, after pointport.Revision) (pointport.Entry, error) {
	q := url.Values{"after": {formatRevision(after)}, "wait": {c.watchTimeout.String()}}
	var v keyState
	err := c.do(ctx, call{
		op: "watch", key: key, method: http.MethodGet, path: kvPath(key),
		query: q, timeout: c.watchTimeout + c.timeout,
	}, &v)
	if err != nil {
		return pointport.Entry{}, err
	}
	return pointport.NewEntry(key, v.Value, v.Revision), nil
}

// CompareAndSwap sets key to val if its revision is still have.
func (c *Client) CompareAndSwap(ctx context.Context, key string, have pointport.Revision, val []byte) (pointport.Revision, error) {
	var v keyState
	err := c.do(ctx, call{
		op: "cas", key: key, method: http.MethodPut, path: kvPath(key),
		query: url.Values{"have": {formatRevision(have)}}, body: val, mutating: true,
	}, &v)
	return v.Revision, err
}

// Delete removes key if its revision is still have.
func (c *Client) Delete(ctx context.Context, key string, have pointport.Revision) error {
	return c.do(ctx, call{
		op: "delete", key: key, method: http.MethodDelete, path: kvPath(key),
		query: url.Values{"have": {formatRevision(have)}}, mutating: true,
	}, nil)
}

// Lease grants or extends a lease.
func (c *Client) Lease(ctx context.Context, name, holder string, ttl time.Duration) error {
	return c.do(ctx, call{
		op: "lease", key: name, method: http.MethodPut, path: "/v1/leases/" + url.PathEscape(name),
		query: url.Values{"holder": {holder}, "ttl": {ttl.String()}}, mutating: true,
	}, nil)
}

// Release ends holder's lease, if it still has it.
func (c *Client) Release(ctx context.Context, name, holder string) error {
	return c.do(ctx, call{
		op: "release", key: name, method: http.MethodDelete, path: "/v1/leases/" + url.PathEscape(name),
		query: url.Values{"holder": {holder}}, mutating: true,
	}, nil)
}

func kvPath(key string) string { return "/v1/kv/" + url.PathEscape(key) }

func formatRevision(r pointport.Revision) string { return strconv.FormatInt(int64(r), 10) }
