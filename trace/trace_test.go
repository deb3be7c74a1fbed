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
