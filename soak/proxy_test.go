package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// This file defines a proxy on loopback that injects connection faults.

// A connMode is how a proxy handles connections.
type connMode int

const (
	passThrough   connMode = iota
	delayed                // each chunk is delayed by chunkDelay
	dropReplies            // data from the target is dropped
	dropRequests           // data from clients is dropped
	dropAll                // data in both directions is dropped
	reset                  // open and new connections are reset
	platformModes          // number of modes for connections to the platform's services
)

// These modes are only used for connections to instances.
const (
	delayedPerConn = platformModes + iota // each chunk is delayed, by a time that differs between connections
	dropExisting                          // data on connections from before the mode is dropped, new ones work
	resetOnReply                          // requests pass, and their replies reset the connection
	linkModes                             // number of modes for connections to instances
)

func (t connMode) String() string {
	return []string{"passThrough", "delayed", "dropReplies", "dropRequests", "dropAll", "reset", "delayedPerConn", "dropExisting", "resetOnReply"}[t]
}

// chunkDelay is the delay of each chunk in mode delayed, as with a slow store of the platform.
const chunkDelay = 240 * time.Millisecond

const (
	// minConnDelay and maxConnDelay bound the delay of each chunk in mode delayedPerConn.
	// connDelayStep is the difference between the delays of consecutive connections, within these
	// bounds.
	minConnDelay  = 100 * time.Millisecond
	maxConnDelay  = 2 * time.Second
	connDelayStep = 619 * time.Millisecond
	// deliveryGrace is how long the other side of a connection stays open in mode delayedPerConn
	// after one side has closed, so that data in transit still arrives.
	deliveryGrace = 100 * time.Millisecond
)

// A proxy forwards connections between its clients and a target.
type proxy struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	mode        connMode
	modeChanges int              // number of mode changes
	connCount   int              // number of connections so far
	conns       map[net.Conn]int // modeChanges when each connection was opened
}

// newProxy returns a proxy in front of an address.
func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]int)}
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return // the proxy was closed
			}
			go p.forward(client)
		}
	}()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set sets the mode from now on. When a mode that drops data ends, it resets all connections,
// because the dropped data cannot be recovered.
func (p *proxy) set(t connMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.modeChanges++
	if t == reset || p.mode != passThrough && p.mode != delayed && p.mode != delayedPerConn {
		for c := range p.conns {
			resetConn(c)
		}
	}
	p.mode = t
}

func (p *proxy) currentMode() connMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetConn(c)
	}
}

// resetConn closes a connection with a reset.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// track records an open connection. It returns false, and resets the connection, in mode reset.
func (p *proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == reset {
		resetConn(c)
		return false
	}
	p.conns[c] = p.modeChanges
	return true
}

// predatesMode reports whether a connection was opened before the current mode was set.
func (p *proxy) predatesMode(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[c] < p.modeChanges
}

// nextConnDelay returns the delay of each chunk on the next connection.
func (p *proxy) nextConnDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connCount++
	return minConnDelay + time.Duration(p.connCount)*connDelayStep%(maxConnDelay-minConnDelay)
}

func (p *proxy) untrack(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

// forward connects a client to the target and forwards both directions.
func (p *proxy) forward(client net.Conn) {
	if !p.track(client) {
		return
	}
	defer p.untrack(client)
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		resetConn(client) // nothing listens at the target: reset, as a closed port does
		return
	}
	if !p.track(server) {
		return
	}
	defer p.untrack(server)
	delay := p.nextConnDelay()
	var wg sync.WaitGroup
	wg.Go(func() { p.pipe(server, client, dropRequests, delay) })
	wg.Go(func() { p.pipe(client, server, dropReplies, delay) })
	wg.Wait()
}

// pipe forwards one direction of a connection until either side closes. drops is the mode that
// drops this direction, and delay is the chunk delay in mode delayedPerConn.
func (p *proxy) pipe(to, from net.Conn, drops connMode, delay time.Duration) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			switch t := p.currentMode(); {
			case t == dropAll || t == drops || t == dropExisting && p.predatesMode(from):
				n = 0
			case t == delayed:
				time.Sleep(chunkDelay)
			case t == delayedPerConn:
				time.Sleep(delay)
			case t == resetOnReply && drops == dropReplies:
				resetConn(from)
				resetConn(to)
				return
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if err == io.EOF && p.currentMode() == passThrough {
				_ = to.(*net.TCPConn).CloseWrite()
				return
			}
			if p.currentMode() == delayedPerConn {
				time.Sleep(deliveryGrace)
			}
			resetConn(to)
			return
		}
	}
}
