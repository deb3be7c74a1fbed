package clock

import (
	"fmt"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/pointport/pointport"
)

// This file defines the clock of a machine that may be suspended. Go's monotonic clock,
// which times durations and timers, stands still during a suspension. The kernel's boot
// time, CLOCK_BOOTTIME, goes on.

const (
	// checkInterval is how often the boot time is read while nothing indicates a
	// suspension. Reading it is a system call, and reading Go's clock is not.
	checkInterval = time.Second
	// wallStepThreshold is how far the wall clock must have moved against the
	// monotonic clock for the boot time to be read at once. A suspension moves it by
	// the length of the suspension, whereas corrections of a running clock are at most
	// half a millisecond per second.
	wallStepThreshold = 20 * time.Millisecond
	// readTolerance is the time within which two readings count as made at the same
	// moment, and the length below which a suspension is ignored.
	readTolerance = 5 * time.Millisecond
	// maxReads is how often two readings are attempted until they are within
	// readTolerance.
	maxReads = 3
	// minReported is the length from which a suspension is reported. Shorter ones are
	// only counted.
	minReported = 100 * time.Millisecond
)

// A Suspension is a period during which the machine was suspended.
type Suspension struct {
	// Steady is the time since the clock was made by the monotonic clock, Boot the same
	// by the boot time, and Lasted the part of the difference that this suspension is.
	Steady, Boot, Lasted time.Duration
}

// BootTime is the machine's clock, with suspended time counted by Steady. It is safe for
// concurrent use.
type BootTime struct {
	System
	start        time.Time     // when the clock was made, with its monotonic reading
	origin       time.Duration // boot time at start
	readBoot     func() (time.Duration, error)
	onSuspension func(Suspension)

	mu         sync.Mutex
	checkedAt  time.Duration // when the boot time was last read, since start
	wallOffset time.Duration // by how much the wall clock was ahead of the monotonic clock then
	suspended  time.Duration // in total since start
}

var _ pointport.Clock = (*BootTime)(nil)

// A BootTimeOption changes how a BootTime behaves.
type BootTimeOption func(*BootTime)

// OnSuspension sets a function that is called for each suspension of at least a tenth of
// a second, by the first call of Steady that detects it.
func OnSuspension(onSuspension func(Suspension)) BootTimeOption {
	return func(b *BootTime) { b.onSuspension = onSuspension }
}

// WithBootTime sets the function that reads the boot time. By default it reads
// CLOCK_BOOTTIME.
func WithBootTime(read func() (time.Duration, error)) BootTimeOption {
	return func(b *BootTime) { b.readBoot = read }
}

// NewBootTime returns the machine's clock. If the boot time cannot be read, it returns an
// error and a clock that counts no suspended time. What relies on that clock is only as
// reliable as the monotonic clock, which must not be used on a machine that is suspended.
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

// kernelBootTime returns CLOCK_BOOTTIME.
func kernelBootTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// readBoth returns the boot time and the monotonic time since start at one moment. If the
// process was kept from running between the two readings, readBoth reads again: otherwise
// that time would count as suspended although the monotonic clock has gone on. It returns
// false if no attempt succeeds.
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

// Steady returns a time that includes the time during which the machine was suspended.
func (b *BootTime) Steady() time.Time {
	now := time.Now()
	suspended, detected := b.measure(now)
	if detected != nil {
		b.onSuspension(*detected)
	}
	return now.Add(suspended)
}

// measure returns how long the machine has been suspended in total since start, and the
// suspension to report, nil if there is none.
func (b *BootTime) measure(now time.Time) (time.Duration, *Suspension) {
	b.mu.Lock()
	defer b.mu.Unlock()
	steady := now.Sub(b.start)
	wallOffset := now.Round(0).Sub(b.start.Round(0)) - steady
	moved := (wallOffset - b.wallOffset).Abs() > wallStepThreshold
	if b.readBoot == nil || !moved && steady-b.checkedAt < checkInterval {
		return b.suspended, nil
	}
	boot, steady, ok := b.readBoth()
	if !ok {
		return b.suspended, nil // the next call reads again
	}
	b.checkedAt, b.wallOffset = steady, wallOffset
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
