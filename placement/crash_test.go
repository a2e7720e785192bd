package placement

import (
	"fmt"
	"testing"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// Tasks of different jobs that were lost in one crash are not placed together again: the one that caused it
// would take the others along.
func TestVictimsOfACrashMeetAgain(t *testing.T) {
	f := newFixture(t, 2)
	for i := range 4 {
		f.addUpstream(fmt.Sprintf("u%d", i), 8000)
	}
	for range 3 {
		j := f.submit("batch", 0, tasks(1, 1000, 1000))
		f.place(j, 0, "u0")
		run := j.Occurrences[0].Steps[0].Tasks[0].Live[0].Proto()
		f.apply(&pipelinev1.Command{Command: &pipelinev1.Command_Ends{Ends: &pipelinev1.Ends{Ends: []*pipelinev1.End{
			{Run: run, Kind: pipelinev1.EndKind_END_KIND_CRASHED, Early: true}}}}})
		w := NewWork(j.Occurrences[0].Steps[0], f.cell.Now).withTickets("u0", "u1", "u2", "u3")
		f.cell.Steps[w.Step] = w
	}
	d := Decide(f.cell)
	used := make(map[string]bool)
	for _, run := range d.Runs {
		used[run.GetUpstream()] = true
	}
	if len(d.Runs) != 3 || len(used) != 3 {
		t.Errorf("%d runs are placed on %d upstreams; expected three on three", len(d.Runs), len(used))
	}
}
