package entry

import (
	"context"
	"strings"
	"time"

	"connectrpc.com/connect"
	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/state"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// Submit implements CallerService. It says "not run" only where that is certain.
func (s *Server) Submit(ctx context.Context, req *connect.Request[apiv1.SubmitRequest]) (*connect.Response[apiv1.SubmitResponse], error) {
	start := time.Now()
	resp, err := s.submit(ctx, req.Msg, keyHash(req))
	if err != nil {
		return nil, err
	}
	latencies.record(methodSubmit.name, time.Since(start))
	calls.Add(methodSubmit.name+"."+outcomeName(resp.GetOutcome()), 1)
	if resp.GetOutcome().GetKind() != apiv1.OutcomeKind_OUTCOME_KIND_ACCEPTED {
		s.events.Add(&apiv1.Event{Kind: "submit-refused", RequestId: req.Msg.GetRequestId(),
			Detail: state.KindText(resp.GetOutcome()) + ": " + resp.GetOutcome().GetDetail()})
	}
	return connect.NewResponse(resp), nil
}

func outcomeName(o *apiv1.Outcome) string {
	return strings.ToLower(strings.TrimPrefix(o.GetKind().String(), "OUTCOME_KIND_"))
}

func (s *Server) submit(ctx context.Context, m *apiv1.SubmitRequest, key []byte) (*apiv1.SubmitResponse, error) {
	if refusal := s.checkSubmit(m); refusal != nil {
		return &apiv1.SubmitResponse{Outcome: refusal}, nil
	}
	release, team, r := s.admitSubmit(m, key)
	if r != nil {
		return &apiv1.SubmitResponse{Outcome: r.outcome(m.GetFirstSend())}, nil
	}
	defer release()
	s.events.Add(&apiv1.Event{Kind: "submit", RequestId: m.GetRequestId(), Team: team, Detail: "queue " + m.GetQueue()})
	resp := &apiv1.SubmitResponse{}
	got, err := s.forward(ctx, methodSubmit, key, m, resp)
	switch {
	case errors.Is(err, ErrNothingProposed):
		resp.Outcome = refused(apiv1.Reason_REASON_NO_LEADER, "%s", err).outcome(m.GetFirstSend())
	case errors.Is(err, ErrUndetermined):
		resp.Outcome = refused(apiv1.Reason_REASON_NO_LEADER, "resend under the same request_id: %s", err).outcome(false)
	case err != nil:
		return nil, err
	case got.refusal != nil:
		resp.Outcome = got.refusal
	}
	resp.Outcome = truthful(resp.Outcome, m.GetFirstSend() && !got.uncertain)
	return resp, nil
}

// checkSubmit refuses malformed requests and stamps a first send.
func (s *Server) checkSubmit(m *apiv1.SubmitRequest) *apiv1.Outcome {
	if m.GetFirstSentUnixMs() == 0 {
		if !m.GetFirstSend() {
			return refused(apiv1.Reason_REASON_BAD_REQUEST, "a resend needs first_sent_unix_ms").outcome(false)
		}
		m.FirstSentUnixMs = time.Now().UnixMilli()
	}
	return truthful(state.CheckRequest(s.settings, m), m.GetFirstSend())
}

// admitSubmit takes a submit within the bounds of the entry and of its team.
func (s *Server) admitSubmit(m *apiv1.SubmitRequest, key []byte) (release func(), team string, r *refusal) {
	call := methodSubmit
	if m.GetJob().GetUrgent() {
		call.class = classUrgent
	}
	leave, r := s.admit(call, func() (r *refusal) {
		team, r = s.admission.forQueue(key, m.GetQueue())
		return r
	})
	if r != nil {
		return nil, team, r
	}
	leaveTeam, r := s.admission.enterTeam(team, int64(proto.Size(m)))
	if r != nil {
		leave()
		return nil, team, r
	}
	return func() { leaveTeam(); leave() }, team, nil
}

// unrecorded are reasons for which the log refuses a request without remembering its
// identity: an earlier send of it may have been accepted all the same.
var unrecorded = map[apiv1.Reason]bool{
	apiv1.Reason_REASON_BAD_REQUEST:         true,
	apiv1.Reason_REASON_TOO_LARGE:           true,
	apiv1.Reason_REASON_KEY_UNKNOWN:         true,
	apiv1.Reason_REASON_KEY_WITHDRAWN:       true,
	apiv1.Reason_REASON_KEY_OF_ANOTHER_TEAM: true,
	apiv1.Reason_REASON_NOT_PERMITTED:       true,
	apiv1.Reason_REASON_QUEUE_UNKNOWN:       true,
	apiv1.Reason_REASON_TEAM_UNKNOWN:        true,
}

// truthful takes back a "not run" that is only known for this send of a request. only
// tells that there surely was no other one.
func truthful(o *apiv1.Outcome, only bool) *apiv1.Outcome {
	if only || o.GetKind() != apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN || !unrecorded[o.GetReason()] {
		return o
	}
	return &apiv1.Outcome{Kind: apiv1.OutcomeKind_OUTCOME_KIND_UNDETERMINED, Reason: o.GetReason(),
		Detail: o.GetDetail() + "; this send was not taken, an earlier one may have been"}
}
