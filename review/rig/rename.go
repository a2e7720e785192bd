package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["rename"] = renameCase }

// renameCase changes the configuration while a job runs: the new version removes the queue's route and adds one with another
// name at the same host and path. Without the trouble it changes the route's timeout.
func renameCase(c *cell, trouble bool) (*verdict, error) {
	const (
		workers = 6
		job     = "5c0e7a21d94b36f8"
		visible = 3 * time.Second
		cancel  = 3 * time.Second
	)
	var mu sync.Mutex
	running := 0
	seen := func(_ string, _ int64, what, _ string, _ int, _ string) {
		mu.Lock()
		defer mu.Unlock()
		switch what {
		case "start":
			running++
		case "end":
			running--
		}
	}
	if err := c.startSystem(); err != nil {
		return nil, err
	}
	if err := c.configure(); err != nil {
		return nil, err
	}
	for n := range workers {
		if _, err := c.startWorker(n, seen); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	spec := map[string]any{"taskSpec": "work=0", "jobSteps": []any{map[string]any{"count": 2, "cpu": 2000, "memMb": 1024, "estimateMs": 500, "longRunning": true}}}
	if err := c.submit(job, spec); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	next := config(9)
	route := next["routes"].([]any)[0].(map[string]any)
	if trouble {
		route["name"] = "r-v3nax7u"
	} else {
		route["timeoutMs"] = 2900
	}
	if status, _ := c.do(http.MethodPut, c.controls()[0], "/api/config", "", "", next); status != http.StatusOK {
		return nil, fmt.Errorf("the new configuration was not accepted")
	}
	time.Sleep(visible + time.Second)
	v := &verdict{}
	for range 5 {
		if status, _ := c.state(job); status == http.StatusGone {
			v.breaks("LOST: a GET for an accepted job that nobody has cancelled is answered 410")
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	status, _ := c.do(http.MethodDelete, c.address(21, "front"), prefix+job, host, apiKey, nil)
	time.Sleep(cancel + stopMS*time.Millisecond + time.Second)
	mu.Lock()
	defer mu.Unlock()
	if (status/100 == 2 || status == http.StatusGone) && running > 0 {
		v.breaks("UNASKED: %d tasks of the job run on, over 4 s after its cancelling was acknowledged with %d", running, status)
	}
	return v, nil
}
