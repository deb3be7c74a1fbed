package daemon

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/assign"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/command"
	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/job"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/operator"
	"github.com/pointport/pointport/query"
	"github.com/pointport/pointport/settings"
	"github.com/pointport/pointport/standin"
)

// patience bounds how long a test waits for something to come about. It is no
// measure: a test that needs it all has failed.
const patience = 30 * time.Second

// until waits until ok returns true.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("waited %v in vain until %s", patience, what)
}

// newFlags returns flags that a set is registered with.
func newFlags(set *settings.Set) *flag.FlagSet {
	f := flag.NewFlagSet("serve", flag.ContinueOnError)
	set.Register(f)
	return f
}

// loadSettings returns the settings that args give.
func loadSettings(t *testing.T, args ...string) *Settings {
	t.Helper()
	var s Settings
	set := settings.New()
	s.Define(set)
	f := newFlags(set)
	if err := f.Parse(args); err != nil {
		t.Fatal(err)
	}
	if err := set.Load(f, func(string) (string, bool) { return "", false }); err != nil {
		t.Fatal(err)
	}
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	return &s
}

// startEntry starts an entry instance on addresses of its own.
func startEntry(t *testing.T, platform, name string, more ...string) *Entry {
	t.Helper()
	args := append([]string{
		"-platform=" + platform, "-name=" + name, "-refresh=100ms", "-stop-notice=0s",
		"-callers=127.0.0.1:0", "-operators=127.0.0.1:0", "-metrics=127.0.0.1:0",
	}, more...)
	ctx, cancel := context.WithCancel(context.Background())
	e, err := Start(ctx, loadSettings(t, args...), slog.New(slog.DiscardHandler))
	if err != nil {
		cancel()
		t.Fatal(err)
	}
	t.Cleanup(func() {
		e.Stop(context.Background())
		cancel()
	})
	return e
}

// startPlatform starts a stand-in with eight instances in one zone.
func startPlatform(t *testing.T) (*standin.Platform, *standin.Fleet, string) {
	t.Helper()
	fleet, err := standin.NewFleet(clock.System{}, standin.WithZones(8, "zone-a"),
		standin.WithServiceTime(time.Millisecond), standin.WithRebootTime(200*time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	p := standin.NewPlatform(memory.New(clock.System{}), fleet)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	addr, err := p.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return p, fleet, "http://" + addr.String()
}

// put sends a document as an operator does.
func put(t *testing.T, e *Entry, read string, text string) error {
	t.Helper()
	objects, err := config.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	o := objects[0]
	path := "/v1/config/" + string(o.Kind()) + "/" + o.Name()
	q := url.Values{"author": {"ana"}, "read": {read}}
	return operator.NewClient(e.Address("operators")).Call(context.Background(), http.MethodPut, path, q, o, nil)
}

func ask(t *testing.T, e *Entry, method, path, key string) (int, string, string) {
	t.Helper()
	req, err := http.NewRequest(method, e.Address("callers")+path, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, res.Header.Get("Pointport-Ran"), string(body)
}

const shiftTemplate = `
kind: Template
name: shift
routes:
  - {pathPrefix: /shift, repeatable: true}
  - {pathPrefix: /payout, methods: [POST], requireKey: true}
pool: {size: 4, spare: "1"}
maintenance: {budget: "1", drainQuiet: 200ms}
`

// TestWholePath takes the thin path of the product through two entry instances
// and a stand-in platform: a template, a request, a wave, a job and the audit
// trail.
func TestWholePath(t *testing.T) {
	_, fleet, platform := startPlatform(t)
	a, b := startEntry(t, platform, "a"), startEntry(t, platform, "b")
	if err := put(t, a, "0", shiftTemplate); err != nil {
		t.Fatal(err)
	}
	for _, e := range []*Entry{a, b} {
		until(t, "the change is in force", func() bool {
			status, _, _ := ask(t, e, http.MethodGet, "/shift/1", "")
			return status == http.StatusOK
		})
	}
	status, _, body := ask(t, a, http.MethodPost, "/payout", "tip-1")
	if status != http.StatusOK || !strings.Contains(body, `"key":"tip-1"`) {
		t.Fatalf("payout: status %d, body %s", status, body)
	}
	status, ran, _ := ask(t, b, http.MethodPost, "/payout", "tip-1")
	if status != http.StatusConflict || ran == "no" {
		t.Errorf("the same key at the other entry instance: status %d, ran %s", status, ran)
	}
	if n := fleet.Runs()["tip-1"]; n != 1 {
		t.Errorf("tip-1 ran %d times", n)
	}
	runWave(t, a, b)
	runJob(t, b)
	checkAudit(t, b)
}

func runWave(t *testing.T, a, b *Entry) {
	t.Helper()
	if err := put(t, a, "0", "kind: Wave\nname: kernel\ntemplate: shift\n"); err != nil {
		t.Fatal(err)
	}
	until(t, "the wave has ended", func() bool {
		if status, _, body := ask(t, b, http.MethodGet, "/shift/1", ""); status != http.StatusOK {
			t.Fatalf("during the wave: status %d: %s", status, body)
		}
		w, ok := a.assigns["zone-a"].State().Wave("kernel")
		return ok && !w.Ended.IsZero()
	})
	w, _ := a.assigns["zone-a"].State().Wave("kernel")
	if w.Done != 5 || w.FailedCount != 0 || w.PassedCount != 0 {
		t.Errorf("the wave ended as %+v, want 5 done", w)
	}
	for _, m := range a.assigns["zone-a"].State().Members() {
		if m.Pool == "shift" && (m.Boots != 2 || m.Phase != assign.Serving) {
			t.Errorf("after the wave: %+v", m)
		}
	}
}

func runJob(t *testing.T, e *Entry) {
	t.Helper()
	client := operator.NewClient(e.Address("operators"))
	s := command.Submission{
		Key: "proof-1", Customer: "sahab", Kind: "proof", Service: "shift",
		Need: pointport.Shape{CPUMilli: 1000, MemoryMiB: 100}, Runtime: config.NewDuration(10 * time.Millisecond), Billed: true,
	}
	var j job.Job
	if err := client.Call(context.Background(), http.MethodPost, "/v1/jobs", nil, s, &j); err != nil {
		t.Fatal(err)
	}
	q := url.Values{"wait": {patience.String()}}
	if err := client.Call(context.Background(), http.MethodGet, "/v1/jobs/"+j.ID, q, nil, &j); err != nil {
		t.Fatal(err)
	}
	if j.Phase != job.Done || j.Result == "" {
		t.Errorf("the job ended as %+v", j)
	}
}

func checkAudit(t *testing.T, e *Entry) {
	t.Helper()
	var list []query.Entry
	err := operator.NewClient(e.Address("operators")).Call(context.Background(), http.MethodGet, "/v1/audit", nil, nil, &list)
	if err != nil {
		t.Fatal(err)
	}
	var trail strings.Builder
	for _, entry := range list {
		fmt.Fprintf(&trail, "%s %s %s\n", entry.Author, entry.Object, entry.Action)
	}
	for _, want := range []string{"ana Template/shift created", "ana Wave/kernel created", "Wave/kernel ended", "now rebooting in shift", "now draining in shift"} {
		if !strings.Contains(trail.String(), want) {
			t.Errorf("the audit trail does not say %q:\n%s", want, trail.String())
		}
	}
}

// TestRaceIsAConflict lets two operators change one template from the same
// version.
func TestRaceIsAConflict(t *testing.T) {
	_, _, platform := startPlatform(t)
	a, b := startEntry(t, platform, "a"), startEntry(t, platform, "b")
	if err := put(t, a, "0", shiftTemplate); err != nil {
		t.Fatal(err)
	}
	err := put(t, b, "0", shiftTemplate)
	failed, ok := err.(*operator.Error)
	if !ok || failed.Code != "race" || !strings.Contains(failed.Message, "version 1 by ana") {
		t.Errorf("got %v, want a race that names version 1 and ana", err)
	}
}

// TestPlanChangesNothing asks what a template would do before it is applied.
func TestPlanChangesNothing(t *testing.T) {
	_, _, platform := startPlatform(t)
	e := startEntry(t, platform, "a")
	until(t, "all instances are known", func() bool { return len(e.assigns["zone-a"].State().Members()) == 8 })
	objects, err := config.Parse("test", []byte(shiftTemplate))
	if err != nil {
		t.Fatal(err)
	}
	var list []assign.Forecast
	if err := operator.NewClient(e.Address("operators")).Call(context.Background(), http.MethodPost, "/v1/plan", nil, objects, &list); err != nil {
		t.Fatal(err)
	}
	if len(list) != 1 || list[0].Moves != 5 {
		t.Errorf("got %+v, want 5 moves in one zone", list)
	}
	if v := e.configs.State().Version(); v != 0 {
		t.Errorf("the plan made configuration version %d", v)
	}
}

// TestEvacuation evacuates an availability zone by the operators' API and takes that back, at
// an entry instance that does not plan it. Requests are refused as not run, with a time to come
// back, jobs wait, and the audit trail has both.
func TestEvacuation(t *testing.T) {
	_, _, platform := startPlatform(t)
	a, b := startEntry(t, platform, "a"), startEntry(t, platform, "b")
	if err := put(t, a, "0", shiftTemplate); err != nil {
		t.Fatal(err)
	}
	served := func() bool {
		status, _, _ := ask(t, b, http.MethodGet, "/shift/1", "")
		return status == http.StatusOK
	}
	until(t, "requests are served", served)
	err := put(t, a, "0", "kind: Evacuation\nname: zone-x\n")
	if failed, ok := err.(*operator.Error); !ok || !strings.Contains(failed.Message, "zone-x") || !strings.Contains(failed.Message, "zone-a") {
		t.Errorf("an availability zone that there is not: %v, want an error that names it and those that there are", err)
	}
	if err := put(t, a, "0", "kind: Evacuation\nname: zone-a\nreason: cooling\n"); err != nil {
		t.Fatal(err)
	}
	until(t, "requests are refused", func() bool { return !served() })
	if status, ran, body := ask(t, b, http.MethodPost, "/payout", "tip-9"); status != http.StatusServiceUnavailable || ran != "no" {
		t.Errorf("a payout while the only zone is evacuated: status %d, ran %s: %s", status, ran, body)
	}
	client := operator.NewClient(a.Address("operators"))
	q := url.Values{"author": {"ana"}, "reason": {"cooling is back"}}
	if err := client.Call(context.Background(), http.MethodDelete, "/v1/config/Evacuation/zone-a", q, nil, nil); err != nil {
		t.Fatal(err)
	}
	until(t, "requests are served again", served)
	var list []query.Entry
	if err := client.Call(context.Background(), http.MethodGet, "/v1/audit", nil, nil, &list); err != nil {
		t.Fatal(err)
	}
	trail := fmt.Sprint(list)
	for _, want := range []string{"Evacuation/zone-a created", "Evacuation/zone-a removed", "cooling is back"} {
		if !strings.Contains(trail, want) {
			t.Errorf("the audit trail does not say %q:\n%s", want, trail)
		}
	}
}
