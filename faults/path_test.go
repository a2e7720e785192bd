package faults

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
)

func batchJob(id string, tasks int32, run string) *apiv1.SubmitRequest {
	return &apiv1.SubmitRequest{RequestId: id, Queue: testQueue, FirstSend: true, Job: &apiv1.JobSpec{
		Policy: apiv1.Policy_POLICY_BATCH, Repeatable: true,
		Tasks: []*apiv1.TaskSpec{{Resources: &apiv1.Resources{MilliCores: 500}, Payload: []byte(run), Copies: tasks}}}}
}

// TestPathSurvivesLeaderDeath submits work, kills the leader while it runs, and expects
// every task to be answered once.
func TestPathSurvivesLeaderDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1)
		defer c.stop()
		c.addUpstreams(6)
		time.Sleep(settleTime)
		e := c.entry("entry-1")
		var jobs []uint64
		for i := range 4 {
			resp, err := c.submit(e, batchJob(fmt.Sprintf("batch-%d", i), 5, "2s"))
			if err != nil || resp.GetOutcome().GetKind() != apiv1.OutcomeKind_OUTCOME_KIND_ACCEPTED {
				t.Fatalf("submit: %v %v", resp, err)
			}
			jobs = append(jobs, resp.GetJobId())
		}
		time.Sleep(500 * time.Millisecond)
		c.kill(c.leader())
		for _, id := range jobs {
			j, err := c.wait(e, id, 30*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			if j.GetOutcome().GetKind() != apiv1.OutcomeKind_OUTCOME_KIND_ANSWERED {
				t.Errorf("job %d: %v", id, j.GetOutcome())
			}
		}
		if n := len(c.runs.all()); n != 20 {
			t.Errorf("%d runs of 20 tasks", n)
		}
	})
}

// TestCutOffLeaderStartsNothing cuts the leader off from the other replicas only, so that
// upstreams and entries still reach it, and expects no task in two places.
func TestCutOffLeaderStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 2)
		defer c.stop()
		c.addUpstreams(6)
		time.Sleep(settleTime)
		e := c.entry("entry-1")
		old := c.leader()
		for _, other := range c.addresses() {
			c.net.setCut(old, other, other != old)
			c.net.setCut(other, old, other != old)
		}
		resp, err := c.submit(e, batchJob("batch", 20, "1s"))
		if err != nil {
			t.Fatal(err)
		}
		if resp.GetOutcome().GetKind() == apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN {
			t.Fatalf("a false refusal: %v", resp.GetOutcome())
		}
		if resp.GetOutcome().GetKind() == apiv1.OutcomeKind_OUTCOME_KIND_ACCEPTED {
			if _, err := c.wait(e, resp.GetJobId(), time.Minute); err != nil {
				t.Fatal(err)
			}
		}
		checkOncePerTask(t, c.runs.all())
	})
}

// checkOncePerTask fails if two attempts of one task overlap in time.
func checkOncePerTask(t *testing.T, runs []run) {
	t.Helper()
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			same := a.task.Job == b.task.Job && a.task.Index == b.task.Index
			if same && a.from.Before(b.to) && b.from.Before(a.to) {
				t.Errorf("job %d task %d ran on %s and %s at once", a.task.Job, a.task.Index, a.upstream, b.upstream)
			}
		}
	}
}
