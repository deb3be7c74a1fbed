package heap

import (
	"log/slog"
	"strings"
	"testing"
)

func TestGarbageBytesAreBounded(t *testing.T) {
	for _, tc := range []struct {
		live uint64
		want int
	}{
		{0, 400}, {1 << 20, 400}, {4 << 20, 400}, {8 << 20, 200}, {16 << 20, 100}, {32 << 20, 50}, {1 << 30, 40},
	} {
		if got := gcPercentFor(tc.live); got != tc.want {
			t.Errorf("%d live bytes: garbage of %d%%, want %d%%", tc.live, got, tc.want)
		}
	}
}

// TestNearLimitIsLoggedOnce guards against a log line for each change of the memory in use
// while it varies between the two thresholds.
func TestNearLimitIsLoggedOnce(t *testing.T) {
	var out strings.Builder
	m := &Monitor{limit: 100, logger: slog.New(slog.NewTextHandler(&out, nil))}
	for _, used := range []int64{50, 79, 81, 90, 75, 85, 69, 75} {
		m.record(used, used/2)
	}
	if near, cleared := strings.Count(out.String(), "near its memory"), strings.Count(out.String(), "memory clear"); near != 1 || cleared != 1 {
		t.Errorf("logged %d times that memory is low and %d times that it recovered, want once each:\n%s", near, cleared, out.String())
	}
	if m.NearLimit() || m.Used() != 75 {
		t.Errorf("near the limit: %v, with %d of 100 bytes used; want false with 75", m.NearLimit(), m.Used())
	}
}

// TestNeverNearLimitWithoutLimit checks that an unknown limit, which is zero, does not count
// as exceeded.
func TestNeverNearLimitWithoutLimit(t *testing.T) {
	m := &Monitor{logger: slog.New(slog.DiscardHandler)}
	m.record(1<<40, 1<<39)
	if m.NearLimit() {
		t.Error("near the limit although none is set")
	}
}
