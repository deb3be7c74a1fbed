package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/google/uuid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/command"
	"github.com/pointport/pointport/config"
	"github.com/pointport/pointport/job"
)

// This file defines the subcommand for jobs of a single task.

// jobFlags are the settings of the job subcommand.
type jobFlags struct {
	operatorFlags
	key, customer, kind, service, priority string
	cpu, memory, accelerators              int
	runtime, wait                          time.Duration
	billed                                 bool
}

// Job returns the subcommand that submits and follows jobs.
func Job() *Command {
	c := newCommand("job", "submit | get ID | list | cancel ID", "submit, follow and cancel jobs")
	f := &jobFlags{}
	f.defineAuthor(c)
	c.set.String(&f.key, "key", "", "the customer's own key of the job; the same key never makes a second job; empty for a new one")
	c.set.String(&f.customer, "customer", "", "customer of the job, or whose jobs to list")
	c.set.String(&f.kind, "kind", "task", "kind of the job")
	c.set.String(&f.service, "service", "", "service whose pool runs the job")
	c.set.OneOf(&f.priority, "priority", "normal", "how soon it should start", "urgent", "normal", "bulk")
	c.set.Int(&f.cpu, "cpu-milli", 1000, "processors it needs, in thousandths", 1, 1_000_000)
	c.set.Int(&f.memory, "memory-mib", 256, "memory it needs, in MiB", 0, 10_000_000)
	c.set.Int(&f.accelerators, "accelerators", 0, "accelerators it needs", 0, 1000)
	c.set.Duration(&f.runtime, "runtime", time.Second, "how long it is thought to run", time.Millisecond, 7*24*time.Hour)
	c.set.Bool(&f.billed, "billed", false, "whether it must not run twice")
	c.set.Duration(&f.wait, "wait", 0, "how long get waits for the job to end", 0, time.Minute)
	c.run = f.run
	return c
}

func (f *jobFlags) run(ctx context.Context, out io.Writer, args []string) error {
	if len(args) == 0 {
		return &UsageError{"want submit, get ID, list or cancel ID"}
	}
	verb, rest := args[0], args[1:]
	switch verb {
	case "submit":
		return f.submit(ctx, out)
	case "list":
		return f.list(ctx, out)
	}
	if err := requireArgs(rest, 1, "the ID of a job"); err != nil {
		return err
	}
	path := "/v1/jobs/" + url.PathEscape(rest[0])
	switch verb {
	case "get":
		q := url.Values{}
		if f.wait > 0 {
			q.Set("wait", f.wait.String())
		}
		return f.callJob(ctx, out, http.MethodGet, path, q, nil)
	case "cancel":
		return f.callJob(ctx, out, http.MethodDelete, path, url.Values{"author": {f.author}}, nil)
	}
	return &UsageError{fmt.Sprintf("%q: must be one of submit, get, list, cancel", verb)}
}

func (f *jobFlags) submit(ctx context.Context, out io.Writer) error {
	if f.key == "" {
		f.key = uuid.NewString()
	}
	return f.callJob(ctx, out, http.MethodPost, "/v1/jobs", nil, command.Submission{
		Key: f.key, Customer: f.customer, Kind: f.kind, Service: f.service,
		Need:    pointport.Shape{CPUMilli: int64(f.cpu), MemoryMiB: int64(f.memory), Accelerators: int64(f.accelerators)},
		Runtime: config.NewDuration(f.runtime), Priority: config.Priority(f.priority), Billed: f.billed,
	})
}

// callJob makes a call whose response is a job, and shows the job.
func (f *jobFlags) callJob(ctx context.Context, out io.Writer, method, path string, q url.Values, body any) error {
	var j job.Job
	if err := f.client().Call(ctx, method, path, q, body, &j); err != nil {
		return err
	}
	return f.print(out, j, func(w io.Writer) { printJobs(w, []job.Job{j}) })
}

func (f *jobFlags) list(ctx context.Context, out io.Writer) error {
	var list []job.Job
	if err := f.client().Call(ctx, http.MethodGet, "/v1/jobs", url.Values{"customer": {f.customer}}, nil, &list); err != nil {
		return err
	}
	return f.print(out, list, func(w io.Writer) { printJobs(w, list) })
}

func printJobs(w io.Writer, list []job.Job) {
	fmt.Fprintln(w, "ID\tCUSTOMER\tKIND\tPHASE\tINSTANCE\tSUBMITTED\tRESULT\tREASON")
	for _, j := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", j.ID, j.Customer, j.Kind, j.Phase, j.Instance, formatTime(j.Submitted), j.Result, j.Reason)
	}
}
