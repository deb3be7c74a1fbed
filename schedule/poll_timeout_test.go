package schedule_test

import (
	"testing"
	"time"
)

// This file tests how long an owner waits for the answers of silent instances.

// TestPollTimeoutGrowsWithSilentInstances checks that the poll timeout grows with the
// share of silent instances. A shorter timeout would lose answers that are late, and a new
// connection costs more than the wait.
func TestPollTimeoutGrowsWithSilentInstances(t *testing.T) {
	few, one := schedulerWithSilent(20, 1)
	all, every := schedulerWithSilent(20, 20)
	if got := few.ExtraPollTimeout(one[0]); got > 100*time.Millisecond {
		t.Errorf("timeout is extended by %v for one silent instance of 20, want at most 100ms", got)
	}
	if got := all.ExtraPollTimeout(every[0]); got < time.Second {
		t.Errorf("timeout is extended by %v when all instances are silent, want at least 1s", got)
	}
	none, _ := schedulerWithSilent(2, 0)
	if got := none.ExtraPollTimeout(none.Workers()[0]); got != 0 {
		t.Errorf("timeout is extended by %v for an instance that answers, want 0", got)
	}
}
