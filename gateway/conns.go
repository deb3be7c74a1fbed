package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the connections to one upstream and their limit.

const (
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 2 * time.Second
	// idleTimeout is how long an idle connection is kept. It is shorter than the
	// idle timeouts that upstreams commonly use, so that a request is rarely sent
	// on a connection that its upstream is closing.
	idleTimeout = 20 * time.Second
	// maxIdle is too high to be a limit of its own: the share limits the number of
	// connections, idle ones included.
	maxIdle = 10000
)

// An upstreamKey identifies one incarnation of an instance at one address.
type upstreamKey struct {
	id      pointport.InstanceID
	address string
	boots   int64
}

func upstreamKeyOf(i pointport.Instance) upstreamKey { return upstreamKey{i.ID, i.Address, i.Boots} }

// An upstream is the HTTP transport to one incarnation of an instance. A new one is
// made when the address or the boot count of the instance changes.
type upstream struct {
	instance  pointport.Instance
	transport *http.Transport
	limit     func() int // returns the maximum number of connections

	mu       sync.Mutex
	count    int           // open connections and dials in progress
	released chan struct{} // closed and replaced when a connection is released
}

func newUpstream(i pointport.Instance, limit func() int) *upstream {
	u := &upstream{instance: i, limit: limit, released: make(chan struct{})}
	u.transport = &http.Transport{
		DialContext:         u.dial,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
	}
	return u
}

// dial opens a connection once the limit allows one more.
func (u *upstream) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := u.acquire(ctx); err != nil {
		return nil, err
	}
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		u.release()
		return nil, err
	}
	return &countedConn{Conn: c, upstream: u}, nil
}

// acquire reserves a connection. It waits until the limit allows one more, and
// fails with ctx's error if ctx ends first.
func (u *upstream) acquire(ctx context.Context) error {
	for {
		u.mu.Lock()
		if u.count < u.limit() {
			u.count++
			u.mu.Unlock()
			return nil
		}
		released := u.released
		u.mu.Unlock()
		select {
		case <-released:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// release returns a reserved connection and wakes the calls of acquire that wait.
func (u *upstream) release() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.count--
	close(u.released)
	u.released = make(chan struct{})
}

// conns returns the number of connections, including dials in progress.
func (u *upstream) conns() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.count
}

// A countedConn counts the bytes written to it, and counts against the limit of
// its upstream until it is closed.
type countedConn struct {
	net.Conn
	upstream  *upstream
	written   atomic.Int64
	closeOnce sync.Once
}

// Write writes data and counts its length, also if the write fails half way.
func (c *countedConn) Write(data []byte) (int, error) {
	// Counted before the write, because a failed write may have sent some of it.
	c.written.Add(int64(len(data)))
	return c.Conn.Write(data)
}

// Close closes the connection and releases it, once.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(c.upstream.release)
	return err
}
