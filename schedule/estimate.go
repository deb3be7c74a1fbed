package schedule

import (
	"time"

	"github.com/pointport/pointport/workload"
)

// This file defines what is learned of how long tasks take. Declared times are
// off by up to nine tenths. Tasks of one image behave alike; where there is no
// image, the declared times of a queue are corrected by what its tasks took.

const (
	// learnWeight is the weight of a new observation in the running mean of an
	// image.
	learnWeight = 0.25
	// defaultDuration stands for a task of which nothing is known or declared.
	defaultDuration = time.Second
	// fitPrior is how many observations the declared times themselves count for
	// before a queue's own are trusted.
	fitPrior = 4.0
	// fitForget is by how much older observations fade with each new one, so
	// that a change of the work is followed within some hundred tasks.
	fitForget = 0.995
)

// estimates are the observed durations of tasks.
type estimates struct {
	byImage map[string]time.Duration
	byQueue map[string]*fit
}

func newEstimates() *estimates {
	return &estimates{byImage: make(map[string]time.Duration), byQueue: make(map[string]*fit)}
}

// A fit is a straight line through observed durations over declared ones, by
// least squares, in seconds.
type fit struct {
	n, x, y, xx, xy float64
}

func (f *fit) add(declared, took float64) {
	for _, s := range []*float64{&f.n, &f.x, &f.y, &f.xx, &f.xy} {
		*s *= fitForget
	}
	f.n++
	f.x += declared
	f.y += took
	f.xx += declared * declared
	f.xy += declared * took
}

// at returns the duration that the line gives for a declared one.
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

// observe takes in that a task of a step took d.
func (e *estimates) observe(queue string, s *workload.Step, d time.Duration) {
	if d <= 0 || s.Service {
		return
	}
	if s.Image != "" {
		old, ok := e.byImage[s.Image]
		if !ok {
			old = d
		}
		e.byImage[s.Image] = old + time.Duration(float64(d-old)*learnWeight)
		return
	}
	f := e.byQueue[queue]
	if f == nil {
		f = &fit{}
		e.byQueue[queue] = f
	}
	f.add(declared(s).Seconds(), d.Seconds())
}

// declared returns how long a task takes as its customer says.
func declared(s *workload.Step) time.Duration {
	if s.Estimate > 0 {
		return s.Estimate
	}
	return defaultDuration
}

// duration returns how long a task of a step probably takes.
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

// chains returns, for each step of a job of the queue, the longest chain of work
// from the step's beginning to the end of the job.
func (e *estimates) chains(queue string, spec *workload.Spec) []time.Duration {
	out := make([]time.Duration, len(spec.Steps))
	for n := len(spec.Steps) - 1; n >= 0; n-- {
		out[n] += e.duration(queue, &spec.Steps[n])
		for _, a := range spec.Steps[n].After {
			out[a] = max(out[a], out[n])
		}
	}
	return out
}
