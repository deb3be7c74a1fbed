// Command pointport is the operators' command line.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/pointport/pointport/cli"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range []*cli.Command{cli.Apply(), cli.Get(), cli.Delete(), cli.Wave(), cli.Job()} {
		subcommands.Register(c, "commands")
	}
	for _, c := range []*cli.Command{cli.Status(), cli.Audit(), cli.Explain()} {
		subcommands.Register(c, "queries")
	}
	subcommands.Register(cli.Standin(), "trials")
	subcommands.Register(cli.Load(), "trials")
	subcommands.Register(cli.Evaluate(), "trials")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
