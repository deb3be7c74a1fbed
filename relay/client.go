package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pointport/pointport"
)

// This file defines the client of the relay.

const (
	// clientWatchTimeout is how long the relay may hold a watch of a client.
	clientWatchTimeout = 20 * time.Second
	// answerMargin is how much longer the answer may take.
	answerMargin = 2 * time.Second
	// probeInterval is how often the relay is probed during a watch, and probeTimeout how long
	// it may take to answer a probe. Together they bound how late a change is seen if the
	// relay's process hangs.
	probeInterval = time.Second
	probeTimeout  = time.Second
	// avoidFor is how long the store is watched directly after the relay has failed.
	avoidFor = 30 * time.Second
)

// Client is a pointport.Watcher that watches through the zone's relay, or directly at the
// store if the zone has no relay or the relay fails. It is safe for concurrent use.
type Client struct {
	store pointport.Watcher
	clock pointport.Clock
	relay func() string
	http  *http.Client

	mu         sync.Mutex
	avoidUntil time.Time // until when the store is watched directly

	probeMu  sync.Mutex // held during a probe of the relay
	probedAt time.Time
	alive    bool
}

var _ pointport.Watcher = (*Client)(nil)

// NewClient returns a watcher. The function relay returns the URL of the zone's relay, or an
// empty string if there is none or this process is the relay.
func NewClient(store pointport.Watcher, clock pointport.Clock, relay func() string) *Client {
	return &Client{
		store: store, clock: clock, relay: relay,
		http: &http.Client{Transport: &http.Transport{ResponseHeaderTimeout: clientWatchTimeout + answerMargin}},
	}
}

// Watch waits until key has a revision greater than after, or the watch times out.
func (c *Client) Watch(ctx context.Context, key string, after pointport.Revision) (pointport.Entry, error) {
	base := c.relay()
	if base == "" || c.avoided() {
		return c.store.Watch(ctx, key, after)
	}
	e, err := c.watchThrough(ctx, base, key, after)
	if err == nil {
		return e, nil
	}
	c.avoidRelay()
	return c.store.Watch(ctx, key, after)
}

func (c *Client) avoided() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Now().Before(c.avoidUntil)
}

func (c *Client) avoidRelay() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil = c.clock.Now().Add(avoidFor)
}

// isAlive reports whether the relay answers a probe. All watches share the result.
func (c *Client) isAlive(ctx context.Context, base string) bool {
	c.probeMu.Lock()
	defer c.probeMu.Unlock()
	if c.clock.Now().Sub(c.probedAt) < probeInterval/2 {
		return c.alive
	}
	// The result is shared, so the end of one watch must not cancel the probe.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodHead, base+Path, nil)
	if err != nil {
		return false
	}
	res, err := c.http.Do(req)
	if err == nil {
		_ = res.Body.Close()
	}
	c.probedAt, c.alive = c.clock.Now(), err == nil
	return c.alive
}

// probeWhileWaiting calls cancel, which ends a relayed watch, if the relay does not answer a
// probe.
func (c *Client) probeWhileWaiting(ctx context.Context, cancel context.CancelFunc, base string) {
	for {
		select {
		case <-c.clock.After(probeInterval):
			if !c.isAlive(ctx, base) {
				cancel()
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// watchThrough watches through the relay at base for as long as that answers probes.
func (c *Client) watchThrough(ctx context.Context, base, key string, after pointport.Revision) (pointport.Entry, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { c.probeWhileWaiting(ctx, cancel, base) }()
	q := url.Values{"key": {key}, "after": {strconv.FormatInt(int64(after), 10)}, "wait": {clientWatchTimeout.String()}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+Path+"?"+q.Encode(), nil)
	if err != nil {
		return pointport.Entry{}, err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return pointport.Entry{}, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return pointport.Entry{}, fmt.Errorf("relay %s: status %d", base, res.StatusCode)
	}
	var r reply
	if err := json.NewDecoder(res.Body).Decode(&r); err != nil {
		return pointport.Entry{}, err
	}
	if r.Revision < after {
		return pointport.Entry{}, fmt.Errorf("relay %s: revision %d of %q is below %d", base, r.Revision, key, after)
	}
	return pointport.NewEntry(key, r.Value, r.Revision), nil
}
