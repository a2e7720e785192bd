package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// crasher crashes each upstream that starts the task.
type crasher struct {
	h    *harness
	task pipeline.TaskKey
	// down is how long an upstream is silent after a crash, newIDs whether it returns under a new identity.
	down   time.Duration
	newIDs bool
	// crashed counts the crashes under the task.
	crashed int
	back    map[string]time.Duration
}

// run advances virtual time. afterCrash, if set, is called after each crash.
func (c *crasher) run(d time.Duration, afterCrash func()) {
	if c.back == nil {
		c.back = make(map[string]time.Duration)
	}
	for end := c.h.now + d; c.h.now < end; {
		c.h.run(tickStep)
		for id, f := range c.h.upstreams {
			if !f.runs(c.task) {
				continue
			}
			f.crash()
			f.partitioned = true
			c.crashed++
			c.back[id] = c.h.now + c.down
			if afterCrash != nil {
				afterCrash()
			}
		}
		c.restart()
	}
}

// restart brings back the upstreams that have been down for long enough.
func (c *crasher) restart() {
	for id, at := range c.back {
		if c.h.now < at {
			continue
		}
		delete(c.back, id)
		f := c.h.upstreams[id]
		f.partitioned = false
		if c.newIDs {
			f.address = f.describe(id).GetAddress()
			delete(c.h.upstreams, id)
			id = fmt.Sprintf("%s-%d", f.address, f.born)
			c.h.upstreams[id] = f
		}
		c.h.sendHeartbeat(id)
	}
}

// runs reports whether a run of the task is on the upstream.
func (f *fakeUpstream) runs(task pipeline.TaskKey) bool {
	for key := range f.running {
		if key.TaskKey == task {
			return true
		}
	}
	return false
}

// A task under which upstreams crash is started at most twice after the third crash, however the upstreams
// return, and its job fails. Its neighbours complete.
func TestTaskThatCrashesItsUpstreamsIsGivenUp(t *testing.T) {
	gang, lasting, copies := oneStep(3, 1000), oneStep(2, 1000), oneStep(3, 1000)
	gang.Gang, lasting.Lasting, copies.Copies = true, true, true
	steps := map[string]*pipelinev1.Step{"plain": oneStep(3, 1000), "gang": gang, "lasting": lasting, "copies": copies}
	crashers := map[string]crasher{
		"back under its identity":           {down: 3 * time.Second},
		"back under a new identity":         {down: 3 * time.Second, newIDs: true},
		"back after its lease":              {down: 8 * time.Second},
		"back as another, after its lease":  {down: 8 * time.Second, newIDs: true},
		"back after the lease of many runs": {down: 25 * time.Second},
	}
	for step, spec := range steps {
		for way, c := range crashers {
			for _, leaders := range []string{"one leader", "many leaders"} {
				t.Run(step+"/"+way+"/"+leaders, func(t *testing.T) {
					c.h = newHarness(t, "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8")
					c.task = pipeline.TaskKey{Job: jobID(1)}
					c.h.submit(jobID(1), spec)
					c.h.submit(jobID(2), oneStep(12, 1000))
					c.run(100*time.Second, func() {
						if leaders == "many leaders" {
							c.h.newLeader()
						}
					})
					if c.crashed > 5 {
						t.Errorf("%d upstreams crashed under the task", c.crashed)
					}
					if got := c.h.jobState(jobID(1)); got != pipeline.Failed {
						t.Errorf("job of the task: %s", got)
					}
					if got := c.h.jobState(jobID(2)); got != pipeline.Completed {
						t.Errorf("neighbour: %s", got)
					}
				})
			}
		}
	}
}
