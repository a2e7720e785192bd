// Command bulrushwinch is the tool of callers and operators.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range callerCommands() {
		subcommands.Register(c, "work")
	}
	for _, c := range operatorCommands() {
		subcommands.Register(c, "cell")
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(int(subcommands.Execute(ctx)))
}
