package dispatch

import (
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// maxUnknown is the number of runs of unknown fate at which a task is held.
const maxUnknown = 4

// An upstream that answered while the end of its lease was being committed once stayed suspected of a crash for as long as it
// went on answering.
func TestAnswerDuringTheExpiryOfALeaseClearsTheUpstream(t *testing.T) {
	h := newHarness(t, "w1")
	f := h.upstreams["w1"]
	f.runTime = time.Minute
	h.submit(jobID(1), oneStep(1, 60_000))
	h.run(time.Second)
	f.partitioned = true
	for len(h.uncommitted) == 0 && h.now < time.Minute {
		h.holdCommits = true
		h.run(tickStep)
	}
	f.partitioned = false
	h.beat("w1", 1)
	h.run(time.Second)
	h.commit()
	h.run(5 * time.Second)
	if got := len(h.state.Upstreams()["w1"].Expired); got != 0 {
		t.Errorf("it is not known of %d runs whether the upstream crashed", got)
	}
}

// A replica of an older version, which takes the report of an upstream for a description, once lost the upstream's capacity and
// service, and with it the agreement with the other replicas.
func TestNoCrashReportLeavesTheDescriptionOfAnOlderVersion(t *testing.T) {
	h := newHarness(t, "w1")
	h.upstreams["w1"].runTime = time.Minute
	h.submit(jobID(1), oneStep(1, 60_000))
	reports := 0
	h.onPropose = func(c *pipelinev1.Command) {
		if seen := c.GetUpstreamSeen(); seen.GetAlive() {
			reports++
			if !pipeline.SameUpstream(seen.GetUpstream(), h.state.Upstreams()["w1"].Upstream) {
				t.Errorf("the description is %v", seen.GetUpstream())
			}
		}
	}
	h.run(time.Second)
	h.upstreams["w1"].partitioned = true
	h.run(10 * time.Second)
	h.upstreams["w1"].partitioned = false
	h.run(5 * time.Second)
	if reports == 0 {
		t.Error("no report was proposed")
	}
}

// Heartbeats of ever newer incarnations at an address where nothing answers leave a sound upstream its lease.
func TestBogusStartsThatRiseLeaveTheLease(t *testing.T) {
	for _, pause := range []time.Duration{time.Second, 500 * time.Millisecond, 300 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			h := newHarness(t, "w1")
			h.upstreams["w1"].runTime = 12 * time.Second
			h.submit(jobID(1), oneStep(2, 12_000))
			h.run(time.Second)
			for i := int64(0); h.now < 20*time.Second; i++ {
				h.bogusBeat("w1", 1, func(u *pipelinev1.Upstream) { u.Born, u.Address = 20+i, "elsewhere" })
				h.run(pause)
				if i%4 == 0 {
					h.beat("w1", h.now.Milliseconds())
				}
			}
			h.checkAllDone(jobID(1))
		})
	}
}

// A run that had begun just before an earlier claim of its upstream's address, long before the crash, once counted as an early one.
func TestCrashLongAfterTheStartIsNotEarly(t *testing.T) {
	h := newHarness(t, "w1", "w2")
	f := h.upstreams["w1"]
	h.upstreams["w2"].draining = true
	h.sendHeartbeat("w2")
	f.runTime = time.Minute
	h.submit(jobID(1), oneStep(1, 60_000))
	h.run(2 * tickStep)
	claim := func() {
		h.bogusBeat("w1", 1, func(u *pipelinev1.Upstream) { u.Id, u.Born = "w9", 20 })
	}
	f.addRows = func(*StatusReply) { f.answerAt = h.now + 4*tickStep }
	claim()
	h.run(2 * tickStep)
	claim()
	h.run(4 * tickStep)
	f.addRows = nil
	h.run(2 * time.Second)
	f.crash()
	f.gone = true
	h.run(time.Second)
	task := h.state.Task(pipeline.TaskKey{Job: jobID(1)})
	if task.Crashes != 1 || task.EarlyCrashes != 0 {
		t.Errorf("%d crashes, %d of them early", task.Crashes, task.EarlyCrashes)
	}
}

// An idle upstream that restarts at another address, with nothing at the old one, is used after one unanswered request.
func TestRestartAtAnotherAddressIsUsedSoon(t *testing.T) {
	h := newHarness(t, "w1")
	h.run(5 * time.Second)
	h.upstreams["w1"].crash()
	h.upstreams["w1"].address = "elsewhere"
	h.beat("w1", 1)
	h.submit(jobID(1), oneStep(1, 1000))
	h.run(2500 * time.Millisecond)
	if s := h.jobState(jobID(1)); s != pipeline.Completed {
		t.Errorf("state %s", s)
	}
}

// While a request to a silent upstream was open, an upstream that took its place once waited for up to two seconds.
func TestPlaceOfASilentUpstreamIsTakenSoon(t *testing.T) {
	for at := 2 * time.Second; at < 6*time.Second; at += tickStep {
		h := newHarness(t, "w1")
		old := h.upstreams["w1"]
		old.runTime = 10 * time.Second
		h.submit(jobID(1), oneStep(1, 10_000))
		h.run(time.Second)
		old.partitioned = true
		h.run(at)
		old.crash()
		old.partitioned, old.replaced = false, true
		h.upstreams["w9"] = newFakeUpstream(h, 20)
		h.bogusBeat("w9", 1, func(u *pipelinev1.Upstream) { u.Address = "w1" })
		h.run(orderTimeout + probeMin + 2*tickStep)
		if h.state.Upstreams()["w9"] == nil {
			t.Errorf("after %v of silence the upstream was not added", at)
		}
	}
}

// A task whose lease ran out on four upstreams that could not be called once waited for as long as their heartbeats came.
func TestHeartbeatsClearAnUpstreamThatCannotBeCalled(t *testing.T) {
	h := newHarness(t, "w1", "w2", "w3", "w4", "w5", "w6")
	for _, f := range h.upstreams {
		f.runTime = 5 * time.Second
	}
	h.submit(jobID(1), oneStep(1, 5000))
	for cut := 0; h.now < time.Minute; h.run(heartbeatTime) {
		for id, f := range h.upstreams {
			h.beat(id, h.now.Milliseconds())
			if cut < maxUnknown && f.runs(pipeline.TaskKey{Job: jobID(1)}) {
				f.partitioned = true
				cut++
			}
		}
	}
	if s := h.jobState(jobID(1)); s != pipeline.Completed {
		t.Errorf("state %s", s)
	}
}

// A run that a new incarnation under the same identity had taken on was once declared lost at once, and started again
// elsewhere.
func TestRunThatARestartedUpstreamHasKeepsItsLease(t *testing.T) {
	h := newHarness(t, "w1", "w2")
	h.upstreams["w2"].draining = true
	h.sendHeartbeat("w2")
	h.run(20 * time.Second)
	h.upstreams["w1"].crash()
	h.upstreams["w1"].runTime = 3 * time.Second
	h.submit(jobID(1), oneStep(2, 3000))
	h.run(500 * time.Millisecond)
	h.upstreams["w3"] = newFakeUpstream(h, 10)
	h.sendHeartbeat("w3")
	h.sendHeartbeat("w1")
	h.run(6 * time.Second)
	h.checkAllDone(jobID(1))
}

// A false heartbeat with a high start, while an upstream was down, once hid the upstream for good when it came back under its identity.
func TestBogusStartHidesNoRestart(t *testing.T) {
	for _, claimed := range []string{"w1", "elsewhere"} {
		for _, back := range []string{"w1", "moved"} {
			h := newHarness(t, "w1")
			f := h.upstreams["w1"]
			h.beatFor(3*time.Second, "w1")
			f.crash()
			f.partitioned = true
			h.bogusBeat("w1", 1, func(u *pipelinev1.Upstream) { u.Born, u.Address = 1000, claimed })
			h.run(2 * time.Second)
			f.partitioned, f.address = false, back
			h.submit(jobID(1), oneStep(1, 1000))
			h.beatFor(10*time.Second, "w1")
			if s := h.jobState(jobID(1)); s != pipeline.Completed {
				t.Errorf("claimed at %s, back at %s: the job is %s", claimed, back, s)
			}
		}
	}
}
