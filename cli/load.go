package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/load"
	"github.com/pointport/pointport/remote"
	"github.com/pointport/pointport/standin"
)

// This file defines the subcommand that sends load and measures it.

// loadFlags are the settings of the load subcommand.
type loadFlags struct {
	targets, direct, path, method, work, output, label string
	rate, repeat                                       float64
	duration                                           time.Duration
	customers                                          int
	keyed                                              bool
}

// Load returns the subcommand that sends callers' requests at a fixed rate and shows their
// outcomes and latencies.
func Load() *Command {
	c := newCommand("load", "", "send callers' requests at a set rate and show what comes of them")
	f := &loadFlags{}
	c.set.String(&f.targets, "targets", "http://127.0.0.1:8080", "callers' addresses of entry instances, with commas between them")
	c.set.URL(&f.direct, "direct", "", "URL of the stand-in platform whose upstreams get the load in place of -targets, as a baseline", "")
	c.set.String(&f.path, "path", "/hello", "path of the requests")
	c.set.OneOf(&f.method, "method", "GET", "method of the requests", "GET", "POST")
	c.set.String(&f.work, "work", "", "run time that is asked of a stand-in instance, such as 20ms")
	c.set.Float(&f.rate, "rate", 100, "requests a second", 0.1, 1e6)
	c.set.Duration(&f.duration, "for", 10*time.Second, "how long requests are sent", time.Millisecond, time.Hour)
	c.set.Int(&f.customers, "customers", 10, "customers that take turns", 1, 100000)
	c.set.Bool(&f.keyed, "keyed", false, "give each request a key of its own")
	c.set.Float(&f.repeat, "repeat", 0, "part of the keyed requests that are sent twice", 0, 1)
	c.set.String(&f.label, "label", "", "name of the run in the output")
	c.set.OneOf(&f.output, "o", "table", "form of the output", "table", "json", "row")
	c.run = f.run
	return c
}

func (f *loadFlags) run(ctx context.Context, out io.Writer, args []string) error {
	if err := requireArgs(args, 0, "no arguments"); err != nil {
		return err
	}
	p := load.Plan{
		Targets: strings.Split(f.targets, ","), Method: f.method, Path: f.path, Rate: f.rate, Duration: f.duration,
		Customers: f.customers, Keyed: f.keyed, RepeatShare: f.repeat, Header: map[string]string{},
	}
	if f.work != "" {
		p.Header[standin.HeaderWork] = f.work
	}
	if f.direct != "" {
		targets, err := liveInstanceURLs(ctx, f.direct)
		if err != nil {
			return err
		}
		p.Targets = targets
	}
	return f.print(out, load.Run(ctx, p))
}

// liveInstanceURLs returns the URLs of all live instances of a platform.
func liveInstanceURLs(ctx context.Context, platform string) ([]string, error) {
	list, err := remote.New(platform).Instances(ctx, "")
	if err != nil {
		return nil, err
	}
	var out []string
	for _, i := range list {
		if i.State == pointport.InstanceLive {
			out = append(out, "http://"+i.Address)
		}
	}
	return out, nil
}

func (f *loadFlags) print(out io.Writer, r load.Result) error {
	switch f.output {
	case "json":
		return json.NewEncoder(out).Encode(r)
	case "row":
		_, err := fmt.Fprintf(out, "| %s | %d | %.0f | %d | %d | %d | %.1f | %.1f | %.1f | %.1f | %.1f |\n", f.label, r.Sent, r.Goodput,
			r.Counts[load.Refused], r.Counts[load.Unknown]+r.Counts[load.Failed], r.Counts[load.Broken]+r.Counts[load.Unreachable]+r.Counts[load.Overflow],
			r.P50, r.P99, r.P999, r.RefusedP50, r.RefusedP99)
		return err
	}
	fmt.Fprintf(out, "sent %d in %.1fs, %.0f answers a second\n", r.Sent, r.Seconds, r.Goodput)
	for _, o := range load.Outcomes() {
		fmt.Fprintf(out, "  %-12s %d\n", o, r.Counts[o])
	}
	_, err := fmt.Fprintf(out, "answers  p50 %.2fms  p99 %.2fms  p99.9 %.2fms\nrefusals p50 %.2fms  p99 %.2fms\n", r.P50, r.P99, r.P999, r.RefusedP50, r.RefusedP99)
	return err
}
