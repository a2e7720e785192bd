package state

import (
	"testing"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
)

// A task whose upstream restarts each time soon after it has started there is given up.
func TestPolledTaskThatCrashesItsUpstreamsIsGivenUp(t *testing.T) {
	h := newHarness(t)
	j := h.batch("r1")
	const crashes = 5
	for n := uint64(1); n <= crashes && j.State != lifecycle.JobEnded; n++ {
		p := placement(&j.Tasks[0], "u-d1", oneSlot)
		p.Incarnation = n
		if reason := h.place(p); reason != "" {
			t.Fatalf("placement %d refused: %s", n, reason)
		}
		h.reportAs("u-d1", &apiv1.TaskReport{Task: j.Tasks[0].Ref().Proto(), State: apiv1.ReportState_REPORT_STATE_RUNNING})
		h.announce("u-d1", n+1, "d1")
	}
	if j.State != lifecycle.JobEnded {
		t.Errorf("after %d crashes the task waits for attempt %d", crashes, j.Tasks[0].Attempt)
	}
}
