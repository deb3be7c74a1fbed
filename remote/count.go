package remote

import (
	"context"
	"net"
	"time"
)

// This file counts the client's calls and the bytes that it sends and receives.

// dialTimeout bounds how long a connection may take to be established.
const dialTimeout = 2 * time.Second

// Counts holds how many calls a client has made, and how many bytes they took.
type Counts struct {
	Calls    int64 // calls made; a watch counts as one
	Sent     int64 // bytes sent, with their HTTP headers
	Received int64 // bytes received, with their HTTP headers
}

// Counts returns the counts since the client was created.
func (c *Client) Counts() Counts {
	return Counts{c.calls.Load(), c.sent.Load(), c.received.Load()}
}

// ListBytes returns the size of the last list of instances in bytes, as it was
// received, usually compressed.
func (c *Client) ListBytes() int64 { return c.listBytes.Load() }

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, c}, nil
}

// countingConn is a connection that adds its bytes to the client's counts.
type countingConn struct {
	net.Conn
	client *Client
}

// Read reads from the connection and counts the bytes received.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.client.received.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes sent.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.client.sent.Add(int64(n))
	return n, err
}
