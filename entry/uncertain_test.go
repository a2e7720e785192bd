package entry

import (
	"testing"
	"testing/synctest"

	"connectrpc.com/connect"
	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"google.golang.org/protobuf/proto"
)

// answers returns a step that answers a call with a message.
func answers(m proto.Message) step {
	return func() (*peerv1.ForwardResponse, bool, error) {
		payload, err := proto.Marshal(m)
		return &peerv1.ForwardResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_OK, Payload: payload}, true, err
	}
}

// refuseCall returns a step that refuses a call as not run.
func refuseCall(reason apiv1.Reason) step {
	return func() (*peerv1.ForwardResponse, bool, error) {
		return &peerv1.ForwardResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_REFUSED, Refusal: &apiv1.Outcome{Kind: notRun, Reason: reason}}, true, nil
	}
}

// TestRefusalAfterAnAttemptOfUnknownOutcome expects changes, cancellations and announcements to be answered with
// "not run" only if no attempt of the call can have had an effect, or the log remembers the refusal: a key that was
// withdrawn between two attempts does not tell what became of the first one.
func TestRefusalAfterAnAttemptOfUnknownOutcome(t *testing.T) {
	withdrawn, conflict := apiv1.Reason_REASON_KEY_WITHDRAWN, apiv1.Reason_REASON_REVISION_CONFLICT
	change := func(t *testing.T, s *Server) *apiv1.Outcome {
		r, err := s.Change(t.Context(), connect.NewRequest(&apiv1.ChangeRequest{OperationId: "o"}))
		if err != nil {
			return outcomeOf(t, err)
		}
		return r.Msg.GetOutcome()
	}
	cancel := func(t *testing.T, s *Server) *apiv1.Outcome {
		r, err := s.Cancel(t.Context(), connect.NewRequest(&apiv1.CancelRequest{Queue: "q", RequestIds: []string{"r"}}))
		if err != nil {
			return outcomeOf(t, err)
		}
		return r.Msg.GetResults()[0].GetOutcome()
	}
	announce := func(t *testing.T, s *Server) *apiv1.Outcome {
		_, err := s.Announce(t.Context(), connect.NewRequest(&apiv1.AnnounceRequest{}))
		return outcomeOf(t, err)
	}
	refusedChange := func(r apiv1.Reason) step {
		return answers(&apiv1.ChangeResponse{Outcome: &apiv1.Outcome{Kind: notRun, Reason: r}})
	}
	for name, c := range map[string]struct {
		call    func(*testing.T, *Server) *apiv1.Outcome
		refusal step
		// remembered is set if the log decides so for every attempt.
		remembered bool
	}{
		"change, key withdrawn":            {change, refusedChange(withdrawn), false},
		"change, malformed":                {change, refusedChange(apiv1.Reason_REASON_BAD_REQUEST), false},
		"change, another revision":         {change, refusedChange(conflict), true},
		"change, refused before it is run": {change, refuseCall(withdrawn), false},
		"cancellation, key withdrawn":      {cancel, answers(&apiv1.CancelResponse{Results: []*apiv1.CancelResult{{Outcome: &apiv1.Outcome{Kind: notRun, Reason: withdrawn}}}}), false},
		"announcement, key withdrawn":      {announce, refuseCall(withdrawn), false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for _, lost := range []bool{false, true} {
					steps, want := []step{c.refusal}, notRun
					if lost {
						steps = append([]step{losesLeadership}, steps...)
						if !c.remembered {
							want = undetermined
						}
					}
					if o := c.call(t, newServer(&scriptedForwarder{steps: steps})); o.GetKind() != want {
						t.Errorf("after a lost attempt %t: %v, want %v", lost, o, want)
					}
				}
			})
		})
	}
}
