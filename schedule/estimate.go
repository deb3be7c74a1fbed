package schedule

import (
	"time"

	"github.com/pointport/pointport/workload"
)

// This file defines the estimates of how long tasks take. Declared durations are off by up to 90%.
// Tasks of the same image take similar time; tasks without an image are estimated by correcting
// their declared durations with the observed ones of their queue.

const (
	// imageWeight is the weight of a new observation in the running mean of an image.
	imageWeight = 0.25
	// defaultDuration is assumed for a task without an observation or a declared duration.
	defaultDuration = time.Second
	// maxDeclared bounds the declared duration of a task. The sum over the steps of a job is then
	// at most 64 years.
	maxDeclared = 365 * 24 * time.Hour
	// maxComputed bounds a duration that is computed from declared ones, so that the sum of two
	// does not overflow: 100 years.
	maxComputed = 100 * 365 * 24 * time.Hour
	// fitPrior is the weight of the declared duration against a queue's observations, as a number
	// of observations.
	fitPrior = 4.0
	// fitDecay is the factor applied to older observations with each new one, so that a changed
	// workload is reflected within some hundred tasks.
	fitDecay = 0.995
)

// estimates are the observed durations of tasks.
type estimates struct {
	byImage map[string]time.Duration
	byQueue map[string]*fit
}

func newEstimates() *estimates {
	return &estimates{byImage: make(map[string]time.Duration), byQueue: make(map[string]*fit)}
}

// A fit is a least-squares line of observed durations over declared ones, in seconds.
type fit struct {
	n, x, y, xx, xy float64
}

func (f *fit) add(declared, took float64) {
	for _, s := range []*float64{&f.n, &f.x, &f.y, &f.xx, &f.xy} {
		*s *= fitDecay
	}
	f.n++
	f.x += declared
	f.y += took
	f.xx += declared * declared
	f.xy += declared * took
}

// at returns the estimated duration for a declared one.
func (f *fit) at(declared float64) float64 {
	if f.n == 0 {
		return declared
	}
	meanX, meanY := f.x/f.n, f.y/f.n
	slope := 0.0
	if v := f.xx/f.n - meanX*meanX; v > 0 {
		slope = min(1, max(0, (f.xy/f.n-meanX*meanY)/v))
	}
	line := max(meanY+slope*(declared-meanX), meanY/8)
	return (line*f.n + declared*fitPrior) / (f.n + fitPrior)
}

// observe records that a task of a step took d.
func (e *estimates) observe(queue string, s *workload.Step, d time.Duration) {
	if d <= 0 || s.Service {
		return
	}
	if s.Image != "" {
		old, ok := e.byImage[s.Image]
		if !ok {
			old = d
		}
		e.byImage[s.Image] = old + time.Duration(float64(d-old)*imageWeight)
		return
	}
	f := e.byQueue[queue]
	if f == nil {
		f = &fit{}
		e.byQueue[queue] = f
	}
	f.add(declared(s).Seconds(), d.Seconds())
}

// declared returns the duration that the customer has declared, at most maxDeclared, or the default.
func declared(s *workload.Step) time.Duration {
	if s.Estimate > 0 {
		return min(s.Estimate, maxDeclared)
	}
	return defaultDuration
}

// computed returns a computed number of nanoseconds as a duration, at most maxComputed.
func computed(nanoseconds float64) time.Duration {
	return time.Duration(min(nanoseconds, float64(maxComputed)))
}

// duration returns the estimated duration of a task of a step.
func (e *estimates) duration(queue string, s *workload.Step) time.Duration {
	if s.Image != "" {
		if d, ok := e.byImage[s.Image]; ok {
			return d
		}
	}
	if f := e.byQueue[queue]; f != nil {
		return time.Duration(f.at(declared(s).Seconds()) * float64(time.Second))
	}
	return declared(s)
}

// criticalPaths returns for each step of a job the length of the longest chain of dependent steps
// that begins with it.
func (e *estimates) criticalPaths(queue string, spec *workload.Spec) []time.Duration {
	out := make([]time.Duration, len(spec.Steps))
	for n := len(spec.Steps) - 1; n >= 0; n-- {
		out[n] += e.duration(queue, &spec.Steps[n])
		for _, a := range spec.Steps[n].After {
			out[a] = max(out[a], out[n])
		}
	}
	return out
}
