package dispatch

import (
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// ask makes a call about a job of testQueue's path and returns the reply.
func (h *harness) ask(verb pipelinev1.JobVerb, key, id string) *pipelinev1.Reply {
	h.t.Helper()
	return h.call(jobCall(verb, key, id))
}

// renameQueue gives the queue at testQueue's host and path another name.
func renameQueue(cfg *pipelinev1.Config) { cfg.Queues[0].Name = "renamed" }

// lasting is a job of one task that runs until it is cancelled.
func lasting() *pipelinev1.JobSpec {
	return &pipelinev1.JobSpec{Steps: []*pipelinev1.Step{{Count: 1, Lasting: true}}}
}

// A configuration that gives a queue another name leaves its jobs to be read and cancelled at their paths. They were
// "no such job", and ran on.
func TestJobsOfARenamedQueueAreKnownAndCancelled(t *testing.T) {
	h := newHarness(t, "w1")
	h.submitSpec(jobID(1), lasting())
	h.submit(jobID(2), oneStep(1, 100))
	h.run(2 * time.Second)
	h.putConfig(renameQueue)
	for id, want := range map[string]pipeline.JobState{jobID(1): pipeline.Running, jobID(2): pipeline.Completed} {
		if r := h.ask(pipelinev1.JobVerb_JOB_VERB_GET, testKey, id); r.GetJobState() != string(want) {
			t.Errorf("job %s: %v, want %s", id, r, want)
		}
	}
	if r := h.ask(pipelinev1.JobVerb_JOB_VERB_CANCEL, testKey, jobID(1)); r.GetJobState() != string(pipeline.Cancelled) {
		t.Errorf("cancellation: %v", r)
	}
	h.run(time.Second)
	if n := len(h.upstreams["w1"].running); n > 0 {
		t.Errorf("%d tasks of the cancelled job run on", n)
	}
}

// A submission that is sent again after its queue was renamed is the same job, and one with other content is not. Both
// were refused with a conflict.
func TestResentSubmissionToARenamedQueueIsTheSameJob(t *testing.T) {
	h := newHarness(t, "w1")
	h.upstreams["w1"].runTime = time.Minute
	h.submitSpec(jobID(1), lasting())
	h.run(time.Second)
	h.putConfig(renameQueue)
	again, other := h.send(jobID(1), lasting()), h.send(jobID(1), &pipelinev1.JobSpec{Payload: "other", Steps: lasting().Steps})
	h.run(time.Second)
	if again.GetVerdict() != pipelinev1.Verdict_VERDICT_OK {
		t.Errorf("the same job again: %v, %v", again.Reply, again.err)
	}
	if other.GetVerdict() != pipelinev1.Verdict_VERDICT_CONFLICT {
		t.Errorf("another job: %v, %v", other.Reply, other.err)
	}
	if n := h.upstreams["w1"].starts; n != 1 {
		t.Errorf("%d starts", n)
	}
}

// configCall is an operator's call that changes the active configuration.
func (h *harness) configCall(change func(*pipelinev1.Config)) *pipelinev1.Call {
	cfg := testConfig()
	cfg.Version = h.state.Config().GetVersion() + 1
	change(cfg)
	return &pipelinev1.Call{Call: &pipelinev1.Call_PutConfig{PutConfig: &pipelinev1.PutConfigCall{Config: cfg}}}
}

// A submission and a cancellation that are proposed before a rename and applied after it are carried out. They were
// refused with "no such queue", though a queue is at their path all the while.
func TestCallsInFlightDuringARename(t *testing.T) {
	h := newHarness(t, "w1")
	h.submitSpec(jobID(1), lasting())
	h.run(time.Second)
	h.holdCommits = true
	h.start(h.configCall(renameQueue))
	submitted := h.send(jobID(2), lasting())
	cancelled := h.start(jobCall(pipelinev1.JobVerb_JOB_VERB_CANCEL, testKey, jobID(1)))
	h.commit()
	if submitted.GetVerdict() != pipelinev1.Verdict_VERDICT_OK || h.state.Job(jobID(2)) == nil {
		t.Errorf("submission: %v, %v", submitted.Reply, submitted.err)
	}
	if cancelled.GetJobState() != string(pipeline.Cancelled) {
		t.Errorf("cancellation: %v, %v", cancelled.Reply, cancelled.err)
	}
}

// A job that was cancelled before its submission arrived does not run when its queue was renamed in between. It ran.
func TestCancellationBeforeItsSubmissionOutlivesARename(t *testing.T) {
	h := newHarness(t, "w1")
	if r := h.ask(pipelinev1.JobVerb_JOB_VERB_CANCEL, testKey, jobID(1)); r.GetVerdict() != pipelinev1.Verdict_VERDICT_NO_JOB {
		t.Fatalf("cancellation: %v", r)
	}
	h.putConfig(renameQueue)
	h.submitSpec(jobID(1), lasting())
	h.run(time.Second)
	if h.jobState(jobID(1)) != pipeline.Cancelled || h.upstreams["w1"].starts > 0 {
		t.Errorf("the job is %s, %d starts", h.jobState(jobID(1)), h.upstreams["w1"].starts)
	}
}

// The count of pending jobs is that of the queue at the path, whatever its name: jobs that are queued, and jobs that were
// placed and have not started. After a rename it was 0, and a queue that took the old name counted them.
func TestPendingJobsAreCountedAtTheirPath(t *testing.T) {
	h := newHarness(t, "w1")
	h.upstreams["w1"].token = 1 << 60 // Refuses each start.
	h.submit(jobID(1), oneStep(1, 1000))
	h.run(time.Second)
	h.holdCommits = true
	h.submitQueued(jobID(2))
	h.putConfig(func(cfg *pipelinev1.Config) {
		renameQueue(cfg)
		cfg.Queues = append(cfg.Queues, &pipelinev1.Queue{Name: testQueue, Host: "h", PathPrefix: "/elsewhere/", Service: "print", TimeoutMs: 1000})
	})
	if n := h.pending(); n != 2 {
		t.Errorf("%d jobs are pending at their path, want 2", n)
	}
	elsewhere := jobCall(pipelinev1.JobVerb_JOB_VERB_GET, testKey, "")
	elsewhere.GetJob().Path = "/elsewhere/"
	if r := h.call(elsewhere); r.GetVerdict() != pipelinev1.Verdict_VERDICT_OK || r.GetPending() != 0 {
		t.Errorf("another queue has taken the name: %v", r)
	}
}

// submitQueued commits a submission and nothing that follows it.
func (h *harness) submitQueued(id string) {
	h.state.Apply(h.wall(), &pipelinev1.Command{Command: &pipelinev1.Command_Submit{Submit: h.submitCommand(id)}})
}

// longerPrefix puts a queue with a longer prefix in front of testQueue, which covers the paths of the jobs in these tests.
func longerPrefix(open bool) func(*pipelinev1.Config) {
	return func(cfg *pipelinev1.Config) {
		cfg.Queues = append(cfg.Queues, &pipelinev1.Queue{Name: "longer", Host: "h", PathPrefix: "/labels/0", Service: "print", MaxAttempts: 9, TimeoutMs: 1000, Open: open})
	}
}

// A job is read, sent again and cancelled at the path where it was submitted, whichever queue covers the path: one with a
// longer prefix may be put in front of its own, or be taken away. It was "no such job", or no valid identity.
func TestJobIsKnownAtItsPathWhicheverQueueCoversIt(t *testing.T) {
	for name, c := range map[string]struct {
		before, after func(*pipelinev1.Config)
		path          string
	}{
		"put in front": {func(*pipelinev1.Config) {}, longerPrefix(false), "/labels/" + jobID(1)},
		"taken away":   {longerPrefix(false), func(*pipelinev1.Config) {}, "/labels/0" + jobID(1)},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "w1")
			h.upstreams["w1"].runTime = time.Minute
			h.putConfig(c.before)
			call := func(verb pipelinev1.JobVerb) *pipelinev1.Reply {
				k := jobCall(verb, testKey, "")
				if k.GetJob().Path = c.path; verb == pipelinev1.JobVerb_JOB_VERB_SUBMIT {
					k.GetJob().Spec = lasting()
				}
				return h.call(k)
			}
			if r := call(pipelinev1.JobVerb_JOB_VERB_SUBMIT); r.GetVerdict() != pipelinev1.Verdict_VERDICT_OK {
				t.Fatalf("submission: %v", r)
			}
			h.run(time.Second)
			h.putConfig(c.after)
			attempts := h.state.JobQueue(h.state.Job(jobID(1))).GetMaxAttempts()
			for _, verb := range []pipelinev1.JobVerb{pipelinev1.JobVerb_JOB_VERB_GET, pipelinev1.JobVerb_JOB_VERB_SUBMIT} {
				if r := call(verb); r.GetJobState() != string(pipeline.Running) {
					t.Errorf("%v: %v", verb, r)
				}
			}
			if want := h.state.Job(jobID(1)).AcceptedQueue.GetMaxAttempts(); attempts != want {
				t.Errorf("its settings are those of the other queue: %d attempts, want %d", attempts, want)
			}
			if r := call(pipelinev1.JobVerb_JOB_VERB_CANCEL); r.GetJobState() != string(pipeline.Cancelled) {
				t.Errorf("cancellation: %v", r)
			}
		})
	}
}

// A job that was submitted without a key belongs to no team: whoever may call its queue may read it, also when the queue
// asks for a key by then. Cancellations before their submissions bar it in the same way. Both were lost with the change.
func TestJobWithoutAKeyIsKnownWhenItsQueueAsksForOne(t *testing.T) {
	h := newHarness(t, "w1")
	open := func(cfg *pipelinev1.Config) { cfg.Queues[0].Open = true }
	h.putConfig(open)
	submit := jobCall(pipelinev1.JobVerb_JOB_VERB_SUBMIT, "no key", jobID(1))
	submit.GetJob().Spec = lasting()
	h.call(submit)
	h.ask(pipelinev1.JobVerb_JOB_VERB_CANCEL, "no key", jobID(2))
	h.putConfig(func(*pipelinev1.Config) {})
	if r := h.ask(pipelinev1.JobVerb_JOB_VERB_GET, testKey, jobID(1)); r.GetVerdict() != pipelinev1.Verdict_VERDICT_OK {
		t.Errorf("read with a key: %v", r)
	}
	if r := h.ask(pipelinev1.JobVerb_JOB_VERB_GET, "no key", jobID(1)); r.GetVerdict() != pipelinev1.Verdict_VERDICT_UNKNOWN_KEY {
		t.Errorf("read without a key: %v", r)
	}
	h.submitSpec(jobID(2), lasting())
	if s := h.jobState(jobID(2)); s != pipeline.Cancelled {
		t.Errorf("the job that was cancelled before its submission is %s", s)
	}
}

// Runs on the upstreams of a renamed service go on while the upstreams still report the old name and once they report the
// new one. Until then, nothing is placed on them for a queue that sends to the new name.
func TestRunsOutliveARenamedService(t *testing.T) {
	h := newHarness(t, "w1")
	f := h.upstreams["w1"]
	f.runTime = 4 * time.Second
	h.submit(jobID(1), oneStep(1, 4000))
	h.run(time.Second)
	h.putConfig(func(cfg *pipelinev1.Config) { cfg.Services[0].Name, cfg.Queues[0].Service = "press", "press" })
	h.submit(jobID(2), oneStep(1, 4000))
	h.run(time.Second)
	if n := f.starts; n != 1 {
		t.Errorf("%d starts before the upstream reports the new name", n)
	}
	f.service = "press"
	h.sendHeartbeat("w1")
	h.run(8 * time.Second)
	for _, id := range []string{jobID(1), jobID(2)} {
		if s := h.jobState(id); s != pipeline.Completed {
			t.Errorf("job %s is %s", id, s)
		}
	}
	if n := f.starts; n != 2 {
		t.Errorf("%d starts of two tasks", n)
	}
}
