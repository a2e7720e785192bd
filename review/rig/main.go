// Command rig runs the cases of the third review that can't be put as a day for the bench: it starts the project's programs
// with the commands of the deploy file, sound stand-ins for workers, clients and the platform, and brings about one disruption.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// verdict is the outcome of a case: what was broken, or nothing.
type verdict struct{ broken []string }

func (v *verdict) breaks(format string, args ...any) {
	v.broken = append(v.broken, fmt.Sprintf(format, args...))
}

var cases = map[string]func(c *cell, trouble bool) (*verdict, error){}

func init() {
	// The processes end with the thread that started them.
	runtime.LockOSThread()
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		fmt.Fprintln(os.Stderr, runWorker(os.Args[2:]))
		return exitNotRun
	}
	name := flag.String("case", "", "the case")
	recordPath := flag.String("record", "record.txt", "where to write the record")
	flag.Parse()
	f := cases[*name]
	if f == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitNotRun
	}
	file, err := os.Create(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	record := &recorder{w: file, began: time.Now()}
	c, err := newCell(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer c.end()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-stop:
		case <-time.After(115 * time.Second):
		}
		c.end()
		os.Exit(exitNotRun)
	}()
	v, err := f(c, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	if len(v.broken) == 0 {
		record.add("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
	for _, b := range v.broken {
		record.add("broken: %s", b)
		fmt.Println("broken:", b)
	}
	return exitBroken
}
