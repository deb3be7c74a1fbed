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

// figures returns what a meter serves.
func figures(m *meter.Meter) string {
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

func wantLines(t *testing.T, m *meter.Meter, lines ...string) {
	t.Helper()
	got := figures(m)
	for _, line := range lines {
		if !strings.Contains(got, line+"\n") {
			t.Errorf("figures lack %s", line)
		}
	}
}

func TestEventsAreCounted(t *testing.T) {
	m := meter.New(clock.System{})
	quiet := slog.NewTextHandler(new(strings.Builder), &slog.HandlerOptions{Level: slog.LevelDebug})
	logger := slog.New(m.Events(quiet)).With(slog.String("node", "a"))
	event.JobEnded.Log(logger, slog.String("job", "j"), slog.String("state", "completed"), slog.Duration("after", 3*time.Second))
	event.JobEnded.Log(logger, slog.String("job", "j"), slog.String("state", "unheard of"), slog.Duration("after", time.Second))
	event.TaskPlaced.Log(logger)
	logger.Info("no event")
	wantLines(t, m,
		`pointport_events_total{event="job ended",outcome="completed"} 1`,
		`pointport_events_total{event="job ended",outcome="other"} 1`,
		`pointport_events_total{event="task placed",outcome=""} 1`,
		`pointport_event_seconds_bucket{event="job ended",outcome="completed",le="2.5"} 0`,
		`pointport_event_seconds_bucket{event="job ended",outcome="completed",le="5"} 1`,
	)
}

// An event whose line is left out is counted all the same.
func TestEventsLeftOutOfTheLogAreCounted(t *testing.T) {
	m := meter.New(clock.System{})
	limit := event.NewRateLimiter(slog.NewTextHandler(new(strings.Builder), nil), clock.NewFake(time.Unix(1000, 0)))
	logger := slog.New(m.Events(limit))
	for range 3000 {
		event.TaskPlaced.Log(logger)
	}
	if limit.LeftOut() == 0 {
		t.Fatal("no line is left out")
	}
	wantLines(t, m, `pointport_events_total{event="task placed",outcome=""} 3000`)
}

func TestCallsAreCounted(t *testing.T) {
	m := meter.New(clock.System{})
	fate := memory.FaultNone
	kv := m.KV(memory.New(clock.System{}).KV(memory.WithFaults(func(string, string) memory.Fault { return fate })))
	ctx := context.Background()
	put := pointport.Txn{If: []pointport.Condition{{Key: "a"}}, Put: []pointport.Put{{Key: "a"}}}
	for range 2 {
		_, _ = kv.Commit(ctx, put) // the second finds the key
	}
	fate = memory.FaultLostAnswer
	ctx, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
	defer cancel()
	if _, err := kv.Commit(ctx, put); err == nil {
		t.Fatal("a lost answer is no error")
	}
	wantLines(t, m,
		`pointport_calls_total{answer="ok",call="commit",to="store"} 1`,
		`pointport_calls_total{answer="conflict",call="commit",to="store"} 1`,
		`pointport_call_seconds_count{call="commit",to="store"} 3`,
	)
}

// What a collector keeps of a page may be four kilobytes; the brief page spends none
// of them on the runtime or on histograms.
func TestBriefPageHoldsOwnCountsAlone(t *testing.T) {
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

// TestMetricsPage keeps the page of figures and what is served the same; the
// gauges of a running node are listed beside.
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
	for _, found := range regexp.MustCompile(`(?m)^# TYPE (pointport_\w+) `).FindAllStringSubmatch(figures(m), -1) {
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
		t.Errorf("the page lists\n%v\nand served are\n%v", listed, names)
	}
}
