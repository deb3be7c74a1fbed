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

// boundedWatcher holds watches as the store does for a relay.
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

// countingWatcher counts the watches that go to the store itself.
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

// TestClientsShareRelay lets many wait for a key through a relay. The store
// must see only the relay's watches.
func TestClientsShareRelay(t *testing.T) {
	store := memory.New(clock.System{})
	srv := httptest.NewServer(relay.NewServer(t.Context(), &boundedWatcher{store: store}, clock.System{}))
	defer srv.Close()
	d := &countingWatcher{store: store}
	const waiters = 20
	got := make(chan pointport.Entry, waiters)
	for range waiters {
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
	for range waiters {
		if e := <-got; e.Revision() != rev || string(e.Value()) != "value" {
			t.Errorf("got revision %d, %q", e.Revision(), e.Value())
		}
	}
	if n := d.calls.Load(); n != 0 {
		t.Errorf("%d watches went to the store itself", n)
	}
}

// TestRelayCutOff cuts the relay off from the store, which the waiting ones can
// still reach. They must not be held back.
func TestRelayCutOff(t *testing.T) {
	store := memory.New(clock.System{})
	cut := &boundedWatcher{store: store}
	srv := httptest.NewServer(relay.NewServer(t.Context(), cut, clock.System{}))
	defer srv.Close()
	rev := write(t, store, 0, "old")
	d := &countingWatcher{store: store}
	c := relay.NewClient(d, clock.System{}, func() string { return srv.URL })
	if e, err := c.Watch(t.Context(), "key", 0); err != nil || e.Revision() != rev {
		t.Fatalf("got revision %d, %v", e.Revision(), err)
	}
	cut.down.Store(true)
	for cut.failed.Load() == 0 { // the watch under way has ended
		time.Sleep(time.Millisecond)
	}
	next := write(t, store, rev, "new")
	if e, err := c.Watch(t.Context(), "key", rev); err != nil || e.Revision() != next {
		t.Errorf("got revision %d, %v, want %d", e.Revision(), err, next)
	}
	if d.calls.Load() == 0 {
		t.Error("the store itself was not asked")
	}
}

// TestRelayGone lets the relay's process be gone.
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

// TestRelayBehindClient asks a relay about a revision that it has not seen.
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

// TestRelayHangs freezes the relay's process, which then accepts connections
// and answers nothing. Whoever waits must go to the store, and not only once its
// long wait is over.
func TestRelayHangs(t *testing.T) {
	store := memory.New(clock.System{})
	wake := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-wake }))
	defer srv.Close()
	defer close(wake)
	d := &countingWatcher{store: store}
	c := relay.NewClient(d, clock.System{}, func() string { return srv.URL })
	rev := write(t, store, 0, "value")
	const muchLess = 10 * time.Second // than a relayed watch waits
	ctx, cancel := context.WithTimeout(t.Context(), muchLess)
	defer cancel()
	if e, err := c.Watch(ctx, "key", 0); err != nil || e.Revision() != rev {
		t.Errorf("got revision %d, %v", e.Revision(), err)
	}
}
