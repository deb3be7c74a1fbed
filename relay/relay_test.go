package relay_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/relay"
)

// boundedWatcher holds a watch for a short time only, as the store does for a relay.
type boundedWatcher struct {
	store  *memory.Store
	down   atomic.Bool
	failed atomic.Int64
}

func (s *boundedWatcher) Watch(ctx context.Context, key string, after pointport.Revision) (pointport.Entry, error) {
	if s.down.Load() {
		s.failed.Add(1)
		return pointport.Entry{}, &pointport.UnavailableError{Op: "watch", Key: key, Err: errors.New("cut off")}
	}
	ctx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	return s.store.Watch(ctx, key, after)
}

// countingWatcher counts the watches that go to the store directly.
type countingWatcher struct {
	store *memory.Store
	calls atomic.Int64
}

func (d *countingWatcher) Watch(ctx context.Context, key string, after pointport.Revision) (pointport.Entry, error) {
	d.calls.Add(1)
	return d.store.Watch(ctx, key, after)
}

func write(t *testing.T, store *memory.Store, have pointport.Revision, value string) pointport.Revision {
	t.Helper()
	rev, err := store.CompareAndSwap(t.Context(), "key", have, []byte(value))
	if err != nil {
		t.Fatal(err)
	}
	return rev
}

// TestClientsShareRelay guards against clients that watch the store directly although the
// relay answers.
func TestClientsShareRelay(t *testing.T) {
	store := memory.New(clock.System{})
	srv := httptest.NewServer(relay.NewServer(t.Context(), &boundedWatcher{store: store}, clock.System{}))
	defer srv.Close()
	d := &countingWatcher{store: store}
	const clients = 20
	got := make(chan pointport.Entry, clients)
	for range clients {
		c := relay.NewClient(d, clock.System{}, func() string { return srv.URL })
		go func() {
			e, err := c.Watch(t.Context(), "key", 0)
			if err != nil {
				t.Error(err)
			}
			got <- e
		}()
	}
	rev := write(t, store, 0, "value")
	for range clients {
		if e := <-got; e.Revision() != rev || string(e.Value()) != "value" {
			t.Errorf("got revision %d, %q", e.Revision(), e.Value())
		}
	}
	if n := d.calls.Load(); n != 0 {
		t.Errorf("%d watches went to the store directly", n)
	}
}

// TestRelayCutOff guards against clients that are delayed because their relay is cut off from
// the store while they can still reach it.
func TestRelayCutOff(t *testing.T) {
	store := memory.New(clock.System{})
	cutOff := &boundedWatcher{store: store}
	srv := httptest.NewServer(relay.NewServer(t.Context(), cutOff, clock.System{}))
	defer srv.Close()
	rev := write(t, store, 0, "old")
	d := &countingWatcher{store: store}
	c := relay.NewClient(d, clock.System{}, func() string { return srv.URL })
	if e, err := c.Watch(t.Context(), "key", 0); err != nil || e.Revision() != rev {
		t.Fatalf("got revision %d, %v", e.Revision(), err)
	}
	cutOff.down.Store(true)
	for cutOff.failed.Load() == 0 { // wait until the watch in flight has ended
		time.Sleep(time.Millisecond)
	}
	next := write(t, store, rev, "new")
	if e, err := c.Watch(t.Context(), "key", rev); err != nil || e.Revision() != next {
		t.Errorf("got revision %d, %v, want %d", e.Revision(), err, next)
	}
	if d.calls.Load() == 0 {
		t.Error("the store was not watched directly")
	}
}

// TestRelayGone guards against a client that fails because the relay's process has ended.
func TestRelayGone(t *testing.T) {
	store := memory.New(clock.System{})
	srv := httptest.NewServer(nil)
	gone := srv.URL
	srv.Close()
	d := &countingWatcher{store: store}
	c := relay.NewClient(d, clock.System{}, func() string { return gone })
	rev := write(t, store, 0, "value")
	if e, err := c.Watch(t.Context(), "key", 0); err != nil || e.Revision() != rev {
		t.Errorf("got revision %d, %v", e.Revision(), err)
	}
}

// TestRelayBehindClient guards against a client that gets an older state than it already has
// from a relay that has not seen its revision.
func TestRelayBehindClient(t *testing.T) {
	older, newer := memory.New(clock.System{}), memory.New(clock.System{})
	write(t, older, 0, "old")
	rev := write(t, newer, write(t, newer, 0, "old"), "new")
	last := write(t, newer, rev, "newest")
	srv := httptest.NewServer(relay.NewServer(t.Context(), &boundedWatcher{store: older}, clock.System{}))
	defer srv.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	c := relay.NewClient(&countingWatcher{store: newer}, clock.System{}, func() string { return srv.URL })
	e, err := c.Watch(ctx, "key", rev)
	if err != nil || e.Revision() != last {
		t.Errorf("got revision %d, %v, want %d", e.Revision(), err, last)
	}
}

// TestRelayHangs guards against clients that wait for the whole timeout of a relayed watch
// when the relay's process hangs: it accepts connections but does not answer. They must watch
// the store directly long before that.
func TestRelayHangs(t *testing.T) {
	store := memory.New(clock.System{})
	unblock := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-unblock }))
	defer srv.Close()
	defer close(unblock)
	d := &countingWatcher{store: store}
	c := relay.NewClient(d, clock.System{}, func() string { return srv.URL })
	rev := write(t, store, 0, "value")
	const maxDuration = 10 * time.Second // far below the timeout of a relayed watch
	ctx, cancel := context.WithTimeout(t.Context(), maxDuration)
	defer cancel()
	if e, err := c.Watch(ctx, "key", 0); err != nil || e.Revision() != rev {
		t.Errorf("got revision %d, %v", e.Revision(), err)
	}
}
