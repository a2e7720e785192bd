package client_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"

	"connectrpc.com/connect"
	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1/bulrushwinchv1connect"
	"github.com/bulrushwinch/bulrushwinch/client"
)

// overloadedOnce is an entry that refuses the first send as overloaded and accepts the second.
type overloadedOnce struct {
	bulrushwinchv1connect.UnimplementedCallerServiceHandler
	sends int
}

func (b *overloadedOnce) Submit(_ context.Context, req *connect.Request[apiv1.SubmitRequest]) (*connect.Response[apiv1.SubmitResponse], error) {
	b.sends++
	o := &apiv1.Outcome{Kind: apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN, Reason: apiv1.Reason_REASON_OVERLOADED}
	if b.sends > 1 {
		o = &apiv1.Outcome{Kind: apiv1.OutcomeKind_OUTCOME_KIND_ACCEPTED}
	}
	return connect.NewResponse(&apiv1.SubmitResponse{Outcome: o, JobId: uint64(b.sends)}), nil
}

func ExampleClient_Submit() {
	mux := http.NewServeMux()
	mux.Handle(bulrushwinchv1connect.NewCallerServiceHandler(&overloadedOnce{}))
	cell := httptest.NewServer(mux)
	defer cell.Close()

	c := client.New(client.Config{Addresses: []string{strings.TrimPrefix(cell.URL, "http://")}, Key: "the key of a team"})
	defer c.Close()
	resp, err := c.Submit(context.Background(), &apiv1.SubmitRequest{RequestId: "batch-17", Queue: "labels",
		Job: &apiv1.JobSpec{Policy: apiv1.Policy_POLICY_BATCH, Tasks: []*apiv1.TaskSpec{{Payload: []byte("spines")}}}})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(resp.GetOutcome().GetKind(), "as job", resp.GetJobId())
	// Output: OUTCOME_KIND_ACCEPTED as job 2
}
