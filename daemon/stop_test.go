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
	"github.com/pointport/pointport/standin"
)

// askWith sends a request with headers and returns the status and the whole
// body; the status is zero if no whole answer came.
func askWith(url string, header map[string]string) (int, string) {
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

// startZones starts a stand-in with two instances of one slot in each zone.
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

// TestPlannedStopCutsNothing stops an entry instance while requests run, stream
// and wait in its queue.
func TestPlannedStopCutsNothing(t *testing.T) {
	_, platform := startZones(t, "zone-a")
	e := startEntry(t, platform, "a")
	if err := put(t, e, "0", "kind: Template\nname: shift\nroutes: [{pathPrefix: /shift, repeatable: true}]\npool: {size: 2}\nupstream: {slots: 1}\n"); err != nil {
		t.Fatal(err)
	}
	url := e.Address("callers") + "/shift"
	until(t, "both upstreams are in use", func() bool {
		askWith(url, nil)
		st := e.gateway.Status()
		return len(st) == 1 && len(st[0].Upstreams) == 2
	})
	var wg sync.WaitGroup
	ask := func(header map[string]string, want string) {
		wg.Go(func() {
			if status, body := askWith(url, header); status != http.StatusOK || !strings.Contains(body, want) {
				t.Errorf("status %d, body %q, want the whole answer", status, body)
			}
		})
	}
	ask(map[string]string{standin.HeaderWork: "700ms"}, "instance")
	ask(map[string]string{standin.HeaderWork: "700ms", standin.HeaderStream: "10"}, "piece 10 of 10")
	until(t, "two requests run", func() bool { return e.inFlight.Load() == 2 })
	for range 4 {
		ask(map[string]string{standin.HeaderWork: "50ms"}, "instance")
	}
	until(t, "four requests wait", func() bool { return e.gateway.Status()[0].Waiting == 4 })
	e.Stop(t.Context())
	wg.Wait()
	if n := e.inFlight.Load(); n != 0 {
		t.Errorf("the stop left %d requests", n)
	}
	if status, _ := askWith(url, nil); status != 0 {
		t.Errorf("after the stop a request got status %d", status)
	}
}

// TestReadinessGoesFirst asks for readiness during the notice of a stop, while
// requests are still taken.
func TestReadinessGoesFirst(t *testing.T) {
	_, platform := startZones(t, "zone-a")
	e := startEntry(t, platform, "a", "-stop-notice=10m")
	until(t, "it is ready", func() bool {
		status, _ := askWith(e.Address("metrics")+"/readyz", nil)
		return status == http.StatusOK
	})
	impatient, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		e.Stop(impatient)
		close(stopped)
	}()
	until(t, "it is not ready", func() bool {
		status, body := askWith(e.Address("metrics")+"/readyz", nil)
		return status == http.StatusServiceUnavailable && strings.Contains(body, "stopping")
	})
	if status, _ := askWith(e.Address("metrics")+"/livez", nil); status != http.StatusOK {
		t.Errorf("liveness during the notice: %d", status)
	}
	if status, _ := askWith(e.Address("callers")+"/nowhere", nil); status != http.StatusNotFound {
		t.Errorf("a request during the notice got status %d, want it served", status)
	}
	cancel()
	<-stopped
}

// TestOneEntryReachesOtherZones lets the balancer send everything to one entry
// instance. It must come to use the other zone's upstreams, by connections that
// it leases, and give them back.
func TestOneEntryReachesOtherZones(t *testing.T) {
	_, platform := startZones(t, "zone-a", "zone-b")
	zones := "-zones=zone-a,zone-b"
	a := startEntry(t, platform, "a", zones)
	startEntry(t, platform, "b", zones, "-zone=zone-b")
	if err := put(t, a, "0", "kind: Template\nname: shift\nroutes: [{pathPrefix: /shift, repeatable: true}]\npool: {size: 4}\nupstream: {slots: 1}\n"); err != nil {
		t.Fatal(err)
	}
	until(t, "all upstreams are known", func() bool {
		st := a.gateway.Status()
		return len(st) == 1 && len(st[0].Upstreams) == 4
	})
	var wg sync.WaitGroup
	for range 40 {
		wg.Go(func() { askWith(a.Address("callers")+"/shift", map[string]string{standin.HeaderWork: "200ms"}) })
	}
	until(t, "the other zone's upstreams serve", func() bool {
		served := 0
		for _, u := range a.gateway.Status()[0].Upstreams {
			if u.Zone == "zone-b" && u.Served > 0 {
				served++
			}
		}
		return served == 2
	})
	wg.Wait()
}
