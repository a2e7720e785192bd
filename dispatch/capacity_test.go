package dispatch

import (
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// beatWithCapacity sends a heartbeat that reports some cores.
func (h *harness) beatWithCapacity(id string, cores, sequence int64) {
	u := h.upstreams[id].describe(id)
	u.Capacity.MilliCores = cores * 1000
	h.call(&pipelinev1.Call{Call: &pipelinev1.Call_Heartbeat{Heartbeat: &pipelinev1.HeartbeatCall{Upstream: u, Sequence: sequence}}})
}

// runChecked advances virtual time and fails the test if an upstream starts a run while it then has more than
// the given number.
func (h *harness) runChecked(d time.Duration, id string, most int) {
	h.t.Helper()
	f := h.upstreams[id]
	for end := h.now + d; h.now < end; {
		before := f.starts
		h.run(tickStep)
		if f.starts > before && len(f.running) > most {
			h.t.Errorf("%v: a start brings %s to %d runs of %d", h.now, id, len(f.running), most)
		}
	}
}

// reaches reports whether an upstream has a number of runs at some time within two seconds.
func (h *harness) reaches(id string, runs int) bool {
	for end := h.now + 2*time.Second; h.now < end && len(h.upstreams[id].running) < runs; {
		h.run(tickStep)
	}
	return len(h.upstreams[id].running) >= runs
}

// A capacity that shrinks while tasks run counts for the next start, under a new leader as well, and one that
// grows again is used.
func TestStartIntoACapacityThatHasShrunk(t *testing.T) {
	gang := oneStep(3, 1000)
	gang.Gang = true
	for name, st := range map[string]*pipelinev1.Step{"tasks": oneStep(12, 1000), "gang": gang} {
		for _, leaders := range []string{"one leader", "new leader"} {
			t.Run(name+"/"+leaders, func(t *testing.T) {
				h := newHarness(t, "w1")
				h.beatWithCapacity("w1", 4, 1)
				h.submit(jobID(1), oneStep(30, 1000))
				h.run(300 * time.Millisecond)
				h.submit(jobID(2), st)
				h.beatWithCapacity("w1", 2, 2)
				if leaders == "new leader" {
					h.newLeader()
				}
				h.runChecked(8*time.Second, "w1", 2)
				if name == "gang" && h.jobState(jobID(2)) != pipeline.Queued {
					t.Errorf("gang of three on two cores: %s", h.jobState(jobID(2)))
				}
				h.beatWithCapacity("w1", 4, 3)
				if !h.reaches("w1", 3) {
					t.Error("the capacity that has grown again is not used")
				}
				h.run(30 * time.Second)
				for n := 1; n <= 2; n++ {
					if got := h.jobState(jobID(n)); got != pipeline.Completed {
						t.Errorf("job %d: %s", n, got)
					}
				}
				h.check()
			})
		}
	}
}

// A run that was committed before the capacity shrank is not ordered after it.
func TestCommittedRunIsOrderedIntoACapacityThatHasShrunk(t *testing.T) {
	h := newHarness(t, "w1")
	h.confirms = false
	h.run(confirmValidity)
	h.state.Apply(h.wall(), submitCommand(jobID(1)))
	h.state.Apply(h.wall(), submitCommand(jobID(2)))
	h.run(tickStep)
	if n := h.upstreams["w1"].starts; n > 0 || h.state.Used("montevideo").MilliCores != 2000 {
		t.Fatalf("%d starts, %v placed; expected orders that wait", n, h.state.Used("montevideo"))
	}
	h.beatWithCapacity("w1", 1, 1)
	h.confirms = true
	h.runChecked(800*time.Millisecond, "w1", 1)
	h.beatWithCapacity("w1", 4, 2)
	h.run(10 * time.Second)
	for n := 1; n <= 2; n++ {
		if got := h.jobState(jobID(n)); got != pipeline.Completed {
			t.Errorf("job %d: %s", n, got)
		}
	}
	h.check()
}

// A delayed heartbeat does not undo a capacity that has shrunk, under a new leader either.
func TestLateHeartbeatUndoesAShrunkCapacity(t *testing.T) {
	for _, leaders := range []string{"one leader", "new leader"} {
		t.Run(leaders, func(t *testing.T) {
			h := newHarness(t, "w1")
			h.beatWithCapacity("w1", 4, 5)
			h.beatWithCapacity("w1", 2, 7)
			if leaders == "new leader" {
				h.newLeader()
			}
			h.beatWithCapacity("w1", 4, 6)
			h.submit(jobID(1), oneStep(20, 1000))
			h.runChecked(3*time.Second, "w1", 2)
			h.beatWithCapacity("w1", 4, 8)
			if !h.reaches("w1", 3) {
				t.Error("the capacity that has grown again is not used")
			}
		})
	}
}
