package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"
	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/state"
	"github.com/pkg/errors"
)

// Submit implements CallerService. It says "not run" only where that is certain.
func (s *Server) Submit(ctx context.Context, req *connect.Request[apiv1.SubmitRequest]) (*connect.Response[apiv1.SubmitResponse], error) {
	m := req.Msg
	if refusal := s.prepareSubmit(m); refusal != nil {
		return connect.NewResponse(&apiv1.SubmitResponse{Outcome: refusal}), nil
	}
	s.events.Add(&apiv1.Event{Kind: "submit", RequestId: m.GetRequestId(), Detail: "queue " + m.GetQueue()})
	resp := &apiv1.SubmitResponse{}
	refusal, err := s.call(ctx, peerv1.Method_METHOD_SUBMIT, keyHash(req), m, resp, true)
	switch {
	case refusal != nil:
		resp.Outcome = refusal
	case errors.Is(err, ErrNothingProposed) && m.GetFirstSend():
		resp.Outcome = &apiv1.Outcome{Kind: apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN, Reason: apiv1.Reason_REASON_NO_LEADER, Detail: err.Error()}
	case err != nil:
		resp.Outcome = &apiv1.Outcome{Kind: apiv1.OutcomeKind_OUTCOME_KIND_UNDETERMINED, Reason: apiv1.Reason_REASON_NO_LEADER,
			Detail: "resend under the same request_id: " + err.Error()}
	}
	return connect.NewResponse(resp), nil
}

// prepareSubmit refuses malformed requests and stamps a first send.
func (s *Server) prepareSubmit(m *apiv1.SubmitRequest) *apiv1.Outcome {
	if m.GetFirstSentUnixMs() == 0 {
		if !m.GetFirstSend() {
			return &apiv1.Outcome{Kind: apiv1.OutcomeKind_OUTCOME_KIND_UNDETERMINED, Reason: apiv1.Reason_REASON_BAD_REQUEST,
				Detail: "a resend needs first_sent_unix_ms"}
		}
		m.FirstSentUnixMs = time.Now().UnixMilli()
	}
	refusal := state.CheckRequest(s.settings, m)
	if refusal != nil && !m.GetFirstSend() {
		refusal.Kind = apiv1.OutcomeKind_OUTCOME_KIND_UNDETERMINED
	}
	return refusal
}

// Wait implements CallerService.
func (s *Server) Wait(ctx context.Context, req *connect.Request[apiv1.WaitRequest]) (*connect.Response[apiv1.WaitResponse], error) {
	// One attempt has a bounded time, so a long wait is made of several.
	until := time.Now().Add(min(time.Duration(req.Msg.GetMaxWaitMs())*time.Millisecond, maxWait))
	for {
		left := time.Until(until)
		step := connect.NewRequest(&apiv1.WaitRequest{Job: req.Msg.GetJob(), MaxWaitMs: min(left, attemptTimeout-waitMargin/2).Milliseconds()})
		step.Header().Set("Authorization", req.Header().Get("Authorization"))
		resp, err := unary[apiv1.WaitRequest, apiv1.WaitResponse](ctx, s, peerv1.Method_METHOD_WAIT, step, true)
		if err != nil || resp.Msg.GetEnded() || time.Now().After(until) {
			return resp, err
		}
	}
}

// Get implements CallerService.
func (s *Server) Get(ctx context.Context, req *connect.Request[apiv1.GetRequest]) (*connect.Response[apiv1.GetResponse], error) {
	return unary[apiv1.GetRequest, apiv1.GetResponse](ctx, s, peerv1.Method_METHOD_GET, req, true)
}

// Cancel implements CallerService.
func (s *Server) Cancel(ctx context.Context, req *connect.Request[apiv1.CancelRequest]) (*connect.Response[apiv1.CancelResponse], error) {
	return unary[apiv1.CancelRequest, apiv1.CancelResponse](ctx, s, peerv1.Method_METHOD_CANCEL, req, true)
}

// Explain implements CallerService.
func (s *Server) Explain(ctx context.Context, req *connect.Request[apiv1.ExplainRequest]) (*connect.Response[apiv1.ExplainResponse], error) {
	return unary[apiv1.ExplainRequest, apiv1.ExplainResponse](ctx, s, peerv1.Method_METHOD_EXPLAIN, req, true)
}

// Change implements OperatorService.
func (s *Server) Change(ctx context.Context, req *connect.Request[apiv1.ChangeRequest]) (*connect.Response[apiv1.ChangeResponse], error) {
	return unary[apiv1.ChangeRequest, apiv1.ChangeResponse](ctx, s, peerv1.Method_METHOD_CHANGE, req, true)
}

// Status implements OperatorService.
func (s *Server) Status(ctx context.Context, req *connect.Request[apiv1.StatusRequest]) (*connect.Response[apiv1.StatusResponse], error) {
	return unary[apiv1.StatusRequest, apiv1.StatusResponse](ctx, s, peerv1.Method_METHOD_STATUS, req, true)
}

// Timeline implements OperatorService. Only operators may call it.
func (s *Server) Timeline(ctx context.Context, req *connect.Request[apiv1.TimelineRequest]) (*connect.Response[apiv1.TimelineResponse], error) {
	probe := connect.NewRequest(&apiv1.StatusRequest{})
	probe.Header().Set("Authorization", req.Header().Get("Authorization"))
	if _, err := s.Status(ctx, probe); err != nil {
		return nil, err
	}
	return connect.NewResponse(s.timeline(ctx, req.Msg)), nil
}

// Announce implements UpstreamService.
func (s *Server) Announce(ctx context.Context, req *connect.Request[apiv1.AnnounceRequest]) (*connect.Response[apiv1.AnnounceResponse], error) {
	return unary[apiv1.AnnounceRequest, apiv1.AnnounceResponse](ctx, s, peerv1.Method_METHOD_ANNOUNCE, req, true)
}

// Poll implements UpstreamService. A poll is never repeated by the entry: its number
// must reach the leader once.
func (s *Server) Poll(ctx context.Context, req *connect.Request[apiv1.PollRequest]) (*connect.Response[apiv1.PollResponse], error) {
	return unary[apiv1.PollRequest, apiv1.PollResponse](ctx, s, peerv1.Method_METHOD_POLL, req, false)
}
