package entry

import (
	"context"
	"sync/atomic"
	"time"

	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/retry"
	"github.com/pkg/errors"
)

// Forwarder carries a call to one replica. sent is false if the call surely did not arrive.
type Forwarder interface {
	Forward(ctx context.Context, address string, req *peerv1.ForwardRequest) (resp *peerv1.ForwardResponse, sent bool, err error)
}

// ErrNothingProposed tells that a call failed and surely had no effect.
var ErrNothingProposed = errors.New("entry: no leader could be reached; nothing was proposed")

// ErrUndetermined tells that a call failed and may have had an effect.
var ErrUndetermined = errors.New("entry: the call may have had an effect")

const (
	routeBackoffMin = 20 * time.Millisecond
	routeBackoffMax = 500 * time.Millisecond
	// attemptTimeout bounds one attempt, so that a silent connection leaves time for another.
	attemptTimeout = 2500 * time.Millisecond
	// Each call adds a tenth of a retry to the budget.
	retryPerCall = 0.1
	retryReserve = 100
)

// Router finds the leader and carries calls to it within their deadline.
type Router struct {
	forward  Forwarder
	replicas []string
	leader   atomic.Pointer[string]
	next     atomic.Uint32
	budget   *retry.Budget
}

// NewRouter returns a router over the addresses of the replicas.
func NewRouter(f Forwarder, replicas []string) *Router {
	return &Router{forward: f, replicas: replicas, budget: retry.NewBudget(retryPerCall, retryReserve)}
}

// Call carries a call to the leader, retrying within the deadline of ctx. Calls are
// retried after an uncertain end only if idempotent is set.
func (r *Router) Call(ctx context.Context, req *peerv1.ForwardRequest, idempotent bool) (*peerv1.ForwardResponse, error) {
	r.budget.Deposit()
	backoff := retry.Backoff{Min: routeBackoffMin, Max: routeBackoffMax}
	uncertain := false
	for {
		address := r.target()
		resp, sent, err := r.attempt(ctx, address, req)
		status := resp.GetStatus()
		if err == nil && (status == peerv1.ForwardStatus_FORWARD_STATUS_OK || status == peerv1.ForwardStatus_FORWARD_STATUS_REFUSED) {
			r.leader.Store(&address)
			return resp, nil
		}
		if err != nil && sent || status == peerv1.ForwardStatus_FORWARD_STATUS_LOST {
			uncertain = true
		}
		r.redirect(address, resp)
		if uncertain && !idempotent || !r.budget.Withdraw() || retry.Sleep(ctx, backoff.Next()) != nil {
			return nil, fate(uncertain)
		}
	}
}

func fate(uncertain bool) error {
	if uncertain {
		return ErrUndetermined
	}
	return ErrNothingProposed
}

func (r *Router) attempt(ctx context.Context, address string, req *peerv1.ForwardRequest) (*peerv1.ForwardResponse, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return r.forward.Forward(ctx, address, req)
}

// target returns the supposed leader, or the replicas in turn while none is known.
func (r *Router) target() string {
	if l := r.leader.Load(); l != nil {
		return *l
	}
	return r.replicas[int(r.next.Add(1))%len(r.replicas)]
}

// redirect follows a replica's hint, or forgets a leader that did not answer.
func (r *Router) redirect(from string, resp *peerv1.ForwardResponse) {
	if hint := resp.GetLeaderAddress(); hint != "" && hint != from {
		r.leader.Store(&hint)
		return
	}
	r.leader.Store(nil)
}
