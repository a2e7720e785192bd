package relay

import (
	"context"
	"expvar"
	"time"

	"github.com/bulrushwinch/bulrushwinch/dispatch"
	"github.com/bulrushwinch/bulrushwinch/lease"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
)

var (
	callsRelayed = expvar.NewInt("relay_calls")
	callsRefused = expvar.NewInt("relay_calls_refused_after_pause")
)

// Server carries the calls of the leader to upstreams.
type Server struct {
	upstreams dispatch.Upstreams
	pauses    *pauseDetector
	log       zerolog.Logger
}

// NewServer returns a server that calls upstreams through u. Watch must run for it to accept calls.
func NewServer(u dispatch.Upstreams, clock lease.Clock, log zerolog.Logger) *Server {
	return &Server{upstreams: u, pauses: newPauseDetector(clock), log: log}
}

// Watch detects pauses of this process until ctx ends.
func (s *Server) Watch(ctx context.Context) error {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if paused := s.pauses.tick(); paused > 0 {
				s.log.Warn().Dur("paused", paused).Msg("process was paused; refusing relayed calls that may be old")
			}
		}
	}
}

// Handle carries one call and returns the response, whose status is always OK.
func (s *Server) Handle(ctx context.Context, req *peerv1.ForwardRequest) *peerv1.ForwardResponse {
	answer := s.answer(ctx, req.GetPayload())
	payload, err := proto.Marshal(answer)
	if err != nil {
		// A checkpoint that is not valid UTF-8 can't be encoded; the call itself was carried out.
		payload, _ = proto.Marshal(&pipelinev1.UpstreamAnswer{Error: "the answer can't be encoded"})
	}
	return &peerv1.ForwardResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_OK, Payload: payload}
}

// answer carries one call.
func (s *Server) answer(ctx context.Context, payload []byte) *pipelinev1.UpstreamAnswer {
	m := &pipelinev1.UpstreamCall{}
	if err := proto.Unmarshal(payload, m); err != nil {
		return &pipelinev1.UpstreamAnswer{Error: err.Error(), NotSent: true}
	}
	if s.pauses.mayBeOld() {
		callsRefused.Add(1)
		return &pipelinev1.UpstreamAnswer{Error: "the relay was paused; the call may be old", NotSent: true}
	}
	callsRelayed.Add(1)
	timeout := time.Duration(m.GetTimeoutMs()) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := s.send(ctx, dispatch.Target{Upstream: m.GetUpstream(), Address: m.GetAddress(), Timeout: timeout}, m)
	if err != nil {
		return &pipelinev1.UpstreamAnswer{Error: err.Error(), NotSent: errors.Is(err, dispatch.ErrNotSent),
			NothingListens: errors.Is(err, dispatch.ErrNothingListens)}
	}
	return answer
}

// send sends a call to its upstream.
func (s *Server) send(ctx context.Context, to dispatch.Target, m *pipelinev1.UpstreamCall) (*pipelinev1.UpstreamAnswer, error) {
	switch c := m.GetCall().(type) {
	case *pipelinev1.UpstreamCall_Start:
		r, err := s.upstreams.Start(ctx, to, startFromProto(c.Start))
		return orderAnswer(r), err
	case *pipelinev1.UpstreamCall_Stop:
		r, err := s.upstreams.Stop(ctx, to, stopFromProto(c.Stop))
		return orderAnswer(r), err
	case *pipelinev1.UpstreamCall_Status:
		r, err := s.upstreams.Status(ctx, to, statusFromProto(c.Status))
		return replyToProto(r), err
	}
	return nil, errors.Wrap(dispatch.ErrNotSent, "unknown call")
}

func orderAnswer(r dispatch.OrderReply) *pipelinev1.UpstreamAnswer {
	return &pipelinev1.UpstreamAnswer{Verdict: verdicts[r.Verdict], ClockMs: r.ClockMS}
}
