package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["wave"] = waveCase }

// waveCase asks for a wave of upkeep while the platform's list of machines holds entries of another writer, which lack
// the id of the worker.
func waveCase(c *cell, trouble bool) (*verdict, error) {
	const (
		workers = 8
		tasks   = 4
		lasting = "5c0e7a21d94b36f8"
		allowed = 1
		atOnce  = 2
	)
	t := &attendance{at: make(map[string]time.Time), on: make(map[string]string), allowed: allowed, tasks: tasks}
	s := &vmService{vms: make(map[string]*vm), waves: make(map[int64]map[string]bool), record: c.record, atOnce: atOnce}
	c.vms = c.address(22, "vms")
	byMachine, lives := make(map[string]*process), make(map[string]int)
	var start sync.Mutex
	launch := func(n int) (string, error) {
		start.Lock()
		defer start.Unlock()
		machine := fmt.Sprintf("m-%d", n)
		lives[machine]++
		id := fmt.Sprintf("i-%04x%04x", n, lives[machine])
		p, err := c.startWorker(n, t.seen, "-id", id, "-startup", "1000")
		byMachine[machine] = p
		return id, err
	}
	s.takesDown = func(machine string) {
		start.Lock()
		p := byMachine[machine]
		start.Unlock()
		t.upkeep(p.name)
		p.kill()
	}
	restart := make(chan int)
	ids := make(chan string)
	s.bringsBack = func(machine string) string {
		var n int
		_, _ = fmt.Sscanf(machine, "m-%d", &n)
		restart <- n
		return <-ids
	}
	if err := s.serve(c.vms); err != nil {
		return nil, err
	}
	if err := c.startSystem(); err != nil {
		return nil, err
	}
	if err := c.configure(); err != nil {
		return nil, err
	}
	var machines []string
	for n := range workers {
		id, err := launch(n)
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("m-%d", n)
		machines = append(machines, name)
		s.order = append(s.order, name)
		s.vms[name] = &vm{state: "up", zone: zones[n%len(zones)], worker: id, done: make(map[int64]bool)}
		if trouble {
			s.junk = append(s.junk, map[string]any{"machine": name, "pool": service, "state": "up", "zone": zones[n%len(zones)], "labels": []string{"a", "r1"},
				"capacity": map[string]int64{"cpu": roomCPU, "memMb": roomMem, "gpus": 0}})
		}
	}
	time.Sleep(3 * time.Second)
	spec := map[string]any{"taskSpec": "work=0", "jobSteps": []any{map[string]any{"count": tasks, "cpu": 2000, "memMb": 1024, "estimateMs": 500, "longRunning": true,
		"missAllowed": allowed, "antiAffinity": 1}}}
	if err := c.submit(lasting, spec); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	if n := t.working(); n != tasks {
		return nil, fmt.Errorf("%d of %d tasks are at work", n, tasks)
	}
	s.mu.Lock()
	s.waves[1] = make(map[string]bool)
	for _, m := range machines {
		s.waves[1][m] = true
	}
	s.mu.Unlock()
	if status, _ := c.do(http.MethodPost, c.controls()[0], "/api/wave-start", "", "", map[string]any{"wave": 1, "machines": machines, "durationS": 60, "cap": atOnce}); status != http.StatusOK {
		return nil, fmt.Errorf("the wave was not accepted")
	}
	next := time.After(time.Second)
	for until := time.After(60 * time.Second); ; {
		select {
		case n := <-restart:
			id, err := launch(n)
			if err != nil {
				return nil, err
			}
			ids <- id
			continue
		case <-next:
			next = time.After(time.Second)
			if _, body := c.do(http.MethodGet, c.controls()[0], "/api/wave-get/1", "", "", nil); body["state"] != "completed" {
				continue
			}
		case <-until:
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		return &verdict{broken: append(s.broken, t.found()...)}, nil
	}
}

// attendance follows which tasks of the step are at work.
type attendance struct {
	mu             sync.Mutex
	allowed, tasks int
	// on is the worker on which a task runs, at is when it begins to be at work there; both are missing for others.
	on     map[string]string
	at     map[string]time.Time
	broken []string
}

func (t *attendance) seen(worker string, _ int64, what, task string, _ int, _ string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch what {
	case "start":
		t.on[task], t.at[task] = worker, time.Now().Add(time.Second)
	case "stop":
		// A stop ends the task; it is away from then on.
		t.ends(task, "a stop")
	case "end":
		if t.on[task] == worker {
			t.away(task)
		}
	}
}

func (t *attendance) away(task string) { delete(t.on, task); delete(t.at, task) }

// ends checks the end of a task by an order of the system.
func (t *attendance) ends(task, by string) {
	at, runs := t.at[task]
	if !runs || time.Now().Before(at) {
		t.away(task)
		return
	}
	t.away(task)
	if others := t.tasks - 1 - t.workingLocked(); others >= t.allowed {
		t.broken = append(t.broken, fmt.Sprintf("AVAIL: %s ends task %s, which is at work, while %d others of its step are away; missAllowed is %d", by, task, others, t.allowed))
	}
}

// upkeep ends all tasks on a worker.
func (t *attendance) upkeep(worker string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for task, on := range t.on {
		if on == worker {
			t.ends(task, "an upkeep")
		}
	}
}

func (t *attendance) workingLocked() (n int) {
	for _, at := range t.at {
		if !time.Now().Before(at) {
			n++
		}
	}
	return n
}

func (t *attendance) working() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.workingLocked()
}

func (t *attendance) found() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.broken
}
