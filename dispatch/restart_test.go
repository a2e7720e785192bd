package dispatch

import (
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
)

// restartUnnoticed returns a harness whose upstream has run a job, with acknowledged ends, and has restarted under its
// identity while it was idle. Its heartbeat has not arrived.
func restartUnnoticed(t *testing.T) (*harness, *fakeUpstream) {
	h := newHarness(t, "w1")
	f := h.upstreams["w1"]
	f.runTime = 500 * time.Millisecond
	h.submit(jobID(1), oneStep(3, 500))
	h.run(3 * time.Second)
	if h.jobState(jobID(1)) != pipeline.Completed || f.acked != 3 {
		t.Fatalf("the first job is %s, %d ends are acknowledged", h.jobState(jobID(1)), f.acked)
	}
	f.crash()
	h.run(500 * time.Millisecond)
	return h, f
}

// checkSecondJob lets the heartbeat of the restarted upstream arrive and expects the second job to be done, with one
// start of each task.
func (h *harness) checkSecondJob(f *fakeUpstream, starts int) {
	h.t.Helper()
	h.sendHeartbeat("w1")
	h.run(8 * time.Second)
	h.check()
	if got := h.jobState(jobID(2)); got != pipeline.Completed || f.starts != starts {
		h.t.Errorf("the second job is %s after %d starts, want %d", got, f.starts, starts)
	}
}

// An upstream that has restarted numbers its ends anew. The ends of what it has been sent since must not be acknowledged
// with the last number of the incarnation before: it forgets them, and the tasks run again.
func TestEndsAfterAnUnnoticedRestartAreKept(t *testing.T) {
	h, f := restartUnnoticed(t)
	h.submit(jobID(2), oneStep(2, 500))
	h.run(1500 * time.Millisecond)
	h.checkSecondJob(f, 3+2)
}

// The same, with a start whose answer is lost: the status request that determines what became of it acknowledges nothing.
func TestEndsAfterAnUnnoticedRestartAndALostAnswerAreKept(t *testing.T) {
	h, f := restartUnnoticed(t)
	f.dropAnswers = true
	h.submit(jobID(2), oneStep(1, 500))
	h.run(1500 * time.Millisecond)
	f.dropAnswers = false
	h.checkSecondJob(f, 3+1)
}

// The same, with a run that ends before its start is answered.
func TestEndsBeforeTheAnswerToTheirStartAreKept(t *testing.T) {
	h, f := restartUnnoticed(t)
	f.startAnswerDelay, f.runTime = 300*time.Millisecond, 50*time.Millisecond
	h.submit(jobID(2), oneStep(2, 50))
	h.run(1500 * time.Millisecond)
	f.startAnswerDelay = 0
	h.checkSecondJob(f, 3+2)
}
