package entry

import (
	"context"
	"crypto/sha256"
	"strings"
	"time"

	"connectrpc.com/connect"
	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/state"
	"github.com/bulrushwinch/bulrushwinch/timeline"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// callTimeout bounds calls that bring no deadline of their own.
	callTimeout = 10 * time.Second
	// maxWait bounds one Wait call.
	maxWait = 30 * time.Second
	// waitMargin is what is left of a call's time to bring the answer home.
	waitMargin = 2 * time.Second
)

// Server implements the public services.
type Server struct {
	process  string
	router   *Router
	events   *timeline.Recorder
	settings state.Settings
	timeline TimelineSource
}

// TimelineSource gathers the events of all processes.
type TimelineSource func(ctx context.Context, filter *apiv1.TimelineRequest) *apiv1.TimelineResponse

// NewServer returns a server that forwards through router.
func NewServer(process string, router *Router, events *timeline.Recorder, source TimelineSource) *Server {
	return &Server{process: process, router: router, events: events, settings: state.DefaultSettings, timeline: source}
}

// call forwards one request and decodes its answer into resp.
func (s *Server) call(ctx context.Context, method peerv1.Method, key []byte, req, resp proto.Message, idempotent bool) (*apiv1.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+maxWait)
	defer cancel()
	payload, err := proto.Marshal(req)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	r, err := s.router.Call(ctx, &peerv1.ForwardRequest{Method: method, Payload: payload, KeySha256: key,
		Process: s.process, WallNs: s.events.Clock().Now().WallNS}, idempotent)
	if err != nil {
		return nil, err
	}
	if r.GetStatus() == peerv1.ForwardStatus_FORWARD_STATUS_REFUSED {
		return r.GetRefusal(), nil
	}
	return nil, proto.Unmarshal(r.GetPayload(), resp)
}

// keyHash returns the hash of the key in the call's header, or nil.
func keyHash(req connect.AnyRequest) []byte {
	key, ok := strings.CutPrefix(req.Header().Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil
	}
	sum := sha256.Sum256([]byte(key))
	return sum[:]
}

// rpcError turns a refusal or a routing error into an error of the public schema.
func rpcError(refusal *apiv1.Outcome, err error) error {
	switch {
	case refusal != nil:
		return connect.NewError(connect.CodeFailedPrecondition, errors.New(refusal.GetDetail()))
	case errors.Is(err, ErrNothingProposed), errors.Is(err, ErrUndetermined):
		return connect.NewError(connect.CodeUnavailable, err)
	}
	return err
}

// unary forwards a call whose errors need no outcome of their own.
func unary[Q, P any, QM interface {
	*Q
	proto.Message
}, PM interface {
	*P
	proto.Message
}](ctx context.Context, s *Server, method peerv1.Method, req *connect.Request[Q], idempotent bool) (*connect.Response[P], error) {
	resp := connect.NewResponse(new(P))
	refusal, err := s.call(ctx, method, keyHash(req), QM(req.Msg), PM(resp.Msg), idempotent)
	if refusal != nil || err != nil {
		return nil, rpcError(refusal, err)
	}
	return resp, nil
}
