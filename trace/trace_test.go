package trace_test

import (
	"os"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/pointport/pointport/trace"
)

// readLogs reads the logs in testdata, the later one first, so that the lines are not read
// in the order of their times.
func readLogs(t *testing.T) *trace.Log {
	t.Helper()
	log := &trace.Log{}
	for _, name := range []string{"entry-2.log", "entry-1.log"} {
		f, err := os.Open("testdata/" + name)
		if err != nil {
			t.Fatal(err)
		}
		if err := log.Read(f); err != nil {
			t.Error(err)
		}
		_ = f.Close()
	}
	return log
}

// TestTimeline checks that a timeline has the job's lines from all processes, oldest first,
// and the lines about its pool and its nodes, and that it shows the gap and what is missing.
// The second job is mentioned in no line.
func TestTimeline(t *testing.T) {
	for _, id := range []string{"00000000000000aa", "00000000000000ff"} {
		timeline := readLogs(t).Timeline(id)
		var out strings.Builder
		if err := timeline.Write(&out); err != nil {
			t.Fatal(err)
		}
		goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "timeline-"+id, []byte(out.String()))
	}
}

// Guards against a log of which nothing is read after a line that is too long, such as one with a
// stack trace or binary data. Such a line counts as unreadable.
func TestLongLineDoesNotEndReading(t *testing.T) {
	const line = `{"time":"2026-01-02T03:04:05Z","msg":"job taken","node":"n","job":"00000000000000aa"}`
	for name, text := range map[string]string{
		"in the middle": line + "\n" + strings.Repeat("x", 3<<20) + "\n" + line + "\n",
		"at the end":    line + "\n" + line + "\n" + strings.Repeat("x", 2<<20),
		"no final end":  strings.Repeat("x", 1<<20+1) + "\n" + line + "\n" + line,
	} {
		log := &trace.Log{}
		if err := log.Read(strings.NewReader(text)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		var out strings.Builder
		timeline := log.Timeline("00000000000000aa")
		if err := timeline.Write(&out); err != nil {
			t.Fatal(err)
		}
		if n := strings.Count(out.String(), "job taken"); n != 2 || log.Unreadable() != 1 {
			t.Errorf("%s: %d lines were read and %d are unreadable, want 2 and 1", name, n, log.Unreadable())
		}
	}
}
