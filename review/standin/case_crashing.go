package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// crashGap is the time between two crashes, crashTime how long an upstream is down, crashSpan how long they go on.
	crashGap  = 3 * time.Second
	crashTime = 2 * time.Second
	crashSpan = 75 * time.Second
	// watchTasks is the number of tasks of the job that lasts.
	watchTasks = 32
)

// crashingUpstreams: upstreams drawn by lot crash one after the other and come back, while a job of tasks that last runs.
// Rule LOST: the job is shown as failed without cause; only ends failed count as attempts.
func crashingUpstreams(c *cell, trouble bool) ([]string, error) {
	const key = "6x73d3zji9n73hh2b9wu"
	if err := c.form(key); err != nil {
		return nil, err
	}
	id := newJobID()
	if _, err := c.submit(0, key, id, jobBody(lasting, step{Count: watchTasks, CPU: 12000, MemMB: 20000, LongRunning: true})); err != nil {
		return nil, err
	}
	if _, err := c.awaitState(key, id, 10*time.Second, "running"); err != nil {
		return nil, err
	}
	for began := time.Now(); time.Since(began) < crashSpan; {
		if trouble {
			if err := c.crashOne(rand.IntN(upstreamCount)); err != nil {
				return nil, err
			}
		}
		time.Sleep(crashGap - crashTime)
		if a := c.callJob(http.MethodGet, 0, key, id, nil); strings.Contains(a.body, `"failed"`) {
			break
		}
	}
	events, err := c.rec.events()
	return failedWithoutCause(events, id), err
}

// crashOne crashes an upstream; it is back under its identity after crashTime.
func (c *cell) crashOne(i int) error {
	c.signal(c.upstreams[i], syscall.SIGKILL, "crashed")
	time.Sleep(crashTime)
	return c.startUpstream(i)
}

// failedWithoutCause returns whether a job was shown as failed although no upstream listed an end failed of its tasks.
func failedWithoutCause(events []event, id string) []string {
	var out []string
	failures, starts := 0, 0
	for _, e := range events {
		switch {
		case e.What == "end" && e.How == "failed":
			failures++
		case e.What == "start":
			starts++
		case e.What == "answer to GET" && e.Job == id && strings.Contains(e.Body, `"failed"`) && failures == 0 && len(out) == 0:
			out = append(out, fmt.Sprintf("LOST: job %s, which lasts until it is cancelled, is shown as failed after %d starts of its tasks and no end failed", id, starts))
		}
	}
	return out
}
