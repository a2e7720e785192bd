package dispatch

import (
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// lostLeader leaves a job of some small tasks on w1 as a leader leaves it that is lost: all runs are placed, and some were
// started and are done, which the upstream lists, maxEndsListed at a time.
func (h *harness) lostLeader(tasks, done int) {
	h.engine.Reset()
	small := oneStep(int32(tasks), 300)
	small.Need.MilliCores, small.Need.MemoryMib = 1, 0
	c := h.submitCommand(jobID(1))
	c.Spec.Steps = []*pipelinev1.Step{small}
	h.state.Apply(h.wall(), &pipelinev1.Command{Command: &pipelinev1.Command_Submit{Submit: c}})
	place, f := &pipelinev1.Place{}, h.upstreams["w1"]
	f.maxEnds = maxEndsListed
	for i, t := range h.state.Job(jobID(1)).Occurrences[0].Steps[0].Tasks {
		run := &pipelinev1.Run{Task: t.Key().Proto(), Number: 1, Upstream: "w1", Born: f.born}
		place.Runs = append(place.Runs, run)
		if key := runKeyOf(run); i < done {
			f.history[key] = &ranTask{from: h.now}
			f.end(key, pipelinev1.EndKind_END_KIND_DONE)
		}
	}
	h.state.Apply(h.wall(), &pipelinev1.Command{Command: &pipelinev1.Command_Place{Place: place}})
}

// Behind a list of ends that an upstream cuts off, a new leader finds out which placed runs were started, and starts the
// others. They stayed placed for good, and their jobs waited.
func TestRunsBehindALongListOfEnds(t *testing.T) {
	for _, done := range []int{0, maxEndsListed - 1, maxEndsListed, maxEndsListed + 1, 2 * maxEndsListed, 2*maxEndsListed + 300} {
		h := newHarness(t, "w1")
		h.lostLeader(3*maxEndsListed, done)
		h.newLeader()
		h.run(20 * time.Second)
		h.check()
		if s, f := h.jobState(jobID(1)), h.upstreams["w1"]; s != pipeline.Completed {
			t.Errorf("%d tasks were done: the job is %s, %d more were started, %d runs are placed", done, s, f.starts, len(h.state.Upstreams()["w1"].Runs))
		}
	}
}

// A leader acknowledges the ends that an older one committed and did not acknowledge. It took them for acknowledged: an
// upstream that lists maxEndsListed of them lists no other, so that what was done behind them was never known.
func TestCommittedEndsAreAcknowledged(t *testing.T) {
	for _, committed := range []int{maxEndsListed - 1, maxEndsListed, maxEndsListed + 1} {
		h := newHarness(t, "w1")
		h.lostLeader(2*maxEndsListed, 2*maxEndsListed)
		ends := &pipelinev1.Ends{}
		for _, e := range h.upstreams["w1"].ended[:committed] {
			ends.Ends = append(ends.Ends, &pipelinev1.End{Run: h.state.Upstreams()["w1"].Runs[e.Run].Proto(), Kind: e.Kind, Listed: e.Number})
		}
		h.state.Apply(h.wall(), &pipelinev1.Command{Command: &pipelinev1.Command_Ends{Ends: ends}})
		h.newLeader()
		h.run(20 * time.Second)
		h.check()
		if s, f := h.jobState(jobID(1)), h.upstreams["w1"]; s != pipeline.Completed || f.starts > 0 || len(f.ended) > 0 {
			t.Errorf("%d ends were committed: the job is %s, %d tasks were started again, %d ends are not acknowledged", committed, s, f.starts, len(f.ended))
		}
	}
}
