package event_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/event"
)

// A truncatingWriter keeps only the first bytes of each write, as some log collectors do.
type truncatingWriter struct {
	limit int
	kept  bytes.Buffer
}

func (w *truncatingWriter) Write(p []byte) (int, error) {
	w.kept.Write(p[:min(len(p), w.limit)])
	return len(p), nil
}

// TestWritesFitCollector guards against losing the lines of the busiest moments, which are
// needed most later: a collector that keeps the first 8 KB of a write would cut them off.
func TestWritesFitCollector(t *testing.T) {
	collector := &truncatingWriter{limit: 8 << 10}
	s := event.StartSink(collector, clock.System{})
	var want strings.Builder
	for n := range 1000 {
		line := fmt.Sprintf("%d %s\n", n, strings.Repeat("x", n%300))
		want.WriteString(line)
		if _, err := s.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	if collector.kept.String() != want.String() {
		t.Errorf("%d of %d bytes were collected, or the contents differ", collector.kept.Len(), want.Len())
	}
}

// TestLongLineIsNotSplit checks that a line longer than one write may be is written
// completely.
func TestLongLineIsNotSplit(t *testing.T) {
	var out bytes.Buffer
	s := event.StartSink(&out, clock.System{})
	want := strings.Repeat("x", 20<<10) + "\nshort\n"
	if _, err := s.Write([]byte(want)); err != nil {
		t.Fatal(err)
	}
	s.Close()
	if out.String() != want {
		t.Errorf("%d of %d bytes were written, or the contents differ", out.Len(), len(want))
	}
}
