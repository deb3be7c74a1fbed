package remote

import (
	"context"
	"net"
	"time"
)

// This file defines the counts of what the client sends and receives.

// dialTimeout bounds how long a connection may take to stand.
const dialTimeout = 2 * time.Second

// Counts holds how much a client has done.
type Counts struct {
	Calls    int64 // calls made, a waiting watch as one
	Sent     int64 // bytes sent, with their HTTP headers
	Received int64 // bytes received, with their HTTP headers
}

// Counts returns how much the client has done.
func (c *Client) Counts() Counts {
	return Counts{c.calls.Load(), c.sent.Load(), c.received.Load()}
}

// ListBytes returns how many bytes the last list of instances took, as it was
// received.
func (c *Client) ListBytes() int64 { return c.listBytes.Load() }

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{conn, c}, nil
}

// A countedConn counts its bytes.
type countedConn struct {
	net.Conn
	client *Client
}

// Read reads and counts.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.client.received.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.client.sent.Add(int64(n))
	return n, err
}
