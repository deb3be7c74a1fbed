package schedule

import (
	"time"

	"github.com/pointport/pointport/workload"
)

// This file defines what is learned of how long tasks take. Declared times are
// off by up to nine tenths; tasks of one image behave alike.

const (
	// learnWeight is the weight of a new observation in the running mean.
	learnWeight = 0.25
	// defaultDuration stands for a task of which nothing is known or declared.
	defaultDuration = time.Second
)

// estimates are the observed durations of tasks by image.
type estimates struct {
	byImage map[string]time.Duration
}

func newEstimates() *estimates { return &estimates{byImage: make(map[string]time.Duration)} }

// observe takes in that a task of an image took d.
func (e *estimates) observe(image string, d time.Duration) {
	if image == "" || d <= 0 {
		return
	}
	old, ok := e.byImage[image]
	if !ok {
		e.byImage[image] = d
		return
	}
	e.byImage[image] = old + time.Duration(float64(d-old)*learnWeight)
}

// duration returns how long a task of a step probably takes.
func (e *estimates) duration(s *workload.Step) time.Duration {
	if d, ok := e.byImage[s.Image]; ok {
		return d
	}
	if s.Estimate > 0 {
		return s.Estimate
	}
	return defaultDuration
}

// chains returns, for each step, the longest chain of work from its beginning
// to the end of the job.
func (e *estimates) chains(spec *workload.Spec) []time.Duration {
	out := make([]time.Duration, len(spec.Steps))
	for n := len(spec.Steps) - 1; n >= 0; n-- {
		out[n] += e.duration(&spec.Steps[n])
		for _, a := range spec.Steps[n].After {
			out[a] = max(out[a], out[n])
		}
	}
	return out
}
