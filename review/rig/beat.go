package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["beat"] = beatCase }

// beatCase sends one heartbeat of another writer for each worker: it names a service that the configuration doesn't have.
func beatCase(c *cell, trouble bool) (*verdict, error) {
	const (
		workers = 8
		lasting = "5c0e7a21d94b36f8"
		later   = "0a1b2c3d4e5f6071"
		allowed = 1
		// finish is finish_s of the site and the three seconds for which nothing runs.
		finish = 17
	)
	var mu sync.Mutex
	running := make(map[string]bool)
	var stops []string
	started := make(map[string]bool)
	disturbed := false
	seen := func(worker string, _ int64, what, task string, _ int, more string) {
		mu.Lock()
		defer mu.Unlock()
		switch what {
		case "start":
			running[task], started[task[:16]] = true, true
		case "end":
			delete(running, task)
			if disturbed && more == "stopped" && task[:16] == lasting {
				stops = append(stops, task)
			}
		}
	}
	if err := c.startSystem(); err != nil {
		return nil, err
	}
	if err := c.configure(); err != nil {
		return nil, err
	}
	born := make(map[int]int64)
	for n := range workers {
		born[n] = time.Now().UnixMilli()
		if _, err := c.startWorker(n, seen, "-born", fmt.Sprint(born[n])); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	spec := map[string]any{"taskSpec": "work=0", "jobSteps": []any{map[string]any{"count": 4, "cpu": 2000, "memMb": 1024, "estimateMs": 500, "longRunning": true,
		"missAllowed": allowed, "antiAffinity": 1}}}
	if err := c.submit(lasting, spec); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	mu.Lock()
	if len(running) != 4 {
		mu.Unlock()
		return nil, fmt.Errorf("the job's tasks don't all run")
	}
	disturbed = true
	mu.Unlock()
	if trouble {
		for n := range workers {
			beat := map[string]any{"service": "other", "address": c.address(100+n, "worker"), "zone": zones[n%len(zones)], "version": "v1", "slots": 8,
				"state": "draining", "coldLeftMs": 0, "capacity": map[string]int64{"cpu": roomCPU, "memMb": roomMem, "gpus": 0}, "labels": []string{"a", "r1"},
				"machine": fmt.Sprintf("m-%d", n), "clockMs": 1, "seqNo": 100, "born": born[n]}
			c.do(http.MethodPut, c.address(11+n%3, "control"), fmt.Sprintf("/api/instances/i-%08x", n), "", "", beat)
		}
	}
	time.Sleep(4 * time.Second)
	short := map[string]any{"taskSpec": "work=500", "jobSteps": []any{map[string]any{"count": 1, "cpu": 2000, "memMb": 1024, "estimateMs": 500}}}
	if err := c.submit(later, short); err != nil {
		return nil, err
	}
	for range finish + 1 {
		time.Sleep(time.Second)
		if _, state := c.state(later); state == "completed" {
			break
		}
	}
	mu.Lock()
	defer mu.Unlock()
	v := &verdict{}
	if !started[later] {
		v.breaks("LOST: for %d s after the end of the traffic an accepted job has had nothing running, with all %d workers sound and empty", finish+1, workers)
	}
	if len(stops) > allowed {
		v.breaks("AVAIL: %d tasks of a step with missAllowed %d were stopped on sound workers that don't drain: %v", len(stops), allowed, stops)
	}
	return v, nil
}
