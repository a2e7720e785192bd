// Command bulrushwinchd is the daemon: one process of a bulrushwinch cell.
package main

import (
	"context"
	"expvar"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/bulrushwinch/bulrushwinch/config"
	"github.com/bulrushwinch/bulrushwinch/daemon"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// logDropped counts log lines that were dropped because the output was too slow.
var logDropped = expvar.NewInt("log_lines_dropped")

// Exit codes of the daemon.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

func main() { os.Exit(run()) }

func run() int {
	configPath := flag.String("config", "", "INI `file` with the settings")
	check := flag.String("check", "", "check an INI `file` and exit")
	called := flag.String("called", "", "run a process in push mode, in which the leader calls the upstreams; `variable` names the environment variable with the path of its INI file")
	bootstrap := flag.Bool("bootstrap", false, "create a new group in an empty data folder; use it once, on one VM")
	dev := flag.Bool("dev", false, "run a development cell of one process with stand-in upstreams, in a temporary folder")
	standin := flag.Bool("standin", false, "run stand-in upstreams")
	var standIns standInFlags
	standIns.bind(flag.CommandLine)
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	switch {
	case *called != "":
		return runPush(ctx, os.Getenv(*called))
	case *check != "":
		return checkSettings(*check)
	case *dev:
		return report(daemon.RunDev(ctx, logger("info")))
	case *standin:
		return standIns.run(ctx)
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

// logBufferLines is the number of log lines that are buffered for the output. Further ones are
// dropped and counted, so that a slow reader never blocks the process.
const logBufferLines = 4096

// runPush runs a process in push mode. It logs to the standard output.
func runPush(ctx context.Context, path string) int {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	settings, err := config.LoadPush(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	level, err := zerolog.ParseLevel(settings.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	out := diode.NewWriter(os.Stdout, logBufferLines, 0, func(missed int) { logDropped.Add(int64(missed)) })
	defer func() { _ = out.Close() }()
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(out).Level(level).With().Timestamp().Logger()
	return report(daemon.NewPushDaemon(path, settings, log).Run(ctx, reload))
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
