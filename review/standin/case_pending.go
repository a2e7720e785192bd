package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// pendingAfter is how long after its acceptance a job that has not begun must be counted: visible_ms and 2 s.
	pendingAfter = 5 * time.Second
	// pendingAsked is how long the count is asked for.
	pendingAsked = 12 * time.Second
)

// pendingJobs: the only upstream with a label is lost for good while it is idle, and then a job that needs the label is
// handed in. Rule MIXED: the number of pending jobs is given as under half of those that were accepted over pendingAfter
// before and haven't begun.
func pendingJobs(c *cell, trouble bool) ([]string, error) {
	const key = "6x73d3zji9n73hh2b9wu"
	if err := c.form(key); err != nil {
		return nil, err
	}
	if trouble {
		c.signal(c.upstreams[0], syscall.SIGKILL, "lost for good")
	}
	if _, err := c.submit(0, key, newJobID(), jobBody("60s", step{Count: 2, CPU: 1000, MemMB: 1000, EstimateMS: 60000, Constraints: "a"})); err != nil {
		return nil, err
	}
	for began, n := time.Now(), 0; time.Since(began) < pendingAsked; n++ {
		c.callJob(http.MethodGet, n, key, "", nil)
		time.Sleep(500 * time.Millisecond)
	}
	events, err := c.rec.events()
	return tooFewPending(events), err
}

// tooFewPending returns the answers that gave too few pending jobs.
func tooFewPending(events []event) []string {
	accepted, begun := make(map[string]int64), make(map[string]int64)
	for _, e := range events {
		switch {
		case e.What == "answer to POST" && e.Status/100 == 2:
			accepted[e.Job] = e.At
		case e.What == "start" && begun[e.Task[:16]] == 0:
			begun[e.Task[:16]] = e.At
		}
	}
	var out []string
	asked := int64(0)
	for _, e := range events {
		if e.What == "sends GET" && e.Job == "" {
			asked = e.At
		}
		var reply struct{ Pending *int }
		if e.What != "answer to GET" || e.Job != "" || json.Unmarshal([]byte(e.Body), &reply) != nil || reply.Pending == nil {
			continue
		}
		waiting := 0
		for job, at := range accepted {
			if at+pendingAfter.Milliseconds() < asked && (begun[job] == 0 || begun[job] > e.At) {
				waiting++
			}
		}
		if 2**reply.Pending < waiting {
			out = append(out, fmt.Sprintf("MIXED: pending was given as %d while %d jobs that were accepted over 5 s before had not begun", *reply.Pending, waiting))
		}
	}
	return out
}
