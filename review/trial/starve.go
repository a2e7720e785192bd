package main

import (
	"fmt"
	"time"
)

const (
	// finish is the bound finish_s: after it jobs are asked for.
	finish = 14 * time.Second
	// idleBound is how long a job may have nothing running although its turn has come and there is room.
	idleBound = 3 * time.Second
	// watchTime is how long an unfinished job is watched after finish.
	watchTime = 10 * time.Second
)

// checkLost applies the end of LOST to a job of one step that can be done: finish after the end of the traffic it is asked
// for, and it may not have nothing running for idleBound while its turn has come, there is capacity for it twice over, its
// tenant has under half of its cap and under half of the service's capacity is in use.
func (t *trial) checkLost(prefix string, j *job) {
	t.w.note("the traffic has ended")
	time.Sleep(finish)
	state := t.ask(prefix, j.id)
	t.w.mu.Lock()
	switch {
	case state == "":
		t.w.breach("LOST: %s got no answer for %s", j.id, watchTime)
	case state == "410":
		t.w.breach("LOST: %s is not known", j.id)
	case (state == "failed" || state == "cancelled") && j.ends["failed"] == 0:
		t.w.breach("LOST: %s is shown as %s, without an end failed", j.id, state)
	}
	t.w.mu.Unlock()
	if state != "queued" && state != "running" {
		return
	}
	idleSince := time.Now()
	for until := time.Now().Add(watchTime); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		t.w.mu.Lock()
		if t.w.running(j.id) > 0 || t.w.room(j.JobSteps[0]) < int64(2*j.JobSteps[0].Count) || !t.w.underHalf() {
			idleSince = time.Now()
		}
		over := time.Since(idleSince) > idleBound
		if over {
			t.w.breach("LOST: for %s job %s has nothing running while its turn has come; %d tasks fit where it has %d",
				idleBound, j.id, t.w.room(j.JobSteps[0]), j.JobSteps[0].Count)
		}
		t.w.mu.Unlock()
		if over {
			break
		}
	}
	t.state(prefix, j.id)
}

// ask asks for the state of a job until it is told or 410 is answered, for watchTime; then it returns an empty string.
func (t *trial) ask(prefix, id string) string {
	for until := time.Now().Add(watchTime); time.Now().Before(until); time.Sleep(300 * time.Millisecond) {
		switch state := t.state(prefix, id); state {
		case "queued", "running", "completed", "failed", "cancelled", "410":
			return state
		}
	}
	return ""
}

// gangAfterCrash hands in a gang of 40 tasks of 30 cores, of which two fit on each of 48 workers. The worker of one
// member crashes while the gang works, and comes back.
func gangAfterCrash(t *trial) error {
	const members, cpu = 40, 30_000
	queue := route{prefix: "/pufi791/", priority: 2, maxAttempts: 3, stretch: 2.2, target: 1200,
		advice: map[string]any{"decisionMs": 430.0, "perWorkerMs": 6.1, "validMs": 2000}}
	if err := t.begin(48, 64_000, 262_144, queue); err != nil {
		return err
	}
	j := &job{id: "5c0e7a21d94b36f8", TaskSpec: "catalogo", advice: true, work: 4800 * time.Millisecond,
		JobSteps: []step{{Count: members, CPU: cpu, MemMB: 2048, EstimateMS: 4800, Gang: true}}}
	if !t.submit(queue.prefix, j) {
		return fmt.Errorf("the job was not accepted")
	}
	first := j.id + ".0.0.0"
	if err := t.await(20*time.Second, "the gang works", func() bool { return !t.w.gangOf(first, 1).begunAt.IsZero() }); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if t.trouble {
		t.w.mu.Lock()
		x := t.workerOf(first)
		t.w.mu.Unlock()
		if x == nil {
			return fmt.Errorf("the gang does not run any more")
		}
		x.crash("srv_crash")
		time.Sleep(4 * time.Second)
		for _, m := range t.cloud.machines {
			if m.worker == x {
				if _, err := t.addWorker(m, 0, 0); err != nil {
					return err
				}
			}
		}
	}
	t.checkLost(queue.prefix, j)
	return nil
}

// fillerAfterLoss hands in a job that lasts, with a task that serves on each of 7 of the 8 workers, and a task that
// fills. The worker without a serving task is lost for good while the other one works there.
func fillerAfterLoss(t *trial) error {
	serve := route{prefix: "/pule252/", priority: 1, maxAttempts: 3, stretch: 2.2, target: 2500}
	batch := route{prefix: "/pufi791/", priority: 2, maxAttempts: 3, stretch: 2.2, target: 1200}
	if err := t.begin(8, 64_000, 262_144, serve, batch); err != nil {
		return err
	}
	lasts := &job{id: "00000000000000aa", TaskSpec: "vigia", JobSteps: []step{{Count: 7, CPU: 4000, MemMB: 2048, EstimateMS: 500, AntiAffinity: 1, LongRunning: true,
		Image: "vigia-1", TargetMS: 100}}}
	if !t.submit(serve.prefix, lasts) {
		return fmt.Errorf("the job was not accepted")
	}
	if err := t.await(10*time.Second, "all tasks serve", func() bool { return t.w.running(lasts.id) == 7 }); err != nil {
		return err
	}
	fills := &job{id: "00000000000000bb", TaskSpec: "catalogo", work: 6 * time.Second,
		JobSteps: []step{{Count: 1, CPU: 2000, MemMB: 1024, EstimateMS: 6000, Image: "catalogo-1", Fills: true}}}
	if !t.submit(batch.prefix, fills) {
		return fmt.Errorf("the job was not accepted")
	}
	task := fills.id + ".0.0.0"
	if err := t.await(10*time.Second, "the task that fills works", func() bool { return t.workerOf(task) != nil }); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if t.trouble {
		t.w.mu.Lock()
		x := t.workerOf(task)
		t.w.mu.Unlock()
		if x == nil {
			return fmt.Errorf("the task does not run any more")
		}
		x.crash("srv_crash, gone for good")
	}
	t.checkLost(batch.prefix, fills)
	return nil
}
