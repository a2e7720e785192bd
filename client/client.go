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

// Config configures a Client.
type Config struct {
	// Addresses are those of entries or of a load balancer, as "host:port". At least one is
	// required.
	Addresses []string
	// Key is sent as the bearer token of each call; empty means that none is sent.
	Key string
	// TLS configures TLS; nil means plain HTTP.
	TLS *tls.Config
	// CallTimeout bounds one attempt of a call, in addition to MaxWaitMs of a Wait. 0 means
	// 10 s, which is longer than an entry retries a call.
	CallTimeout time.Duration
}

const (
	dialTimeout        = time.Second
	defaultCallTimeout = 10 * time.Second
	// callAttempts is the maximum number of attempts of a call that may be repeated.
	callAttempts = 3
	backoffMin   = 100 * time.Millisecond
	backoffMax   = 2 * time.Second
	idleTimeout  = 30 * time.Second
)

// Client calls the entries of a cell. It is safe for concurrent use.
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

// New returns a client. It opens no connection before the first call.
func New(cfg Config) *Client {
	cfg.CallTimeout = cmp.Or(cfg.CallTimeout, defaultCallTimeout)
	c := &Client{cfg: cfg, transport: &http.Transport{
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSClientConfig: cfg.TLS, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 64}}
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

// keyTransport adds the key to the Authorization header of every request.
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

func (c *Client) currentEndpoint() endpoint {
	return c.endpoints[int(c.next.Load())%len(c.endpoints)]
}

// switchEndpoint selects the next address and closes idle connections, which may no longer work.
// The connection of a call that timed out is closed by its transport.
func (c *Client) switchEndpoint() {
	c.next.Add(1)
	c.transport.CloseIdleConnections()
}

// rpc selects one method of an endpoint.
type rpc[Q, P any] func(endpoint) func(context.Context, *connect.Request[Q]) (*connect.Response[P], error)

// callOnce sends one request to the current address. It selects the next address if another
// entry may answer instead.
func callOnce[Q, P any](ctx context.Context, c *Client, timeout time.Duration, call rpc[Q, P], req *Q) (*P, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := call(c.currentEndpoint())(ctx, connect.NewRequest(req))
	if err != nil {
		if retryElsewhere(err) {
			c.switchEndpoint()
		}
		return nil, err
	}
	return resp.Msg, nil
}

// retryElsewhere reports whether another entry may answer after this one failed with err.
func retryElsewhere(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeUnknown, connect.CodeResourceExhausted:
		return true
	}
	return false
}

// callWithRetry sends a call that may be repeated, up to callAttempts times while entries
// cannot be reached.
func callWithRetry[Q, P any](ctx context.Context, c *Client, timeout time.Duration, call rpc[Q, P], req *Q) (resp *P, err error) {
	backoff := retry.Backoff{Min: backoffMin, Max: backoffMax}
	for range callAttempts {
		resp, err = callOnce(ctx, c, timeout, call, req)
		if err == nil || !retryElsewhere(err) || retry.Sleep(ctx, backoff.Next()) != nil {
			return resp, err
		}
	}
	return resp, err
}

// Submit submits a job and resends it under the same request_id until the outcome is
// certain. If ctx ends first, the outcome is undetermined. A job that one entry refused for
// a transient reason is sent to each of the other entries. Submit sets FirstSentUnixMs and
// FirstSend of req if FirstSentUnixMs is 0.
func (c *Client) Submit(ctx context.Context, req *apiv1.SubmitRequest) (*apiv1.SubmitResponse, error) {
	if req.FirstSentUnixMs == 0 {
		req.FirstSentUnixMs = time.Now().UnixMilli()
		req.FirstSend = true
	}
	backoff := retry.Backoff{Min: backoffMin, Max: backoffMax}
	refusals := 0
	for {
		resp, err := c.submitOnce(ctx, req)
		retryable := err != nil && !isPermanent(err) || err == nil && isTransient(resp.GetOutcome())
		notRun := err == nil && resp.GetOutcome().GetKind() == apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN
		if notRun {
			refusals++
		}
		if !retryable || refusals > len(c.endpoints) {
			return resp, err
		}
		if err == nil {
			c.switchEndpoint()
		}
		req.FirstSend = req.FirstSend && notRun
		if sleepErr := retry.Sleep(ctx, backoff.Next()); sleepErr != nil {
			return resp, err
		}
	}
}

func (c *Client) submitOnce(ctx context.Context, req *apiv1.SubmitRequest) (*apiv1.SubmitResponse, error) {
	return callOnce(ctx, c, c.cfg.CallTimeout, func(e endpoint) func(context.Context, *connect.Request[apiv1.SubmitRequest]) (*connect.Response[apiv1.SubmitResponse], error) {
		return e.caller.Submit
	}, req)
}

// isPermanent reports whether a resend of the same request would fail in the same way.
func isPermanent(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeUnimplemented:
		return true
	}
	return false
}

// isTransient reports whether another entry, or the same one later, may return another outcome.
func isTransient(o *apiv1.Outcome) bool {
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

// Wait waits for the end of a job, at most req.MaxWaitMs milliseconds. Like the calls below
// except Poll, it is attempted up to three times while entries cannot be reached.
func (c *Client) Wait(ctx context.Context, req *apiv1.WaitRequest) (*apiv1.WaitResponse, error) {
	timeout := c.cfg.CallTimeout + time.Duration(req.GetMaxWaitMs())*time.Millisecond
	return callWithRetry(ctx, c, timeout, func(e endpoint) func(context.Context, *connect.Request[apiv1.WaitRequest]) (*connect.Response[apiv1.WaitResponse], error) {
		return e.caller.Wait
	}, req)
}

// Get returns the current state of a job.
func (c *Client) Get(ctx context.Context, req *apiv1.GetRequest) (*apiv1.GetResponse, error) {
	return callWithRetry(ctx, c, c.cfg.CallTimeout, func(e endpoint) func(context.Context, *connect.Request[apiv1.GetRequest]) (*connect.Response[apiv1.GetResponse], error) {
		return e.caller.Get
	}, req)
}

// Cancel cancels the named requests or all jobs of the team in a queue.
func (c *Client) Cancel(ctx context.Context, req *apiv1.CancelRequest) (*apiv1.CancelResponse, error) {
	return callWithRetry(ctx, c, c.cfg.CallTimeout, func(e endpoint) func(context.Context, *connect.Request[apiv1.CancelRequest]) (*connect.Response[apiv1.CancelResponse], error) {
		return e.caller.Cancel
	}, req)
}

// Explain returns the reasons why a job is waiting or runs where it does.
func (c *Client) Explain(ctx context.Context, req *apiv1.ExplainRequest) (*apiv1.ExplainResponse, error) {
	return callWithRetry(ctx, c, c.cfg.CallTimeout, func(e endpoint) func(context.Context, *connect.Request[apiv1.ExplainRequest]) (*connect.Response[apiv1.ExplainResponse], error) {
		return e.caller.Explain
	}, req)
}

// Change applies one configuration change. It needs an operator's key.
func (c *Client) Change(ctx context.Context, req *apiv1.ChangeRequest) (*apiv1.ChangeResponse, error) {
	return callWithRetry(ctx, c, c.cfg.CallTimeout, func(e endpoint) func(context.Context, *connect.Request[apiv1.ChangeRequest]) (*connect.Response[apiv1.ChangeResponse], error) {
		return e.operator.Change
	}, req)
}

// Status returns the configuration and state of the cell. It needs an operator's key.
func (c *Client) Status(ctx context.Context, req *apiv1.StatusRequest) (*apiv1.StatusResponse, error) {
	return callWithRetry(ctx, c, c.cfg.CallTimeout, func(e endpoint) func(context.Context, *connect.Request[apiv1.StatusRequest]) (*connect.Response[apiv1.StatusResponse], error) {
		return e.operator.Status
	}, req)
}

// Timeline returns the events of all processes merged in causal order. It needs an operator's
// key.
func (c *Client) Timeline(ctx context.Context, req *apiv1.TimelineRequest) (*apiv1.TimelineResponse, error) {
	return callWithRetry(ctx, c, c.cfg.CallTimeout, func(e endpoint) func(context.Context, *connect.Request[apiv1.TimelineRequest]) (*connect.Response[apiv1.TimelineResponse], error) {
		return e.operator.Timeline
	}, req)
}

// Announce implements upstream.API. It registers an incarnation of an upstream.
func (c *Client) Announce(ctx context.Context, req *apiv1.AnnounceRequest) (*apiv1.AnnounceResponse, error) {
	return callWithRetry(ctx, c, c.cfg.CallTimeout, func(e endpoint) func(context.Context, *connect.Request[apiv1.AnnounceRequest]) (*connect.Response[apiv1.AnnounceResponse], error) {
		return e.upstream.Announce
	}, req)
}

// Poll implements upstream.API. It sends the poll once; the caller repeats a failed poll under
// a new sequence number.
func (c *Client) Poll(ctx context.Context, req *apiv1.PollRequest) (*apiv1.PollResponse, error) {
	return callOnce(ctx, c, c.cfg.CallTimeout, func(e endpoint) func(context.Context, *connect.Request[apiv1.PollRequest]) (*connect.Response[apiv1.PollResponse], error) {
		return e.upstream.Poll
	}, req)
}
