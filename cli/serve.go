package cli

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/daemon"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/standin"
)

// This file defines the subcommands that run an entry instance or the stand-in until they
// receive a signal.

// Serve returns the subcommand that runs an entry instance.
func Serve() *Command {
	c := newCommand("serve", "", "run an entry instance")
	s := &daemon.Settings{}
	s.Define(c.set)
	c.run = func(ctx context.Context, _ io.Writer, args []string) error {
		if err := requireArgs(args, 0, "no arguments"); err != nil {
			return err
		}
		if err := s.Check(); err != nil {
			return err
		}
		runCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		e, err := daemon.Start(runCtx, s, s.Logger(os.Stderr))
		if err != nil {
			return err
		}
		waitForSignal(ctx)
		// A second signal cuts short the notice that the load balancer gets.
		stopCtx, cancelStop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
		defer cancelStop()
		e.Stop(stopCtx)
		return nil
	}
	return c
}

// waitForSignal waits until the process receives SIGINT or SIGTERM, or ctx ends. A second
// signal ends the process at once unless the caller handles it.
func waitForSignal(ctx context.Context) {
	signalled, cancel := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	<-signalled.Done()
}

// standinFlags are the settings of the standin subcommand.
type standinFlags struct {
	listen      string
	zones       []string
	perZone     int
	slots       int
	service     time.Duration
	reboot, lag time.Duration
}

// Standin returns the subcommand that runs a stand-in of the platform and its instances.
func Standin() *Command {
	c := newCommand("standin", "", "run a stand-in of the platform and its instances, for trials")
	f := &standinFlags{}
	c.set.Address(&f.listen, "listen", "127.0.0.1:7000", "address of the platform's service")
	c.set.Names(&f.zones, "zones", "zone-a", "availability zones")
	c.set.Int(&f.perZone, "instances", 8, "instances in each availability zone", 1, 500)
	c.set.Int(&f.slots, "slots", standin.DefaultSlots, "requests that an instance runs at once", 1, 1000)
	c.set.Duration(&f.service, "service-time", standin.DefaultServiceTime, "how long an instance runs a request", 0, time.Hour)
	c.set.Duration(&f.reboot, "reboot-time", standin.DefaultRebootTime, "how long an instance takes to come back", 0, time.Hour)
	c.set.Duration(&f.lag, "list-lag", 500*time.Millisecond, "how far the list of instances is behind", 0, time.Hour)
	c.run = func(ctx context.Context, _ io.Writer, args []string) error {
		if err := requireArgs(args, 0, "no arguments"); err != nil {
			return err
		}
		return f.run(ctx, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	}
	return c
}

func (f *standinFlags) run(ctx context.Context, logger *slog.Logger) error {
	zones := make([]pointport.ZoneID, len(f.zones))
	for i, z := range f.zones {
		zones[i] = pointport.ZoneID(z)
	}
	fleet, err := standin.NewFleet(clock.System{}, standin.WithZones(f.perZone, zones...), standin.WithSlots(f.slots),
		standin.WithServiceTime(f.service), standin.WithRebootTime(f.reboot), standin.WithListLag(f.lag))
	if err != nil {
		return err
	}
	defer fleet.Close()
	addr, err := standin.NewPlatform(memory.New(clock.System{}), fleet).Listen(ctx, f.listen)
	if err != nil {
		return err
	}
	logger.Info("stand-in is serving", slog.String("platform", "http://"+addr.String()), slog.Int("instances", len(fleet.All())))
	waitForSignal(ctx)
	return nil
}
