package entry

import (
	"context"
	"slices"
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

// outdatedChange returns a step of a leader that has another revision in force than the change was bound to.
func outdatedChange(inForce uint64) step {
	return answers(&apiv1.ChangeResponse{Revision: inForce, Outcome: &apiv1.Outcome{Kind: undetermined, Reason: apiv1.Reason_REASON_REVISION_CONFLICT}})
}

// TestChangeIsBoundToTheRevisionThatItsOperatorSaw expects a change to be sent with the revision in force, again when
// another one was made meanwhile, and not after its operator has left. One with a base revision of its own is sent as
// it is.
func TestChangeIsBoundToTheRevisionThatItsOperatorSaw(t *testing.T) {
	applied := answers(&apiv1.ChangeResponse{Applied: true, Outcome: &apiv1.Outcome{Kind: acceptedKind}})
	for name, c := range map[string]struct {
		steps []step
		base  uint64
		// leavesAfter is the number of sends after which the operator has left; zero means never.
		leavesAfter int
		want        []uint64
		applied     bool
	}{
		"nothing between":                {[]step{applied}, 0, 0, []uint64{0}, true},
		"another change between":         {[]step{outdatedChange(7), applied}, 0, 0, []uint64{0, 7}, true},
		"two between":                    {[]step{outdatedChange(7), outdatedChange(8), applied}, 0, 0, []uint64{0, 7, 8}, true},
		"the operator has left":          {[]step{outdatedChange(7), applied}, 0, 1, []uint64{0}, false},
		"a base revision of its own":     {[]step{applied}, 5, 0, []uint64{noRevision}, true},
		"refused for that base revision": {[]step{answers(&apiv1.ChangeResponse{Outcome: &apiv1.Outcome{Kind: notRun, Reason: apiv1.Reason_REASON_REVISION_CONFLICT}})}, 5, 0, []uint64{noRevision}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := &revisionForwarder{scriptedForwarder: scriptedForwarder{steps: c.steps}}
			ctx := WithCaller(t.Context(), func() bool { return c.leavesAfter > 0 && len(f.revisions) >= c.leavesAfter })
			r, err := newServer(f).Change(ctx, connect.NewRequest(&apiv1.ChangeRequest{OperationId: "o", BaseRevision: c.base}))
			if got := err == nil && r.Msg.GetApplied(); got != c.applied || !slices.Equal(f.revisions, c.want) {
				t.Errorf("got %v, %v, sent with revisions %v, want %v", r, err, f.revisions, c.want)
			}
		})
	}
}

// noRevision stands for a call that is bound to no revision.
const noRevision = 1 << 60

// revisionForwarder is a scriptedForwarder that records the revisions of the calls.
type revisionForwarder struct {
	scriptedForwarder
	revisions []uint64
}

func (f *revisionForwarder) Forward(ctx context.Context, address string, req *peerv1.ForwardRequest) (*peerv1.ForwardResponse, bool, error) {
	seen := uint64(noRevision)
	if req.SeenRevision != nil {
		seen = req.GetSeenRevision()
	}
	f.revisions = append(f.revisions, seen)
	return f.scriptedForwarder.Forward(ctx, address, req)
}
