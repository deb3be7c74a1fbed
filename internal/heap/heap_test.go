package heap

import (
	"log/slog"
	"strings"
	"testing"
)

func TestGarbageIsBoundedInBytes(t *testing.T) {
	for _, tc := range []struct {
		live uint64
		want int
	}{
		{0, 400}, {1 << 20, 400}, {4 << 20, 400}, {8 << 20, 200}, {16 << 20, 100}, {32 << 20, 50}, {1 << 30, 40},
	} {
		if got := percentFor(tc.live); got != tc.want {
			t.Errorf("%d bytes in use: %d%% of garbage, want %d%%", tc.live, got, tc.want)
		}
	}
}

// Coming near the limit and away from it is told once each, and not at every swing.
func TestNearIsToldOnce(t *testing.T) {
	var out strings.Builder
	g := &Guard{limit: 100, logger: slog.New(slog.NewTextHandler(&out, nil))}
	for _, used := range []int64{50, 79, 81, 90, 75, 85, 69, 75} {
		g.take(used, used/2)
	}
	if near, cleared := strings.Count(out.String(), "near its memory"), strings.Count(out.String(), "memory clear"); near != 1 || cleared != 1 {
		t.Errorf("told %d times near and %d times clear, want one each:\n%s", near, cleared, out.String())
	}
	if g.Near() || g.Used() != 75 {
		t.Errorf("near %v with %d of 100 used, want false with 75", g.Near(), g.Used())
	}
}

// Without a limit nothing is near it.
func TestNoLimitIsNeverNear(t *testing.T) {
	g := &Guard{logger: slog.New(slog.DiscardHandler)}
	g.take(1<<40, 1<<39)
	if g.Near() {
		t.Error("near a limit that is not there")
	}
}
