// Command bulrushwinchd is the daemon of a bulrushwinch cell.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/bulrushwinch/bulrushwinch/config"
	"github.com/bulrushwinch/bulrushwinch/daemon"
	"github.com/rs/zerolog"
)

// Exit codes.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

func main() { os.Exit(run()) }

func run() int {
	configPath := flag.String("config", "", "INI `file` with the settings")
	check := flag.String("check", "", "check an INI `file` and exit")
	bootstrap := flag.Bool("bootstrap", false, "found a new group in an empty data folder; use it once, on one VM")
	dev := flag.Bool("dev", false, "run one VM's worth with stand-in upstreams in a temporary folder")
	standin := flag.Bool("standin", false, "run stand-in upstreams")
	var trial standInFlags
	trial.bind(flag.CommandLine)
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	switch {
	case *check != "":
		return checkSettings(*check)
	case *dev:
		return report(daemon.RunDev(ctx, logger("info")))
	case *standin:
		return trial.run(ctx)
	case *configPath != "":
		settings, err := config.Load(*configPath)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitUsage
		}
		return report(daemon.New(settings, logger(settings.LogLevel)).Run(ctx, *bootstrap))
	}
	flag.Usage()
	return exitUsage
}

func checkSettings(path string) int {
	settings, err := config.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	for _, w := range settings.Warnings {
		fmt.Fprintln(os.Stderr, "warning: "+w)
	}
	fmt.Println(path + ": the settings are valid")
	return exitOK
}

func logger(level string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return zerolog.New(os.Stderr).Level(l).With().Timestamp().Logger()
}

func report(err error) int {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return exitOK
}
