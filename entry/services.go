package entry

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
)

// maxCancelled is the maximum number of requests that one Cancel may name.
const maxCancelled = 20_000

// anyKey admits every call: the leader decides which key may see a job.
func anyKey() *refusal { return nil }

func (s *Server) requireRole(req connect.AnyRequest, role apiv1.KeyRole) func() *refusal {
	return func() *refusal { return s.admission.checkRole(keyHash(req), role) }
}

// Wait implements CallerService. It waits at most 30 s, and at most 1.5 s while the entry drains.
func (s *Server) Wait(ctx context.Context, req *connect.Request[apiv1.WaitRequest]) (*connect.Response[apiv1.WaitResponse], error) {
	start := time.Now()
	release, r := s.admit(methodWait, anyKey)
	if r != nil {
		return nil, recordCall(methodWait, start, refusalError(r.outcome(false)))
	}
	defer release()
	resp, err := s.wait(ctx, req)
	if err := recordCall(methodWait, start, err); err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

// wait splits one long wait into several short ones, because the duration of an attempt is
// limited.
func (s *Server) wait(ctx context.Context, req *connect.Request[apiv1.WaitRequest]) (*apiv1.WaitResponse, error) {
	until := time.Now().Add(min(time.Duration(req.Msg.GetMaxWaitMs())*time.Millisecond, maxWait))
	for {
		step := max(0, min(time.Until(until), waitStep))
		resp := &apiv1.WaitResponse{}
		got, err := s.forward(ctx, methodWait, keyHash(req), &apiv1.WaitRequest{Job: req.Msg.GetJob(), MaxWaitMs: step.Milliseconds()}, resp)
		if got.refusal != nil {
			return nil, refusalError(got.refusal)
		}
		if err != nil || resp.GetEnded() || step == 0 || s.isDraining() {
			return resp, err
		}
	}
}

// Get implements CallerService. It returns the current state of a job.
func (s *Server) Get(ctx context.Context, req *connect.Request[apiv1.GetRequest]) (*connect.Response[apiv1.GetResponse], error) {
	return unary[apiv1.GetRequest, apiv1.GetResponse](ctx, s, methodGet, req, anyKey)
}

// Cancel implements CallerService. It accepts at most 20000 request identities.
func (s *Server) Cancel(ctx context.Context, req *connect.Request[apiv1.CancelRequest]) (*connect.Response[apiv1.CancelResponse], error) {
	return unary[apiv1.CancelRequest, apiv1.CancelResponse](ctx, s, methodCancel, req, func() *refusal {
		if n := len(req.Msg.GetRequestIds()); n > maxCancelled {
			return newRefusal(apiv1.Reason_REASON_TOO_LARGE, "%d requests are named; at most %d are taken", n, maxCancelled)
		}
		_, r := s.admission.checkQueue(keyHash(req), req.Msg.GetQueue())
		return r
	})
}

// Explain implements CallerService. It explains the state of a job.
func (s *Server) Explain(ctx context.Context, req *connect.Request[apiv1.ExplainRequest]) (*connect.Response[apiv1.ExplainResponse], error) {
	return unary[apiv1.ExplainRequest, apiv1.ExplainResponse](ctx, s, methodExplain, req, anyKey)
}

// Status implements OperatorService. It returns the state of the cell.
func (s *Server) Status(ctx context.Context, req *connect.Request[apiv1.StatusRequest]) (*connect.Response[apiv1.StatusResponse], error) {
	return unary[apiv1.StatusRequest, apiv1.StatusResponse](ctx, s, methodStatus, req, s.requireRole(req, apiv1.KeyRole_KEY_ROLE_OPERATOR))
}

// Timeline implements OperatorService. A Status call with the same key authenticates the
// operator and lists the processes to collect events from.
func (s *Server) Timeline(ctx context.Context, req *connect.Request[apiv1.TimelineRequest]) (*connect.Response[apiv1.TimelineResponse], error) {
	probe := connect.NewRequest(&apiv1.StatusRequest{})
	probe.Header().Set("Authorization", req.Header().Get("Authorization"))
	status, err := s.Status(ctx, probe)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(s.timeline(ctx, req.Msg, addressesOf(status.Msg))), nil
}

// addressesOf returns the sorted peer addresses of all processes that the leader knows.
func addressesOf(st *apiv1.StatusResponse) []string {
	var out []string
	for _, r := range st.GetReplicas() {
		out = append(out, r.GetAddress())
	}
	for _, p := range st.GetProcesses() {
		out = append(out, p.GetAddress())
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Announce implements UpstreamService. It registers an incarnation of an upstream.
func (s *Server) Announce(ctx context.Context, req *connect.Request[apiv1.AnnounceRequest]) (*connect.Response[apiv1.AnnounceResponse], error) {
	return unary[apiv1.AnnounceRequest, apiv1.AnnounceResponse](ctx, s, methodAnnounce, req, s.requireRole(req, apiv1.KeyRole_KEY_ROLE_UPSTREAM))
}

// Poll implements UpstreamService. If the view has become stale during the call, the entry
// returns an error instead of the leader's commands, and the upstream polls another entry.
func (s *Server) Poll(ctx context.Context, req *connect.Request[apiv1.PollRequest]) (*connect.Response[apiv1.PollResponse], error) {
	resp, err := unary[apiv1.PollRequest, apiv1.PollResponse](ctx, s, methodPoll, req, s.requireRole(req, apiv1.KeyRole_KEY_ROLE_UPSTREAM))
	if r := s.admission.checkViewFresh(); err == nil && r != nil {
		return nil, refusalError(r.outcome(false))
	}
	return resp, err
}
