package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pointport/pointport/trace"
)

// This file defines the subcommand that shows the timeline of a job from logs.

// Trace returns the subcommand that shows the timeline of a job from the logs of entry
// instances.
func Trace() *Command {
	c := newCommand("trace", "JOB", "tell what became of a job from the logs of entry instances")
	var logs string
	c.set.String(&logs, "logs", "", "log files, separated by commas; standard input if there is none")
	c.run = func(_ context.Context, out io.Writer, args []string) error {
		if err := requireArgs(args, 1, "the identity of a job"); err != nil {
			return err
		}
		log, err := readLogs(logs)
		if err != nil {
			return err
		}
		timeline := log.Timeline(args[0])
		return timeline.Write(out)
	}
	return c
}

// readLogs reads the log files in a comma-separated list of paths, or standard input if the
// list is empty.
func readLogs(paths string) (*trace.Log, error) {
	log := &trace.Log{}
	if paths == "" {
		return log, log.Read(os.Stdin)
	}
	for _, path := range strings.Split(paths, ",") {
		if err := readLog(log, path); err != nil {
			return nil, fmt.Errorf("log %s: %w", path, err)
		}
	}
	return log, nil
}

func readLog(log *trace.Log, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return log.Read(f)
}
