package main

import (
	"flag"
	"fmt"
	"os"
	"runtime/pprof"
	"sync"
)

// maxParallel bounds the runs that are played at the same time.
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

// result is the four runs of one load and seed.
type result struct {
	ours, oursAway, base, baseAway *measures
}

func benchUser(u user, only string, seeds int) int {
	missed := 0
	for i := range loads {
		l := loads[len(loads)-1-i]
		if only == "" || only == l.name {
			missed += report(os.Stdout, u, l, play(u, l, seeds))
		}
	}
	return missed
}

// play runs all seeds of a load, each with and without the absence of a domain.
func play(u user, l load, seeds int) []result {
	results := make([]result, seeds)
	var wg sync.WaitGroup
	tokens := make(chan struct{}, maxParallel)
	start := func(to **measures, s scenario) {
		wg.Go(func() {
			tokens <- struct{}{}
			*to = newWorld(s).run()
			<-tokens
		})
	}
	for i := range results {
		s := scenario{user: u, load: l, seed: uint64(i + 1)}
		r := &results[i]
		start(&r.ours, s)
		s.absence = true
		start(&r.oursAway, s)
		s.fifo = true
		start(&r.baseAway, s)
		s.absence = false
		start(&r.base, s)
	}
	wg.Wait()
	return results
}
