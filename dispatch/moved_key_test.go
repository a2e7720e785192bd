package dispatch

import (
	"crypto/sha256"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// teamOf returns a team of a configuration with some keys.
func teamOf(name string, keys ...string) *pipelinev1.Team {
	t := &pipelinev1.Team{Name: name, Weight: 1}
	for _, key := range keys {
		sum := sha256.Sum256([]byte(key))
		t.KeySha256 = append(t.KeySha256, sum[:])
	}
	return t
}

// A key that moves to another team goes on reading, sending again and cancelling what was submitted with it, and so do the
// other keys of the team that submitted it. It was told "no such job", and a job that it had cancelled before ran.
func TestMovedKeyAccessesWhatItSubmitted(t *testing.T) {
	h := newHarness(t, "w1")
	h.upstreams["w1"].runTime = time.Minute
	h.putConfig(func(cfg *pipelinev1.Config) {
		cfg.Teams = []*pipelinev1.Team{teamOf("montevideo", testKey, "second"), teamOf("other", "third")}
	})
	h.submitSpec(jobID(1), lasting())
	h.ask(pipelinev1.JobVerb_JOB_VERB_CANCEL, testKey, jobID(2))
	h.run(time.Second)
	h.putConfig(func(cfg *pipelinev1.Config) {
		cfg.Teams = []*pipelinev1.Team{teamOf("montevideo", "second"), teamOf("other", "third", testKey)}
	})
	for _, key := range []string{testKey, "second"} {
		if r := h.ask(pipelinev1.JobVerb_JOB_VERB_GET, key, jobID(1)); r.GetJobState() != string(pipeline.Running) {
			t.Errorf("key %q reads %v", key, r)
		}
	}
	if r := h.ask(pipelinev1.JobVerb_JOB_VERB_GET, "third", jobID(1)); r.GetVerdict() != pipelinev1.Verdict_VERDICT_NO_JOB {
		t.Errorf("another key of the other team reads %v", r)
	}
	h.submitSpec(jobID(1), lasting())
	h.submitSpec(jobID(2), lasting())
	if s := h.jobState(jobID(2)); s != pipeline.Cancelled {
		t.Errorf("the job that was cancelled before its submission is %s", s)
	}
	if r := h.ask(pipelinev1.JobVerb_JOB_VERB_CANCEL, testKey, jobID(1)); r.GetJobState() != string(pipeline.Cancelled) {
		t.Errorf("cancellation: %v", r)
	}
}

// A renamed team reads and cancels its jobs, and the places that they hold among all jobs are given up when they end. Its
// jobs were "no such job", and the places of the old name were never given up.
func TestRenamedTeamKeepsItsJobsAndPlaces(t *testing.T) {
	h := newHarness(t, "w1")
	h.upstreams["w1"].runTime = time.Minute
	h.submitSpec(jobID(1), lasting())
	h.submitSpec(jobID(2), lasting())
	h.run(time.Second)
	h.putConfig(func(cfg *pipelinev1.Config) { cfg.Teams[0].Name = "renamed" })
	if r := h.ask(pipelinev1.JobVerb_JOB_VERB_CANCEL, testKey, jobID(1)); r.GetJobState() != string(pipeline.Cancelled) {
		t.Errorf("cancellation: %v", r)
	}
	if r := h.ask(pipelinev1.JobVerb_JOB_VERB_GET, testKey, jobID(2)); r.GetJobState() != string(pipeline.Running) {
		t.Errorf("read: %v", r)
	}
	for team, want := range map[string]int{"montevideo": 0, "renamed": 1} {
		if n := h.engine.admission.Places(team); n != want {
			t.Errorf("team %s holds %d places, want %d", team, n, want)
		}
	}
}
