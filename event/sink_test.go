package event_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/event"
)

// A cutting writer keeps the first bytes of each write alone, as some collectors of
// logs do.
type cutting struct {
	most int
	kept bytes.Buffer
}

func (c *cutting) Write(p []byte) (int, error) {
	c.kept.Write(p[:min(len(p), c.most)])
	return len(p), nil
}

// What an entry instance logs in its busiest moments is what is looked for later.
func TestBusyMomentIsCollectedWhole(t *testing.T) {
	collector := &cutting{most: 8 << 10}
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
		t.Errorf("%d of %d bytes were collected", collector.kept.Len(), want.Len())
	}
}

// A line that is longer than what is written at once is written whole.
func TestLongLineIsWrittenWhole(t *testing.T) {
	var out bytes.Buffer
	s := event.StartSink(&out, clock.System{})
	want := strings.Repeat("x", 20<<10) + "\nshort\n"
	if _, err := s.Write([]byte(want)); err != nil {
		t.Fatal(err)
	}
	s.Close()
	if out.String() != want {
		t.Errorf("%d of %d bytes were written", out.Len(), len(want))
	}
}
