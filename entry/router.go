package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/retry"
	"github.com/pkg/errors"
)

// Forwarder sends calls to replicas.
type Forwarder interface {
	// Forward sends a call to the replica at address. sent is false if the call certainly did
	// not arrive.
	Forward(ctx context.Context, address string, req *peerv1.ForwardRequest) (resp *peerv1.ForwardResponse, sent bool, err error)
}

// ErrNothingProposed means that a call failed and certainly had no effect.
var ErrNothingProposed = errors.New("entry: no leader could be reached; nothing was proposed")

// ErrUndetermined means that a call failed and may have had an effect.
var ErrUndetermined = errors.New("entry: the call may have had an effect")

const (
	// routeBackoffMin and routeBackoffMax bound the pauses between attempts.
	routeBackoffMin = 20 * time.Millisecond
	routeBackoffMax = 500 * time.Millisecond
	// attemptTimeout bounds one attempt. It is longer than the time that the leader holds
	// a poll, and leaves time for another attempt after a connection that does not respond.
	attemptTimeout = 2500 * time.Millisecond
	// retryPerCall is the part of a retry that each call adds to the retry budget, retryReserve
	// the maximum of the budget.
	retryPerCall = 0.1
	retryReserve = 100
	// maxHints is the number of leader hints that are followed in a row without a pause.
	maxHints = 2
)

// Router finds the leader and sends calls to it within their deadline. It is safe for
// concurrent use.
//
// While no leader is known, one call at a time searches for it by trying the replicas in turn,
// and the others wait for the result. So an election neither uses up the retry budget nor
// causes a storm of calls.
type Router struct {
	forward Forwarder
	budget  *retry.Budget
	next    atomic.Uint32
	// searchSlot is held by the one call that searches for the leader.
	searchSlot chan struct{}
	// backoffMax bounds the pauses between attempts.
	backoffMax time.Duration

	mu       sync.Mutex
	replicas []string
	leader   string
	// lostAt is the time since which no leader has answered; zero while one does.
	lostAt time.Time
	// leaderChanged is closed and replaced when the address of the leader changes.
	leaderChanged chan struct{}
}

// NewRouter returns a router that sends calls through f and searches for the leader among the
// given addresses of replicas. There must be at least one when the first call is made.
func NewRouter(f Forwarder, replicas []string) *Router {
	return &Router{forward: f, replicas: replicas, budget: retry.NewBudget(retryPerCall, retryReserve),
		backoffMax: routeBackoffMax, searchSlot: make(chan struct{}, 1), lostAt: time.Now(), leaderChanged: make(chan struct{})}
}

// Answer is the leader's response to a call.
type Answer struct {
	*peerv1.ForwardResponse
	// Uncertain is set when an earlier attempt of the same call may have had an effect.
	Uncertain bool
}

// routedCall is the state of one call while it is routed.
type routedCall struct {
	router        *Router
	req           *peerv1.ForwardRequest
	backoff       retry.Backoff
	searching     bool
	uncertain     bool
	hintsFollowed int
	// timeout bounds one attempt.
	timeout time.Duration
}

// Call sends a call to the leader and retries within the deadline of ctx. A call that was sent
// but got no reply is repeated only if idempotent is set, because its response may still be on
// the way. A call whose replica reported the loss of its leadership is repeated in any case. The
// error is ErrNothingProposed or ErrUndetermined.
func (r *Router) Call(ctx context.Context, req *peerv1.ForwardRequest, idempotent bool) (Answer, error) {
	return r.CallWithin(ctx, req, idempotent, attemptTimeout)
}

// CallWithin is Call with the given timeout on each attempt instead of 2.5 s.
func (r *Router) CallWithin(ctx context.Context, req *peerv1.ForwardRequest, idempotent bool, timeout time.Duration) (Answer, error) {
	r.budget.Deposit()
	t := &routedCall{router: r, req: req, timeout: timeout, backoff: retry.Backoff{Min: routeBackoffMin, Max: r.backoffMax}}
	defer t.endSearch()
	for {
		address, err := t.target(ctx)
		if err != nil {
			return Answer{}, t.failure()
		}
		resp, pause, end := t.attempt(ctx, address)
		switch {
		case resp != nil:
			return Answer{resp, t.uncertain}, nil
		case end == endNoReply && !idempotent, end != endNoEffect && !r.budget.Withdraw():
			return Answer{}, t.failure()
		case pause && retry.Sleep(ctx, t.backoff.Next()) != nil:
			return Answer{}, t.failure()
		}
	}
}

// failure returns the error of a call that ends without a response, which tells whether it may
// have had an effect.
func (t *routedCall) failure() error {
	if t.uncertain {
		return ErrUndetermined
	}
	return ErrNothingProposed
}

// attemptEnd is how an attempt without a response ended.
type attemptEnd int

const (
	// endNoEffect means that the attempt certainly had no effect.
	endNoEffect attemptEnd = iota
	// endLeadershipLost means that the replica reported the loss of its leadership after the
	// proposal.
	endLeadershipLost
	// endNoReply means that no response arrived, although the call may have been executed.
	endNoReply
)

// attempt sends the call once. If there is no response, it returns whether to pause before the
// next attempt and how this one ended.
func (t *routedCall) attempt(ctx context.Context, address string) (resp *peerv1.ForwardResponse, pause bool, end attemptEnd) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	resp, sent, err := t.router.forward.Forward(ctx, address, t.req)
	switch {
	case err != nil && sent:
		end = endNoReply
	case err != nil:
	case resp.GetStatus() == peerv1.ForwardStatus_FORWARD_STATUS_OK, resp.GetStatus() == peerv1.ForwardStatus_FORWARD_STATUS_REFUSED:
		t.router.confirmLeader(address)
		return resp, false, endNoEffect
	case resp.GetStatus() == peerv1.ForwardStatus_FORWARD_STATUS_NOT_LEADER:
		return nil, !t.followHint(address, resp.GetLeaderAddress()), endNoEffect
	default:
		end = endLeadershipLost
	}
	t.router.clearLeader(address)
	t.uncertain = t.uncertain || end != endNoEffect
	return nil, true, end
}

// followHint sets the leader that a replica named. It returns false if the replica named none or
// maxHints hints in a row did not lead to the leader.
func (t *routedCall) followHint(from, hint string) bool {
	t.router.clearLeader(from)
	if hint == "" || hint == from || t.hintsFollowed >= maxHints {
		t.hintsFollowed = 0
		return false
	}
	t.hintsFollowed++
	t.router.SetLeader(hint)
	return true
}

// target returns the leader's address. While none is known, it returns the replicas in turn to
// the one call that searches for the leader, and blocks the other calls.
func (t *routedCall) target(ctx context.Context) (string, error) {
	for {
		leader, changed := t.router.currentLeader()
		if leader != "" {
			t.endSearch()
			return leader, nil
		}
		if t.searching {
			return t.router.nextReplica(), nil
		}
		select {
		case t.router.searchSlot <- struct{}{}:
			t.searching = true
		case <-changed:
		case <-ctx.Done():
			return "", ctx.Err()
		}
	}
}

func (t *routedCall) endSearch() {
	if t.searching {
		t.searching = false
		<-t.router.searchSlot
	}
}

// SetBackoffMax sets the upper bound of the backoff between attempts; the default is 500 ms. It
// must be called before the first Call.
func (r *Router) SetBackoffMax(d time.Duration) { r.backoffMax = d }

// SetReplicas replaces the addresses among which the leader is searched for.
func (r *Router) SetReplicas(addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replicas = addresses
}

func (r *Router) nextReplica() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replicas[int(r.next.Add(1))%len(r.replicas)]
}

func (r *Router) currentLeader() (string, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader, r.leaderChanged
}

// SetLeader sets the address of the leader and wakes the calls that wait for it.
func (r *Router) SetLeader(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leader == address {
		return
	}
	r.leader = address
	close(r.leaderChanged)
	r.leaderChanged = make(chan struct{})
}

// clearLeader clears the leader's address if it is the given one, which did not answer as leader.
func (r *Router) clearLeader(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leader == address {
		r.leader = ""
	}
	if r.lostAt.IsZero() {
		r.lostAt = time.Now()
	}
}

// confirmLeader records that a replica has answered as the leader.
func (r *Router) confirmLeader(address string) {
	r.SetLeader(address)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lostAt = time.Time{}
}

// LeaderlessFor returns how long no leader has answered: zero while one does, otherwise the time
// since the last one was lost or since NewRouter. Hints from replicas do not count as a leader.
func (r *Router) LeaderlessFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lostAt.IsZero() {
		return 0
	}
	return time.Since(r.lostAt)
}
