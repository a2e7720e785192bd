package main

import (
	"fmt"
	"net/http"
	"time"
)

// startWave asks for a wave of upkeep on some machines until it is acknowledged.
func (t *trial) startWave(wave int64, cap int, duration time.Duration, machines ...*machine) error {
	t.w.mu.Lock()
	t.cloud.waves[wave], t.cloud.caps[wave] = make(map[string]bool), cap
	var names []string
	for _, m := range machines {
		t.cloud.waves[wave][m.name] = true
		names = append(names, m.name)
	}
	t.w.mu.Unlock()
	client := &http.Client{Timeout: time.Second}
	for i := range 10 {
		to := t.controls()[i%replicas]
		status, _ := send(client, http.MethodPost, "http://"+to+"/api/wave-start", nil, map[string]any{"wave": wave, "machines": names, "durationS": duration.Seconds(), "cap": cap})
		t.w.note("wave %d of %v, cap %d, at %s: %d", wave, names, cap, to, status)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("the wave was not accepted")
}

// awaitWave waits until the upkeep of all machines of a wave has begun and ended, or a rule was broken.
func (t *trial) awaitWave(wave int64, timeout time.Duration) error {
	return t.await(timeout, "the wave is done", func() bool {
		if len(t.w.broken) > 0 {
			return true
		}
		for _, m := range t.cloud.machines {
			if t.cloud.waves[wave][m.name] && (!m.done[wave] || m.state != "up") {
				return false
			}
		}
		return true
	})
}

// foreignEntry asks for a wave on 3 of 8 machines, one at once. The list of machines has an entry of another writer
// for the first of them, whose fields are missing but for the machine and its state.
func foreignEntry(t *trial) error {
	batch := route{prefix: "/pufi791/", priority: 2, maxAttempts: 3, stretch: 2.2, target: 1200}
	if err := t.begin(8, 64_000, 262_144, batch); err != nil {
		return err
	}
	first := t.cloud.machines[:3]
	if t.trouble {
		t.w.mu.Lock()
		t.cloud.foreign = []map[string]any{{"machine": first[0].name, "state": "up"}}
		t.w.note("the list has an entry of another writer: %v", t.cloud.foreign[0])
		t.w.mu.Unlock()
	}
	if err := t.startWave(1, 1, 30*time.Second, first...); err != nil {
		return err
	}
	return t.awaitWave(1, 40*time.Second)
}

// slowStartup asks for a wave on 2 of 6 machines, two at once. A lasting step has a task on 5 of the 6 workers and
// allows one to miss. The worker that is free is slow for 7 s.
func slowStartup(t *trial) error {
	serve := route{prefix: "/pule252/", priority: 1, maxAttempts: 3, stretch: 2.2, target: 2500}
	if err := t.begin(6, 64_000, 262_144, serve); err != nil {
		return err
	}
	lasts := &job{id: "00000000000000aa", TaskSpec: "vigia", JobSteps: []step{{Count: 5, CPU: 12_000, MemMB: 2048, EstimateMS: 500, AntiAffinity: 1, LongRunning: true,
		Image: "vigia-1", MissAllowed: 1}}}
	if !t.submit(serve.prefix, lasts) {
		return fmt.Errorf("the job was not accepted")
	}
	if err := t.await(10*time.Second, "all tasks are at work", func() bool { return t.atWork() == 5 }); err != nil {
		return err
	}
	// Others are at work for longer than noticeMs before the wave.
	time.Sleep(notice + time.Second)
	var free *worker
	var used []*machine
	t.w.mu.Lock()
	for _, m := range t.cloud.machines {
		if len(m.worker.runs) == 0 {
			free = m.worker
		} else {
			used = append(used, m)
		}
	}
	if t.trouble && free != nil {
		free.slow = 6.5
		t.w.note("worker %s turns slow: all takes 6.5 times as long", free.id)
		time.AfterFunc(7*time.Second, func() {
			t.w.mu.Lock()
			defer t.w.mu.Unlock()
			free.slow = 1
			t.w.note("worker %s is of usual speed again", free.id)
		})
	}
	t.w.mu.Unlock()
	if free == nil || len(used) != 5 {
		return fmt.Errorf("the tasks are not on 5 workers")
	}
	if err := t.startWave(1, 2, 30*time.Second, used[:2]...); err != nil {
		return err
	}
	return t.awaitWave(1, 40*time.Second)
}
