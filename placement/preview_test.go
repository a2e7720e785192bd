package placement

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// draftStep returns the only step of a job that was not submitted.
func draftStep(tb testing.TB, c *Cell, id, queue string, tasks int32, gang bool) *pipeline.Step {
	j, refusal := c.State.Draft(&pipelinev1.JobSpec{Id: id, Queue: queue, Steps: []*pipelinev1.Step{
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
	for _, c := range []*Cell{asked, alone} {
		// A gang that does not fit on the upstreams for which it has tickets reserves some of them.
		w := NewWork(draftStep(t, c, "gang", "batch", 40, true), 0)
		w.Step.Job().SubmittedNS -= int64(2500 * time.Millisecond)
		for _, u := range c.Upstreams[90:] {
			w.Permits[u.GetId()] = Permit{Born: 1, Expires: time.Hour}
		}
		for _, u := range c.Upstreams[:90] {
			w.Denied[u.GetId()] = true
		}
		c.Steps[w.Step] = w
	}
	for round := range 3 {
		before := outcome(asked, Decision{})
		for _, queue := range []string{"counter", "batch"} {
			for _, gang := range []bool{false, true} {
				PreviewSteps(asked, []*pipeline.Step{draftStep(t, asked, "draft", queue, 10, gang)})
			}
		}
		if after := outcome(asked, Decision{}); !slices.Equal(before, after) {
			t.Errorf("round %d: %d upstreams reserved after previews, %d before", round, len(after), len(before))
		}
		got, want := outcome(asked, Decide(asked)), outcome(alone, Decide(alone))
		if !slices.Equal(got, want) || !slices.ContainsFunc(want, func(s string) bool { return strings.HasPrefix(s, "reserved") }) {
			t.Fatalf("round %d: %d decisions after previews, %d without; want the same, with reservations", round, len(got), len(want))
		}
	}
}

// BenchmarkPreview measures the cost of an answer in a burst at the size of a cell of 350 and of 1,100 upstreams.
func BenchmarkPreview(b *testing.B) {
	for _, upstreams := range []int{350, 1100} {
		for name, tasks := range map[string]int32{"usual": 13, "largest": 512} {
			b.Run(fmt.Sprintf("%d/%s", upstreams, name), func(b *testing.B) {
				c := burstCell(b, upstreams, 60, 400)
				st := draftStep(b, c, "draft", "counter", tasks, false)
				b.ReportAllocs()
				for b.Loop() {
					PreviewSteps(c, []*pipeline.Step{st})
				}
			})
		}
	}
}
