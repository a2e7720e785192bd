package relay

import (
	"context"

	"github.com/bulrushwinch/bulrushwinch/dispatch"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// Forwarder sends a call to another process of the cell; *peer.Pool implements it.
type Forwarder interface {
	// Forward sends a call to the process at address. sent is false if it certainly did not arrive.
	Forward(ctx context.Context, address string, req *peerv1.ForwardRequest) (resp *peerv1.ForwardResponse, sent bool, err error)
}

// Client calls upstreams through the relay that the target names, or directly if it names none. It
// implements dispatch.Upstreams and is safe for concurrent use.
type Client struct {
	direct  dispatch.Upstreams
	forward Forwarder
	process string
}

// NewClient returns a client of the named process.
func NewClient(direct dispatch.Upstreams, forward Forwarder, process string) *Client {
	return &Client{direct: direct, forward: forward, process: process}
}

var _ dispatch.Upstreams = (*Client)(nil)

// Start implements dispatch.Upstreams.
func (c *Client) Start(ctx context.Context, to dispatch.Target, s dispatch.Start) (dispatch.OrderReply, error) {
	if to.Via == "" {
		return c.direct.Start(ctx, to, s)
	}
	return orderReply(c.call(ctx, to, startToProto(s)))
}

// Stop implements dispatch.Upstreams.
func (c *Client) Stop(ctx context.Context, to dispatch.Target, o dispatch.Order) (dispatch.OrderReply, error) {
	if to.Via == "" {
		return c.direct.Stop(ctx, to, o)
	}
	return orderReply(c.call(ctx, to, stopToProto(o)))
}

// Status implements dispatch.Upstreams.
func (c *Client) Status(ctx context.Context, to dispatch.Target, r dispatch.StatusRequest) (dispatch.StatusReply, error) {
	if to.Via == "" {
		return c.direct.Status(ctx, to, r)
	}
	a, err := c.call(ctx, to, statusToProto(r))
	if err != nil {
		return dispatch.StatusReply{}, err
	}
	return replyFromProto(a), nil
}

func orderReply(a *pipelinev1.UpstreamAnswer, err error) (dispatch.OrderReply, error) {
	if err != nil {
		return dispatch.OrderReply{}, err
	}
	return dispatch.OrderReply{Verdict: fromVerdicts[a.GetVerdict()], ClockMS: a.GetClockMs()}, nil
}

// call sends a call to the relay of a target and returns the upstream's answer. A response other than
// OK comes from a process that does not relay, so that nothing was sent.
func (c *Client) call(ctx context.Context, to dispatch.Target, m *pipelinev1.UpstreamCall) (*pipelinev1.UpstreamAnswer, error) {
	m.Upstream, m.Address, m.TimeoutMs = to.Upstream, to.Address, to.Timeout.Milliseconds()
	payload, err := proto.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(dispatch.ErrNotSent, err.Error())
	}
	resp, sent, err := c.forward.Forward(ctx, to.Via, &peerv1.ForwardRequest{Method: peerv1.Method_METHOD_RELAY, Payload: payload, Process: c.process})
	switch {
	case err != nil && !sent:
		return nil, errors.Wrapf(dispatch.ErrNotSent, "relay %s: %v", to.Via, err)
	case err != nil:
		return nil, errors.Wrapf(err, "relay %s", to.Via)
	case resp.GetStatus() != peerv1.ForwardStatus_FORWARD_STATUS_OK:
		return nil, errors.Wrapf(dispatch.ErrNotSent, "relay %s: %s", to.Via, resp.GetStatus())
	}
	a := &pipelinev1.UpstreamAnswer{}
	if err := proto.Unmarshal(resp.GetPayload(), a); err != nil {
		return nil, errors.Wrapf(err, "relay %s", to.Via)
	}
	switch {
	case a.GetError() != "" && a.GetNothingListens():
		return nil, errors.Wrapf(dispatch.ErrNothingListens, "relay %s: %s", to.Via, a.GetError())
	case a.GetError() != "" && a.GetNotSent():
		return nil, errors.Wrapf(dispatch.ErrNotSent, "relay %s: %s", to.Via, a.GetError())
	case a.GetError() != "":
		return nil, errors.Errorf("relay %s: %s", to.Via, a.GetError())
	case fromVerdicts[a.GetVerdict()] == "":
		return nil, errors.Errorf("relay %s: unknown verdict %s", to.Via, a.GetVerdict())
	}
	return a, nil
}
