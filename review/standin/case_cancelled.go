package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// leaverShare is the share of the callers that leave before they have an answer, in each of leaverSpans spans of
	// spanTime, with a pause between two.
	leaverShare = 0.25
	leaverSpans = 10
	spanTime    = 5 * time.Second
	spanPause   = 2 * time.Second
	// jobGap is the time between two jobs.
	jobGap = 25 * time.Millisecond
	// longestStay is how long a caller that leaves stays at most.
	longestStay = 4 * time.Millisecond
)

// cancelledJob: callers hand in jobs of a task that lasts, a share of them leaves before the answer, and cancels. Rule
// UNASKED: a task of a job runs on cancelTime and stopTime after its cancelling was acknowledged.
func cancelledJob(c *cell, trouble bool) ([]string, error) {
	const key = "6x73d3zji9n73hh2b9wu"
	if err := c.form(key); err != nil {
		return nil, err
	}
	var callers sync.WaitGroup
	for span := range leaverSpans {
		for n, until := 0, time.Now().Add(spanTime); time.Now().Before(until); n++ {
			callers.Go(func() { c.submitAndCancel(key, n+span, trouble && rand.Float64() < leaverShare) })
			time.Sleep(jobGap)
		}
		time.Sleep(spanPause)
	}
	callers.Wait()
	time.Sleep(10 * time.Second)
	events, err := c.rec.events()
	return runsAfterCancel(events, time.Now().UnixMilli()), err
}

// submitAndCancel hands a job in and cancels it. A caller that leaves does so within longestStay, without the answer.
func (c *cell) submitAndCancel(key string, n int, leaves bool) {
	id := newJobID()
	body := jobBody(lasting, step{Count: 1, CPU: 100, MemMB: 100, LongRunning: true})
	if leaves {
		ctx, cancel := context.WithTimeout(context.Background(), longestStay/10+time.Duration(rand.Int64N(int64(longestStay*9/10))))
		c.request(ctx, "caller that leaves", http.MethodPost, c.fronts()[n%entryCount]+prefix+id, key, id, body)
		cancel()
	} else {
		if _, err := c.submit(n, key, id, body); err != nil {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	for k := range 10 {
		a := c.callJob(http.MethodDelete, n+1+k, key, id, nil)
		if a.clear() && a.status != http.StatusServiceUnavailable {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// runsAfterCancel returns the runs that went on longer than allowed after their job's cancelling was acknowledged with a
// 2xx, up to the time now.
func runsAfterCancel(events []event, now int64) []string {
	cancelled := make(map[string]int64)
	ends := make(map[string]int64)
	for _, e := range events {
		switch {
		case e.What == "answer to DELETE" && e.Status/100 == 2 && cancelled[e.Job] == 0:
			cancelled[e.Job] = e.At
		case e.What == "end":
			ends[key(e.Task, e.Run)] = e.At
		}
	}
	var out []string
	for _, e := range events {
		if e.What != "start" {
			continue
		}
		at, known := cancelled[e.Task[:16]]
		end := ends[key(e.Task, e.Run)]
		if end == 0 {
			end = now
		}
		if known && end > at+(cancelTime+stopTime).Milliseconds() {
			out = append(out, fmt.Sprintf("UNASKED: task %s ran on %s until %d ms after the cancelling of its job was acknowledged", e.Task, e.Who, end-at))
		}
	}
	return out
}
