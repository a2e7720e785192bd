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

// beginLabelled starts workers, some of them with the label b, and hands in a lasting job for that label, with one task
// on each of them. It returns the job, its queue and the machines with the label.
func (t *trial) beginLabelled(others, labelled, missAllowed int) (*job, route, []*machine, error) {
	serve := route{prefix: "/pule252/", priority: 1, maxAttempts: 3, stretch: 2.2, target: 2500}
	if err := t.begin(others, 64_000, 262_144, serve); err != nil {
		return nil, serve, nil, err
	}
	for range labelled {
		if _, err := t.addWorker(nil, 64_000, 262_144, "b"); err != nil {
			return nil, serve, nil, err
		}
	}
	time.Sleep(time.Second)
	lasts := &job{id: labelledJob, TaskSpec: "vigia", JobSteps: []step{{Count: labelled, CPU: 12_000, MemMB: 2048, EstimateMS: 500, LongRunning: true,
		Image: "vigia-1", Constraints: "b", AntiAffinity: 1, MissAllowed: missAllowed}}}
	if !t.submit(serve.prefix, lasts) {
		return nil, serve, nil, fmt.Errorf("the job was not accepted")
	}
	err := t.await(10*time.Second, "all tasks are at work", func() bool { return t.atWork() == labelled })
	// From here on no task was away within noticeMs.
	time.Sleep(t.w.notice + time.Second)
	return lasts, serve, t.cloud.machines[others:], err
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

// flapTime and flapPeriod are for_s and gap_s of srv_flap in the site lomos-uy-grown.
const (
	flapTime   = 6500 * time.Millisecond
	flapPeriod = 1400 * time.Millisecond
)

// crashingWorker lets one of 6 workers with the label, of 18 workers in all, go down and up, with a period of 1.4 s, for
// 6.5 s. A lasting step has a task on each of the 6 and allows one to miss.
func crashingWorker(t *trial) error {
	t.w.notice = grownNotice
	lasts, serve, labelled, err := t.beginLabelled(12, 6, 1)
	if err != nil {
		return err
	}
	if t.trouble {
		m := labelled[0]
		for until := time.Now().Add(flapTime); time.Now().Before(until); {
			m.worker.crash("srv_flap")
			time.Sleep(flapPeriod / 2)
			if _, err = t.addWorker(m, 0, 0); err != nil {
				return err
			}
			time.Sleep(flapPeriod / 2)
		}
	}
	t.w.note("all workers are up for good")
	time.Sleep(15 * time.Second)
	state := t.state(serve.prefix, lasts.id)
	t.w.mu.Lock()
	defer t.w.mu.Unlock()
	if state == "failed" && lasts.ends["failed"] == 0 {
		t.w.breach("LOST: the job is shown as failed, and none of its %d runs ended as failed; %d of its tasks are at work", lasts.starts, t.atWork())
	}
	return nil
}

// foreignHeartbeat sends one heartbeat of another writer for the worker with the label: fields are missing.
func foreignHeartbeat(t *trial) error {
	lasts, serve, labelled, err := t.beginLabelled(9, 1, 0)
	if err != nil {
		return err
	}
	m, task := labelled[0], labelledJob+".0.0.0"
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
			t.w.breach("LOST: task %s, which lasts, has had no run for %s, though its worker %s is up, takes orders and is empty", task, lastRunBound+idleBound, m.worker.id)
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
