package main

import (
	"fmt"
	"net/http"
	"time"
)

// lastRunBound is how long after its last run a lasting task may be without one, besides idleBound.
const lastRunBound = 6 * time.Second

// labelledTask is the task of the lasting job that beginLabelled hands in.
const labelledTask = "00000000000000aa.0.0.0"

// beginLabelled starts 10 workers, of which one has the label b, and hands in a lasting job of one task for that label.
// It returns the job, its queue and the machine with the label.
func (t *trial) beginLabelled() (*job, route, *machine, error) {
	serve := route{prefix: "/pule252/", priority: 1, maxAttempts: 3, stretch: 2.2, target: 2500}
	if err := t.begin(9, 64_000, 262_144, serve); err != nil {
		return nil, serve, nil, err
	}
	m := &machine{name: "m-b", done: make(map[int64]bool)}
	t.w.mu.Lock()
	t.cloud.machines = append(t.cloud.machines, m)
	m.worker = &worker{zone: zones[0], rack: "r0-1", ip: t.net + ".60", cpu: 64_000, mem: 262_144, labels: []string{"b"}}
	t.w.mu.Unlock()
	if _, err := t.addWorker(m, 0, 0); err != nil {
		return nil, serve, nil, err
	}
	time.Sleep(time.Second)
	lasts := &job{id: "00000000000000aa", TaskSpec: "vigia",
		JobSteps: []step{{Count: 1, CPU: 12_000, MemMB: 2048, EstimateMS: 500, LongRunning: true, Image: "vigia-1", Constraints: "b"}}}
	if !t.submit(serve.prefix, lasts) {
		return nil, serve, nil, fmt.Errorf("the job was not accepted")
	}
	err := t.await(10*time.Second, "the task is at work", func() bool { return t.w.lasting[labelledTask] != nil && t.w.lasting[labelledTask].atWork })
	time.Sleep(2 * time.Second)
	return lasts, serve, m, err
}

// flapTime and flapPeriod are for_s and gap_s of srv_flap in the site lomos-uy-grown.
const (
	flapTime   = 6500 * time.Millisecond
	flapPeriod = 1400 * time.Millisecond
)

// crashingWorker lets the worker with the label go down and up, with a period of 1.4 s, for 6.5 s.
func crashingWorker(t *trial) error {
	lasts, serve, m, err := t.beginLabelled()
	if err != nil {
		return err
	}
	if t.trouble {
		for until := time.Now().Add(flapTime); time.Now().Before(until); {
			m.worker.crash("srv_flap")
			time.Sleep(flapPeriod / 2)
			if _, err = t.addWorker(m, 0, 0); err != nil {
				return err
			}
			time.Sleep(flapPeriod / 2)
		}
	}
	t.w.note("the worker is up for good")
	time.Sleep(10 * time.Second)
	state := t.state(serve.prefix, lasts.id)
	t.w.mu.Lock()
	defer t.w.mu.Unlock()
	if state == "failed" && lasts.ends["failed"] == 0 {
		t.w.breach("LOST: the job is shown as failed, and none of its %d runs ended as failed", lasts.starts)
	}
	return nil
}

// foreignHeartbeat sends one heartbeat of another writer for the worker with the label: fields are missing.
func foreignHeartbeat(t *trial) error {
	lasts, serve, m, err := t.beginLabelled()
	if err != nil {
		return err
	}
	if t.trouble {
		t.w.mu.Lock()
		x := m.worker
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
		used, total := t.w.use()
		switch idle := t.w.running(lasts.id) == 0 && 2*used < total; {
		case !idle:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = time.Now()
		}
		over := !idleSince.IsZero() && time.Since(idleSince) > lastRunBound+idleBound
		if over {
			t.w.breach("LOST: task %s, which lasts, has had no run for %s, though its worker %s is up, takes orders and is empty", labelledTask, lastRunBound+idleBound, m.worker.id)
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
