package control

import (
	"context"
	"fmt"
	"sync/atomic"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/contain"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/bulrushwinch/bulrushwinch/replica"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// Errors that end a call without a response from its handler.
var (
	// ErrNotLeader ends a call that waited for a leadership that has ended.
	ErrNotLeader = errors.New("control: not the leader")
	// errAnnounceAgain ends a poll of an incarnation that is lost or that the leader does not know.
	errAnnounceAgain = errors.New("control: upstream must announce itself again")
	// errStalePoll ends a poll that a later one or a newer incarnation replaces. Its text is sent
	// as the detail of a refusal.
	errStalePoll = errors.New("control: a later poll has been seen")
	// ErrNothingProposed ends a call for which nothing was proposed when the leadership ended or the call did.
	ErrNothingProposed = errors.Wrap(ErrNotLeader, "nothing was proposed")
)

// refusalError ends a call with an outcome that states why it was refused.
type refusalError struct {
	outcome *apiv1.Outcome
}

// Error returns the detail of the outcome.
func (e refusalError) Error() string { return e.outcome.GetDetail() }

// notFound returns a refusal with REASON_NOT_FOUND. The kind is undetermined, since nothing is
// known of the job or request that the call is about.
func notFound(format string, args ...any) error {
	return refusalError{&apiv1.Outcome{Kind: apiv1.OutcomeKind_OUTCOME_KIND_UNDETERMINED,
		Reason: apiv1.Reason_REASON_NOT_FOUND, Detail: fmt.Sprintf(format, args...)}}
}

// Forward sends a call to the replica at an address. sent is false if the call certainly did not
// arrive.
type Forward func(ctx context.Context, address string, req *peerv1.ForwardRequest) (resp *peerv1.ForwardResponse, sent bool, err error)

// passOnAge is the time since the leader was last heard, in ticks, up to which calls are passed on to
// it. The leader sends heartbeats every other tick.
const passOnAge = 4

// SetPassOn makes the controller pass calls on to the leader for processes that can't reach it. It must
// be called before the node runs.
func (c *Controller) SetPassOn(f Forward) { c.passOn = f }

// SetContain makes unexpected errors in the handling of a call end that call only. It must be called
// before the node runs.
func (c *Controller) SetContain(r contain.Reporter) { c.contain = r }

// begin starts a call. An unexpected error ends it as one that may have had an effect: it is not a call
// to repeat.
func (c *Controller) begin(method peerv1.Method, start func(call), k call) {
	defer c.contain.Recover(method.String(), func() {
		k.finish(nil, refusalError{&apiv1.Outcome{Kind: apiv1.OutcomeKind_OUTCOME_KIND_UNDETERMINED, Detail: "unexpected error"}})
	})
	start(k)
}

// passCallOn sends a call to the leader for a process that can't reach it. The response is NOT_LEADER
// if the leader certainly did not get it, and LOST if it did not answer.
func (c *Controller) passCallOn(ctx context.Context, leader string, req *peerv1.ForwardRequest) *peerv1.ForwardResponse {
	req = proto.CloneOf(req)
	req.PassOn = false
	resp, sent, err := c.passOn(ctx, leader, req)
	switch {
	case err == nil:
		return resp
	case sent:
		return &peerv1.ForwardResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_LOST}
	}
	return &peerv1.ForwardResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_NOT_LEADER}
}

// result is what a call returns from the control goroutine.
type result struct {
	message proto.Message
	err     error
}

// effect decides once whether a call may have an effect: either its handler is about to cause one, or nobody waits
// for the call any more and it is withdrawn.
type effect struct{ decided atomic.Bool }

// effectKey is the context key of the effect of a call that has begun without one.
type effectKey struct{}

func (e *effect) claim() bool { return e.decided.CompareAndSwap(false, true) }

// MayPropose reports whether something may be proposed for the call with this context. It is false if the call was
// answered with NOT_LEADER because it ended before. An Engine must ask once before it proposes a submission; all other
// calls have been claimed before it gets them.
func MayPropose(ctx context.Context) bool {
	e, ok := ctx.Value(effectKey{}).(*effect)
	return !ok || e.claim()
}

// call is one request on the control goroutine; finish must be called once, immediately or later.
type call struct {
	ctx context.Context
	// key is the SHA-256 hash of the caller's key.
	key []byte
	// seenRevision is the one in a change's ForwardRequest.
	seenRevision *uint64
	finish       func(proto.Message, error)
}

// Handle serves a forwarded call and waits for its result. It is safe for concurrent use.
// The status NOT_LEADER means that nothing was proposed; LOST means that the call may have
// had an effect.
func (c *Controller) Handle(ctx context.Context, req *peerv1.ForwardRequest) *peerv1.ForwardResponse {
	start, refusal := c.decode(req)
	if refusal != nil {
		return &peerv1.ForwardResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_REFUSED, Refusal: refusal}
	}
	done := make(chan result, 1)
	leader, passOn := "", false
	fate := &effect{}
	err := c.node.Post(ctx, func() {
		if !c.leading {
			leader = c.leader.Address
			passOn = req.GetPassOn() && c.passOn != nil && leader != "" && c.node.Raft().TicksSinceLeader() <= passOnAge
			done <- result{err: raft.ErrNotLeader}
			return
		}
		if fate.decided.Load() || req.GetMethod() != peerv1.Method_METHOD_PIPELINE && !fate.claim() {
			return
		}
		c.begin(req.GetMethod(), start, call{ctx: context.WithValue(ctx, effectKey{}, fate), key: req.GetKeySha256(), seenRevision: req.SeenRevision, finish: func(m proto.Message, err error) {
			select {
			case done <- result{m, err}:
			default:
			}
		}})
	})
	if err != nil {
		return &peerv1.ForwardResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_NOT_LEADER}
	}
	select {
	case r := <-done:
		if passOn {
			return c.passCallOn(ctx, leader, req)
		}
		return c.respond(r, leader)
	case <-ctx.Done():
	case <-c.node.Done():
	}
	if fate.claim() {
		return &peerv1.ForwardResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_NOT_LEADER}
	}
	return &peerv1.ForwardResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_LOST}
}

// respond turns the result of a call into a response.
func (c *Controller) respond(r result, leader string) *peerv1.ForwardResponse {
	var refused refusalError
	switch {
	case errors.Is(r.err, raft.ErrNotLeader), errors.Is(r.err, raft.ErrTransferring), errors.Is(r.err, ErrNothingProposed):
		return &peerv1.ForwardResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_NOT_LEADER, LeaderAddress: leader}
	case errors.Is(r.err, replica.ErrLost), errors.Is(r.err, ErrNotLeader):
		return &peerv1.ForwardResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_LOST}
	case errors.As(r.err, &refused):
		return &peerv1.ForwardResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_REFUSED, Refusal: refused.outcome}
	case errors.Is(r.err, errStalePoll):
		return refusedResponse(apiv1.Reason_REASON_STALE_INCARNATION, r.err.Error())
	case r.err != nil:
		return refusedResponse(apiv1.Reason_REASON_BAD_REQUEST, r.err.Error())
	}
	payload, err := proto.Marshal(r.message)
	if err != nil {
		return refusedResponse(apiv1.Reason_REASON_BAD_REQUEST, err.Error())
	}
	return &peerv1.ForwardResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_OK, Payload: payload}
}

// refusedResponse refuses a call whose effect is undetermined.
func refusedResponse(reason apiv1.Reason, detail string) *peerv1.ForwardResponse {
	return &peerv1.ForwardResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_REFUSED,
		Refusal: &apiv1.Outcome{Kind: apiv1.OutcomeKind_OUTCOME_KIND_UNDETERMINED, Reason: reason, Detail: detail}}
}

// decode parses the payload and returns the function to run on the control goroutine, or
// the refusal of a call that can't be decoded.
func (c *Controller) decode(req *peerv1.ForwardRequest) (func(call), *apiv1.Outcome) {
	switch req.GetMethod() {
	case peerv1.Method_METHOD_SUBMIT:
		return decodeAs(req, c.submit)
	case peerv1.Method_METHOD_WAIT:
		return decodeAs(req, c.wait)
	case peerv1.Method_METHOD_GET:
		return decodeAs(req, c.get)
	case peerv1.Method_METHOD_CANCEL:
		return decodeAs(req, c.cancel)
	case peerv1.Method_METHOD_EXPLAIN:
		return decodeAs(req, c.explain)
	case peerv1.Method_METHOD_CHANGE:
		return decodeAs(req, c.change)
	case peerv1.Method_METHOD_STATUS:
		return decodeAs(req, c.status)
	case peerv1.Method_METHOD_ANNOUNCE:
		return decodeAs(req, c.announce)
	case peerv1.Method_METHOD_POLL:
		return decodeAs(req, c.poll)
	case peerv1.Method_METHOD_PIPELINE:
		return decodeAs(req, c.pipelineCall)
	}
	return nil, badCall("unknown method")
}

// badCall returns the refusal of a call that can't be decoded.
func badCall(detail string) *apiv1.Outcome {
	return &apiv1.Outcome{Kind: apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN, Reason: apiv1.Reason_REASON_BAD_REQUEST, Detail: detail}
}

// decodeAs parses the payload as an M and returns a function that calls work with it.
func decodeAs[T any, M interface {
	*T
	proto.Message
}](req *peerv1.ForwardRequest, work func(call, M)) (func(call), *apiv1.Outcome) {
	m := M(new(T))
	if err := proto.Unmarshal(req.GetPayload(), m); err != nil {
		return nil, badCall("request can't be decoded: " + err.Error())
	}
	return func(k call) { work(k, m) }, nil
}

// onControl runs work on the control goroutine and returns what it sends on done; ok is
// false if ctx or the node ends first.
func onControl[T any](ctx context.Context, c *Controller, done <-chan T, work func()) (result T, ok bool) {
	if c.node.Post(ctx, work) != nil {
		return result, false
	}
	select {
	case result = <-done:
		return result, true
	case <-ctx.Done():
	case <-c.node.Done():
	}
	return result, false
}
