package pipeline

import (
	"testing"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// reconfigure puts a configuration in force that differs from the harness's by change.
func (h *harness) reconfigure(change func(*pipelinev1.Config)) {
	h.t.Helper()
	c := h.config(h.Config().GetVersion() + 1)
	change(c)
	if r := h.put(c); r.GetVerdict() != pipelinev1.Verdict_VERDICT_OK {
		h.t.Fatalf("configuration refused: %v", r)
	}
}

// renameQueue gives testQueue another name.
func renameQueue(c *pipelinev1.Config) { c.Queues[0].Name = "renamed" }

// A snapshot of a version that did not record the accepting queue names it only. The job belongs to the queue that has
// the name in the snapshot's configuration, also when a later one renames it.
func TestSnapshotWithoutAcceptingQueue(t *testing.T) {
	h := newHarness(t)
	h.submit("a", step(1, 1))
	restored := &harness{State: New(), t: t, now: h.now}
	for _, r := range h.Records() {
		if j := r.GetJob(); j != nil {
			j.Terms = nil
		}
		if err := restored.Restore(r); err != nil {
			t.Fatal(err)
		}
	}
	restored.reconfigure(renameQueue)
	a, refused := restored.Access("h", "/labels/a", hashOf(testKey))
	if refused != nil || restored.JobOf(a) == nil {
		t.Errorf("the job is not known: %v", refused)
	}
}

// Entries of the release before name the queue and have no path. Whatever is in the log before them, they select the queue
// that has the name when they are applied.
func TestEntriesWithoutAPath(t *testing.T) {
	h := newHarness(t)
	h.submit("a", step(1, 1))
	h.reconfigure(renameQueue)
	if r := h.submit("b", step(1, 1)); r.GetVerdict() != pipelinev1.Verdict_VERDICT_NO_QUEUE {
		t.Errorf("submission to the old name: %v", r)
	}
	cancel := &pipelinev1.Cancel{Job: "a", Queue: "renamed", KeySha256: hashOf(testKey)}
	if r := h.apply(&pipelinev1.Command{Command: &pipelinev1.Command_Cancel{Cancel: cancel}}).Reply; r.GetJobState() != string(Cancelled) {
		t.Errorf("cancellation by the new name: %v", r)
	}
}

// A submission is refused if another queue has got its path by the time it is applied, and the path names no job there.
func TestSubmissionWhosePathNamesNoJobAnyMore(t *testing.T) {
	h := newHarness(t)
	h.reconfigure(func(c *pipelinev1.Config) {
		c.Queues = append(c.Queues, &pipelinev1.Queue{Name: "longer", Host: "h", PathPrefix: "/labels/a", Service: "print", TimeoutMs: 1000})
	})
	s := &pipelinev1.Submit{KeySha256: hashOf(testKey), Host: "h", Path: "/labels/ab", Spec: &pipelinev1.JobSpec{Id: "ab", Queue: testQueue, Steps: []*pipelinev1.Step{step(1, 1)}}}
	if r := h.apply(&pipelinev1.Command{Command: &pipelinev1.Command_Submit{Submit: s}}).Reply; r.GetVerdict() != pipelinev1.Verdict_VERDICT_INVALID || len(h.Jobs()) > 0 {
		t.Errorf("got %v, %d jobs", r, len(h.Jobs()))
	}
}
