package cli

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/clock"
	"github.com/pointport/pointport/standin/grid"
)

// This file defines the subcommand that runs a stand-in of the users' platform.

// gridFlags are the settings of the grid subcommand.
type gridFlags struct {
	pools, zones []string
	perPool      int
	cpu, memory  int
	entries      int
	firstPort    int
	dir          string
}

// portsPerEntry is the number of ports that an entry instance listens on.
const portsPerEntry = 4

// Grid returns the subcommand that runs a stand-in of the users' platform.
func Grid() *Command {
	c := newCommand("grid", "", "run a stand-in of the users' platform, and write settings of entry instances that join it")
	f := &gridFlags{}
	c.set.Names(&f.pools, "pools", "shift,payout", "pools that run tasks, each with a queue of its name")
	c.set.Names(&f.zones, "zones", "zone-a,zone-b", "availability zones")
	c.set.Int(&f.perPool, "instances", 4, "instances of each pool, and of the spare pool", 1, 100)
	c.set.Int(&f.cpu, "cpu-milli", 4000, "processors of an instance, in thousandths", 1, 1_000_000)
	c.set.Int(&f.memory, "memory-mib", 8192, "memory of an instance, in MiB", 1, 10_000_000)
	c.set.Int(&f.entries, "entries", 2, "entry instances to write settings for", 1, 100)
	c.set.Int(&f.firstPort, "first-port", 7100, "first port of the entry instances, which have four each", 1024, 65000)
	c.set.String(&f.dir, "dir", ".", "directory in which the settings are written, a file for each entry instance")
	c.run = func(ctx context.Context, out io.Writer, args []string) error {
		if err := requireArgs(args, 0, "no arguments"); err != nil {
			return err
		}
		return f.run(ctx, out)
	}
	return c
}

func (f *gridFlags) run(ctx context.Context, out io.Writer) error {
	zones := make([]pointport.ZoneID, len(f.zones))
	for i, z := range f.zones {
		zones[i] = pointport.ZoneID(z)
	}
	g, err := grid.Start(clock.System{}, grid.Settings{
		Pools: f.pools, PerPool: f.perPool, Zones: zones, Host: "127.0.0.1", MinHolderInterval: 3 * time.Second,
		Capacity: pointport.Shape{CPUMilli: int64(f.cpu), MemoryMiB: int64(f.memory)},
	}, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err != nil {
		return err
	}
	defer g.Close()
	for n := range f.entries {
		name := fmt.Sprintf("entry-%d", n+1)
		s := g.EntrySettings(name, zones[n%len(zones)], f.firstPort+portsPerEntry*n)
		data, err := s.Encode()
		if err != nil {
			return err
		}
		path := filepath.Join(f.dir, name+".toml")
		if err := os.WriteFile(path, data, 0o600); err != nil {
			return err
		}
		if _, err := fmt.Fprintf(out, "%s: customers at http://%s, operators and metrics at http://%s\n", path, s.Clients, s.Metrics); err != nil {
			return err
		}
	}
	waitForSignal(ctx)
	return nil
}
