package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["many"] = manyCase }

// manyCase kills all processes of the core for a while, when its leader has ordered some of the small tasks that it has placed
// on two large workers and not yet the others.
func manyCase(c *cell, trouble bool) (*verdict, error) {
	const (
		workers = 2
		jobs    = 70
		tasks   = 50
		workMS  = 4000
		// pace is the time between two jobs: fewer come in a second than at the site.
		pace = time.Second / 15
		// running is how many tasks run on one worker when the core is killed.
		running = 600
		down    = 4300 * time.Millisecond
		// finish is finish_s of the site, and three seconds more.
		finish = 17 * time.Second
	)
	var mu sync.Mutex
	startedBy, liveBy := make(map[string]int), make(map[string]int)
	lastStart := time.Now()
	started, done := make(map[string]bool), make(map[string]bool)
	ready := make(chan bool, 1)
	seen := func(worker string, _ int64, what, task string, _ int, more string) {
		mu.Lock()
		defer mu.Unlock()
		switch what {
		case "start":
			startedBy[worker]++
			liveBy[worker]++
			started[task], lastStart = true, time.Now()
			if liveBy[worker] == running {
				select {
				case ready <- true:
				default:
				}
			}
		case "end":
			liveBy[worker]--
			done[task] = done[task] || more == "done"
		}
	}
	if err := c.startSystem(); err != nil {
		return nil, err
	}
	if err := c.configure(); err != nil {
		return nil, err
	}
	for n := range workers {
		if _, err := c.startWorker(n, seen, "-start-ms", "20", "-cpu", "64000", "-mem", "262144"); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	spec := map[string]any{"taskSpec": fmt.Sprintf("work=%d", workMS), "jobSteps": []any{map[string]any{"count": tasks, "cpu": 25, "memMb": 16, "estimateMs": workMS}}}
	id := func(i int) string { return fmt.Sprintf("5c0e7a21%08x", i) }
	var all sync.WaitGroup
	all.Add(1)
	go func() {
		defer all.Done()
		for i := range jobs {
			time.Sleep(pace)
			all.Add(1)
			go func() {
				defer all.Done()
				_ = c.submit(id(i), spec)
			}()
		}
	}()
	select {
	case <-ready:
	case <-time.After(12 * time.Second):
		return nil, fmt.Errorf("the tasks were not started fast enough")
	}
	if trouble {
		c.record.add("the core is killed")
		for _, p := range c.cores {
			_ = p.cmd.Process.Kill()
		}
		for _, p := range c.cores {
			<-p.done
		}
		time.Sleep(down)
		c.record.add("the core starts again")
		for _, p := range c.cores {
			if err := c.launch(p); err != nil {
				return nil, err
			}
		}
	}
	all.Wait()
	c.record.add("all jobs are handed in")
	time.Sleep(finish + 3*time.Second)
	open, first := 0, ""
	for i := range jobs {
		if status, state := c.state(id(i)); status != http.StatusOK || state != "completed" {
			open++
			first = fmt.Sprintf("%s: %d %s", id(i), status, state)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	v := &verdict{}
	live := 0
	for _, n := range liveBy {
		live += n
	}
	if idle := time.Since(lastStart); open > 0 && live == 0 && idle > 3*time.Second {
		v.breaks("LOST: %d of %d accepted jobs are not completed (%s) and have had nothing running for %.1f s, with both workers sound and empty; %d of %d tasks have started, %d are done",
			open, jobs, first, idle.Seconds(), len(started), jobs*tasks, len(done))
	}
	return v, nil
}
