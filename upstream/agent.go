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

// Causes with which a task's context is cancelled; context.Cause returns them.
var (
	// ErrStop means that the leader stopped the task, or that the agent is shutting down.
	ErrStop = errors.New("upstream: the task was told to stop")
	// ErrCheckpoint means that the task must return a checkpoint and stop.
	ErrCheckpoint = errors.New("upstream: the task was told to checkpoint and stop")
	// ErrLeaseEnded means that the worker's lease expired before it was renewed.
	ErrLeaseEnded = errors.New("upstream: the lease ended")
)

// API carries an Agent's calls to the cell; each call must return by the deadline of its
// context. client.Client implements it.
type API interface {
	// Announce registers an incarnation of the worker.
	Announce(ctx context.Context, req *apiv1.AnnounceRequest) (*apiv1.AnnounceResponse, error)
	// Poll reports the worker's tasks, renews its lease and returns commands.
	Poll(ctx context.Context, req *apiv1.PollRequest) (*apiv1.PollResponse, error)
}

// Task is one attempt of a task that a Runner executes.
type Task struct {
	// Job is the number of the job.
	Job uint64
	// Index is the position of the task in its job, from 0.
	Index int32
	// Attempt is the number of the attempt, from 1.
	Attempt uint32
	// Payload is the input of the task.
	Payload []byte
	// Resources are those reserved for the task.
	Resources *apiv1.Resources
	// Checkpoint is the checkpoint of the previous attempt; empty if there is none.
	Checkpoint []byte
	// LeaseHeld reports whether the worker still holds its lease. A VM that was suspended
	// resumes its tasks before the agent can stop them, so a task must call LeaseHeld before
	// each effect that is visible outside the worker.
	LeaseHeld func() bool
}

// Result is the result of an attempt.
type Result struct {
	// State is one of the final report states: succeeded, failed, stopped, checkpointed or
	// refused. Any other state is reported as a failure.
	State apiv1.ReportState
	// Body is the answer, or the checkpoint of a checkpointed task, of at most 1 MiB. A task
	// with a larger answer is reported as failed, one with a larger checkpoint as stopped.
	Body []byte
	// Detail explains the result; it is truncated to 1 KiB.
	Detail string
}

// Runner executes tasks.
type Runner interface {
	// Run executes one attempt and returns its result. It is called concurrently, once per
	// attempt, and must return soon after ctx is cancelled.
	Run(ctx context.Context, t Task) Result
}

// Config describes the worker.
type Config struct {
	// Name is the unique name of the upstream.
	Name string
	// FailureDomain is the failure domain of the VM.
	FailureDomain string
	// Rack is the rack of the VM.
	Rack string
	// VM is the name of the VM.
	VM string
	// Capacity is what the worker offers to tasks.
	Capacity *apiv1.Resources
	// Incarnation must increase with every start of the worker; 0 means the wall clock in
	// Unix nanoseconds.
	Incarnation uint64
	// PollTimeout bounds one poll, including the time that the leader holds it; 0 means 3 s.
	PollTimeout time.Duration
	// Terms default to lease.DefaultTerms. The agent does not use them: each poll response
	// carries the lease duration and the start window.
	Terms lease.Terms
}

const (
	defaultPollTimeout = 3 * time.Second
	// lastPollTimeout bounds the poll that tells the cell that the process ends.
	lastPollTimeout = 500 * time.Millisecond
	// minPollAge is the minimum time that a poll stays open before a local event replaces it
	// by a new one.
	minPollAge = 5 * time.Millisecond
	// retryMin and retryMax bound the backoff between failed calls.
	retryMin = 50 * time.Millisecond
	retryMax = time.Second
)

type taskKey struct {
	job     uint64
	index   int32
	attempt uint32
}

func keyOf(r *apiv1.TaskRef) taskKey {
	return taskKey{r.GetJobId(), r.GetTask(), r.GetAttempt()}
}

// attempt is one attempt that the agent reports until its end is acknowledged. cancel is set
// while it runs.
type attempt struct {
	task      Task
	report    *apiv1.TaskReport
	cancel    context.CancelCauseFunc
	startedAt time.Duration
}

// Agent runs the protocol of an upstream for one worker. Run, Leave and the tasks'
// LeaseHeld may be used concurrently.
type Agent struct {
	cfg    Config
	api    API
	runner Runner
	clock  lease.Clock

	mu       sync.Mutex
	tasks    map[taskKey]*attempt
	sequence uint64
	term     uint64
	leaving  bool
	// leavingReported is set once a poll with the leaving flag was answered.
	leavingReported bool
	// announced is set once the cell has accepted an announcement.
	announced bool
	// leaseEnd is the time on clock from which tasks must stop.
	leaseEnd time.Duration

	// changed wakes the poll loop after a local event.
	changed chan struct{}
	wg      sync.WaitGroup
}

// New returns an agent; Run starts it. clock must count the time that the VM is suspended,
// like lease.BootClock.
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
		tasks: make(map[taskKey]*attempt), changed: make(chan struct{}, 1)}
}

// Leave asks the cell for no new work. Run returns once the cell has confirmed this and no task is
// left to report.
func (a *Agent) Leave() {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.wake()
}

// Run announces the worker and polls until ctx ends or the worker has left after Leave. It
// returns the error of ctx, or nil if the worker has left. Before it returns, it stops all
// tasks, tells the cell that the worker leaves, and waits for the tasks.
func (a *Agent) Run(ctx context.Context) error {
	defer a.wg.Wait()
	defer a.end(ctx)
	watch, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	a.wg.Add(1)
	go a.watchLease(watch)
	if err := a.announce(ctx); err != nil {
		return err
	}
	backoff := retry.Backoff{Min: retryMin, Max: retryMax}
	for ctx.Err() == nil && !a.hasLeft() {
		reannounce, err := a.pollOnce(ctx)
		switch {
		case err != nil:
			if err := retry.Sleep(ctx, backoff.Next()); err != nil {
				return err
			}
		case reannounce:
			if err := a.restart(ctx); err != nil {
				return err
			}
		default:
			backoff.Reset()
		}
	}
	return ctx.Err()
}

// end stops all tasks. It first tells the cell that the worker leaves, unless the cell knows, so
// that the end of the process is not taken for a crash. The tasks are listed as they were before
// they were stopped.
func (a *Agent) end(ctx context.Context) {
	var last *apiv1.PollRequest
	if a.announced && !a.hasLeft() {
		last, _ = a.composePoll()
		last.Leaving = true
	}
	a.stopAll(ErrStop)
	if last == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastPollTimeout)
	defer cancel()
	_, _ = a.api.Poll(ctx, last) // The process ends with or without an answer.
}

// hasLeft reports whether the cell knows that the worker is leaving and no task is left to report.
func (a *Agent) hasLeft() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leavingReported && len(a.tasks) == 0
}

// leaseHeld reports whether the lease is held, so that tasks may continue.
func (a *Agent) leaseHeld() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.clock.Now() < a.leaseEnd
}

// announce registers the current incarnation and retries until it is accepted. If it is stale,
// announce selects a higher one.
func (a *Agent) announce(ctx context.Context) error {
	backoff := retry.Backoff{Min: retryMin, Max: retryMax}
	for {
		resp, err := a.tryAnnounce(ctx)
		if err == nil && resp.GetOutcome().GetKind() == apiv1.OutcomeKind_OUTCOME_KIND_ACCEPTED {
			a.announced = true
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

// restart stops all tasks and announces a new incarnation, after the cell has declared the old
// one lost.
func (a *Agent) restart(ctx context.Context) error {
	a.stopAll(ErrStop)
	if err := a.waitTasks(ctx); err != nil {
		return err
	}
	a.mu.Lock()
	clear(a.tasks)
	a.sequence = 0
	if a.leaving {
		// The cell has declared this incarnation lost and sends it no more tasks.
		a.leavingReported = true
		a.mu.Unlock()
		return nil
	}
	a.cfg.Incarnation = max(a.cfg.Incarnation+1, uint64(time.Now().UnixNano()))
	a.mu.Unlock()
	return a.announce(ctx)
}
