package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/retry"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// Forwarder sends calls to replicas.
type Forwarder interface {
	// Forward sends a call to the replica at address. sent is false if the call certainly did
	// not arrive.
	Forward(ctx context.Context, address string, req *peerv1.ForwardRequest) (resp *peerv1.ForwardResponse, sent bool, err error)
}

// ErrNothingProposed means that a call failed and certainly had no effect.
var ErrNothingProposed = errors.New("entry: no leader could be reached; nothing was proposed")

// LeaderlessReturn is when a caller whose call had no effect, because no leader was reached, should return.
// An election takes a fraction of it. It is not longer for a longer outage: callers have a deadline of a few
// seconds, and most can use one more try before it.
const LeaderlessReturn = time.Second

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
	// budgetPause is the time between checks of an empty retry budget.
	budgetPause = 100 * time.Millisecond
	// unreachableTime is how long a leader that did not answer counts as unreachable: other replicas
	// that follow it are asked to pass calls on.
	unreachableTime = 5 * time.Second
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
	// via is the replica that passes calls on to the leader; empty if calls are sent to it directly.
	via string
	// unreachable is the leader that did not answer, until unreachableUntil.
	unreachable      string
	unreachableUntil time.Time
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

// Bounds bound a call.
type Bounds struct {
	// Attempt bounds one attempt.
	Attempt time.Duration
	// Search bounds the search for a leader as long as the call certainly has had no effect; zero
	// means no bound but the deadline of the call. Once it may have had one, only an answer tells, and
	// the call goes on until its deadline.
	Search time.Duration
	// NoEffect is set for calls that have no effect, such as reads: one without an answer is never undetermined.
	NoEffect bool
}

// routedCall is the state of one call while it is routed.
type routedCall struct {
	router        *Router
	req           *peerv1.ForwardRequest
	backoff       retry.Backoff
	searching     bool
	uncertain     bool
	hintsFollowed int
	bounds        Bounds
	began         time.Time
}

// Call sends a call to the leader and retries within the deadline of ctx. A call that was sent
// but got no reply is repeated only if idempotent is set, because its response may still be on
// the way. A call whose replica reported the loss of its leadership is repeated in any case. The
// error is ErrNothingProposed or ErrUndetermined.
func (r *Router) Call(ctx context.Context, req *peerv1.ForwardRequest, idempotent bool) (Answer, error) {
	return r.CallWithin(ctx, req, idempotent, Bounds{Attempt: attemptTimeout})
}

// CallWithin is Call with the given bounds instead of 2.5 s for each attempt. The error of a call with
// Bounds.NoEffect is always ErrNothingProposed.
func (r *Router) CallWithin(ctx context.Context, req *peerv1.ForwardRequest, idempotent bool, bounds Bounds) (Answer, error) {
	r.budget.Deposit()
	t := &routedCall{router: r, req: req, bounds: bounds, began: time.Now(), backoff: retry.Backoff{Min: routeBackoffMin, Max: r.backoffMax}}
	defer t.endSearch()
	for {
		to, err := t.target(ctx)
		if err != nil {
			return Answer{}, t.failure()
		}
		resp, pause, end := t.attempt(ctx, to)
		switch {
		case resp != nil:
			return Answer{resp, t.uncertain}, nil
		case end == endNoReply && !idempotent:
			return Answer{}, t.failure()
		case end != endNoEffect && !r.awaitRetry(ctx):
			return Answer{}, t.failure()
		case pause && retry.Sleep(ctx, t.backoff.Next()) != nil:
			return Answer{}, t.failure()
		}
	}
}

// awaitRetry takes a retry from the budget. If there is none, it waits for one until the deadline of the call: only the
// leader's answer tells what became of it. It returns false if there is none by then, or if ctx has no deadline.
func (r *Router) awaitRetry(ctx context.Context) bool {
	for !r.budget.Withdraw() {
		if _, ok := ctx.Deadline(); !ok || retry.Sleep(ctx, budgetPause) != nil {
			return false
		}
	}
	return true
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
func (t *routedCall) attempt(ctx context.Context, to route) (resp *peerv1.ForwardResponse, pause bool, end attemptEnd) {
	ctx, cancel := context.WithTimeout(ctx, t.bounds.Attempt)
	defer cancel()
	resp, sent, err := t.router.forward.Forward(ctx, to.address, t.request(to))
	switch {
	case err != nil && sent:
		end = endNoReply
	case err != nil:
	case resp.GetStatus() == peerv1.ForwardStatus_FORWARD_STATUS_OK, resp.GetStatus() == peerv1.ForwardStatus_FORWARD_STATUS_REFUSED:
		t.router.confirmLeader(to)
		return resp, false, endNoEffect
	case resp.GetStatus() == peerv1.ForwardStatus_FORWARD_STATUS_NOT_LEADER:
		return nil, !t.followHint(to, resp.GetLeaderAddress()), endNoEffect
	default:
		end = endLeadershipLost
	}
	t.router.routeFailed(to, err != nil)
	t.uncertain = t.uncertain || end != endNoEffect && !t.bounds.NoEffect
	return nil, true, end
}

// request returns the call as it is sent on a route.
func (t *routedCall) request(to route) *peerv1.ForwardRequest {
	if !to.passOn {
		return t.req
	}
	req := proto.CloneOf(t.req)
	req.PassOn = true
	return req
}

// followHint sets the leader that a replica named; if that one is unreachable, the replica is to pass
// calls on to it. It returns false if the replica named none or maxHints hints in a row did not lead to
// the leader.
func (t *routedCall) followHint(from route, hint string) bool {
	t.router.routeFailed(from, false)
	if hint == "" || hint == from.address || t.hintsFollowed >= maxHints {
		t.hintsFollowed = 0
		return false
	}
	t.hintsFollowed++
	t.router.setRoute(hint, from.address)
	return true
}

// route is where a call is sent.
type route struct {
	address string
	// passOn is set if the replica at the address is to pass the call on to the leader.
	passOn bool
}

// target returns the route to the leader. While none is known, it returns the replicas in turn to
// the one call that searches for the leader, and blocks the other calls. It fails when the deadline
// of the call or its search is over.
func (t *routedCall) target(ctx context.Context) (route, error) {
	if t.bounds.Search > 0 && !t.uncertain {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, t.began.Add(t.bounds.Search))
		defer cancel()
	}
	for {
		to, changed := t.router.currentRoute()
		if to.address != "" {
			t.endSearch()
			return to, ctx.Err()
		}
		if t.searching {
			return route{address: t.router.nextReplica()}, ctx.Err()
		}
		select {
		case t.router.searchSlot <- struct{}{}:
			t.searching = true
		case <-changed:
		case <-ctx.Done():
			return route{}, ctx.Err()
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

// currentRoute returns the route to the leader; its address is empty if none is known. After
// unreachableTime a leader that was unreachable is tried directly again.
func (r *Router) currentRoute() (route, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.via != "" && !time.Now().Before(r.unreachableUntil) {
		r.via = ""
	}
	if r.via != "" {
		return route{r.via, true}, r.leaderChanged
	}
	return route{address: r.leader}, r.leaderChanged
}

// SetLeader sets the address of the leader, which is reached directly, and wakes the calls that wait
// for it.
func (r *Router) SetLeader(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.change(address, "")
}

// setRoute sets the leader that a replica named; the replica passes calls on if it is unreachable.
func (r *Router) setRoute(leader, by string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if leader == r.unreachable && time.Now().Before(r.unreachableUntil) {
		r.change(leader, by)
		return
	}
	r.change(leader, "")
}

// change sets the route and wakes the calls that wait for one. The caller holds the lock.
func (r *Router) change(leader, via string) {
	if r.leader == leader && r.via == via {
		return
	}
	r.leader, r.via = leader, via
	close(r.leaderChanged)
	r.leaderChanged = make(chan struct{})
}

// routeFailed clears the route to the leader if it is the given one, on which no leader answered. With
// unreachable set, the process at the end of the route did not answer at all.
func (r *Router) routeFailed(to route, unreachable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case to.passOn && r.via == to.address:
		r.leader, r.via = "", ""
	case !to.passOn && r.via == "" && r.leader == to.address:
		r.leader = ""
		if unreachable {
			r.unreachable, r.unreachableUntil = to.address, time.Now().Add(unreachableTime)
		}
	}
	if r.lostAt.IsZero() {
		r.lostAt = time.Now()
	}
}

// confirmLeader records that a leader has answered on a route.
func (r *Router) confirmLeader(to route) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !to.passOn {
		r.change(to.address, "")
	}
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
