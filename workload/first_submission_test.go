package workload_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pointport/pointport/workload"
)

// TestFirstSubmissionIsStored checks that a job's first submission survives being stored, and that
// a job without one has the stored form that earlier versions of the program write.
func TestFirstSubmissionIsStored(t *testing.T) {
	accepted := time.Unix(1000, 0).UTC()
	spec := &workload.Spec{Steps: []workload.Step{{Count: 1}}}
	first := accepted.Add(-1990 * time.Millisecond)
	j := workload.New("00112233445566aa", "q", workload.Policy{}, spec, accepted, workload.WithFirstSubmitted(first))
	data, err := j.EncodeAccepted()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := workload.DecodeAccepted(j.ID(), data)
	if err != nil {
		t.Fatal(err)
	}
	if !decoded.FirstSubmitted().Equal(first) || !decoded.Submitted().Equal(accepted) {
		t.Errorf("first submitted at %v, accepted at %v, want %v and %v", decoded.FirstSubmitted(), decoded.Submitted(), first, accepted)
	}

	for _, option := range []workload.Option{workload.WithFirstSubmitted(accepted), workload.WithFirstSubmitted(time.Time{})} {
		j := workload.New("00112233445566aa", "q", workload.Policy{}, spec, accepted, option)
		if data, err := j.EncodeAccepted(); err != nil || strings.Contains(string(data), "first") {
			t.Errorf("stored form %s (%v), want no time of a first submission", data, err)
		}
	}
}

// TestStoredFirstSubmissionIsBounded checks that a stored time of the first submission that cannot
// be right does not change a job's order without bound: it is never after the acceptance, and at
// most MaxSubmissionAge before it. A time that cannot be decoded is refused.
func TestStoredFirstSubmissionIsBounded(t *testing.T) {
	const document = `{"queue":"q","policy":{"maxAttempts":1,"stretch":1,"target":1},"spec":{"steps":[{"count":1}]},"submitted":"2026-01-01T00:00:10Z"%s}`
	for field, want := range map[string]time.Duration{
		``: 0,
		`,"firstSubmitted":"2026-01-01T00:00:08Z"`: 2 * time.Second,
		`,"firstSubmitted":"2026-01-01T00:00:05Z"`: workload.MaxSubmissionAge,
		`,"firstSubmitted":"2026-01-01T00:00:04Z"`: workload.MaxSubmissionAge,
		`,"firstSubmitted":"0001-01-01T00:00:00Z"`: 0,
		`,"firstSubmitted":"0001-01-01T00:00:01Z"`: workload.MaxSubmissionAge,
		`,"firstSubmitted":"2026-01-01T00:00:11Z"`: 0,
		`,"firstSubmitted":"9999-12-31T23:59:59Z"`: 0,
	} {
		j, err := workload.DecodeAccepted("00112233445566aa", fmt.Appendf(nil, document, field))
		if err != nil {
			t.Errorf("%s: %v", field, err)
			continue
		}
		if got := j.Submitted().Sub(j.FirstSubmitted()); got != want {
			t.Errorf("%s: first submitted %v before the acceptance, want %v", field, got, want)
		}
	}
	for _, field := range []string{`,"firstSubmitted":7`, `,"firstSubmitted":"yesterday"`} {
		if _, err := workload.DecodeAccepted("00112233445566aa", fmt.Appendf(nil, document, field)); err == nil {
			t.Errorf("%s is accepted, want an error", field)
		}
	}
}
