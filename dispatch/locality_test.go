package dispatch

import (
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// setRacks assigns upstreams to racks and sends their heartbeats.
func (h *harness) setRacks(of map[string]string) {
	for id, rack := range of {
		h.upstreams[id].rack = rack
		h.sendHeartbeat(id)
	}
}

// ranOn returns the number of a job's tasks that ran on each upstream.
func (h *harness) ranOn(job string) map[string]int {
	out := make(map[string]int)
	for id, f := range h.upstreams {
		for key := range f.history {
			if key.Job == job {
				out[id]++
			}
		}
	}
	return out
}

// Tasks run on the rack of their data, although upstreams on another rack have more capacity and
// are included in the permit question.
func TestTasksRunNearTheirData(t *testing.T) {
	h := newHarness(t, "a1", "b1", "z1")
	h.setRacks(map[string]string{"a1": "r2", "b1": "r2", "z1": "r1"})
	withPermits(h, 20, 0.3).pollAs("entry-1", tickStep)
	h.submit(jobID(1), oneStep(2, 1000))
	h.run(tickStep)
	near := oneStep(2, 1000)
	near.DataRack = "r1"
	h.submit(jobID(2), near)
	h.run(3 * time.Second)
	if got := h.ranOn(jobID(2)); got["z1"] != 2 {
		t.Errorf("tasks with data on r1 ran on %v", got)
	}
	h.check()
}

// If no upstream on the rack of the data may run the step, it runs on another rack.
func TestTasksRunFarWhereNothingNearIsAllowed(t *testing.T) {
	h := newHarness(t, "a1", "b1")
	h.setRacks(map[string]string{"a1": "r1", "b1": "r2"})
	c := withPermits(h, 20, 0.3)
	c.denied["a1"] = true
	c.pollAs("entry-1", tickStep)
	near := oneStep(2, 1000)
	near.DataRack = "r1"
	h.submit(jobID(1), near)
	h.run(3 * time.Second)
	if got := h.jobState(jobID(1)); got != pipeline.Completed {
		t.Errorf("state %s", got)
	}
}

// Tasks of a co-located step run on one rack.
func TestTasksThatBelongTogetherShareARack(t *testing.T) {
	h := newHarness(t, "a1", "b1", "b2")
	h.setRacks(map[string]string{"a1": "r1", "b1": "r2", "b2": "r2"})
	withPermits(h, 20, 0.3).pollAs("entry-1", tickStep)
	step := oneStep(6, 1000)
	step.CoLocated = true
	h.submit(jobID(1), step)
	h.run(3 * time.Second)
	if got := h.ranOn(jobID(1)); got["a1"] != 0 || got["b1"]+got["b2"] != 6 {
		t.Errorf("six tasks that belong together ran on %v", got)
	}
	h.check()
}

// The permits of an occurrence are requested before it is due, so that it starts on time.
func TestOccurrenceStartsWhenItIsDue(t *testing.T) {
	h := newHarness(t, "w1")
	withPermits(h, 420, 6).pollAs("entry-1", 8*tickStep)
	due := h.wall() + int64(3*time.Second)
	h.submitSpec(jobID(1), &pipelinev1.JobSpec{RepeatCount: 1, StartAtMs: due / int64(time.Millisecond), PeriodMs: 1000,
		Steps: []*pipelinev1.Step{oneStep(1, 500)}})
	h.run(3*time.Second - tickStep)
	if h.upstreams["w1"].starts != 0 {
		t.Fatal("the occurrence has started before it was due")
	}
	h.run(3 * tickStep)
	if h.upstreams["w1"].starts != 1 {
		t.Error("the occurrence has not started when it was due")
	}
}
