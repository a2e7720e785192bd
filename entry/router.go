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
	// attemptTimeout bounds one attempt. It is longer than the time that the leader holds
	// a poll, and leaves time for another attempt after a silent connection.
	attemptTimeout = 2500 * time.Millisecond
	// Each call adds a tenth of a retry to the budget.
	retryPerCall = 0.1
	retryReserve = 100
	// maxHops bounds hints that are followed without a pause.
	maxHops = 2
)

// Router finds the leader and carries calls to it within their deadline. It is safe for
// concurrent use.
//
// While no leader is known, one call at a time looks for it and the others wait for
// what it finds: an election costs neither retries of the budget nor a storm of calls.
type Router struct {
	forward Forwarder
	budget  *retry.Budget
	next    atomic.Uint32
	// search is held by the one call that looks for the leader.
	search chan struct{}
	// backoffMax bounds the pauses of a search.
	backoffMax time.Duration

	mu       sync.Mutex
	replicas []string
	leader   string
	// lostAt is since when no leader has answered; zero while one does.
	lostAt time.Time
	found  chan struct{}
}

// NewRouter returns a router over the addresses of the replicas.
func NewRouter(f Forwarder, replicas []string) *Router {
	return &Router{forward: f, replicas: replicas, budget: retry.NewBudget(retryPerCall, retryReserve),
		backoffMax: routeBackoffMax, search: make(chan struct{}, 1), lostAt: time.Now(), found: make(chan struct{})}
}

// Answer is a leader's response to a call.
type Answer struct {
	*peerv1.ForwardResponse
	// Uncertain is set when an earlier attempt of the same call may have had an effect.
	Uncertain bool
}

// route is the progress of one call.
type route struct {
	router    *Router
	req       *peerv1.ForwardRequest
	backoff   retry.Backoff
	searching bool
	uncertain bool
	hops      int
	// timeout bounds one attempt.
	timeout time.Duration
}

// Call carries a call to the leader, retrying within the deadline of ctx. A call whose
// answer may still be on its way is repeated only if idempotent is set.
func (r *Router) Call(ctx context.Context, req *peerv1.ForwardRequest, idempotent bool) (Answer, error) {
	return r.CallWithin(ctx, req, idempotent, attemptTimeout)
}

// CallWithin is Call with a bound of its own on each attempt.
func (r *Router) CallWithin(ctx context.Context, req *peerv1.ForwardRequest, idempotent bool, timeout time.Duration) (Answer, error) {
	r.budget.Deposit()
	t := &route{router: r, req: req, timeout: timeout, backoff: retry.Backoff{Min: routeBackoffMin, Max: r.backoffMax}}
	defer t.endSearch()
	for {
		address, err := t.target(ctx)
		if err != nil {
			return Answer{}, t.fate()
		}
		resp, pause, end := t.attempt(ctx, address)
		switch {
		case resp != nil:
			return Answer{resp, t.uncertain}, nil
		case end == unheard && !idempotent, end != unsent && !r.budget.Withdraw():
			return Answer{}, t.fate()
		case pause && retry.Sleep(ctx, t.backoff.Next()) != nil:
			return Answer{}, t.fate()
		}
	}
}

// fate tells whether a call that ends without an answer may have had an effect.
func (t *route) fate() error {
	if t.uncertain {
		return ErrUndetermined
	}
	return ErrNothingProposed
}

// ending is how an attempt without an answer ended.
type ending int

const (
	// unsent means that the attempt surely had no effect.
	unsent ending = iota
	// lost means that a replica said that the leadership ended before the answer.
	lost
	// unheard means that nothing was heard: an answer may have been sent.
	unheard
)

// attempt sends the call once. Without an answer it tells whether to pause before the
// next attempt and how this one ended.
func (t *route) attempt(ctx context.Context, address string) (resp *peerv1.ForwardResponse, pause bool, end ending) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	resp, sent, err := t.router.forward.Forward(ctx, address, t.req)
	switch {
	case err != nil && sent:
		end = unheard
	case err != nil:
	case resp.GetStatus() == peerv1.ForwardStatus_FORWARD_STATUS_OK, resp.GetStatus() == peerv1.ForwardStatus_FORWARD_STATUS_REFUSED:
		t.router.answered(address)
		return resp, false, unsent
	case resp.GetStatus() == peerv1.ForwardStatus_FORWARD_STATUS_NOT_LEADER:
		return nil, !t.follow(address, resp.GetLeaderAddress()), unsent
	default:
		end = lost
	}
	t.router.forget(address)
	t.uncertain = t.uncertain || end != unsent
	return nil, true, end
}

// follow turns to the leader that a replica named; false means that it named none, or
// that hints were followed in vain.
func (t *route) follow(from, hint string) bool {
	t.router.forget(from)
	if hint == "" || hint == from || t.hops >= maxHops {
		t.hops = 0
		return false
	}
	t.hops++
	t.router.SetLeader(hint)
	return true
}

// target returns the leader's address. While none is known it returns replicas in turn
// to the one call that looks for the leader, and lets the others wait.
func (t *route) target(ctx context.Context) (string, error) {
	for {
		leader, found := t.router.current()
		if leader != "" {
			t.endSearch()
			return leader, nil
		}
		if t.searching {
			return t.router.nextReplica(), nil
		}
		select {
		case t.router.search <- struct{}{}:
			t.searching = true
		case <-found:
		case <-ctx.Done():
			return "", ctx.Err()
		}
	}
}

func (t *route) endSearch() {
	if t.searching {
		t.searching = false
		<-t.router.search
	}
}

// SetBackoffMax bounds the pauses of a search for the leader; it must be called before the
// first call.
func (r *Router) SetBackoffMax(d time.Duration) { r.backoffMax = d }

// SetReplicas replaces the addresses at which the leader is looked for.
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

func (r *Router) current() (string, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader, r.found
}

// SetLeader tells the router which replica leads and lets waiting calls go on.
func (r *Router) SetLeader(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leader == address {
		return
	}
	r.leader = address
	close(r.found)
	r.found = make(chan struct{})
}

// forget drops a leader that did not act as one.
func (r *Router) forget(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leader == address {
		r.leader = ""
	}
	if r.lostAt.IsZero() {
		r.lostAt = time.Now()
	}
}

// answered notes that a replica has acted as the leader.
func (r *Router) answered(address string) {
	r.SetLeader(address)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lostAt = time.Time{}
}

// LeaderlessFor returns how long ago the last leader was lost, zero while one answers. Hints that
// other replicas give do not count as a leader.
func (r *Router) LeaderlessFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lostAt.IsZero() {
		return 0
	}
	return time.Since(r.lostAt)
}
