package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// This file defines a proxy on loopback that treats connections badly.

// A connMode says what a proxy does to connections.
type connMode int

const (
	passThrough   connMode = iota
	delayed                // each piece waits
	dropReplies            // what the far side says is lost
	dropRequests           // what the near side says is lost
	dropAll                // both
	reset                  // connections are reset, and new ones too
	platformModes          // how many the platform's services are given
)

// These are only met on the way to instances.
const (
	delayedPerConn = platformModes + iota // each piece waits, on each connection for another time
	dropExisting                          // connections from before are silent, new ones pass
	resetOnReply                          // requests go through, and their replies reset the connection
	linkModes                             // how many there are on the way to instances
)

func (t connMode) String() string {
	return []string{"pass", "delayed", "dropReplies", "dropRequests", "silent", "reset", "scattered", "silentBefore", "resetReplies"}[t]
}

// pieceDelay is how long a delayed piece waits: as the platform's store when it is
// slow.
const pieceDelay = 240 * time.Millisecond

const (
	// minConnDelay and scatterMost bound how long a piece waits on a way that scatters;
	// scatterStep spreads connections over that.
	minConnDelay  = 100 * time.Millisecond
	maxConnDelay  = 2 * time.Second
	connDelayStep = 619 * time.Millisecond
	// deliveryGrace is for how long a connection stays open towards the target after its
	// near side has gone, so that what was on its way arrives all the same.
	deliveryGrace = 100 * time.Millisecond
)

// A proxy stands between its clients and a target.
type proxy struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	mode        connMode
	modeChanges int              // of treatments
	connCount   int              // of connections
	conns       map[net.Conn]int // the turn in which each was opened
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
			near, err := l.Accept()
			if err != nil {
				return // the proxy is closed
			}
			go p.forward(near)
		}
	}()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set sets what becomes of connections from now on. Those that were silenced are
// reset when that ends: what was lost of them cannot be made good.
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

// resetConn resets a connection.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// track notes an open connection; false if connections are being reset.
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

// predatesMode reports whether a connection is from before the present treatment.
func (p *proxy) predatesMode(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[c] < p.modeChanges
}

// nextConnDelay returns how long each piece of the next connection waits.
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

func (p *proxy) forward(near net.Conn) {
	if !p.track(near) {
		return
	}
	defer p.untrack(near)
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		resetConn(near) // nobody is there, as behind a dead port
		return
	}
	if !p.track(far) {
		return
	}
	defer p.untrack(far)
	wait := p.nextConnDelay()
	var wg sync.WaitGroup
	wg.Go(func() { p.pipe(far, near, dropRequests, wait) })
	wg.Go(func() { p.pipe(near, far, dropReplies, wait) })
	wg.Wait()
}

// pipe carries one direction until either side ends. lost is the treatment that
// swallows it, wait how long its pieces wait where that is scattered.
func (p *proxy) pipe(to, from net.Conn, lost connMode, wait time.Duration) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			switch t := p.currentMode(); {
			case t == dropAll || t == lost || t == dropExisting && p.predatesMode(from):
				n = 0
			case t == delayed:
				time.Sleep(pieceDelay)
			case t == delayedPerConn:
				time.Sleep(wait)
			case t == resetOnReply && lost == dropReplies:
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
