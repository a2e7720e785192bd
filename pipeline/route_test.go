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
	cfg := restored.Config()
	if j := restored.JobOf(cfg.Queue("renamed"), cfg.Team(testTeam), "a"); j == nil {
		t.Error("the job is not known")
	}
}
