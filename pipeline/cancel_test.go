package pipeline

import (
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
