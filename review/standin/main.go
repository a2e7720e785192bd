// Command standin plays the cases of the review that are scripts. It starts the project's programs on loopback
// addresses, stands in for callers, the operator and upstreams, writes a record of what was sent, answered and run,
// and checks one rule by that record.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longestCase ends a case that hangs. A script may take 120 s.
const longestCase = 110 * time.Second

// caseFunc plays a case. trouble says whether the disruption takes place. It returns the breaches of the rule.
type caseFunc func(c *cell, trouble bool) ([]string, error)

// cases are the cases by name.
var cases = map[string]caseFunc{
	"restarted-upstream": restartedUpstream,
	"cancelled-job":      cancelledJob,
	"refused-job":        refusedJob,
	"crashing-upstreams": crashingUpstreams,
	"pending-jobs":       pendingJobs,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "upstream" {
		runUpstream(os.Args[2:])
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER TROUBLE, in the repository's root")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3] != "0"))
}

// play plays one case and returns its exit code.
func play(name, folder string, trouble bool) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	c, err := newCell(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer c.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-ended:
		case <-time.After(longestCase):
			fmt.Fprintln(os.Stderr, "the case takes too long")
		}
		c.close()
		os.Exit(exitNotRun)
	}()
	rec.write(event{Who: "case", What: "begin", Detail: fmt.Sprintf("%s, trouble %t", name, trouble)})
	breaches, err := cases[name](c, trouble)
	if err != nil {
		rec.write(event{Who: "case", What: "could not run", Detail: err.Error()})
		fmt.Fprintln(os.Stderr, name+": could not run:", err)
		return exitNotRun
	}
	for _, b := range breaches {
		rec.write(event{Who: "check", What: "broken", Detail: b})
		fmt.Println(b)
	}
	if len(breaches) > 0 {
		return exitBroken
	}
	rec.write(event{Who: "check", What: "held"})
	fmt.Println(name + ": the rule held")
	return exitHeld
}
