package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pointport/pointport/assign"
	"github.com/pointport/pointport/query"
)

// This file defines the subcommands that query the system and change nothing.

// Status returns the subcommand that shows the status of pools, waves, services and jobs.
func Status() *Command {
	c := newCommand("status", "", "show how pools, waves, jobs and services stand, as one entry instance sees them")
	var o operatorFlags
	o.define(c)
	c.run = func(ctx context.Context, out io.Writer, args []string) error {
		if err := requireArgs(args, 0, "no arguments"); err != nil {
			return err
		}
		var st query.Status
		if err := o.client().Call(ctx, http.MethodGet, "/v1/status", nil, nil, &st); err != nil {
			return err
		}
		return o.print(out, st, func(w io.Writer) { printStatus(w, &st) })
	}
	return c
}

func printStatus(w io.Writer, st *query.Status) {
	fmt.Fprintf(w, "node %s in zone %s, configuration version %d, heard %s, plans its zone: %v\n\n",
		st.Node, st.Zone, st.ConfigVersion, formatTime(st.ConfigHeard), st.Planner)
	fmt.Fprintln(w, "POOL\tZONE\tNEED\tSPARE\tSERVING\tDRAINING\tREBOOTING\tFAILED")
	for _, p := range st.Pools {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", p.Pool, p.Zone, p.Size, p.Spare,
			p.ByPhase[assign.Serving], p.ByPhase[assign.Draining], p.ByPhase[assign.Rebooting], p.ByPhase[assign.Failed])
	}
	fmt.Fprintln(w, "\nWAVE\tPOOL\tDONE\tFAILED\tPASSED\tSTARTED\tENDED\tSTOPPED")
	for _, v := range st.Waves {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\n", v.Name, v.Pool, v.Done, v.FailedCount, v.PassedCount,
			formatTime(v.Started), formatTime(v.Ended), v.Stopped)
	}
	fmt.Fprintln(w, "\nSERVICE\tWAITING\tLATENCY\tUPSTREAMS\tIN FLIGHT\tLEAVING\tEJECTED")
	for _, s := range st.Services {
		inFlight, leaving, ejected := 0, 0, 0
		for _, u := range s.Upstreams {
			inFlight += u.InFlight
			leaving += boolToInt(u.Leaving)
			ejected += boolToInt(u.Ejected)
		}
		fmt.Fprintf(w, "%s\t%d\t%v\t%d\t%d\t%d\t%d\n", s.Service, s.Waiting, s.Latency.Round(10*time.Microsecond), len(s.Upstreams), inFlight, leaving, ejected)
	}
	fmt.Fprintln(w, "\nJOBS\tCOUNT")
	for phase, n := range st.Jobs {
		fmt.Fprintf(w, "%s\t%d\n", phase, n)
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Audit returns the subcommand that shows the audit trail.
func Audit() *Command {
	c := newCommand("audit", "", "show who changed what, and what the system did by itself, newest first")
	var o operatorFlags
	o.define(c)
	var author, object, since, until string
	var limit int
	c.set.String(&author, "author", "", "only changes by this author")
	c.set.String(&object, "object", "", "only changes of this object, such as Template/payout or Instance/zone-a-01")
	c.set.String(&since, "since", "", "only changes from this time on, such as 2026-12-02T12:00:00Z")
	c.set.String(&until, "until", "", "only changes before this time")
	c.set.Int(&limit, "limit", query.DefaultAuditLimit, "entries at most", 1, 10000)
	c.run = func(ctx context.Context, out io.Writer, args []string) error {
		if err := requireArgs(args, 0, "no arguments"); err != nil {
			return err
		}
		q := url.Values{"author": {author}, "object": {object}, "since": {since}, "until": {until}, "limit": {strconv.Itoa(limit)}}
		var list []query.Entry
		if err := o.client().Call(ctx, http.MethodGet, "/v1/audit", q, nil, &list); err != nil {
			return err
		}
		return o.print(out, list, func(w io.Writer) {
			fmt.Fprintln(w, "AT\tAUTHOR\tOBJECT\tACTION\tREASON")
			for _, e := range list {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", formatTime(e.At), e.Author, e.Object, e.Action, e.Reason)
			}
		})
	}
	return c
}

// Explain returns the subcommand that explains the state of an instance, pool, wave or job.
func Explain() *Command {
	c := newCommand("explain", "instance|pool|wave|job NAME", "say how something stands, from which facts, and what would change it")
	var o operatorFlags
	o.define(c)
	c.run = func(ctx context.Context, out io.Writer, args []string) error {
		if err := requireArgs(args, 2, "instance, pool, wave or job, and NAME"); err != nil {
			return err
		}
		var list []assign.Explanation
		path := "/v1/explain/" + url.PathEscape(args[0]) + "/" + url.PathEscape(args[1])
		if err := o.client().Call(ctx, http.MethodGet, path, nil, nil, &list); err != nil {
			return err
		}
		return o.print(out, list, func(w io.Writer) {
			for _, e := range list {
				fmt.Fprintf(w, "%s: %s\n", e.Subject, e.Stands)
				for _, f := range e.Facts {
					fmt.Fprintf(w, "  because  %s\n", f)
				}
				for _, n := range e.Next {
					fmt.Fprintf(w, "  next     %s\n", n)
				}
			}
		})
	}
	return c
}

// Plan returns the subcommand that forecasts the effect of applying a file.
func Plan() *Command {
	c := newCommand("plan", "", "show what applying a file would move and maintain, if nothing failed, and change nothing")
	var o operatorFlags
	o.define(c)
	var file string
	c.set.String(&file, "f", "", "file in YAML or JSON, or - for standard input")
	c.run = func(ctx context.Context, out io.Writer, args []string) error {
		if err := requireArgs(args, 0, "no arguments beside -f FILE"); err != nil {
			return err
		}
		objects, err := readObjects(file)
		if err != nil {
			return err
		}
		var list []assign.Forecast
		if err := o.client().Call(ctx, http.MethodPost, "/v1/plan", nil, objects, &list); err != nil {
			return err
		}
		return o.print(out, list, func(w io.Writer) { printPlan(w, list) })
	}
	return c
}

func printPlan(w io.Writer, list []assign.Forecast) {
	fmt.Fprintln(w, "ZONE\tMOVES\tREBOOTS")
	for _, f := range list {
		fmt.Fprintf(w, "%s\t%d\t%d\n", f.Zone, f.Moves, f.Reboots)
	}
	fmt.Fprintln(w, "\nPOOL\tZONE\tBEFORE\tAFTER\tNEED\tMISSING\tMAY BE OUT")
	for _, f := range list {
		for _, p := range f.Pools {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\n", p.Pool, f.Zone, p.Before, p.After, p.Need, p.Missing, p.Room)
		}
	}
}
