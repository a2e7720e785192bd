// Command bulrushwinch is the command-line tool of callers and operators.
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
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(int(run(ctx, os.Args[1:], terminal{os.Stdout, os.Stderr, os.Getenv})))
}

// run executes one command line and returns its exit code.
func run(ctx context.Context, args []string, t terminal) subcommands.ExitStatus {
	top := flag.NewFlagSet("bulrushwinch", flag.ContinueOnError)
	top.SetOutput(t.err)
	commander := subcommands.NewCommander(top, "bulrushwinch")
	commander.Output, commander.Error = t.out, t.err
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	for group, list := range map[string][]*command{"work": callerCommands(), "cell": operatorCommands()} {
		for _, c := range list {
			c.terminal = t
			commander.Register(c, group)
		}
	}
	if err := top.Parse(args); err != nil {
		return subcommands.ExitUsageError
	}
	return commander.Execute(ctx)
}
