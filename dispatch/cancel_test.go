package dispatch

import (
	"crypto/sha256"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// callReply is the answer to a call; Reply is nil and err too while there is none.
type callReply struct {
	*pipelinev1.Reply
	err error
}

func (r *callReply) answered() bool { return r.Reply != nil || r.err != nil }

// start handles a call and does not wait for the answer.
func (h *harness) start(c *pipelinev1.Call) *callReply {
	out := &callReply{}
	h.engine.Handle(h.t.Context(), c, func(r *pipelinev1.Reply, err error) { out.Reply, out.err = r, err })
	return out
}

// jobCall returns a call about a job of testQueue with the given key.
func jobCall(verb pipelinev1.JobVerb, key, id string) *pipelinev1.Call {
	sum := sha256.Sum256([]byte(key))
	return &pipelinev1.Call{Call: &pipelinev1.Call_Job{Job: &pipelinev1.JobCall{Verb: verb, Host: "h", Path: "/labels/" + id, KeySha256: sum[:]}}}
}

// startCancel sends a cancellation and does not wait for the answer.
func (h *harness) startCancel(key, id string) *callReply {
	return h.start(jobCall(pipelinev1.JobVerb_JOB_VERB_CANCEL, key, id))
}

// putConfig applies a configuration that differs from the active one by change.
func (h *harness) putConfig(change func(*pipelinev1.Config)) {
	cfg := testConfig()
	cfg.Version = h.state.Config().GetVersion() + 1
	change(cfg)
	h.state.Apply(h.wall(), &pipelinev1.Command{Command: &pipelinev1.Command_PutConfig{PutConfig: cfg}})
}

// keyOfTeam adds a team with a key to a configuration.
func keyOfTeam(cfg *pipelinev1.Config, team, key string) {
	sum := sha256.Sum256([]byte(key))
	cfg.Teams = append(cfg.Teams, &pipelinev1.Team{Name: team, KeySha256: [][]byte{sum[:]}, Weight: 1})
}

// A cancellation that comes while the job's submission is not committed cancels the job. It was answered with
// the state of a job that ran on.
func TestCancellationOfUncommittedSubmission(t *testing.T) {
	h := newHarness(t, "w1")
	submitted := h.send(jobID(1), &pipelinev1.JobSpec{Steps: []*pipelinev1.Step{{Count: 1, Lasting: true}}})
	cancelled := h.startCancel(testKey, jobID(1))
	h.run(time.Second)
	if submitted.GetVerdict() != pipelinev1.Verdict_VERDICT_OK {
		t.Fatalf("submission: %v, %v", submitted.Reply, submitted.err)
	}
	if cancelled.GetVerdict() != pipelinev1.Verdict_VERDICT_OK || cancelled.GetJobState() != string(pipeline.Cancelled) {
		t.Errorf("cancellation: %v, %v", cancelled.Reply, cancelled.err)
	}
	if s := h.jobState(jobID(1)); s != pipeline.Cancelled {
		t.Errorf("the job is %s", s)
	}
}

// A cancellation is not answered with "no such job" while the job's submission may still be committed.
func TestCancellationWaitsForSubmission(t *testing.T) {
	h := newHarness(t, "w1")
	h.holdCommits = true
	h.send(jobID(1), &pipelinev1.JobSpec{Steps: []*pipelinev1.Step{{Count: 1, Lasting: true}}})
	cancelled := h.startCancel(testKey, jobID(1))
	h.run(time.Second)
	if cancelled.answered() {
		t.Fatalf("answered before the commit: %v, %v", cancelled.Reply, cancelled.err)
	}
	h.commit()
	if cancelled.GetJobState() != string(pipeline.Cancelled) || h.jobState(jobID(1)) != pipeline.Cancelled {
		t.Errorf("cancellation: %v, %v; the job is %s", cancelled.Reply, cancelled.err, h.jobState(jobID(1)))
	}
}

// A submission that is accepted while the leadership is being confirmed is cancelled as well.
func TestCancellationBeforeSubmissionIsConfirmed(t *testing.T) {
	h := newHarness(t, "w1")
	cancelled := h.startCancel(testKey, jobID(1))
	h.state.Apply(h.wall(), &pipelinev1.Command{Command: &pipelinev1.Command_Submit{Submit: h.submitCommand(jobID(1))}})
	h.drain()
	if cancelled.GetJobState() != string(pipeline.Cancelled) || h.jobState(jobID(1)) != pipeline.Cancelled {
		t.Errorf("cancellation: %v, %v; the job is %s", cancelled.Reply, cancelled.err, h.jobState(jobID(1)))
	}
}

// submitCommand returns the command that accepts a job of one lasting task.
func (h *harness) submitCommand(id string) *pipelinev1.Submit {
	sum := sha256.Sum256([]byte(testKey))
	spec := &pipelinev1.JobSpec{Id: id, Queue: testQueue, Steps: []*pipelinev1.Step{{Count: 1, Lasting: true}}}
	return &pipelinev1.Submit{KeySha256: sum[:], Spec: spec, Digest: digestOf(spec)}
}

// A cancellation with another team's key cancels no job whose submission was not committed.
func TestCancellationByAnotherTeamCancelsNothing(t *testing.T) {
	h := newHarness(t, "w1")
	h.putConfig(func(cfg *pipelinev1.Config) { keyOfTeam(cfg, "other", "other-key") })
	h.holdCommits = true
	h.send(jobID(1), &pipelinev1.JobSpec{Steps: []*pipelinev1.Step{{Count: 1, Lasting: true}}})
	cancelled := h.startCancel("other-key", jobID(1))
	h.commit()
	if cancelled.GetVerdict() != pipelinev1.Verdict_VERDICT_NO_JOB || h.state.Job(jobID(1)).Ended() {
		t.Errorf("cancellation: %v, %v; the job is %s", cancelled.Reply, cancelled.err, h.jobState(jobID(1)))
	}
}

// A queue and a key that are committed while the leadership is being confirmed are known to the call that waits
// for the confirmation.
func TestRefusalReadsStateAfterConfirmation(t *testing.T) {
	for name, change := range map[string]func(*pipelinev1.Config){
		"key":   func(cfg *pipelinev1.Config) { keyOfTeam(cfg, "other", "other-key") },
		"queue": func(cfg *pipelinev1.Config) {},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "w1")
			key := testKey
			switch name {
			case "key":
				key = "other-key"
			case "queue":
				h.putConfig(func(cfg *pipelinev1.Config) { cfg.Queues[0].Host = "another" })
			}
			count := h.start(jobCall(pipelinev1.JobVerb_JOB_VERB_GET, key, ""))
			h.putConfig(change)
			h.drain()
			if count.GetVerdict() != pipelinev1.Verdict_VERDICT_OK {
				t.Errorf("got %v, %v", count.Reply, count.err)
			}
		})
	}
}

// A key that is withdrawn while the leadership is being confirmed reads no job.
func TestReadChecksKeyAfterConfirmation(t *testing.T) {
	h := newHarness(t, "w1")
	h.submit(jobID(1), oneStep(1, 1000))
	shown := h.start(jobCall(pipelinev1.JobVerb_JOB_VERB_GET, testKey, jobID(1)))
	h.putConfig(func(cfg *pipelinev1.Config) { cfg.Teams = nil })
	h.drain()
	if shown.GetVerdict() != pipelinev1.Verdict_VERDICT_UNKNOWN_KEY {
		t.Errorf("got %v, %v", shown.Reply, shown.err)
	}
}

// A cancellation of a queue as a whole is refused; it was answered as a count of its jobs.
func TestCancellationOfAQueueIsRefused(t *testing.T) {
	h := newHarness(t, "w1")
	if r := h.call(jobCall(pipelinev1.JobVerb_JOB_VERB_CANCEL, testKey, "")); r.GetVerdict() != pipelinev1.Verdict_VERDICT_NO_JOB {
		t.Errorf("got %v", r)
	}
}
