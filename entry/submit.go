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

// Submit implements CallerService. The outcome is NOT_RUN only if it is certain that the request
// had no effect.
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
		resp.Outcome = newRefusal(apiv1.Reason_REASON_NO_LEADER, "%s", err).outcome(m.GetFirstSend())
	case errors.Is(err, ErrUndetermined):
		resp.Outcome = newRefusal(apiv1.Reason_REASON_NO_LEADER, "resend under the same request_id: %s", err).outcome(false)
	case err != nil:
		return nil, err
	case got.refusal != nil:
		resp.Outcome = got.refusal
	}
	resp.Outcome = downgradeNotRun(resp.Outcome, m.GetFirstSend() && !got.uncertain)
	return resp, nil
}

// checkSubmit returns the outcome of a malformed request, or nil, and sets the time of a first
// send that has none.
func (s *Server) checkSubmit(m *apiv1.SubmitRequest) *apiv1.Outcome {
	if m.GetFirstSentUnixMs() == 0 {
		if !m.GetFirstSend() {
			return newRefusal(apiv1.Reason_REASON_BAD_REQUEST, "a resend needs first_sent_unix_ms").outcome(false)
		}
		m.FirstSentUnixMs = time.Now().UnixMilli()
	}
	return downgradeNotRun(state.CheckRequest(s.settings, m), m.GetFirstSend())
}

// admitSubmit admits a submit within the limits of the entry and of its team; release must be
// called at the end of the call.
func (s *Server) admitSubmit(m *apiv1.SubmitRequest, key []byte) (release func(), team string, r *refusal) {
	call := methodSubmit
	if m.GetJob().GetUrgent() {
		call.class = classUrgent
	}
	releaseCall, r := s.admit(call, func() (r *refusal) {
		team, r = s.admission.checkQueue(key, m.GetQueue())
		return r
	})
	if r != nil {
		return nil, team, r
	}
	releaseTeam, r := s.admission.acquireTeam(team, int64(proto.Size(m)))
	if r != nil {
		releaseCall()
		return nil, team, r
	}
	return func() { releaseTeam(); releaseCall() }, team, nil
}

// unrecordedReasons are the reasons for which the state machine refuses a request without
// recording its identity: an earlier send of the request may have been accepted nevertheless.
var unrecordedReasons = map[apiv1.Reason]bool{
	apiv1.Reason_REASON_BAD_REQUEST:         true,
	apiv1.Reason_REASON_TOO_LARGE:           true,
	apiv1.Reason_REASON_KEY_UNKNOWN:         true,
	apiv1.Reason_REASON_KEY_WITHDRAWN:       true,
	apiv1.Reason_REASON_KEY_OF_ANOTHER_TEAM: true,
	apiv1.Reason_REASON_NOT_PERMITTED:       true,
	apiv1.Reason_REASON_QUEUE_UNKNOWN:       true,
	apiv1.Reason_REASON_TEAM_UNKNOWN:        true,
}

// downgradeNotRun replaces NOT_RUN by UNDETERMINED if it is certain only for this send of a
// request. only means that there certainly was no other send.
func downgradeNotRun(o *apiv1.Outcome, only bool) *apiv1.Outcome {
	if only || o.GetKind() != apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN || !unrecordedReasons[o.GetReason()] {
		return o
	}
	return &apiv1.Outcome{Kind: apiv1.OutcomeKind_OUTCOME_KIND_UNDETERMINED, Reason: o.GetReason(),
		Detail: o.GetDetail() + "; this send was not taken, an earlier one may have been"}
}

// downgradeResponse downgrades the outcomes in a response to a call of which an earlier attempt may have had an
// effect.
func downgradeResponse(resp any) {
	switch r := resp.(type) {
	case *apiv1.ChangeResponse:
		r.Outcome = downgradeNotRun(r.GetOutcome(), false)
	case *apiv1.CancelResponse:
		for _, c := range r.GetResults() {
			c.Outcome = downgradeNotRun(c.GetOutcome(), false)
		}
	}
}
