package remote_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/internal/stall"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/remote"
	"github.com/pointport/pointport/standin"
)

// TestWriteErrorAmbiguity checks, for each way in which a write can fail, that the error
// states whether the write may have taken effect, and that the write is sent only once.
// The transport would otherwise send a request again after some failures.
func TestWriteErrorAmbiguity(t *testing.T) {
	var calls atomic.Int64
	respond := func(status int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "injected failure", status) }
	}
	for _, c := range []struct {
		name      string
		handler   http.HandlerFunc
		ambiguous bool
	}{
		{"refused in an outage", respond(http.StatusServiceUnavailable), false},
		{"too large", respond(http.StatusRequestEntityTooLarge), false},
		{"internal error", respond(http.StatusInternalServerError), true},
		{"connection closed", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, true},
		{"truncated response", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("{"))
		}, true},
		{"response that is not JSON", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			calls.Store(0)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				c.handler(w, r)
			}))
			defer srv.Close()
			_, err := remote.New(srv.URL).CompareAndSwap(t.Context(), "key", 1, []byte("value"))
			var unavailable *pointport.UnavailableError
			if !errors.As(err, &unavailable) || unavailable.Ambiguous != c.ambiguous {
				t.Errorf("got %v, want ambiguous %v", err, c.ambiguous)
			}
			if n := calls.Load(); n != 1 {
				t.Errorf("the write was sent %d times", n)
			}
		})
	}
}

// TestRefusedConnectionIsNotAmbiguous checks that a write to a port on which no process
// listens is known to have had no effect.
func TestRefusedConnectionIsNotAmbiguous(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	_, err = remote.New("http://"+address).CompareAndSwap(t.Context(), "key", 1, nil)
	var unavailable *pointport.UnavailableError
	if !errors.As(err, &unavailable) || unavailable.Ambiguous {
		t.Errorf("got %v, want an UnavailableError that is not ambiguous", err)
	}
}

// TestClientWithStandin makes the calls to the store and to the instances against the
// stand-in, which guards against a client and a server that differ in their protocol.
func TestClientWithStandin(t *testing.T) {
	fleet, err := standin.NewFleet(clock.System{}, standin.WithZones(2, "zone-a"))
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	srv := httptest.NewServer(standin.NewPlatform(memory.New(clock.System{}), fleet))
	defer srv.Close()
	c, ctx := remote.New(srv.URL), context.Background()
	if e, err := c.Get(ctx, "a/b c"); err != nil || e.Exists() {
		t.Fatalf("missing key: got %v, %v, want an entry that does not exist", e, err)
	}
	rev, err := c.CompareAndSwap(ctx, "a/b c", 0, []byte{0, 1, 255})
	if err != nil {
		t.Fatal(err)
	}
	if e, err := c.Watch(ctx, "a/b c", 0); err != nil || e.Revision() != rev || string(e.Value()) != "\x00\x01\xff" {
		t.Errorf("watch: %v, %v", e, err)
	}
	var conflict *pointport.ConflictError
	if _, err := c.CompareAndSwap(ctx, "a/b c", 0, nil); !errors.As(err, &conflict) || conflict.Have != rev {
		t.Errorf("got %v, want a conflict with revision %d", err, rev)
	}
	if err := c.Delete(ctx, "a/b c", rev); err != nil {
		t.Error(err)
	}
	if err := c.Lease(ctx, "planner/a", "one", remote.DefaultTimeout); err != nil {
		t.Error(err)
	}
	var held *pointport.HeldError
	if err := c.Lease(ctx, "planner/a", "two", remote.DefaultTimeout); !errors.As(err, &held) || held.Holder != "one" {
		t.Errorf("got %v, want a HeldError with the holder \"one\"", err)
	}
	list, err := c.Instances(ctx, "zone-a")
	if err != nil || len(list) != 2 || c.ListBytes() == 0 {
		t.Fatalf("instances: %v, %v, %d bytes", list, err, c.ListBytes())
	}
	if err := c.Drain(ctx, list[0].ID, list[0].Boots+1); err != nil {
		t.Error(err)
	}
	if list, _ = c.Instances(ctx, "zone-a"); list[0].State != pointport.InstanceLive {
		t.Error("a drain with a wrong boot count took effect")
	}
	var missing *pointport.NotFoundError
	if err := c.Reboot(ctx, "nobody", 1); !errors.As(err, &missing) {
		t.Errorf("got %v, want a NotFoundError", err)
	}
}

// Guards against a response that is cut at the client's limit and then reported as invalid JSON.
func TestTooLargeResponsesAreNamed(t *testing.T) {
	// Compressed before it is served: the client gives up on a response that pauses for 2 s.
	var list bytes.Buffer
	z := gzip.NewWriter(&list)
	for range 65 {
		_, _ = z.Write(make([]byte, 1<<20))
	}
	if err := z.Close(); err != nil {
		t.Fatal(err)
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Accept-Encoding") != "gzip" {
			_, _ = w.Write(make([]byte, 2<<20+1))
			return
		}
		w.Header().Set("Content-Encoding", "gzip")
		_, _ = w.Write(list.Bytes())
	}))
	defer srv.Close()
	c := remote.New(srv.URL)
	var tooLarge *stall.TooLargeError
	if _, err := c.CompareAndSwap(t.Context(), "key", 1, nil); !errors.As(err, &tooLarge) {
		t.Errorf("a body over 2 MiB: %v, want a *TooLargeError", err)
	}
	if _, err := c.Instances(t.Context(), "zone-a"); !errors.As(err, &tooLarge) {
		t.Errorf("a list over 64 MiB: %v, want a *TooLargeError", err)
	}
}
