package dispatch

import (
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// pending returns the number of pending jobs of the test queue, as a caller gets it.
func (h *harness) pending() int64 {
	h.t.Helper()
	r := h.call(jobCall(pipelinev1.JobVerb_JOB_VERB_GET, testKey, ""))
	if r.GetVerdict() != pipelinev1.Verdict_VERDICT_OK {
		h.t.Fatalf("count refused: %v", r)
	}
	return r.GetPending()
}

// shown returns the state of a job, as a caller gets it.
func (h *harness) shown(id string) string {
	h.t.Helper()
	return h.call(jobCall(pipelinev1.JobVerb_JOB_VERB_GET, testKey, id)).GetJobState()
}

// expectPending fails the test unless the job is pending as given.
func (h *harness) expectPending(when string, want bool) {
	h.t.Helper()
	if n, state := h.pending(), h.shown(jobID(1)); (n == 1) != want || (state == string(pipeline.Queued)) != want {
		h.t.Errorf("%s: %d pending, the job is %s", when, n, state)
	}
}

// A job is pending until one of its tasks has started: a job that was placed on an upstream that has ended, is cut off or
// refuses its starts was counted as begun, and an operator saw an empty queue.
func TestJobIsPendingUntilATaskHasStarted(t *testing.T) {
	for name, c := range map[string]struct{ hinder, mend func(*fakeUpstream) }{
		"the upstream has ended": {func(f *fakeUpstream) { f.gone = true }, func(f *fakeUpstream) { f.gone = false }},
		"it is cut off":          {func(f *fakeUpstream) { f.partitioned = true }, func(f *fakeUpstream) { f.partitioned = false }},
		"it refuses starts":      {func(f *fakeUpstream) { f.token = 1 << 60 }, func(f *fakeUpstream) { f.token = 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "w1")
			f := h.upstreams["w1"]
			f.runTime = time.Minute
			c.hinder(f)
			h.submit(jobID(1), oneStep(1, 1000))
			for range 20 {
				h.run(500 * time.Millisecond)
				h.expectPending("hindered", true)
			}
			c.mend(f)
			h.sendHeartbeat("w1")
			h.run(15 * time.Second)
			if f.starts == 0 {
				t.Fatal("the job was not started after all")
			}
			h.expectPending("started", false)
		})
	}
}

// A job that has begun does not become pending again when its upstream crashes, when a new leader begins, or when both
// happen.
func TestJobThatHasBegunIsNotPendingAgain(t *testing.T) {
	h := newHarness(t, "w1")
	f := h.upstreams["w1"]
	f.runTime = time.Minute
	h.submit(jobID(1), oneStep(1, 1000))
	h.run(time.Second)
	h.expectPending("started", false)
	h.newLeader()
	h.run(time.Second)
	h.expectPending("a new leader has asked the upstream", false)
	f.crash()
	f.partitioned = true
	h.run(8 * time.Second)
	h.expectPending("the upstream is lost", false)
	h.newLeader()
	h.run(time.Second)
	h.expectPending("a new leader after that", false)
}

// Jobs that have ended are not pending, whether they began or not.
func TestEndedJobIsNotPending(t *testing.T) {
	h := newHarness(t, "w1")
	h.upstreams["w1"].gone = true
	h.submit(jobID(1), oneStep(1, 1000))
	h.run(2 * time.Second)
	h.cancel(jobID(1))
	if n, state := h.pending(), h.shown(jobID(1)); n != 0 || state != string(pipeline.Cancelled) {
		t.Errorf("%d pending, the job is %s", n, state)
	}
}
