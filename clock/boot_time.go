package clock

import (
	"fmt"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/pointport/pointport"
)

// This file defines the clock of a machine that may be suspended. The clock by which Go
// reckons durations and timers stands still meanwhile; the kernel's boot time does not.

const (
	// checkInterval is how often the boot time is read when nothing tells of a suspension.
	// The clock of Go costs no system call and this one does.
	checkInterval = time.Second
	// wallStepThreshold is by how much the time of day must have left the steady clock for the
	// boot time to be read at once: a suspension moves it by its whole length, and
	// corrections of a clock in use are at most half a millisecond in a second.
	wallStepThreshold = 20 * time.Millisecond
	// readTolerance is by how much two readings made one after the other may differ.
	readTolerance = 5 * time.Millisecond
	// maxReads is how often they are made until they are near enough.
	maxReads = 3
	// minReported is how long a suspension must be to be told of; shorter ones count too.
	minReported = 100 * time.Millisecond
)

// A Suspension is a time for which the machine stood still.
type Suspension struct {
	// Steady is how long the steady clock has counted since the process began, Boot how
	// long it was, Lasted for how much of the difference this suspension stands.
	Steady, Boot, Lasted time.Duration
}

// BootTime is the machine's clock, and counts suspended time where it says so. It is safe for
// concurrent use.
type BootTime struct {
	System
	start        time.Time     // of the process, with its steady reading
	origin       time.Duration // the boot time then
	readBoot     func() (time.Duration, error)
	onSuspension func(Suspension)

	mu         sync.Mutex
	checkedAt  time.Duration // when the boot time was last read, since start
	wallOffset time.Duration // of the time of day before the steady clock then
	suspended  time.Duration // since start
}

var _ pointport.Clock = (*BootTime)(nil)

// A BootTimeOption changes a Boot.
type BootTimeOption func(*BootTime)

// OnSuspension sets a function that is told of each suspension of a tenth of a second or
// more, by whoever asks for the time first after it.
func OnSuspension(tell func(Suspension)) BootTimeOption {
	return func(b *BootTime) { b.onSuspension = tell }
}

// WithBootTime sets how the boot time is read.
func WithBootTime(read func() (time.Duration, error)) BootTimeOption {
	return func(b *BootTime) { b.readBoot = read }
}

// NewBootTime returns the machine's clock. Where the boot time cannot be read it returns the
// error with a clock that counts no suspended time: what rests on it is then as good as
// the steady clock, which a suspended machine must not be used with.
func NewBootTime(options ...BootTimeOption) (*BootTime, error) {
	b := &BootTime{start: time.Now(), readBoot: kernelBootTime, onSuspension: func(Suspension) {}}
	for _, o := range options {
		o(b)
	}
	origin, err := b.readBoot()
	if err != nil {
		b.readBoot = nil
		return b, fmt.Errorf("boot time: %w", err)
	}
	b.origin = origin
	return b, nil
}

func kernelBootTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// readBoth returns the boot time and the steady time since start at one moment. A process
// that is kept from running between two readings reads once more: the time would count as
// suspended although the steady clock has gone on.
func (b *BootTime) readBoth() (boot, steady time.Duration, ok bool) {
	for range maxReads {
		before := time.Since(b.start)
		boot, err := b.readBoot()
		if after := time.Since(b.start); err == nil && after-before < readTolerance {
			return boot, before, true
		}
	}
	return 0, 0, false
}

// Steady returns a time that has gone on while the machine was suspended.
func (b *BootTime) Steady() time.Time {
	now := time.Now()
	suspended, told := b.measure(now)
	if told != nil {
		b.onSuspension(*told)
	}
	return now.Add(suspended)
}

// measure returns for how long the machine has been suspended since the process began,
// and what is to be told of it.
func (b *BootTime) measure(now time.Time) (time.Duration, *Suspension) {
	b.mu.Lock()
	defer b.mu.Unlock()
	steady := now.Sub(b.start)
	ahead := now.Round(0).Sub(b.start.Round(0)) - steady
	moved := (ahead - b.wallOffset).Abs() > wallStepThreshold
	if b.readBoot == nil || !moved && steady-b.checkedAt < checkInterval {
		return b.suspended, nil
	}
	boot, steady, ok := b.readBoth()
	if !ok {
		return b.suspended, nil // the next question tries again
	}
	b.checkedAt, b.wallOffset = steady, ahead
	lasted := boot - b.origin - steady - b.suspended
	if lasted < readTolerance {
		return b.suspended, nil
	}
	b.suspended += lasted
	if lasted < minReported {
		return b.suspended, nil
	}
	return b.suspended, &Suspension{Steady: steady, Boot: boot - b.origin, Lasted: lasted}
}
