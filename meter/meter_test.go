package meter_test

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/meter"
)

// servedMetrics returns the page of metrics that m serves.
func servedMetrics(m *meter.Meter) string {
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

func wantLines(t *testing.T, m *meter.Meter, lines ...string) {
	t.Helper()
	got := servedMetrics(m)
	for _, line := range lines {
		if !strings.Contains(got, line+"\n") {
			t.Errorf("the metrics lack %s", line)
		}
	}
}

// TestEventsAreCounted checks that events are counted by name and outcome and timed, that an
// outcome outside the catalogue counts as "other", and that lines without an event are not
// counted.
func TestEventsAreCounted(t *testing.T) {
	m := meter.New(clock.System{})
	unread := slog.NewTextHandler(new(strings.Builder), &slog.HandlerOptions{Level: slog.LevelDebug})
	logger := slog.New(m.Events(unread)).With(slog.String("node", "a"))
	event.JobEnded.Log(logger, slog.String("job", "j"), slog.String("state", "completed"), slog.Duration("after", 3*time.Second))
	event.JobEnded.Log(logger, slog.String("job", "j"), slog.String("state", "unheard of"), slog.Duration("after", time.Second))
	event.TaskPlaced.Log(logger)
	logger.Info("not an event")
	wantLines(t, m,
		`pointport_events_total{event="job ended",outcome="completed"} 1`,
		`pointport_events_total{event="job ended",outcome="other"} 1`,
		`pointport_events_total{event="task placed",outcome=""} 1`,
		`pointport_event_seconds_bucket{event="job ended",outcome="completed",le="2.5"} 0`,
		`pointport_event_seconds_bucket{event="job ended",outcome="completed",le="5"} 1`,
	)
}

// TestEventsLeftOutOfTheLogAreCounted checks that an event is counted even if the rate limit
// leaves its line out of the log.
func TestEventsLeftOutOfTheLogAreCounted(t *testing.T) {
	m := meter.New(clock.System{})
	limiter := event.NewRateLimiter(slog.NewTextHandler(new(strings.Builder), nil), clock.NewFake(time.Unix(1000, 0)))
	logger := slog.New(m.Events(limiter))
	for range 3000 {
		event.TaskPlaced.Log(logger)
	}
	if limiter.LeftOut() == 0 {
		t.Fatal("no line is left out")
	}
	wantLines(t, m, `pointport_events_total{event="task placed",outcome=""} 3000`)
}

// TestCallsAreCounted checks that calls are counted by their outcome and timed, including
// those that fail.
func TestCallsAreCounted(t *testing.T) {
	m := meter.New(clock.System{})
	fault := memory.FaultNone
	kv := m.KV(memory.New(clock.System{}).KV(memory.WithFaults(func(string, string) memory.Fault { return fault })))
	ctx := context.Background()
	put := pointport.Txn{If: []pointport.Condition{{Key: "a"}}, Put: []pointport.Put{{Key: "a"}}}
	for range 2 {
		_, _ = kv.Commit(ctx, put) // the second conflicts: the key exists
	}
	fault = memory.FaultLostAnswer
	ctx, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
	defer cancel()
	if _, err := kv.Commit(ctx, put); err == nil {
		t.Fatal("Commit returns no error although its answer is lost")
	}
	wantLines(t, m,
		`pointport_calls_total{answer="ok",call="commit",to="store"} 1`,
		`pointport_calls_total{answer="conflict",call="commit",to="store"} 1`,
		`pointport_call_seconds_count{call="commit",to="store"} 3`,
	)
}

// TestBriefMetrics checks that the brief page holds neither histograms nor the runtime's
// metrics. A collector may keep only four kilobytes of a page, and those would fill them.
func TestBriefMetrics(t *testing.T) {
	m := meter.New(clock.System{})
	m.AddStoreBytes("range", 1000)
	if _, err := m.KV(memory.New(clock.System{}).KV()).Get(context.Background(), "a"); err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	m.BriefHandler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics/brief", nil))
	for _, name := range regexp.MustCompile(`(?m)^# TYPE (\w+ \w+)$`).FindAllStringSubmatch(w.Body.String(), -1) {
		if !strings.HasPrefix(name[1], "pointport_") || strings.HasSuffix(name[1], " histogram") {
			t.Errorf("the brief page shows %s", name[1])
		}
	}
	if want := `pointport_received_bytes_total{call="range",to="store"} 1000`; !strings.Contains(w.Body.String(), want) {
		t.Errorf("the brief page lacks %s", want)
	}
}

// TestMetricsPage checks that docs/operators/job-metrics.md lists exactly the metrics that a
// meter serves and those that cli/join.go adds for a running node.
func TestMetricsPage(t *testing.T) {
	data, err := os.ReadFile("../docs/operators/job-metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	m := meter.New(clock.System{})
	event.TaskPlaced.Log(slog.New(m.Events(slog.NewTextHandler(new(strings.Builder), nil))))
	if _, err := m.KV(memory.New(clock.System{}).KV()).Get(context.Background(), "a"); err != nil {
		t.Fatal(err)
	}
	m.AddStoreBytes("get", 100)
	m.Customers(func() []meter.Customer { return []meter.Customer{{Name: "a"}} })
	code, err := os.ReadFile("../cli/join.go")
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, found := range regexp.MustCompile(`(?m)^# TYPE (pointport_\w+) `).FindAllStringSubmatch(servedMetrics(m), -1) {
		names = append(names, found[1])
	}
	for _, found := range regexp.MustCompile(`m\.(?:Gauge|Counter)\("(pointport_\w+)"`).FindAllStringSubmatch(string(code), -1) {
		names = append(names, found[1])
	}
	var listed []string
	for _, found := range regexp.MustCompile("(?m)^\\| `(pointport_\\w+)` \\|").FindAllStringSubmatch(string(data), -1) {
		listed = append(listed, found[1])
	}
	slices.Sort(names)
	slices.Sort(listed)
	if !slices.Equal(names, listed) {
		t.Errorf("the page lists\n%v\nand the metrics are\n%v", listed, names)
	}
}
