package daemon

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/remote"
	"github.com/pointport/pointport/share"
	"github.com/pointport/pointport/standin"
)

// get sends a GET request with headers on a connection of its own and returns the
// status and the body. The status is zero if no complete answer came.
func get(url string, header map[string]string) (int, string) {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return 0, err.Error()
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(body)
}

// startZones starts a simulated platform with two instances in each zone, each of
// which serves one request at a time.
func startZones(t *testing.T, zones ...pointport.ZoneID) (*standin.Fleet, string) {
	t.Helper()
	fleet, err := standin.NewFleet(clock.System{}, standin.WithZones(2, zones...), standin.WithSlots(1))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	addr, err := standin.NewPlatform(memory.New(clock.System{}), fleet).Listen(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return fleet, "http://" + addr.String()
}

// TestPlannedStopFinishesRequests stops an entry instance while requests run,
// stream their answers and wait in its queue. Each must get its complete answer,
// and new requests must find no listener.
func TestPlannedStopFinishesRequests(t *testing.T) {
	_, platform := startZones(t, "zone-a")
	e := startEntry(t, platform, "a")
	if err := putConfig(t, e, "0", "kind: Template\nname: shift\nroutes: [{pathPrefix: /shift, repeatable: true}]\npool: {size: 2}\nupstream: {slots: 1}\n"); err != nil {
		t.Fatal(err)
	}
	url := e.Address("callers") + "/shift"
	waitUntil(t, "both upstreams are in use", func() bool {
		get(url, nil)
		st := e.gateway.Status()
		return len(st) == 1 && len(st[0].Upstreams) == 2
	})
	var wg sync.WaitGroup
	checkedGet := func(header map[string]string, want string) {
		wg.Go(func() {
			if status, body := get(url, header); status != http.StatusOK || !strings.Contains(body, want) {
				t.Errorf("status %d, body %q, want the complete answer", status, body)
			}
		})
	}
	checkedGet(map[string]string{standin.HeaderWork: "700ms"}, "instance")
	checkedGet(map[string]string{standin.HeaderWork: "700ms", standin.HeaderStream: "10"}, "piece 10 of 10")
	waitUntil(t, "two requests run", func() bool { return e.inFlight.Load() == 2 })
	for range 4 {
		checkedGet(map[string]string{standin.HeaderWork: "50ms"}, "instance")
	}
	waitUntil(t, "four requests wait", func() bool { return e.gateway.Status()[0].Waiting == 4 })
	e.Stop(t.Context())
	wg.Wait()
	if n := e.inFlight.Load(); n != 0 {
		t.Errorf("%d requests are in flight after the stop, want 0", n)
	}
	if status, _ := get(url, nil); status != 0 {
		t.Errorf("after the stop a request got status %d, want none", status)
	}
}

// TestReadinessTurnsOffFirst probes an entry instance during the notice period of
// a planned stop. Readiness must be off, while the instance stays live and still
// serves requests; otherwise requests fail that the load balancer sends before it
// notices the stop.
func TestReadinessTurnsOffFirst(t *testing.T) {
	_, platform := startZones(t, "zone-a")
	e := startEntry(t, platform, "a", "-stop-notice=10m")
	waitUntil(t, "the entry instance is ready", func() bool {
		status, _ := get(e.Address("metrics")+"/readyz", nil)
		return status == http.StatusOK
	})
	stopCtx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		e.Stop(stopCtx)
		close(stopped)
	}()
	waitUntil(t, "the entry instance is not ready", func() bool {
		status, body := get(e.Address("metrics")+"/readyz", nil)
		return status == http.StatusServiceUnavailable && strings.Contains(body, "stopping")
	})
	if status, _ := get(e.Address("metrics")+"/livez", nil); status != http.StatusOK {
		t.Errorf("liveness probe during the notice period: status %d, want 200", status)
	}
	if status, _ := get(e.Address("callers")+"/nowhere", nil); status != http.StatusNotFound {
		t.Errorf("a request during the notice period got status %d, want 404 from the gateway", status)
	}
	cancel()
	<-stopped
}

// TestOneEntryLeasesConnectionsToOtherZones sends all requests to one entry
// instance, as a load balancer may do. The upstreams of its own zone are
// saturated, and it has no fixed connections to those of the other zone, so it
// must lease connections to them. It must return the lease when it ends.
func TestOneEntryLeasesConnectionsToOtherZones(t *testing.T) {
	_, platform := startZones(t, "zone-a", "zone-b")
	zones := "-zones=zone-a,zone-b"
	ctx, cancel := context.WithCancel(t.Context())
	a := startEntryUntil(ctx, t, platform, "a", zones)
	startEntry(t, platform, "b", zones, "-zone=zone-b")
	if err := putConfig(t, a, "0", "kind: Template\nname: shift\nroutes: [{pathPrefix: /shift, repeatable: true}]\npool: {size: 4}\nupstream: {slots: 1}\n"); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "all upstreams are known", func() bool {
		st := a.gateway.Status()
		return len(st) == 1 && len(st[0].Upstreams) == 4
	})
	var wg sync.WaitGroup
	for range 40 {
		wg.Go(func() { get(a.Address("callers")+"/shift", map[string]string{standin.HeaderWork: "200ms"}) })
	}
	waitUntil(t, "the upstreams of the other zone serve", func() bool {
		served := 0
		for _, u := range a.gateway.Status()[0].Upstreams {
			if u.Zone == "zone-b" && u.Served > 0 {
				served++
			}
		}
		return served == 2
	})
	wg.Wait()
	a.Stop(t.Context())
	cancel()
	store := remote.New(platform)
	waitUntil(t, "the lease is returned", func() bool {
		e, err := store.Get(t.Context(), share.Key("zone-b"))
		if err != nil || !e.Exists() {
			t.Fatalf("the leases of zone-b: %v, %v, want a value", e, err)
		}
		return string(e.Value()) == `{"grants":{}}`
	})
}
