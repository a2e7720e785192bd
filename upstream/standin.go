package upstream

import (
	"context"
	"fmt"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
)

// StandIn is a Runner for demonstrations: each task takes RunTime and returns an answer that
// names its payload. A task with the payload "service" runs until it is stopped.
type StandIn struct {
	// RunTime is the duration of each task.
	RunTime time.Duration
}

// servicePayload is the payload of a task that runs until it is stopped.
const servicePayload = "service"

// Run implements Runner.
func (s StandIn) Run(ctx context.Context, t Task) Result {
	timer := time.NewTimer(s.RunTime)
	defer timer.Stop()
	end := timer.C
	if string(t.Payload) == servicePayload {
		end = nil
	}
	select {
	case <-end:
		return Result{State: apiv1.ReportState_REPORT_STATE_SUCCEEDED, Body: fmt.Appendf(nil, "done: %s #%d", t.Payload, t.Index)}
	case <-ctx.Done():
	}
	if context.Cause(ctx) == ErrCheckpoint {
		return Result{State: apiv1.ReportState_REPORT_STATE_CHECKPOINTED, Body: []byte("checkpoint")}
	}
	return Result{State: apiv1.ReportState_REPORT_STATE_STOPPED, Detail: context.Cause(ctx).Error()}
}
