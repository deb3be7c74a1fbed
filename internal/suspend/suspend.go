// Package suspend gives processes the clock of a machine that may be suspended, and tells
// their log of it.
package suspend

import (
	"log/slog"

	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/event"
)

// Clock returns the machine's clock. Where suspensions cannot be noticed it says so once.
func Clock(logger *slog.Logger) *clock.BootTime {
	machine, err := clock.NewBootTime(clock.OnSuspension(func(s clock.Suspension) {
		event.Suspended.Log(logger, slog.Duration("lasted", s.Lasted), slog.Duration("steady", s.Steady), slog.Duration("boot", s.Boot))
	}))
	if err != nil {
		event.NoBootTime.Log(logger, slog.Any("error", err))
	}
	return machine
}
