package main

import (
	"flag"
	"fmt"
	"os"
	"runtime/pprof"
	"sync"
)

// maxParallel is the number of simulations that run at the same time.
const maxParallel = 4

func main() {
	userName := flag.String("user", "", "only this user: library or oduya")
	loadName := flag.String("load", "", "only this load: normal or overload")
	seeds := flag.Int("seeds", 3, "number of fixed seeds")
	profile := flag.String("cpuprofile", "", "write a CPU profile to this file")
	flag.Parse()
	if *profile != "" {
		f, err := os.Create(*profile)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		defer f.Close()
		if err := pprof.StartCPUProfile(f); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		defer pprof.StopCPUProfile()
	}
	missed := 0
	for _, u := range users {
		if *userName != "" && u.name != *userName {
			continue
		}
		missed += benchUser(u, *loadName, *seeds)
	}
	fmt.Printf("\n%d bounds missed\n", missed)
}

// result holds the measures of the four simulations of one load and seed: package sched
// and the FIFO baseline, each without and with the outage of a failure domain.
type result struct {
	sched, schedOutage, baseline, baselineOutage *measures
}

// benchUser runs and reports the loads of one user, the highest load first, or only the
// named load if loadName is set. It returns the number of missed bounds.
func benchUser(u user, loadName string, seeds int) int {
	missed := 0
	for i := range loads {
		l := loads[len(loads)-1-i]
		if loadName == "" || loadName == l.name {
			missed += report(os.Stdout, u, l, runAll(u, l, seeds))
		}
	}
	return missed
}

// runAll simulates the seeds 1 to seeds of a load with sched and with the baseline, each
// without and with the outage of a failure domain.
func runAll(u user, l load, seeds int) []result {
	results := make([]result, seeds)
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxParallel)
	start := func(to **measures, s scenario) {
		wg.Go(func() {
			semaphore <- struct{}{}
			*to = newSimulation(s).run()
			<-semaphore
		})
	}
	for i := range results {
		s := scenario{user: u, load: l, seed: uint64(i + 1)}
		r := &results[i]
		start(&r.sched, s)
		s.outage = true
		start(&r.schedOutage, s)
		s.fifo = true
		start(&r.baselineOutage, s)
		s.outage = false
		start(&r.baseline, s)
	}
	wg.Wait()
	return results
}
