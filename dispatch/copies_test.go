package dispatch

import (
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
)

// A new leader does not know when the runs that it finds were started. Their time since the placement must not make
// all of them look late at once.
func TestNewLeaderCopiesNoRunsThatItFinds(t *testing.T) {
	h := newHarness(t, "w1", "w2")
	for _, f := range h.upstreams {
		f.runTime = 2500 * time.Millisecond
	}
	step := oneStep(4, 1000)
	step.Copies = true
	h.submit(jobID(1), step)
	h.run(time.Second)
	h.newLeader()
	before := copiesStarted.Value()
	h.run(5 * time.Second)
	if n := copiesStarted.Value() - before; n != 0 || h.jobState(jobID(1)) != pipeline.Completed {
		t.Errorf("%d copies; the job is %s", n, h.jobState(jobID(1)))
	}
}

// A copy that is done first is counted, and its queue gets more copies; a first run that is stopped then must not be
// learned as if it had ended by itself.
func TestCopyThatIsDoneFirst(t *testing.T) {
	h := newHarness(t, "w1")
	h.upstreams["w1"].runTime = time.Hour
	step := oneStep(1, 1000)
	step.Copies = true
	h.submit(jobID(1), step)
	h.run(time.Second)
	h.upstreams["w2"] = newFakeUpstream(h, 10)
	h.sendHeartbeat("w2")
	started, first := copiesStarted.Value(), copiesEndedFirst.Value()
	h.run(6 * time.Second)
	if h.jobState(jobID(1)) != pipeline.Completed || copiesStarted.Value()-started != 1 || copiesEndedFirst.Value()-first != 1 {
		t.Errorf("the job is %s; %d copies, %d done first", h.jobState(jobID(1)), copiesStarted.Value()-started, copiesEndedFirst.Value()-first)
	}
	h.submit(jobID(2), oneStep(1, 1000))
	if got := h.engine.cell.Learner.Expected(h.state.Job(jobID(2)).Occurrences[0].Steps[0]); got > 1500*time.Millisecond {
		t.Errorf("tasks of a second are expected to take %v", got)
	}
}
