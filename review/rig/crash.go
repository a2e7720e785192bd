package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["crash"] = crashCase }

// crashCase crashes, one after the other, the workers on which a task that lasts runs.
func crashCase(c *cell, trouble bool) (*verdict, error) {
	const (
		workers = 8
		job     = "5c0e7a21d94b36f8"
		crashes = 4
	)
	var mu sync.Mutex
	at, ended := "", 0
	seen := func(worker string, _ int64, what, _ string, _ int, more string) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case what == "start":
			at = worker
		case what == "end" && more == "failed":
			ended++
		}
	}
	where := func() string {
		mu.Lock()
		defer mu.Unlock()
		return at
	}
	if err := c.startSystem(); err != nil {
		return nil, err
	}
	if err := c.configure(); err != nil {
		return nil, err
	}
	byName := make(map[string]*process)
	for n := range workers {
		p, err := c.startWorker(n, seen)
		if err != nil {
			return nil, err
		}
		byName[p.name] = p
	}
	time.Sleep(3 * time.Second)
	spec := map[string]any{"taskSpec": "work=0", "jobSteps": []any{map[string]any{"count": 1, "cpu": 2000, "memMb": 1024, "estimateMs": 500, "longRunning": true}}}
	if err := c.submit(job, spec); err != nil {
		return nil, err
	}
	v := &verdict{}
	shown := func(until time.Time) {
		for ; time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
			status, state := c.state(job)
			if status == http.StatusOK && state == "failed" {
				mu.Lock()
				v.breaks("LOST: the job, which nobody cancelled and whose task lasts, is shown as failed after %d ends \"failed\"", ended)
				mu.Unlock()
				return
			}
		}
	}
	for range crashes {
		shown(time.Now().Add(4 * time.Second))
		victim := byName[where()]
		if len(v.broken) > 0 || victim == nil {
			break
		}
		if !trouble {
			continue
		}
		mu.Lock()
		at = ""
		mu.Unlock()
		c.record.add("%s crashes", victim.name)
		victim.kill()
		time.Sleep(3 * time.Second)
		c.record.add("%s starts again", victim.name)
		if err := c.launch(victim); err != nil {
			return nil, err
		}
		for until := time.Now().Add(10 * time.Second); where() == "" && time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
			if _, state := c.state(job); state == "failed" {
				break
			}
		}
	}
	if len(v.broken) == 0 {
		shown(time.Now().Add(8 * time.Second))
	}
	return v, nil
}
