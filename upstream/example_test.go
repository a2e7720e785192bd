package upstream_test

import (
	"context"
	"fmt"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lease"
	"github.com/bulrushwinch/bulrushwinch/upstream"
)

// printer runs tasks by printing their payload.
type printer struct{}

func (printer) Run(ctx context.Context, t upstream.Task) upstream.Result {
	if ctx.Err() != nil || !t.LeaseHeld() {
		return upstream.Result{State: apiv1.ReportState_REPORT_STATE_STOPPED}
	}
	fmt.Printf("printing %s\n", t.Payload)
	return upstream.Result{State: apiv1.ReportState_REPORT_STATE_SUCCEEDED, Body: []byte("printed")}
}

// oneTask is an API that sends one task and acknowledges its end; client.Client is the real one.
type oneTask struct {
	agent *upstream.Agent
}

func (a *oneTask) Announce(context.Context, *apiv1.AnnounceRequest) (*apiv1.AnnounceResponse, error) {
	return &apiv1.AnnounceResponse{Outcome: &apiv1.Outcome{Kind: apiv1.OutcomeKind_OUTCOME_KIND_ACCEPTED}, LeaseMs: 6000}, nil
}

func (a *oneTask) Poll(_ context.Context, req *apiv1.PollRequest) (*apiv1.PollResponse, error) {
	resp := &apiv1.PollResponse{Sequence: req.GetSequence(), Term: 1, LeaseMs: 6000, StartWindowMs: 2000}
	if req.GetSequence() == 1 {
		resp.Commands = []*apiv1.Command{{Kind: apiv1.CommandKind_COMMAND_KIND_START,
			Task: &apiv1.TaskRef{JobId: 1, Attempt: 1}, Payload: []byte("spine labels")}}
	}
	for _, r := range req.GetTasks() {
		if r.GetState() == apiv1.ReportState_REPORT_STATE_SUCCEEDED {
			fmt.Printf("reported %s\n", r.GetAnswer().GetBody())
			resp.Acknowledged = append(resp.Acknowledged, r.GetTask())
			a.agent.Leave()
		}
	}
	return resp, nil
}

// An agent announces its worker, runs the tasks that it is sent, reports their answers until
// they are acknowledged, and returns after the worker has left.
func Example() {
	api := &oneTask{}
	api.agent = upstream.New(upstream.Config{Name: "printer-1", FailureDomain: "cordon", Rack: "rack-1", VM: "vm-1",
		Capacity: &apiv1.Resources{MilliCores: 64_000, MemoryBytes: 256 << 30, Slots: 8, Connections: 64}},
		api, printer{}, lease.BootClock{})
	if err := api.agent.Run(context.Background()); err != nil {
		fmt.Println(err)
	}
	// Output:
	// printing spine labels
	// reported printed
}
