package upstream

import (
	"strings"
	"testing"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"google.golang.org/protobuf/proto"
)

func TestReportable(t *testing.T) {
	big := make([]byte, maxBodyBytes+1)
	for name, c := range map[string]struct {
		in   Result
		want apiv1.ReportState
	}{
		"whole":            {Result{State: apiv1.ReportState_REPORT_STATE_SUCCEEDED, Body: big[1:]}, apiv1.ReportState_REPORT_STATE_SUCCEEDED},
		"answer too large": {Result{State: apiv1.ReportState_REPORT_STATE_SUCCEEDED, Body: big}, apiv1.ReportState_REPORT_STATE_FAILED},
		"checkpoint":       {Result{State: apiv1.ReportState_REPORT_STATE_CHECKPOINTED, Body: big}, apiv1.ReportState_REPORT_STATE_STOPPED},
		"no state":         {Result{}, apiv1.ReportState_REPORT_STATE_FAILED},
		"not an end":       {Result{State: apiv1.ReportState_REPORT_STATE_RUNNING}, apiv1.ReportState_REPORT_STATE_FAILED},
		"not UTF-8":        {Result{State: apiv1.ReportState_REPORT_STATE_FAILED, Detail: "\xff" + strings.Repeat("é", maxDetailBytes)}, apiv1.ReportState_REPORT_STATE_FAILED},
	} {
		got := sanitizeResult(c.in)
		if got.State != c.want || len(got.Detail) > maxDetailBytes {
			t.Errorf("%s: %v with a detail of %d bytes", name, got.State, len(got.Detail))
		}
		if _, err := proto.Marshal(&apiv1.TaskReport{State: got.State, Detail: got.Detail}); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestLargeAnswersAreSpreadOverPolls ends more tasks at once than one poll may carry the
// answers of.
func TestLargeAnswersAreSpreadOverPolls(t *testing.T) {
	const tasks = 10
	a := New(Config{Name: "u", Incarnation: 1}, nil, nil, &testClock{})
	for i := range tasks {
		r := a.registerAttempt(&apiv1.Command{Task: &apiv1.TaskRef{JobId: 1, Task: int32(i), Attempt: 1}})
		r.report.State = apiv1.ReportState_REPORT_STATE_SUCCEEDED
		r.report.Answer = &apiv1.Answer{Body: make([]byte, maxBodyBytes)}
	}
	polls := 0
	for ; len(a.tasks) > 0 && polls < tasks; polls++ {
		req, sent := a.composePoll()
		if size := proto.Size(req); size > maxPollBodyBytes+1<<10 || len(req.Tasks) != len(a.tasks) {
			t.Fatalf("poll of %d bytes with %d of %d tasks", size, len(req.Tasks), len(a.tasks))
		}
		resp := &apiv1.PollResponse{Sequence: req.Sequence, LeaseMs: 6000}
		for _, r := range req.Tasks {
			if r.State == apiv1.ReportState_REPORT_STATE_SUCCEEDED {
				resp.Acknowledged = append(resp.Acknowledged, r.Task)
			}
		}
		a.applyPollResponse(req, resp, sent)
	}
	if polls != 3 {
		t.Errorf("%d polls for %d answers", polls, tasks)
	}
}
