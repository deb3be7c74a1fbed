package cli

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/capacity"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/intake"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/node"
	"github.com/pointport/pointport/platform"
	"github.com/pointport/pointport/shard"
	"github.com/pointport/pointport/workload"
)

// This file defines the subcommand that runs an entry instance on the users'
// platform.

const (
	// memoryShare is the share of a process's memory that the runtime may fill
	// before it collects garbage harder; the rest is for stacks and buffers.
	memoryShare = 0.6
	// garbagePercent trades memory, which is cheap on entry instances, for
	// processor time, which is dear: a live heap of a few megabytes would be
	// collected many times a second otherwise.
	garbagePercent = 400
)

// Join returns the subcommand that runs an entry instance on the users'
// platform.
func Join() *Command {
	c := newCommand("join", "", "run an entry instance on the users' platform")
	var path string
	c.set.String(&path, "settings", "", "path of the settings file that the platform lays")
	c.run = func(ctx context.Context, _ io.Writer, args []string) error {
		if err := need(args, 0, "no arguments"); err != nil {
			return err
		}
		s, err := platform.ReadSettings(path)
		if err != nil {
			return err
		}
		work, cancel := context.WithCancel(ctx)
		defer cancel()
		sink := event.StartSink(os.Stdout)
		defer sink.Close()
		n, err := join(work, s, slog.New(slog.NewJSONHandler(sink, nil)).With(slog.String("node", s.Name)))
		if err != nil {
			return err
		}
		go reload(work, path, s, n)
		waitForSignal(ctx)
		n.Stop()
		return nil
	}
	return c
}

// reload reads the settings file again at each SIGHUP until ctx ends. A file
// that cannot be used changes nothing.
func reload(ctx context.Context, path string, s *platform.Settings, n *node.Node) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-hup:
		case <-ctx.Done():
			return
		}
		next, err := platform.ReadSettings(path)
		if err != nil {
			event.ReloadFailed.Log(n.Logger(), slog.Any("error", err))
			continue
		}
		event.Reloaded.Log(n.Logger(), slog.Any("changed", s.Differences(next)))
		s = next
	}
}

// ownerBandwidth is the bandwidth that the owner of a busy pool wants for each
// core that it has, in megabits a second.
const ownerBandwidth = 100

// strength says how much work a process can do: its cores, or fewer if its link
// is too thin for them.
func strength(s *platform.Settings) float64 {
	if s.Bandwidth <= 0 {
		return s.CPU
	}
	return min(s.CPU, s.Bandwidth/ownerBandwidth)
}

// join starts a node on the services that the settings name.
func join(ctx context.Context, s *platform.Settings, logger *slog.Logger) (*node.Node, error) {
	debug.SetGCPercent(garbagePercent)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
	services := node.Services{
		KV:       platform.NewStore(s.Store),
		Executor: platform.NewExecutor(),
		Clock:    clock.System{},
		Config: node.Source[*workload.Catalog]{
			Prefix: platform.ConfigKey,
			Decode: func(e pointport.Entry) (*workload.Catalog, error) { return platform.DecodeConfig(e.Value()) },
		},
		Registrations: node.Source[pointport.Incarnation]{
			Prefix: platform.RegistrationPrefix, Decode: platform.DecodeRegistration,
		},
		Waves: node.WaveSource{
			Source: node.Source[capacity.Wave]{Prefix: platform.WavePrefix, Decode: platform.DecodeWave},
			Status: platform.WaveStatus,
		},
		Ingress: func(d *intake.Desk, catalog func() *workload.Catalog) http.Handler {
			return platform.NewIngress(d, catalog)
		},
	}
	if s.Machines != "" {
		services.Machines = platform.NewMachines(s.Machines)
	}
	if s.Advisor != "" {
		services.Advisor = platform.NewAdvisor(s.Advisor)
	}
	n, err := node.Start(ctx, services, node.Parameters{
		Name: s.Name, Zone: s.Zone, Strength: strength(s),
		Addresses: node.Addresses{Clients: s.Clients, Readiness: s.Readiness, Peers: s.Peers, Metrics: s.Metrics},
		LeaseTTL:  max(member.DefaultTTL, s.MinLeaseTTL), TaskLease: min(shard.DefaultLease, s.MaxHold), Grace: s.Grace,
		GangTime: s.GangTime, FarFactor: s.FarFactor, HolderTime: s.HolderTime,
		Capacity: capacity.Settings{MoveTime: s.MoveTime, UpkeepTime: s.UpkeepTime},
	}, logger)
	if err != nil {
		event.Failed.Log(logger, slog.String("part", "start"), slog.Any("error", err))
	}
	return n, err
}
