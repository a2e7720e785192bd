package dispatch

import (
	"testing"
	"time"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/bulrushwinch/bulrushwinch/placement"
)

// longSpec is a job of one task of a minute, whose result is of use for six.
func longSpec() *pipelinev1.JobSpec {
	return &pipelinev1.JobSpec{Steps: []*pipelinev1.Step{oneStep(1, 60_000)}}
}

// Ten times as much work as an upstream can do while it is of use waits. New jobs are refused with a time to return, and
// never run. A new leader refuses nothing before it knows the backlog, and after
// that again.
func TestHopelessJobIsRefusedOnceTheBacklogIsKnown(t *testing.T) {
	h := newHarness(t, "w1")
	h.upstreams["w1"].runTime = time.Second
	n := 0
	send := func(spec *pipelinev1.JobSpec) *submitReply {
		n++
		r := h.send(jobID(n), spec)
		h.drain()
		return r
	}
	for range 600 {
		if r := send(longSpec()); r.GetVerdict() != pipelinev1.Verdict_VERDICT_OK {
			t.Fatalf("refused before the backlog is known: %v, %v", r.Reply, r.err)
		}
	}
	for range 2 {
		h.run(placement.BacklogKnown + placement.BacklogInterval + tickStep)
		r := send(longSpec())
		if v := r.GetVerdict(); v != pipelinev1.Verdict_VERDICT_NOT_NOW && v != pipelinev1.Verdict_VERDICT_OVER_LIMIT || r.GetRetryAfterMs() == 0 {
			t.Errorf("a hopeless job: %v, %v", r.Reply, r.err)
		}
		if h.state.Job(jobID(n)) != nil {
			t.Error("the refused job is known")
		}
		h.newLeader()
		if r := send(longSpec()); r.GetVerdict() != pipelinev1.Verdict_VERDICT_OK {
			t.Errorf("a leader that does not know the backlog: %v, %v", r.Reply, r.err)
		}
	}
	h.check()
}
