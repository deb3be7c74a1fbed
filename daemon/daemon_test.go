package daemon

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
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

// waitTimeout limits how long a test waits for a condition. It is not an expected
// duration: a test that reaches it has failed.
const waitTimeout = 30 * time.Second

// waitUntil waits until ok returns true. It fails the test after waitTimeout.
func waitUntil(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("after %v, still waiting until %s", waitTimeout, condition)
}

// newFlags returns a flag set on which the settings are registered.
func newFlags(set *settings.Set) *flag.FlagSet {
	f := flag.NewFlagSet("serve", flag.ContinueOnError)
	set.Register(f)
	return f
}

// loadSettings returns the settings for the given command-line arguments.
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

// startEntry starts an entry instance on free local ports.
func startEntry(t *testing.T, platform, name string, more ...string) *Entry {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	e := startEntryUntil(ctx, t, platform, name, more...)
	t.Cleanup(func() { e.Stop(context.Background()) }) // runs before cancel
	return e
}

// startEntryUntil starts an entry instance as startEntry does; it ends when ctx does.
func startEntryUntil(ctx context.Context, t *testing.T, platform, name string, more ...string) *Entry {
	t.Helper()
	args := append([]string{
		"-platform=" + platform, "-name=" + name, "-refresh=100ms", "-stop-notice=0s",
		"-callers=127.0.0.1:0", "-operators=127.0.0.1:0", "-metrics=127.0.0.1:0",
	}, more...)
	e, err := Start(ctx, loadSettings(t, args...), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// startPlatform starts a simulated platform with eight instances in one zone.
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

// putConfig sends a document to the operators' API, based on the version read.
func putConfig(t *testing.T, e *Entry, read string, text string) error {
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

// request sends a request as a caller, with an idempotency key unless key is empty.
// It returns the status, the Pointport-Ran header and the body.
func request(t *testing.T, e *Entry, method, path, key string) (int, string, string) {
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

// TestTemplateRequestWaveJobAndAudit exercises all main features together, with
// two entry instances and a simulated platform: a template, a request, a wave, a
// job and the audit trail.
func TestTemplateRequestWaveJobAndAudit(t *testing.T) {
	_, fleet, platform := startPlatform(t)
	a, b := startEntry(t, platform, "a"), startEntry(t, platform, "b")
	if err := putConfig(t, a, "0", shiftTemplate); err != nil {
		t.Fatal(err)
	}
	for _, e := range []*Entry{a, b} {
		waitUntil(t, "the change is in force", func() bool {
			status, _, _ := request(t, e, http.MethodGet, "/shift/1", "")
			return status == http.StatusOK
		})
	}
	status, _, body := request(t, a, http.MethodPost, "/payout", "tip-1")
	if status != http.StatusOK || !strings.Contains(body, `"key":"tip-1"`) {
		t.Fatalf("payout: status %d, body %s", status, body)
	}
	status, ran, _ := request(t, b, http.MethodPost, "/payout", "tip-1")
	if status != http.StatusConflict || ran == "no" {
		t.Errorf("the same key at the other entry instance: status %d, Pointport-Ran %q, want 409 and not \"no\"", status, ran)
	}
	if n := fleet.Runs()["tip-1"]; n != 1 {
		t.Errorf("the request with key tip-1 ran %d times, want once", n)
	}
	runWave(t, a, b)
	runJob(t, b)
	checkAudit(t, b)
}

// runWave runs a wave and checks that requests are served during it and that it
// maintains every instance of the pool.
func runWave(t *testing.T, a, b *Entry) {
	t.Helper()
	if err := putConfig(t, a, "0", "kind: Wave\nname: kernel\ntemplate: shift\n"); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the wave has ended", func() bool {
		if status, _, body := request(t, b, http.MethodGet, "/shift/1", ""); status != http.StatusOK {
			t.Fatalf("during the wave: status %d: %s", status, body)
		}
		w, ok := a.assignments["zone-a"].State().Wave("kernel")
		return ok && !w.Ended.IsZero()
	})
	w, _ := a.assignments["zone-a"].State().Wave("kernel")
	if w.Done != 5 || w.FailedCount != 0 || w.PassedCount != 0 {
		t.Errorf("the wave ended as %+v, want 5 done", w)
	}
	for _, m := range a.assignments["zone-a"].State().Members() {
		if m.Pool == "shift" && (m.Boots != 2 || m.Phase != assign.Serving) {
			t.Errorf("after the wave: %+v", m)
		}
	}
}

// runJob submits a job and waits until it is done.
func runJob(t *testing.T, e *Entry) {
	t.Helper()
	awaitJob(t, e, submitJob(t, e).ID)
}

// submitJob submits a job.
func submitJob(t *testing.T, e *Entry) job.Job {
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
	return j
}

// awaitJob waits until a job is done.
func awaitJob(t *testing.T, e *Entry, id string) {
	t.Helper()
	var j job.Job
	q := url.Values{"wait": {waitTimeout.String()}}
	if err := operator.NewClient(e.Address("operators")).Call(context.Background(), http.MethodGet, "/v1/jobs/"+id, q, nil, &j); err != nil {
		t.Fatal(err)
	}
	if j.Phase != job.Done || j.Result == "" {
		t.Errorf("the job ended as %+v", j)
	}
}

// checkAudit checks that the audit trail has the changes by the operator and by
// the system.
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
			t.Errorf("the audit trail does not contain %q:\n%s", want, trail.String())
		}
	}
}

// TestConcurrentConfigChangesConflict lets two operators change a template based
// on the same version. The second change must fail instead of overwriting the
// first, and its error must name the version and the author of the first.
func TestConcurrentConfigChangesConflict(t *testing.T) {
	_, _, platform := startPlatform(t)
	a, b := startEntry(t, platform, "a"), startEntry(t, platform, "b")
	if err := putConfig(t, a, "0", shiftTemplate); err != nil {
		t.Fatal(err)
	}
	err := putConfig(t, b, "0", shiftTemplate)
	failed, ok := err.(*operator.Error)
	if !ok || failed.Code != "race" || !strings.Contains(failed.Message, "version 1 by ana") {
		t.Errorf("got %v, want a race that names version 1 and ana", err)
	}
}

// TestPlanChangesNothing requests the forecast for a template that is not applied.
// The forecast must have the expected moves, and the configuration must not
// change.
func TestPlanChangesNothing(t *testing.T) {
	_, _, platform := startPlatform(t)
	e := startEntry(t, platform, "a")
	waitUntil(t, "all instances are known", func() bool { return len(e.assignments["zone-a"].State().Members()) == 8 })
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
		t.Errorf("the plan changed the configuration to version %d", v)
	}
}

// TestEvacuationRefusesRequests evacuates the only availability zone through the
// operators' API of one entry instance and reopens it. Meanwhile the other entry
// instance must refuse requests as not run, with a time to retry after, and a job
// must wait until the zone is open. The audit trail must have both changes. The
// evacuation of a zone that does not exist must be refused.
func TestEvacuationRefusesRequests(t *testing.T) {
	_, _, platform := startPlatform(t)
	a, b := startEntry(t, platform, "a"), startEntry(t, platform, "b")
	if err := putConfig(t, a, "0", shiftTemplate); err != nil {
		t.Fatal(err)
	}
	served := func() bool {
		status, _, _ := request(t, b, http.MethodGet, "/shift/1", "")
		return status == http.StatusOK
	}
	waitUntil(t, "requests are served", served)
	err := putConfig(t, a, "0", "kind: Evacuation\nname: zone-x\n")
	if failed, ok := err.(*operator.Error); !ok || !strings.Contains(failed.Message, "zone-x") || !strings.Contains(failed.Message, "zone-a") {
		t.Errorf("evacuation of an unknown availability zone: got %v, want an error that names it and the existing ones", err)
	}
	if err := putConfig(t, a, "0", "kind: Evacuation\nname: zone-a\nreason: cooling\n"); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "requests are refused", func() bool { return !served() })
	if status, ran, body := request(t, b, http.MethodPost, "/payout", "tip-9"); status != http.StatusServiceUnavailable || ran != "no" {
		t.Errorf("a payout while the only zone is evacuated: status %d, Pointport-Ran %q, want 503 and \"no\": %s", status, ran, body)
	}
	res, err := http.Get(b.Address("callers") + "/shift/1")
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	if after, err := strconv.Atoi(res.Header.Get("Retry-After")); err != nil || after < 1 {
		t.Errorf("Retry-After of a refusal is %q, want at least a second", res.Header.Get("Retry-After"))
	}
	waiting := submitJob(t, b)
	client := operator.NewClient(a.Address("operators"))
	waitUntil(t, "the job waits for the evacuation to end", func() bool {
		var j job.Job
		if err := client.Call(context.Background(), http.MethodGet, "/v1/jobs/"+waiting.ID, nil, nil, &j); err != nil {
			t.Fatal(err)
		}
		if j.Phase != job.Waiting {
			t.Fatalf("in the evacuated zone the job is %+v", j)
		}
		return j.Reason == "its availability zone is evacuated"
	})
	q := url.Values{"author": {"ana"}, "reason": {"cooling is back"}}
	if err := client.Call(context.Background(), http.MethodDelete, "/v1/config/Evacuation/zone-a", q, nil, nil); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "requests are served again", served)
	awaitJob(t, b, waiting.ID)
	var list []query.Entry
	if err := client.Call(context.Background(), http.MethodGet, "/v1/audit", nil, nil, &list); err != nil {
		t.Fatal(err)
	}
	trail := fmt.Sprint(list)
	for _, want := range []string{"Evacuation/zone-a created", "Evacuation/zone-a removed", "cooling is back"} {
		if !strings.Contains(trail, want) {
			t.Errorf("the audit trail does not contain %q:\n%s", want, trail)
		}
	}
}
