package upstream

import (
	"context"
	"sync"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lease"
	"github.com/bulrushwinch/bulrushwinch/retry"
	"github.com/pkg/errors"
)

// Causes with which a task's context is cancelled.
var (
	ErrStop       = errors.New("upstream: the task was told to stop")
	ErrCheckpoint = errors.New("upstream: the task was told to checkpoint and stop")
	ErrLeaseEnded = errors.New("upstream: the lease ended")
)

// API is how an Agent reaches the system; each call must keep its deadline.
type API interface {
	Announce(ctx context.Context, req *apiv1.AnnounceRequest) (*apiv1.AnnounceResponse, error)
	Poll(ctx context.Context, req *apiv1.PollRequest) (*apiv1.PollResponse, error)
}

// Task is one attempt to run.
type Task struct {
	Job        uint64
	Index      int32
	Attempt    uint32
	Payload    []byte
	Resources  *apiv1.Resources
	Checkpoint []byte
	// LeaseHeld reports whether the worker still holds its lease. A VM that was suspended
	// resumes its tasks before the agent can stop them, so a task must ask before each
	// effect that is seen outside the worker.
	LeaseHeld func() bool
}

// Result is how an attempt ended.
type Result struct {
	// State is one of the final report states.
	State apiv1.ReportState
	// Body is the answer, or the checkpoint of a checkpointed task.
	Body   []byte
	Detail string
}

// Runner carries out tasks. Run must return soon after ctx is cancelled.
type Runner interface {
	Run(ctx context.Context, t Task) Result
}

// Config describes the worker.
type Config struct {
	Name          string
	FailureDomain string
	Rack          string
	VM            string
	Capacity      *apiv1.Resources
	// Incarnation must grow with every start of the worker; 0 takes the wall clock.
	Incarnation uint64
	// PollTimeout bounds one poll, including the time that it is held.
	PollTimeout time.Duration
	Terms       lease.Terms
}

const (
	defaultPollTimeout = 3 * time.Second
	// minPollAge is how long a poll stays open before a local event replaces it.
	minPollAge = 5 * time.Millisecond
	retryMin   = 50 * time.Millisecond
	retryMax   = time.Second
)

type taskKey struct {
	job     uint64
	index   int32
	attempt uint32
}

func keyOf(r *apiv1.TaskRef) taskKey {
	return taskKey{r.GetJobId(), r.GetTask(), r.GetAttempt()}
}

// running is one attempt known to the agent, until its end is acknowledged.
type running struct {
	task   Task
	report *apiv1.TaskReport
	cancel context.CancelCauseFunc
	began  time.Duration
}

// Agent runs one worker.
type Agent struct {
	cfg    Config
	api    API
	runner Runner
	clock  lease.Clock

	mu       sync.Mutex
	tasks    map[taskKey]*running
	sequence uint64
	term     uint64
	leaving  bool
	// leavingTold is set once a poll that carried the wish to leave was answered.
	leavingTold bool
	// leaseEnd is when tasks have to begin to stop.
	leaseEnd time.Duration

	// changed wakes the poll loop after a local event.
	changed chan struct{}
	wg      sync.WaitGroup
}

// New returns an agent; Run starts it.
func New(cfg Config, api API, runner Runner, clock lease.Clock) *Agent {
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(time.Now().UnixNano())
	}
	if cfg.PollTimeout == 0 {
		cfg.PollTimeout = defaultPollTimeout
	}
	if cfg.Terms == (lease.Terms{}) {
		cfg.Terms = lease.DefaultTerms
	}
	return &Agent{cfg: cfg, api: api, runner: runner, clock: clock,
		tasks: make(map[taskKey]*running), changed: make(chan struct{}, 1)}
}

// Leave asks for no new work. Run returns once no task is left.
func (a *Agent) Leave() {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.wake()
}

// Run announces the worker and polls until ctx ends or the worker has left.
func (a *Agent) Run(ctx context.Context) error {
	defer a.wg.Wait()
	defer a.stopAll(ErrStop)
	watch, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	a.wg.Add(1)
	go a.watchLease(watch)
	if err := a.announce(ctx); err != nil {
		return err
	}
	backoff := retry.Backoff{Min: retryMin, Max: retryMax}
	for ctx.Err() == nil && !a.left() {
		again, err := a.pollOnce(ctx)
		switch {
		case err != nil:
			if err := retry.Sleep(ctx, backoff.Next()); err != nil {
				return err
			}
		case again:
			if err := a.restart(ctx); err != nil {
				return err
			}
		default:
			backoff.Reset()
		}
	}
	return ctx.Err()
}

// left reports whether a leaving worker has said so and has nothing more to report.
func (a *Agent) left() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leavingTold && len(a.tasks) == 0
}

// leaseHeld reports whether tasks may go on.
func (a *Agent) leaseHeld() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.clock.Now() < a.leaseEnd
}

// announce registers the current incarnation, retrying until it is taken.
func (a *Agent) announce(ctx context.Context) error {
	backoff := retry.Backoff{Min: retryMin, Max: retryMax}
	for {
		resp, err := a.tryAnnounce(ctx)
		if err == nil && resp.GetOutcome().GetKind() == apiv1.OutcomeKind_OUTCOME_KIND_ACCEPTED {
			return nil
		}
		if resp.GetOutcome().GetReason() == apiv1.Reason_REASON_STALE_INCARNATION {
			a.cfg.Incarnation = max(a.cfg.Incarnation+1, uint64(time.Now().UnixNano()))
		}
		if err := retry.Sleep(ctx, backoff.Next()); err != nil {
			return err
		}
	}
}

func (a *Agent) tryAnnounce(ctx context.Context) (*apiv1.AnnounceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, a.cfg.PollTimeout)
	defer cancel()
	return a.api.Announce(ctx, &apiv1.AnnounceRequest{Upstream: a.cfg.Name, Incarnation: a.cfg.Incarnation,
		FailureDomain: a.cfg.FailureDomain, Rack: a.cfg.Rack, Vm: a.cfg.VM, Capacity: a.cfg.Capacity})
}

// restart begins a new incarnation after the system has given up the old one.
func (a *Agent) restart(ctx context.Context) error {
	a.stopAll(ErrStop)
	if err := a.waitTasks(ctx); err != nil {
		return err
	}
	a.mu.Lock()
	clear(a.tasks)
	a.sequence = 0
	if a.leaving {
		// The system has given this worker up, so that it gets nothing more.
		a.leavingTold = true
		a.mu.Unlock()
		return nil
	}
	a.cfg.Incarnation = max(a.cfg.Incarnation+1, uint64(time.Now().UnixNano()))
	a.mu.Unlock()
	return a.announce(ctx)
}
