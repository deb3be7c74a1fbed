package trace_test

import (
	"os"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/pointport/pointport/trace"
)

// read reads the logs in testdata, the second one first.
func read(t *testing.T) *trace.Log {
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

// The story has the job's lines of all processes, oldest first, and what its pool
// and its nodes went through; it names the gap, and what is missing.
func TestStory(t *testing.T) {
	for _, id := range []string{"00000000000000aa", "00000000000000ff"} {
		story := read(t).Timeline(id)
		var out strings.Builder
		if err := story.Write(&out); err != nil {
			t.Fatal(err)
		}
		goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "story-"+id, []byte(out.String()))
	}
}
