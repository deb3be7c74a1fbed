package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/operator"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file defines the subcommand for jobs of several steps.

// workloadFlags are the settings of the workload subcommand.
type workloadFlags struct {
	operatorFlags
	queue, file string
}

// Workload returns the subcommand that submits, shows, explains and cancels jobs of several
// steps, and shows queues and customers.
func Workload() *Command {
	c := newCommand("workload", "submit [ID] | get ID | explain ID | cancel ID | queues | customer NAME", "hand in, follow, explain and cancel jobs of several steps")
	f := &workloadFlags{}
	f.define(c)
	c.set.String(&f.queue, "queue", "", "queue of the job")
	c.set.String(&f.file, "f", "-", "file with the job in YAML or JSON, or - for standard input")
	c.run = f.run
	return c
}

func (f *workloadFlags) run(ctx context.Context, out io.Writer, args []string) error {
	verb := ""
	if len(args) > 0 {
		verb = args[0]
	}
	if verb == "submit" && len(args) == 1 {
		args = append(args, newJobID())
	}
	switch {
	case verb == "queues" && len(args) == 1:
		return f.queues(ctx, out)
	case verb == "customer" && len(args) == 2:
		return f.customer(ctx, out, args[1])
	case !slices.Contains([]string{"submit", "get", "explain", "cancel"}, verb):
		return &UsageError{fmt.Sprintf("%q: must be one of submit, get, explain, cancel, queues, customer", verb)}
	case len(args) != 2:
		return &UsageError{"want the identity of a job, 16 hexadecimal digits"}
	case f.queue == "":
		return &UsageError{"-queue must name the queue of the job"}
	}
	path := "/v1/queues/" + url.PathEscape(f.queue) + "/jobs/" + url.PathEscape(args[1])
	switch verb {
	case "submit":
		return f.submit(ctx, out, path)
	case "explain":
		return f.explain(ctx, out, path+"/explanation")
	case "cancel":
		return f.callJob(ctx, out, http.MethodDelete, path, nil)
	}
	return f.callJob(ctx, out, http.MethodGet, path, nil)
}

// newJobID returns a random ID of 16 hexadecimal digits.
func newJobID() string {
	id := uuid.New()
	return fmt.Sprintf("%x", id[:8])
}

func (f *workloadFlags) submit(ctx context.Context, out io.Writer, path string) error {
	data, err := readFile(f.file)
	if err != nil {
		return err
	}
	doc, err := workload.ParseDocument(data)
	if err != nil {
		return &UsageError{fmt.Sprintf("%s: %v", f.file, err)}
	}
	return f.callJob(ctx, out, http.MethodPut, path, doc)
}

// readFile reads a file, or standard input if its name is -.
func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

// callJob makes a call whose response is the state of a job, and shows it.
func (f *workloadFlags) callJob(ctx context.Context, out io.Writer, method, path string, body any) error {
	var s operator.JobState
	if err := f.client().Call(ctx, method, path, nil, body, &s); err != nil {
		return err
	}
	return f.print(out, s, func(w io.Writer) {
		fmt.Fprintln(w, "JOB\tQUEUE\tSTATUS")
		fmt.Fprintf(w, "%s\t%s\t%s\n", s.ID, s.Queue, s.Status)
	})
}

func (f *workloadFlags) explain(ctx context.Context, out io.Writer, path string) error {
	var x schedule.Explanation
	if err := f.client().Call(ctx, http.MethodGet, path, nil, nil, &x); err != nil {
		return err
	}
	return f.print(out, x, func(w io.Writer) { printExplanation(w, &x) })
}

func printExplanation(w io.Writer, x *schedule.Explanation) {
	fmt.Fprintf(w, "job %s in queue %s: %s\n", x.Job, x.Queue, x.Status)
	if x.Customer != "" {
		fmt.Fprintf(w, "  of customer %s\n", x.Customer)
	}
	if x.Late {
		fmt.Fprintf(w, "  late: its next tasks should have started by %s\n", x.Latest.Format(time.RFC3339Nano))
	}
	for _, s := range x.Steps {
		fmt.Fprintf(w, "  step %d: %d of %d tasks done\n", s.Step, s.Done, s.Tasks)
		if s.GivenUp > 0 {
			fmt.Fprintf(w, "    %d given up: instances have crashed under them\n", s.GivenUp)
		}
		ids := make([]pointport.IncarnationID, 0, len(s.Running))
		for id := range s.Running {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		for _, id := range ids {
			fmt.Fprintf(w, "    %d with %s\n", s.Running[id], id)
		}
		if s.Waits != "" {
			fmt.Fprintf(w, "    %s\n", s.Waits)
		}
	}
}

func (f *workloadFlags) customer(ctx context.Context, out io.Writer, name string) error {
	var s operator.CustomerState
	if err := f.client().Call(ctx, http.MethodGet, "/v1/customers/"+url.PathEscape(name), nil, nil, &s); err != nil {
		return err
	}
	return f.print(out, s, func(w io.Writer) { printCustomer(w, &s) })
}

func printCustomer(w io.Writer, s *operator.CustomerState) {
	fmt.Fprintf(w, "customer %s: weight %g, %d keys, cap %s\n", s.Name, s.Weight, len(s.Keys), formatShape(s.Cap))
	for _, x := range s.Pools {
		fmt.Fprintf(w, "  pool %s: %d jobs, %d begun, %d late; uses %s, %.2f of the pool, of which %.2f is its part\n",
			x.Pool, x.Jobs, x.Begun, x.Late, formatShape(x.Used), x.Share, x.Part)
		if x.Capped {
			fmt.Fprintf(w, "    may use %s of its cap here; %s wait for it\n", formatShape(x.Allowed), formatShape(x.HeldBack))
		}
		if x.Share > x.Part && x.Ahead > 0 {
			fmt.Fprintf(w, "    is beyond its part: %d jobs of others come first\n", x.Ahead)
		}
		if x.Excess > 0 {
			fmt.Fprintf(w, "    more of its jobs are refused for %v\n", x.Excess.Round(time.Millisecond))
		}
	}
	for _, pool := range s.Silent {
		fmt.Fprintf(w, "  pool %s: its owner gives no answer\n", pool)
	}
}

// formatShape formats the processors and the memory of a shape.
func formatShape(s pointport.Shape) string {
	return fmt.Sprintf("%.1f cores and %d MiB", float64(s.CPUMilli)/1000, s.MemoryMiB)
}

func (f *workloadFlags) queues(ctx context.Context, out io.Writer) error {
	var list []workload.Queue
	if err := f.client().Call(ctx, http.MethodGet, "/v1/queues", nil, nil, &list); err != nil {
		return err
	}
	return f.print(out, list, func(w io.Writer) {
		fmt.Fprintln(w, "QUEUE\tPOOL\tHOST\tPATH\tPRIORITY\tATTEMPTS\tSTRETCH\tTARGET")
		for _, q := range list {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%g\t%v\n", q.Name, q.Pool, q.Host, q.Path, q.Policy.Priority, q.Policy.MaxAttempts, q.Policy.Stretch, q.Policy.Target)
		}
	})
}
