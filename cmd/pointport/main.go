// Command pointport is the operators' command-line client.
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
	for _, g := range cli.OperatorGroups() {
		for _, c := range g.Commands {
			subcommands.Register(c, g.Name)
		}
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
