package schedule_test

import (
	"testing"
	"time"
)

// This file tests for how long the answers of silent instances are waited for.

// The more instances are silent, the longer the answer of each is waited for: one that
// comes late is lost with a shorter wait, and a new connection costs more than it does.
func TestAnswersAreWaitedForAsInstancesAreSilent(t *testing.T) {
	few, one := silenced(20, 1)
	all, every := silenced(20, 20)
	if got := few.ExtraPollTimeout(one[0]); got > 100*time.Millisecond {
		t.Errorf("%v more for one silent instance of 20, want hardly any", got)
	}
	if got := all.ExtraPollTimeout(every[0]); got < time.Second {
		t.Errorf("%v more when all are silent, want more than a second", got)
	}
	heard, _ := silenced(2, 0)
	if got := heard.ExtraPollTimeout(heard.Workers()[0]); got != 0 {
		t.Errorf("%v more for an instance that answers", got)
	}
}
