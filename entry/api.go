package entry

import (
	"context"
	"crypto/sha256"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/state"
	"github.com/bulrushwinch/bulrushwinch/timeline"
	"github.com/bulrushwinch/bulrushwinch/view"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// callTimeout bounds a call whose own deadline is not earlier.
	callTimeout = 8 * time.Second
	// maxWait bounds one Wait call, waitStep each forwarded attempt of it.
	maxWait  = 30 * time.Second
	waitStep = 1500 * time.Millisecond
)

// Server implements CallerService, OperatorService and UpstreamService. It is safe for
// concurrent use.
type Server struct {
	process   string
	router    *Router
	events    *timeline.Recorder
	settings  state.Settings
	timeline  TimelineSource
	admission *admission

	drainOnce sync.Once
	draining  chan struct{}
}

// TimelineSource collects the events that match filter, of this process and of those at the
// given peer addresses.
type TimelineSource func(ctx context.Context, filter *apiv1.TimelineRequest, addresses []string) *apiv1.TimelineResponse

// Option configures a Server.
type Option func(*options)

type options struct {
	limits Limits
	view   *view.Store
}

// WithLimits replaces DefaultLimits.
func WithLimits(l Limits) Option { return func(o *options) { o.limits = l } }

// WithView lets the server authenticate calls by the view before it forwards them, and refuse
// all calls while the view is stale. Without it, only the leader authenticates.
func WithView(v *view.Store) Option { return func(o *options) { o.view = v } }

// NewServer returns a server that forwards calls through router. process is the name of this
// process, events records the submits, and source serves Timeline calls.
func NewServer(process string, router *Router, events *timeline.Recorder, source TimelineSource, opts ...Option) *Server {
	o := options{limits: DefaultLimits}
	for _, opt := range opts {
		opt(&o)
	}
	return &Server{process: process, router: router, events: events, settings: state.DefaultSettings, timeline: source,
		admission: newAdmission(o.limits, o.view), draining: make(chan struct{})}
}

// Drain makes Wait calls return after their current attempt, which waits at most 1.5 s. Calls
// are still accepted until the listener closes. Drain may be called more than once.
func (s *Server) Drain() { s.drainOnce.Do(func() { close(s.draining) }) }

func (s *Server) isDraining() bool {
	select {
	case <-s.draining:
		return true
	default:
		return false
	}
}

// method describes one public method.
type method struct {
	id         peerv1.Method
	name       string
	class      class
	idempotent bool
}

// Methods that are forwarded. The entry does not repeat a poll that got no reply, because a
// leader must receive its sequence number only once.
var (
	methodSubmit   = method{peerv1.Method_METHOD_SUBMIT, "submit", classBatch, true}
	methodWait     = method{peerv1.Method_METHOD_WAIT, "wait", classWait, true}
	methodGet      = method{peerv1.Method_METHOD_GET, "get", classCaller, true}
	methodCancel   = method{peerv1.Method_METHOD_CANCEL, "cancel", classCaller, true}
	methodExplain  = method{peerv1.Method_METHOD_EXPLAIN, "explain", classCaller, true}
	methodChange   = method{peerv1.Method_METHOD_CHANGE, "change", classOperator, true}
	methodStatus   = method{peerv1.Method_METHOD_STATUS, "status", classOperator, true}
	methodAnnounce = method{peerv1.Method_METHOD_ANNOUNCE, "announce", classOperator, true}
	methodPoll     = method{peerv1.Method_METHOD_POLL, "poll", classPoll, false}
)

// forwardResult is the leader's response to a forwarded call, besides the response message.
type forwardResult struct {
	refusal *apiv1.Outcome
	// uncertain is set when an earlier attempt of the call may have had an effect.
	uncertain bool
}

// forward sends one request to the leader and decodes the response into resp.
func (s *Server) forward(ctx context.Context, m method, key []byte, req, resp proto.Message) (forwardResult, error) {
	return s.forwardSeen(ctx, m, key, req, resp, nil)
}

// forwardSeen is forward with the revision that the call is bound to, or nil.
func (s *Server) forwardSeen(ctx context.Context, m method, key []byte, req, resp proto.Message, seen *uint64) (forwardResult, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	payload, err := proto.Marshal(req)
	if err != nil {
		return forwardResult{}, connect.NewError(connect.CodeInvalidArgument, err)
	}
	answer, err := s.router.Call(ctx, &peerv1.ForwardRequest{Method: m.id, Payload: payload, KeySha256: key,
		Process: s.process, WallNs: s.events.Clock().Now().WallNS, SeenRevision: seen}, m.idempotent)
	if err != nil {
		return forwardResult{}, err
	}
	s.events.Clock().Observe(answer.GetWallNs())
	if answer.GetStatus() == peerv1.ForwardStatus_FORWARD_STATUS_REFUSED {
		return forwardResult{answer.GetRefusal(), answer.Uncertain}, nil
	}
	return forwardResult{uncertain: answer.Uncertain}, proto.Unmarshal(answer.GetPayload(), resp)
}

// keyHash returns the SHA-256 of the bearer token in the call's header, or nil if there is none.
func keyHash(req connect.AnyRequest) []byte {
	key, ok := strings.CutPrefix(req.Header().Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil
	}
	sum := sha256.Sum256([]byte(key))
	return sum[:]
}

// admit admits a call if the view is fresh, authorize does not refuse it and the limits allow
// it; release must be called at the end of the call.
func (s *Server) admit(m method, authorize func() *refusal) (release func(), r *refusal) {
	if r := s.admission.checkViewFresh(); r != nil {
		return nil, r
	}
	if r := authorize(); r != nil {
		return nil, r
	}
	return s.admission.acquire(m.class)
}

// sender forwards an admitted request and decodes the response.
type sender[QM, PM proto.Message] func(ctx context.Context, m method, key []byte, req QM, resp PM) (forwardResult, error)

// unary admits and forwards a call whose refusals are returned as errors.
func unary[Q, P any, QM interface {
	*Q
	proto.Message
}, PM interface {
	*P
	proto.Message
}](ctx context.Context, s *Server, m method, req *connect.Request[Q], authorize func() *refusal) (*connect.Response[P], error) {
	send := func(ctx context.Context, m method, key []byte, req QM, resp PM) (forwardResult, error) {
		return s.forward(ctx, m, key, req, resp)
	}
	return unaryWith[Q, P, QM, PM](ctx, s, m, req, authorize, send)
}

// unaryWith is unary with a function that forwards the request.
func unaryWith[Q, P any, QM interface {
	*Q
	proto.Message
}, PM interface {
	*P
	proto.Message
}](ctx context.Context, s *Server, m method, req *connect.Request[Q], authorize func() *refusal, send sender[QM, PM]) (*connect.Response[P], error) {
	start := time.Now()
	release, r := s.admit(m, authorize)
	if r != nil {
		return nil, recordCall(m, start, refusalError(r.outcome(false)))
	}
	defer release()
	resp := connect.NewResponse(new(P))
	got, err := send(ctx, m, keyHash(req), QM(req.Msg), PM(resp.Msg))
	if got.uncertain {
		got.refusal = downgradeNotRun(got.refusal, false)
		downgradeResponse(resp.Msg)
	}
	if got.refusal != nil {
		err = refusalError(got.refusal)
	}
	if err := recordCall(m, start, err); err != nil {
		return nil, err
	}
	return resp, nil
}

// recordCall records the latency and result of a call and converts err for the public API.
func recordCall(m method, start time.Time, err error) error {
	latencies.record(m.name, time.Since(start))
	err = publicError(err)
	if err == nil {
		calls.Add(m.name+".ok", 1)
		return nil
	}
	calls.Add(m.name+"."+connect.CodeOf(err).String(), 1)
	return err
}

// publicError converts errors of the router to errors with an outcome that callers can act on.
func publicError(err error) error {
	switch {
	case errors.Is(err, ErrNothingProposed), errors.Is(err, ErrUndetermined):
		return refusalError(&apiv1.Outcome{Kind: apiv1.OutcomeKind_OUTCOME_KIND_UNDETERMINED,
			Reason: apiv1.Reason_REASON_NO_LEADER, Detail: err.Error()})
	}
	return err
}

// connectCodes maps the reasons of refusals to RPC codes; all others map to FailedPrecondition.
var connectCodes = map[apiv1.Reason]connect.Code{
	apiv1.Reason_REASON_BAD_REQUEST:         connect.CodeInvalidArgument,
	apiv1.Reason_REASON_KEY_UNKNOWN:         connect.CodeUnauthenticated,
	apiv1.Reason_REASON_KEY_WITHDRAWN:       connect.CodeUnauthenticated,
	apiv1.Reason_REASON_KEY_OF_ANOTHER_TEAM: connect.CodePermissionDenied,
	apiv1.Reason_REASON_NOT_PERMITTED:       connect.CodePermissionDenied,
	apiv1.Reason_REASON_QUEUE_UNKNOWN:       connect.CodeNotFound,
	apiv1.Reason_REASON_NOT_FOUND:           connect.CodeNotFound,
	apiv1.Reason_REASON_OVERLOADED:          connect.CodeResourceExhausted,
	apiv1.Reason_REASON_TOO_LARGE:           connect.CodeInvalidArgument,
	apiv1.Reason_REASON_NO_LEADER:           connect.CodeUnavailable,
	apiv1.Reason_REASON_DRAINING:            connect.CodeUnavailable,
}

// refusalError converts an outcome to an RPC error, with the outcome attached as an error detail.
func refusalError(o *apiv1.Outcome) error {
	code, ok := connectCodes[o.GetReason()]
	if !ok {
		code = connect.CodeFailedPrecondition
	}
	err := connect.NewError(code, errors.New(o.GetDetail()))
	if detail, detailErr := connect.NewErrorDetail(o); detailErr == nil {
		err.AddDetail(detail)
	}
	return err
}
