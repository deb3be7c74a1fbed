package clock_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pointport/pointport/clock"
)

// TestBootTimeCountsSuspensions checks that boot time beyond the monotonic clock is counted
// once, from the next check on, and that only a long suspension is reported.
func TestBootTimeCountsSuspensions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		suspended := time.Duration(0)
		var reported []clock.Suspension
		c, err := clock.NewBootTime(
			clock.WithBootTime(func() (time.Duration, error) { return time.Hour + time.Since(began) + suspended, nil }),
			clock.OnSuspension(func(s clock.Suspension) { reported = append(reported, s) }))
		if err != nil {
			t.Fatal(err)
		}
		first := c.Steady()
		time.Sleep(3 * time.Second)
		if got := c.Steady().Sub(first); got != 3*time.Second {
			t.Errorf("%v have passed without a suspension, want 3s", got)
		}
		suspended = 7 * time.Second
		time.Sleep(time.Second)
		if got := c.Steady().Sub(first); got != 11*time.Second {
			t.Errorf("%v have passed with a suspension of 7 s, want 11s", got)
		}
		suspended += 50 * time.Millisecond
		time.Sleep(time.Second)
		if got := c.Steady().Sub(first); got != 12*time.Second+50*time.Millisecond {
			t.Errorf("%v have passed with another suspension of 50 ms, want 12.05s", got)
		}
		if len(reported) != 1 || reported[0].Lasted != 7*time.Second || reported[0].Boot-reported[0].Steady != 7*time.Second {
			t.Errorf("reported %+v, want only the suspension of 7 s", reported)
		}
	})
}

// TestBootTimeNeverGoesBack checks that the clock keeps the pace of the monotonic clock when
// the boot time falls behind it, or can no longer be read.
func TestBootTimeNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		behind := time.Duration(0)
		var readErr error
		c, err := clock.NewBootTime(clock.WithBootTime(func() (time.Duration, error) { return time.Since(began) - behind, readErr }))
		if err != nil {
			t.Fatal(err)
		}
		last := c.Steady()
		for n := range 10 {
			time.Sleep(time.Second)
			behind = time.Duration(n) * 100 * time.Millisecond
			if n > 5 {
				readErr = errors.New("no such clock")
			}
			now := c.Steady()
			if got := now.Sub(last); got != time.Second {
				t.Errorf("%v have passed, want 1s", got)
			}
			last = now
		}
	})
}

// TestUnreadableBootTime checks that a clock whose boot time cannot be read from the start
// is returned with an error, and follows the monotonic clock.
func TestUnreadableBootTime(t *testing.T) {
	c, err := clock.NewBootTime(clock.WithBootTime(func() (time.Duration, error) { return 0, errors.New("no such clock") }))
	if err == nil {
		t.Error("no error although the boot time cannot be read")
	}
	first := c.Steady()
	if got := c.Steady().Sub(first); got < 0 || got > time.Second {
		t.Errorf("%v have passed, want 0 to 1s", got)
	}
}

// TestBootTimeOfThisMachine checks that the real boot time and the monotonic clock agree
// while the machine runs.
func TestBootTimeOfThisMachine(t *testing.T) {
	c, err := clock.NewBootTime(clock.OnSuspension(func(s clock.Suspension) { t.Errorf("suspended: %+v", s) }))
	if err != nil {
		t.Fatal(err)
	}
	steady, monotonic := c.Steady(), time.Now()
	time.Sleep(1200 * time.Millisecond)
	if d := c.Steady().Sub(steady) - time.Since(monotonic); d.Abs() > 50*time.Millisecond {
		t.Errorf("the clocks differ by %v, want at most 50ms", d)
	}
}

// TestIntervalSeparatesSuspensions checks that an interval counts suspended time apart from
// time that the machine was running, and none up to the tolerance.
func TestIntervalSeparatesSuspensions(t *testing.T) {
	c := clock.NewFake(time.Unix(1000, 0))
	i := clock.NewInterval(c)
	c.Advance(10 * time.Second)
	c.Suspend(clock.SuspensionTolerance)
	if got := i.Suspended(); got != 0 {
		t.Errorf("suspended for %v, want 0: the tolerance is not exceeded", got)
	}
	c.Suspend(2 * time.Second)
	if got, want := i.Suspended(), 2*time.Second+clock.SuspensionTolerance; got != want {
		t.Errorf("suspended for %v, want %v", got, want)
	}
	if got, want := i.Age(), 12*time.Second+clock.SuspensionTolerance; got != want {
		t.Errorf("the interval is %v old, want %v", got, want)
	}
}

// TestPausedProcessIsNotSuspended guards against counting a pause of the process as a
// suspension: the process is kept from running between the readings of the two clocks, so
// that the boot time seems to be ahead.
func TestPausedProcessIsNotSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		pause := time.Duration(0)
		c, err := clock.NewBootTime(clock.WithBootTime(func() (time.Duration, error) {
			time.Sleep(pause)
			pause = 0
			return time.Since(began), nil
		}), clock.OnSuspension(func(s clock.Suspension) { t.Errorf("suspended: %+v", s) }))
		if err != nil {
			t.Fatal(err)
		}
		first := c.Steady()
		time.Sleep(2 * time.Second)
		pause = 4 * time.Second
		c.Steady()
		time.Sleep(2 * time.Second)
		if got := c.Steady().Sub(first); got != 8*time.Second {
			t.Errorf("%v have passed, want 8s", got)
		}
	})
}
