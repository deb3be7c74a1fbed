// Package suspend provides a clock that keeps counting while the machine is suspended, and
// logs suspensions.
package suspend

import (
	"log/slog"

	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/event"
)

// Clock returns the machine's clock and logs the suspensions that it detects. If suspensions
// cannot be detected on this machine, that is logged once.
func Clock(logger *slog.Logger) *clock.BootTime {
	bootTime, err := clock.NewBootTime(clock.OnSuspension(func(s clock.Suspension) {
		event.Suspended.Log(logger, slog.Duration("lasted", s.Lasted), slog.Duration("steady", s.Steady), slog.Duration("boot", s.Boot))
	}))
	if err != nil {
		event.NoBootTime.Log(logger, slog.Any("error", err))
	}
	return bootTime
}
