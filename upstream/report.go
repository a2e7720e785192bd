package upstream

import (
	"fmt"
	"strings"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
)

const (
	// maxBodyBytes is the maximum size of one answer or checkpoint.
	maxBodyBytes = 1 << 20
	// maxPollBodyBytes is the maximum size of all answers in one poll, which keeps a poll below
	// the size that an entry accepts. The other answers follow once these are acknowledged.
	maxPollBodyBytes = 4 << 20
	// maxDetailBytes is the maximum size of the detail of a report.
	maxDetailBytes = 1 << 10
)

// sanitizeResult returns a result that can be reported: with a final state, a bounded size and
// a detail in UTF-8. A poll that cannot be sent would let the lease expire, which stops all
// other tasks too.
func sanitizeResult(r Result) Result {
	if len(r.Body) > maxBodyBytes {
		r.Detail = fmt.Sprintf("the result has %d bytes; at most %d are taken", len(r.Body), maxBodyBytes)
		r.Body = nil
		if r.State == apiv1.ReportState_REPORT_STATE_CHECKPOINTED {
			r.State = apiv1.ReportState_REPORT_STATE_STOPPED
		} else {
			r.State = apiv1.ReportState_REPORT_STATE_FAILED
		}
	}
	switch r.State {
	case apiv1.ReportState_REPORT_STATE_SUCCEEDED, apiv1.ReportState_REPORT_STATE_FAILED, apiv1.ReportState_REPORT_STATE_STOPPED,
		apiv1.ReportState_REPORT_STATE_CHECKPOINTED, apiv1.ReportState_REPORT_STATE_REFUSED:
	default:
		r = Result{State: apiv1.ReportState_REPORT_STATE_FAILED, Detail: "the runner ended without a final state"}
	}
	r.Detail = strings.ToValidUTF8(r.Detail[:min(len(r.Detail), maxDetailBytes)], "")
	return r
}

// reports lists every attempt. An ended attempt whose body exceeds maxPollBodyBytes together
// with those before it is listed as running.
func (a *Agent) reports() []*apiv1.TaskReport {
	list := make([]*apiv1.TaskReport, 0, len(a.tasks))
	bytes := 0
	for _, r := range a.tasks {
		report := r.report
		if size := len(report.GetAnswer().GetBody()); size > 0 {
			if bytes+size > maxPollBodyBytes {
				report = &apiv1.TaskReport{Task: report.Task, State: apiv1.ReportState_REPORT_STATE_RUNNING}
			} else {
				bytes += size
			}
		}
		list = append(list, report)
	}
	return list
}
