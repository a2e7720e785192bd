package pipeline

import (
	"fmt"
	"testing"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// A cancellation is authorized when it is applied: the key, the queue and the team may differ from those that
// the leader saw when it proposed the command.
func TestCancellationIsAuthorizedWhenApplied(t *testing.T) {
	ok, noJob := pipelinev1.Verdict_VERDICT_OK, pipelinev1.Verdict_VERDICT_NO_JOB
	for name, c := range map[string]struct {
		cancel *pipelinev1.Cancel
		want   pipelinev1.Verdict
	}{
		"own job":                     {&pipelinev1.Cancel{Job: "a", Queue: testQueue, KeySha256: hashOf(testKey)}, ok},
		"another team's key":          {&pipelinev1.Cancel{Job: "a", Queue: testQueue, KeySha256: hashOf("other")}, noJob},
		"unknown key":                 {&pipelinev1.Cancel{Job: "a", Queue: testQueue, KeySha256: hashOf("no key")}, pipelinev1.Verdict_VERDICT_UNKNOWN_KEY},
		"another queue":               {&pipelinev1.Cancel{Job: "a", Queue: "open", KeySha256: hashOf(testKey)}, noJob},
		"unknown queue":               {&pipelinev1.Cancel{Job: "a", Queue: "no queue", KeySha256: hashOf(testKey)}, pipelinev1.Verdict_VERDICT_NO_QUEUE},
		"no such job":                 {&pipelinev1.Cancel{Job: "b", Queue: testQueue, KeySha256: hashOf(testKey)}, noJob},
		"entry of an older version":   {&pipelinev1.Cancel{Job: "a"}, ok},
		"older version, no such job":  {&pipelinev1.Cancel{Job: "b"}, noJob},
		"open queue without a key":    {&pipelinev1.Cancel{Job: "o", Queue: "open"}, ok},
		"open queue with another key": {&pipelinev1.Cancel{Job: "o", Queue: "open", KeySha256: hashOf("other")}, ok},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			cfg := h.config(2)
			cfg.Teams = append(cfg.Teams, &pipelinev1.Team{Name: "other", KeySha256: [][]byte{hashOf("other")}, Weight: 1})
			h.put(cfg)
			h.submit("a", step(1, 1))
			h.submitAs(testKey, "o", &pipelinev1.JobSpec{Id: "o", Queue: "open", Steps: []*pipelinev1.Step{step(1, 1)}})
			r := h.apply(&pipelinev1.Command{Command: &pipelinev1.Command_Cancel{Cancel: c.cancel}}).Reply
			if r.GetVerdict() != c.want {
				t.Errorf("got %v, want %v", r, c.want)
			}
			for _, id := range []string{"a", "o"} {
				if want := c.want == ok && id == c.cancel.GetJob(); (h.Job(id).State == Cancelled) != want {
					t.Errorf("job %s is %s", id, h.Job(id).State)
				}
			}
		})
	}
}

// sweep applies a Sweep command.
func (h *harness) sweep() {
	h.apply(&pipelinev1.Command{Command: &pipelinev1.Command_Sweep{Sweep: &pipelinev1.Sweep{}}})
}

// restored returns a harness whose state comes from a snapshot of h.
func (h *harness) restored() *harness {
	h.t.Helper()
	out := &harness{State: New(), t: h.t, now: h.now}
	out.Reset()
	for _, r := range h.Records() {
		if err := out.Restore(r); err != nil {
			h.t.Fatal(err)
		}
	}
	return out
}

// A job that was cancelled before its submission arrived does not run: the caller was told that there is no such
// job. That holds over a snapshot, for a resend, and until Retention is over.
func TestJobCancelledBeforeItsSubmissionDoesNotRun(t *testing.T) {
	for _, snapshot := range []bool{false, true} {
		t.Run(fmt.Sprint("snapshot ", snapshot), func(t *testing.T) {
			h := newHarness(t)
			if r := h.cancel("a"); r.GetVerdict() != pipelinev1.Verdict_VERDICT_NO_JOB {
				t.Fatalf("cancellation: %v", r)
			}
			h.cancel("old")
			if snapshot {
				h = h.restored()
			}
			h.now += int64(Retention) / 2
			h.sweep()
			for range 2 {
				if r := h.submit("a", step(1, 1)); r.GetVerdict() != pipelinev1.Verdict_VERDICT_OK || r.GetJobState() != string(Cancelled) {
					t.Errorf("submission: %v", r)
				}
			}
			if got := h.place(run("a", 0, 0, 1, "w1")); len(got.Refused) != 1 || h.Pending(testRoute) != 0 {
				t.Errorf("placed %v, %d pending", got.Accepted, h.Pending(testRoute))
			}
			h.now += int64(Retention)
			h.sweep()
			if r := h.submit("old", step(1, 1)); r.GetJobState() != string(Queued) {
				t.Errorf("submission long after the cancellation: %v", r)
			}
		})
	}
}

// A cancellation bars the job of its own team and queue only; on an open queue, whoever submits it.
func TestTombstoneBelongsToTeamAndQueue(t *testing.T) {
	h := newHarness(t)
	cfg := h.config(2)
	cfg.Teams = append(cfg.Teams, &pipelinev1.Team{Name: "other", KeySha256: [][]byte{hashOf("other")}, Weight: 1})
	h.put(cfg)
	for _, id := range []string{"a", "b"} {
		h.cancel(id)
	}
	h.apply(&pipelinev1.Command{Command: &pipelinev1.Command_Cancel{Cancel: &pipelinev1.Cancel{Job: "o", Queue: "open"}}})
	for _, c := range []struct {
		key, id, queue string
		want           JobState
	}{{"other", "a", testQueue, Queued}, {testKey, "b", "open", Queued}, {testKey, "o", "open", Cancelled}} {
		r := h.submitAs(c.key, c.id, &pipelinev1.JobSpec{Id: c.id, Queue: c.queue, Steps: []*pipelinev1.Step{step(1, 1)}})
		if r.GetJobState() != string(c.want) {
			t.Errorf("job %s: %v, want %s", c.id, r, c.want)
		}
	}
}

// The number of tombstones is bounded; the oldest ones are dropped.
func TestTombstonesAreBounded(t *testing.T) {
	h := newHarness(t)
	for n := range MaxTombstones + 1 {
		h.cancel(fmt.Sprint(n))
	}
	h = h.restored()
	if n := len(h.tombstones.byAddress); n != MaxTombstones || len(h.tombstones.order) != MaxTombstones {
		t.Errorf("%d tombstones", n)
	}
	if r := h.submit("0", step(1, 1)); r.GetJobState() != string(Queued) {
		t.Errorf("oldest: %v", r)
	}
	if r := h.submit(fmt.Sprint(MaxTombstones), step(1, 1)); r.GetJobState() != string(Cancelled) {
		t.Errorf("newest: %v", r)
	}
}

// A cancellation that overtook its submission bars the job at its path when the queue has another name by then, also
// over a snapshot of this release or of the one before. It did not, and the job ran.
func TestTombstoneOutlivesARename(t *testing.T) {
	for name, change := range map[string]func(*pipelinev1.TombstoneRecord){
		"this release":       func(*pipelinev1.TombstoneRecord) {},
		"the release before": func(r *pipelinev1.TombstoneRecord) { r.Host, r.Path = "", "" },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.cancel("a")
			restored := &harness{State: New(), t: t, now: h.now}
			for _, r := range h.Records() {
				if r.GetTombstone() != nil {
					change(r.GetTombstone())
				}
				if err := restored.Restore(r); err != nil {
					t.Fatal(err)
				}
			}
			restored.reconfigure(renameQueue)
			r := restored.submitAs(testKey, "a", &pipelinev1.JobSpec{Id: "a", Queue: "renamed", Steps: []*pipelinev1.Step{step(1, 1)}})
			if r.GetJobState() != string(Cancelled) {
				t.Errorf("submission: %v", r)
			}
		})
	}
}

// Several teams may cancel at one path before a submission arrives there. Each tombstone is kept and dropped by itself, also
// over a snapshot.
func TestTombstonesOfSeveralTeamsAtOnePath(t *testing.T) {
	h := newHarness(t)
	h.reconfigure(func(c *pipelinev1.Config) {
		c.Teams = append(c.Teams, &pipelinev1.Team{Name: "other", KeySha256: [][]byte{hashOf("other")}, Weight: 1})
	})
	h.cancel("a")
	h.now += int64(Retention) / 2
	h.apply(&pipelinev1.Command{Command: &pipelinev1.Command_Cancel{Cancel: &pipelinev1.Cancel{Job: "a", Queue: testQueue, KeySha256: hashOf("other")}}})
	h = h.restored()
	h.now += int64(Retention) / 2
	h.sweep()
	spec := &pipelinev1.JobSpec{Id: "a", Queue: testQueue, Steps: []*pipelinev1.Step{step(1, 1)}}
	if n := len(h.tombstones.order); n != 1 {
		t.Fatalf("%d tombstones are left, want the younger one", n)
	}
	if r := h.submitAs("other", "a", spec); r.GetJobState() != string(Cancelled) {
		t.Errorf("submission of the team that cancelled later: %v", r)
	}
}
