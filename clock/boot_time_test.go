package clock_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pointport/pointport/clock"
)

// A suspension shows as boot time that the steady clock has not counted. It counts from
// the next check on, once, and is told of if it is long.
func TestBootClockCountsSuspendedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		suspended := time.Duration(0)
		var told []clock.Suspension
		c, err := clock.NewBootTime(
			clock.WithBootTime(func() (time.Duration, error) { return time.Hour + time.Since(began) + suspended, nil }),
			clock.OnSuspension(func(s clock.Suspension) { told = append(told, s) }))
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
			t.Errorf("%v have passed with a short suspension more, want 12.05s", got)
		}
		if len(told) != 1 || told[0].Lasted != 7*time.Second || told[0].Boot-told[0].Steady != 7*time.Second {
			t.Errorf("told %+v, want the long suspension", told)
		}
	})
}

// Boot time that runs behind, or cannot be read, takes nothing back.
func TestBootClockNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		behind := time.Duration(0)
		var fails error
		c, err := clock.NewBootTime(clock.WithBootTime(func() (time.Duration, error) { return time.Since(began) - behind, fails }))
		if err != nil {
			t.Fatal(err)
		}
		last := c.Steady()
		for n := range 10 {
			time.Sleep(time.Second)
			behind = time.Duration(n) * 100 * time.Millisecond
			if n > 5 {
				fails = errors.New("no such clock")
			}
			now := c.Steady()
			if got := now.Sub(last); got != time.Second {
				t.Errorf("%v have passed, want 1s", got)
			}
			last = now
		}
	})
}

func TestBootClockWithoutBootTime(t *testing.T) {
	c, err := clock.NewBootTime(clock.WithBootTime(func() (time.Duration, error) { return 0, errors.New("no such clock") }))
	if err == nil {
		t.Error("no error although the boot time cannot be read")
	}
	first := c.Steady()
	if got := c.Steady().Sub(first); got < 0 || got > time.Second {
		t.Errorf("%v have passed, want next to nothing", got)
	}
}

// The machine's own boot time agrees with its steady clock while it runs.
func TestBootClockOfThisMachine(t *testing.T) {
	c, err := clock.NewBootTime(clock.OnSuspension(func(s clock.Suspension) { t.Errorf("suspended: %+v", s) }))
	if err != nil {
		t.Fatal(err)
	}
	steady, plain := c.Steady(), time.Now()
	time.Sleep(1200 * time.Millisecond)
	if d := c.Steady().Sub(steady) - time.Since(plain); d.Abs() > 50*time.Millisecond {
		t.Errorf("the clocks have parted by %v", d)
	}
}

func TestIntervalTellsSuspensionsFromWaiting(t *testing.T) {
	c := clock.NewFake(time.Unix(1000, 0))
	i := clock.NewInterval(c)
	c.Advance(10 * time.Second)
	c.Suspend(clock.SuspensionTolerance)
	if got := i.Suspended(); got != 0 {
		t.Errorf("suspended for %v, want none: the bound is not exceeded", got)
	}
	c.Suspend(2 * time.Second)
	if got, want := i.Suspended(), 2*time.Second+clock.SuspensionTolerance; got != want {
		t.Errorf("suspended for %v, want %v", got, want)
	}
	if got, want := i.Age(), 12*time.Second+clock.SuspensionTolerance; got != want {
		t.Errorf("the interval is %v old, want %v", got, want)
	}
}

// A process that is kept from running between two readings has not been suspended.
func TestBootClockIsNotMisledByAPause(t *testing.T) {
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
