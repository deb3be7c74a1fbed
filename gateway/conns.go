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

// This file defines the connections to one upstream and their bound.

const (
	// dialTimeout bounds how long a connection may take to stand.
	dialTimeout = 2 * time.Second
	// idleTimeout is how long an unused connection is kept. It is shorter than
	// what upstreams commonly keep, so that requests rarely meet a connection
	// that is being closed.
	idleTimeout = 20 * time.Second
	// maxIdle is no bound of its own: the share bounds all connections.
	maxIdle = 10000
)

// A peerKey identifies one life of an instance.
type peerKey struct {
	id      pointport.InstanceID
	address string
	boots   int64
}

func keyOf(i pointport.Instance) peerKey { return peerKey{i.ID, i.Address, i.Boots} }

// A peer is one upstream's transport. It lives as long as the instance keeps
// its address and boots.
type peer struct {
	instance  pointport.Instance
	transport *http.Transport
	share     func() int

	mu    sync.Mutex
	count int
	freed chan struct{} // closed and replaced when a connection closes
}

func newPeer(i pointport.Instance, share func() int) *peer {
	p := &peer{instance: i, share: share, freed: make(chan struct{})}
	p.transport = &http.Transport{
		DialContext:         p.dial,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
	}
	return p
}

// dial opens a connection once the share allows one more.
func (p *peer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := p.take(ctx); err != nil {
		return nil, err
	}
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		p.give()
		return nil, err
	}
	return &countedConn{Conn: c, peer: p}, nil
}

func (p *peer) take(ctx context.Context) error {
	for {
		p.mu.Lock()
		if p.count < p.share() {
			p.count++
			p.mu.Unlock()
			return nil
		}
		freed := p.freed
		p.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (p *peer) give() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count--
	close(p.freed)
	p.freed = make(chan struct{})
}

// conns returns how many connections there are.
func (p *peer) conns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count
}

// A countedConn counts what was written to it, and is counted itself.
type countedConn struct {
	net.Conn
	peer    *peer
	written atomic.Int64
	once    sync.Once
}

// Write sends data and counts it, also where it fails half way.
func (c *countedConn) Write(data []byte) (int, error) {
	// Counted before it is written, since a failed write may have sent it.
	c.written.Add(int64(len(data)))
	return c.Conn.Write(data)
}

// Close closes the connection and gives it back to its peer's share.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.peer.give)
	return err
}
