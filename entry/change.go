package entry

import (
	"context"

	"connectrpc.com/connect"
	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/pkg/errors"
)

// errOperatorLeft ends a change whose operator has closed the connection. Nothing was proposed.
var errOperatorLeft = errors.Wrap(ErrNothingProposed, "the operator has closed the connection")

// Change implements OperatorService. It applies one configuration change.
func (s *Server) Change(ctx context.Context, req *connect.Request[apiv1.ChangeRequest]) (*connect.Response[apiv1.ChangeResponse], error) {
	return unaryWith(ctx, s, methodChange, req, s.requireRole(req, apiv1.KeyRole_KEY_ROLE_OPERATOR), s.forwardChange)
}

// forwardChange forwards a change. One without a base revision is bound to the revision that was in force at a
// moment when its operator still waited: a change that is held up, by a pause of this process or on its way to the
// leader, must not undo one that was made after it.
func (s *Server) forwardChange(ctx context.Context, m method, key []byte, req *apiv1.ChangeRequest, resp *apiv1.ChangeResponse) (forwardResult, error) {
	if req.GetBaseRevision() != 0 {
		return s.forward(ctx, m, key, req, resp)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	seen, uncertain := s.admission.revision(), false
	for {
		if CallerLeft(ctx) {
			return forwardResult{}, errOperatorLeft
		}
		got, err := s.forwardSeen(ctx, m, key, req, resp, &seen)
		got.uncertain = got.uncertain || uncertain
		if err != nil || got.refusal != nil || !isOutdated(resp.GetOutcome()) || ctx.Err() != nil {
			return got, err
		}
		uncertain, seen = got.uncertain, resp.GetRevision()
	}
}

// isOutdated reports whether a change was not decided on because another one was made while it was on its way. A
// refusal for the base revision that the operator gave is "not run" instead.
func isOutdated(o *apiv1.Outcome) bool {
	return o.GetKind() == apiv1.OutcomeKind_OUTCOME_KIND_UNDETERMINED && o.GetReason() == apiv1.Reason_REASON_REVISION_CONFLICT
}
