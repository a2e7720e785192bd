package main

import (
	"fmt"
	"net/http"
	"time"
)

// lastRunBound is how long after its last run a lasting task may be without one, besides idleBound.
const lastRunBound = 6 * time.Second

// labelledJob is the name of the lasting job that beginLabelled hands in.
const labelledJob = "00000000000000aa"

// beginLabelled starts 10 workers, one of them with the label b, and hands in a lasting job of one task for that label. It
// returns the job, its queue and the worker with the label.
func (t *trial) beginLabelled() (*job, route, *worker, error) {
	serve := route{prefix: "/pule252/", priority: 1, maxAttempts: 3, stretch: 2.2, target: 2500}
	if err := t.begin(9, 64_000, 262_144, serve); err != nil {
		return nil, serve, nil, err
	}
	x, err := t.addWorker(nil, 64_000, 262_144, "b")
	if err != nil {
		return nil, serve, nil, err
	}
	time.Sleep(time.Second)
	lasts := &job{id: labelledJob, TaskSpec: "vigia",
		JobSteps: []step{{Count: 1, CPU: 12_000, MemMB: 2048, EstimateMS: 500, LongRunning: true, Image: "vigia-1", Constraints: "b"}}}
	if !t.submit(serve.prefix, lasts) {
		return nil, serve, nil, fmt.Errorf("the job was not accepted")
	}
	err = t.await(10*time.Second, "the task is at work", func() bool { return t.atWork() == 1 })
	time.Sleep(2 * time.Second)
	return lasts, serve, x, err
}

// atWork counts the tasks of lasting steps that are at work. The caller holds the lock.
func (t *trial) atWork() (n int) {
	for _, l := range t.w.lasting {
		if l.atWork {
			n++
		}
	}
	return n
}

// foreignHeartbeat sends one heartbeat of another writer for the worker with the label: fields are missing.
func foreignHeartbeat(t *trial) error {
	lasts, serve, x, err := t.beginLabelled()
	if err != nil {
		return err
	}
	task := labelledJob + ".0.0.0"
	if t.trouble {
		t.w.mu.Lock()
		body := map[string]any{"service": "lomera", "address": x.address, "zone": x.zone, "state": "draining",
			"capacity": map[string]int64{"cpu": x.cpu, "memMb": x.mem}, "seqNo": x.seq + 1, "born": x.bornMS}
		t.w.mu.Unlock()
		to := t.controls()[0]
		status, _ := send(&http.Client{Timeout: time.Second}, http.MethodPut, "http://"+to+"/api/instances/"+x.id, nil, body)
		t.w.note("another writer sends a heartbeat for %s without version, slots, coldLeftMs, labels, machine and clockMs: %d", x.id, status)
	}
	// Heartbeats of the worker itself go on all the while: one each 1.5 s, about 20 of them.
	var idleSince time.Time
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		t.w.mu.Lock()
		switch idle := t.w.running(lasts.id) == 0 && t.w.room(lasts.JobSteps[0]) >= 2 && t.w.underHalf(); {
		case !idle:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = time.Now()
		}
		over := !idleSince.IsZero() && time.Since(idleSince) > lastRunBound+idleBound
		if over {
			t.w.breach("LOST: task %s, which lasts, has had no run for %s, though its worker %s is up, takes orders and is empty", task, lastRunBound+idleBound, x.id)
		}
		t.w.mu.Unlock()
		if over {
			break
		}
	}
	time.Sleep(3 * heartbeatEvery)
	t.state(serve.prefix, lasts.id)
	return nil
}
