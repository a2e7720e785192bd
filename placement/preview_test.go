package placement

import (
	"fmt"
	"slices"
	"testing"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// draftStep returns the only step of a job that was not submitted, ready in a queue.
func draftStep(tb testing.TB, c *Cell, queue string, tasks int32, gang bool) *pipeline.Step {
	j, refusal := c.State.Draft(&pipelinev1.JobSpec{Id: "draft", Queue: queue, Steps: []*pipelinev1.Step{
		{Count: tasks, Gang: gang, Need: &pipelinev1.Resources{MilliCores: 8000, MemoryMib: 1}, EstimateMs: 800}}}, teamName(1), c.WallNS)
	if refusal != nil {
		tb.Fatal(refusal)
	}
	return j.Occurrences[0].Steps[0]
}

// outcome returns a decision as text, with the reservations that the round made.
func outcome(c *Cell, d Decision) (out []string) {
	for _, r := range d.Runs {
		out = append(out, "run "+r.String())
	}
	for _, s := range d.Stops {
		out = append(out, fmt.Sprint("stop ", s.Run.Key(), s.For.Index))
	}
	for _, q := range d.Questions {
		out = append(out, fmt.Sprint("ask ", q.Work.Key(), q.Upstreams))
	}
	for _, u := range c.Upstreams {
		if st := u.Reserved.For; st != nil {
			out = append(out, fmt.Sprint("reserved ", u.GetId(), st.Job().Spec.GetId(), u.Reserved.From, u.Reserved.Until))
		}
	}
	return out
}

// TestPreviewLeavesTheCellAsItWas guards against a preview that changes what the leader decides later: in a burst, the
// rounds after previews decide the same as without them, down to the numbers from the random source.
func TestPreviewLeavesTheCellAsItWas(t *testing.T) {
	asked, alone := burstCell(t, 120, 12, 40), burstCell(t, 120, 12, 40)
	for round := range 3 {
		for _, queue := range []string{"counter", "batch"} {
			for _, gang := range []bool{false, true} {
				PreviewSteps(asked, []*pipeline.Step{draftStep(t, asked, queue, 10, gang)})
			}
		}
		got, want := outcome(asked, Decide(asked)), outcome(alone, Decide(alone))
		if !slices.Equal(got, want) || round == 0 && len(want) == 0 {
			t.Fatalf("round %d: %d decisions after previews, %d without", round, len(got), len(want))
		}
	}
}

// BenchmarkPreview measures the cost of an answer in a burst at the size of a cell of 350 and of 1,100 upstreams.
func BenchmarkPreview(b *testing.B) {
	for _, upstreams := range []int{350, 1100} {
		for name, tasks := range map[string]int32{"usual": 13, "largest": 512} {
			b.Run(fmt.Sprintf("%d/%s", upstreams, name), func(b *testing.B) {
				c := burstCell(b, upstreams, 60, 400)
				st := draftStep(b, c, "counter", tasks, false)
				b.ReportAllocs()
				for b.Loop() {
					PreviewSteps(c, []*pipeline.Step{st})
				}
			})
		}
	}
}
