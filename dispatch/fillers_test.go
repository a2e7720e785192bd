package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// servingAndFilling returns a lasting step that serves under a target of 100 ms, and one that fills.
func servingAndFilling() (serving, filling *pipelinev1.Step) {
	serving, filling = oneStep(1, 0), oneStep(1, 60000)
	serving.Lasting, serving.TargetMs, filling.Fills = true, 100, true
	return serving, filling
}

// A task that fills and one that serves under a target are kept apart while there is another place, whichever comes first,
// and share an upstream after a second where there is none. They waited without end.
func TestFillingTasksKeepAwayFromServingOnes(t *testing.T) {
	for _, fillsFirst := range []bool{false, true} {
		for _, upstreams := range [][]string{{"w1"}, {"w1", "w2"}} {
			t.Run(fmt.Sprint(fillsFirst, upstreams), func(t *testing.T) {
				h := newHarness(t, upstreams...)
				for _, f := range h.upstreams {
					f.runTime = time.Hour
				}
				first, second := servingAndFilling()
				if fillsFirst {
					first, second = second, first
				}
				h.submit(jobID(1), first)
				h.run(time.Second)
				h.submit(jobID(2), second)
				h.run(900 * time.Millisecond)
				if got, want := h.jobState(jobID(2)), map[int]pipeline.JobState{1: pipeline.Queued, 2: pipeline.Running}[len(upstreams)]; got != want {
					t.Errorf("within a second the second job is %s, want %s", got, want)
				}
				h.run(2 * time.Second)
				if got := h.jobState(jobID(2)); got != pipeline.Running {
					t.Errorf("after that it is %s", got)
				}
				for id, f := range h.upstreams {
					if len(upstreams) == 2 && len(f.running) != 1 {
						t.Errorf("%d tasks on %s", len(f.running), id)
					}
				}
			})
		}
	}
}

// Where a task that serves comes near its target beside one that fills, the latter is stopped at once and kept away for a
// while, and the former goes on.
func TestFillingTaskGivesWayToATarget(t *testing.T) {
	h := newHarness(t, "w1")
	f := h.upstreams["w1"]
	f.runTime = time.Hour
	serving, filling := servingAndFilling()
	tail := int64(60)
	f.addRows = func(r *StatusReply) {
		for i := range r.Running {
			if r.Running[i].Run.Job == jobID(1) {
				r.Running[i].Usage, r.Running[i].UsageKnown = tail, true
			}
		}
	}
	h.submit(jobID(1), serving)
	h.submit(jobID(2), filling)
	h.run(4 * time.Second)
	if len(f.running) != 2 {
		t.Fatalf("%d tasks run below the target", len(f.running))
	}
	tail = 120
	h.run(time.Second)
	tail = 60
	h.run(5 * time.Second)
	if len(f.running) != 1 || f.starts != 2 {
		t.Errorf("%d tasks run, %d starts, after one was over its target", len(f.running), f.starts)
	}
	h.run(10 * time.Second)
	if len(f.running) != 2 || f.starts != 3 {
		t.Errorf("%d tasks run, %d starts, ten seconds later", len(f.running), f.starts)
	}
}

// A task that fills and may not be stopped at any time, as its step limits how many may be missing, never shares.
func TestProtectedFillingTaskNeverShares(t *testing.T) {
	h := newHarness(t, "w1")
	h.upstreams["w1"].runTime = time.Hour
	serving, filling := servingAndFilling()
	filling.Lasting, filling.MissAllowed = true, 1
	h.submit(jobID(1), serving)
	h.submit(jobID(2), filling)
	h.run(5 * time.Second)
	if n := len(h.upstreams["w1"].running); n != 1 {
		t.Errorf("%d tasks run", n)
	}
}
