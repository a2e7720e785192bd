package client

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1/bulrushwinchv1connect"
	"github.com/bulrushwinch/bulrushwinch/retry"
)

// Config says where and as whom to call.
type Config struct {
	// Addresses are those of entries or of the balancer, as "host:port".
	Addresses []string
	Key       string
	// TLS is used when it is not nil.
	TLS *tls.Config
	// CallTimeout bounds one attempt of a call, beside the time that a Wait asks for;
	// 0 means 10 s, which is longer than an entry tries.
	CallTimeout time.Duration
}

const (
	dialTimeout        = time.Second
	defaultCallTimeout = 10 * time.Second
	// callAttempts bounds the attempts of calls that may be repeated.
	callAttempts   = 3
	backoffMin     = 100 * time.Millisecond
	backoffMax     = 2 * time.Second
	idleConnection = 30 * time.Second
)

// Client calls a cell. It is safe for concurrent use.
type Client struct {
	cfg       Config
	transport *http.Transport
	endpoints []endpoint
	next      atomic.Uint32
}

type endpoint struct {
	caller   bulrushwinchv1connect.CallerServiceClient
	operator bulrushwinchv1connect.OperatorServiceClient
	upstream bulrushwinchv1connect.UpstreamServiceClient
}

// New returns a client.
func New(cfg Config) *Client {
	cfg.CallTimeout = cmp.Or(cfg.CallTimeout, defaultCallTimeout)
	c := &Client{cfg: cfg, transport: &http.Transport{
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSClientConfig: cfg.TLS, IdleConnTimeout: idleConnection, MaxIdleConnsPerHost: 64}}
	scheme := "http://"
	if cfg.TLS != nil {
		scheme = "https://"
	}
	httpClient := &http.Client{Transport: keyTransport{cfg.Key, c.transport}}
	for _, a := range cfg.Addresses {
		url := scheme + a
		c.endpoints = append(c.endpoints, endpoint{
			bulrushwinchv1connect.NewCallerServiceClient(httpClient, url),
			bulrushwinchv1connect.NewOperatorServiceClient(httpClient, url),
			bulrushwinchv1connect.NewUpstreamServiceClient(httpClient, url)})
	}
	return c
}

// keyTransport adds the key to every request.
type keyTransport struct {
	key  string
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.key != "" {
		r = r.Clone(r.Context())
		r.Header.Set("Authorization", "Bearer "+t.key)
	}
	return t.next.RoundTrip(r)
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

func (c *Client) pick() endpoint {
	return c.endpoints[int(c.next.Load())%len(c.endpoints)]
}

// failed turns to the next address and drops connections that may have gone silent.
// The connection of a call that timed out is closed by its transport.
func (c *Client) failed() {
	c.next.Add(1)
	c.transport.CloseIdleConnections()
}

// rpc selects one call of an endpoint.
type rpc[Q, P any] func(endpoint) func(context.Context, *connect.Request[Q]) (*connect.Response[P], error)

// once sends one request to the current address and turns to the next one if it fails.
func once[Q, P any](ctx context.Context, c *Client, timeout time.Duration, call rpc[Q, P], req *Q) (*P, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := call(c.pick())(ctx, connect.NewRequest(req))
	if err != nil {
		if unreachable(err) {
			c.failed()
		}
		return nil, err
	}
	return resp.Msg, nil
}

// unreachable reports whether another entry may answer where this one did not.
func unreachable(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeUnknown, connect.CodeResourceExhausted:
		return true
	}
	return false
}

// do sends a call that may be repeated, a few times if entries can't be reached.
func do[Q, P any](ctx context.Context, c *Client, timeout time.Duration, call rpc[Q, P], req *Q) (resp *P, err error) {
	backoff := retry.Backoff{Min: backoffMin, Max: backoffMax}
	for range callAttempts {
		resp, err = once(ctx, c, timeout, call, req)
		if err == nil || !unreachable(err) || retry.Sleep(ctx, backoff.Next()) != nil {
			return resp, err
		}
	}
	return resp, err
}

// Submit hands in a job and resends it under the same identity until the outcome is
// certain. When ctx ends first, the outcome is undetermined. A first send that one entry
// refused for a passing reason is offered to each of the others.
func (c *Client) Submit(ctx context.Context, req *apiv1.SubmitRequest) (*apiv1.SubmitResponse, error) {
	if req.FirstSentUnixMs == 0 {
		req.FirstSentUnixMs = time.Now().UnixMilli()
		req.FirstSend = true
	}
	backoff := retry.Backoff{Min: backoffMin, Max: backoffMax}
	refusals := 0
	for {
		resp, err := c.submitOnce(ctx, req)
		again := err != nil && !refusedForGood(err) || err == nil && passing(resp.GetOutcome())
		certain := err == nil && resp.GetOutcome().GetKind() == apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN
		if certain {
			refusals++
		}
		if !again || refusals > len(c.endpoints) {
			return resp, err
		}
		if err == nil {
			c.failed()
		}
		req.FirstSend = req.FirstSend && certain
		if sleepErr := retry.Sleep(ctx, backoff.Next()); sleepErr != nil {
			return resp, err
		}
	}
}

func (c *Client) submitOnce(ctx context.Context, req *apiv1.SubmitRequest) (*apiv1.SubmitResponse, error) {
	return once(ctx, c, c.cfg.CallTimeout, func(e endpoint) func(context.Context, *connect.Request[apiv1.SubmitRequest]) (*connect.Response[apiv1.SubmitResponse], error) {
		return e.caller.Submit
	}, req)
}

// refusedForGood reports whether the same request would fail in the same way again.
func refusedForGood(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeUnimplemented:
		return true
	}
	return false
}

// passing reports whether another entry, or this one a moment later, may decide otherwise.
func passing(o *apiv1.Outcome) bool {
	switch o.GetKind() {
	case apiv1.OutcomeKind_OUTCOME_KIND_UNDETERMINED, apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN:
	default:
		return false
	}
	switch o.GetReason() {
	case apiv1.Reason_REASON_NO_LEADER, apiv1.Reason_REASON_OVERLOADED, apiv1.Reason_REASON_DRAINING:
		return true
	}
	return false
}

// Wait waits for the end of a job, at most req.MaxWaitMs.
func (c *Client) Wait(ctx context.Context, req *apiv1.WaitRequest) (*apiv1.WaitResponse, error) {
	timeout := c.cfg.CallTimeout + time.Duration(req.GetMaxWaitMs())*time.Millisecond
	return do(ctx, c, timeout, func(e endpoint) func(context.Context, *connect.Request[apiv1.WaitRequest]) (*connect.Response[apiv1.WaitResponse], error) {
		return e.caller.Wait
	}, req)
}

// Get returns a job as it stands.
func (c *Client) Get(ctx context.Context, req *apiv1.GetRequest) (*apiv1.GetResponse, error) {
	return do(ctx, c, c.cfg.CallTimeout, func(e endpoint) func(context.Context, *connect.Request[apiv1.GetRequest]) (*connect.Response[apiv1.GetResponse], error) {
		return e.caller.Get
	}, req)
}

// Cancel cancels requests.
func (c *Client) Cancel(ctx context.Context, req *apiv1.CancelRequest) (*apiv1.CancelResponse, error) {
	return do(ctx, c, c.cfg.CallTimeout, func(e endpoint) func(context.Context, *connect.Request[apiv1.CancelRequest]) (*connect.Response[apiv1.CancelResponse], error) {
		return e.caller.Cancel
	}, req)
}

// Explain says why a job waits or runs where it does.
func (c *Client) Explain(ctx context.Context, req *apiv1.ExplainRequest) (*apiv1.ExplainResponse, error) {
	return do(ctx, c, c.cfg.CallTimeout, func(e endpoint) func(context.Context, *connect.Request[apiv1.ExplainRequest]) (*connect.Response[apiv1.ExplainResponse], error) {
		return e.caller.Explain
	}, req)
}

// Change applies one change of configuration.
func (c *Client) Change(ctx context.Context, req *apiv1.ChangeRequest) (*apiv1.ChangeResponse, error) {
	return do(ctx, c, c.cfg.CallTimeout, func(e endpoint) func(context.Context, *connect.Request[apiv1.ChangeRequest]) (*connect.Response[apiv1.ChangeResponse], error) {
		return e.operator.Change
	}, req)
}

// Status shows the cell.
func (c *Client) Status(ctx context.Context, req *apiv1.StatusRequest) (*apiv1.StatusResponse, error) {
	return do(ctx, c, c.cfg.CallTimeout, func(e endpoint) func(context.Context, *connect.Request[apiv1.StatusRequest]) (*connect.Response[apiv1.StatusResponse], error) {
		return e.operator.Status
	}, req)
}

// Timeline returns merged events.
func (c *Client) Timeline(ctx context.Context, req *apiv1.TimelineRequest) (*apiv1.TimelineResponse, error) {
	return do(ctx, c, c.cfg.CallTimeout, func(e endpoint) func(context.Context, *connect.Request[apiv1.TimelineRequest]) (*connect.Response[apiv1.TimelineResponse], error) {
		return e.operator.Timeline
	}, req)
}

// Announce implements upstream.API.
func (c *Client) Announce(ctx context.Context, req *apiv1.AnnounceRequest) (*apiv1.AnnounceResponse, error) {
	return do(ctx, c, c.cfg.CallTimeout, func(e endpoint) func(context.Context, *connect.Request[apiv1.AnnounceRequest]) (*connect.Response[apiv1.AnnounceResponse], error) {
		return e.upstream.Announce
	}, req)
}

// Poll implements upstream.API.
func (c *Client) Poll(ctx context.Context, req *apiv1.PollRequest) (*apiv1.PollResponse, error) {
	return once(ctx, c, c.cfg.CallTimeout, func(e endpoint) func(context.Context, *connect.Request[apiv1.PollRequest]) (*connect.Response[apiv1.PollResponse], error) {
		return e.upstream.Poll
	}, req)
}
