// Package drain closes the connections of an HTTP server before its process ends, without losing a
// request that the process has read.
//
// http.Server.Shutdown closes each connection that counts as idle. A connection does so until a whole
// request has been parsed, so a request that has just been read is lost: its client gets the end of the
// connection in place of an answer.
//
// A Listener marks a connection as busy as soon as anything was read from it. It never closes the others
// itself, but lets their next read time out, upon which the server closes them. A read that has returned
// data is not affected, and its request is answered.
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pointport/pointport"
	"golang.org/x/sys/unix"
)

const (
	// checkInterval is the time between two looks at the connections while they are drained.
	checkInterval = 5 * time.Millisecond
	// firstRequestTimeout is for how long a connection is kept for its first request.
	firstRequestTimeout = 500 * time.Millisecond
)

// A Listener tracks the connections that it has accepted. The server must call ConnState as its hook of
// that name. It is safe for concurrent use.
type Listener struct {
	net.Listener
	clock pointport.Clock

	mu    sync.Mutex
	conns map[*conn]struct{} // the open ones
}

// NewListener returns a Listener that accepts the connections of l.
func NewListener(l net.Listener, clock pointport.Clock) *Listener {
	return &Listener{Listener: l, clock: clock, conns: make(map[*conn]struct{})}
}

// Accept accepts a connection.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, listener: l, keepUntil: l.clock.Now().Add(firstRequestTimeout)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// ConnState notes that a connection waits for its next request.
func (l *Listener) ConnState(c net.Conn, state http.ConnState) {
	if own, ok := c.(*conn); ok && state == http.StateIdle {
		own.setIdle()
	}
}

// Drain stops accepting connections and closes those that wait for a request, until no connection is left
// or ctx ends.
func (l *Listener) Drain(ctx context.Context) {
	_ = l.Close()
	for l.expireIdle() > 0 {
		select {
		case <-l.clock.After(checkInterval):
		case <-ctx.Done():
			return
		}
	}
}

// expireIdle lets reads on connections without a request time out, and returns how many connections are
// open.
func (l *Listener) expireIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for c := range l.conns {
		c.expireIfIdle(now)
	}
	return len(l.conns)
}

// forget removes a connection that is closed.
func (l *Listener) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// A conn is a connection of a Listener.
type conn struct {
	net.Conn
	listener *Listener

	mu        sync.Mutex
	busy      bool      // whether something was read since the connection was last idle
	expired   bool      // whether its reads time out
	keepUntil time.Time // until when it is kept for its first request
}

// Read reads from the connection, which is busy if that returns anything.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.setBusy()
	}
	return n, err
}

// Close closes the connection.
func (c *conn) Close() error {
	c.listener.forget(c)
	return c.Conn.Close()
}

// setBusy notes that a request has begun, the rest of which may be read.
func (c *conn) setBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	if c.expired {
		c.expired = false
		_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
}

// setIdle notes that the connection waits for its next request.
func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
}

// expireIfIdle lets the reads of a connection time out that waits for a request, unless a request has
// arrived.
func (c *conn) expireIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || now.Before(c.keepUntil) || c.hasUnread() {
		return
	}
	c.expired = true
	_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// hasUnread reports whether data has arrived that was not read yet.
func (c *conn) hasUnread() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = control.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}
