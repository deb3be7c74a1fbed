// Command pointportd runs an entry instance.
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
	subcommands.Register(cli.Serve(), "")
	subcommands.Register(cli.Join(), "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
