package upstream

import (
	"context"
	"crypto/sha256"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"google.golang.org/protobuf/proto"
)

// pollOnce sends one poll and executes the commands in its response. A local event replaces a
// poll that the leader is holding; reannounce is set if the worker has to announce itself again.
func (a *Agent) pollOnce(ctx context.Context) (reannounce bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, a.cfg.PollTimeout)
	defer cancel()
	req, sent := a.composePoll()
	type pollResult struct {
		resp *apiv1.PollResponse
		err  error
	}
	results := make(chan pollResult, 1)
	go func() {
		resp, err := a.api.Poll(ctx, req)
		results <- pollResult{resp, err}
	}()
	changed := a.changed
	for {
		select {
		case got := <-results:
			if got.err != nil {
				return false, got.err
			}
			return a.applyPollResponse(req, got.resp, sent), nil
		case <-changed:
			changed = nil
			age := a.clock.Now() - sent
			time.AfterFunc(minPollAge-age, cancel)
			got := <-results
			if got.err != nil {
				return false, nil
			}
			return a.applyPollResponse(req, got.resp, sent), nil
		}
	}
}

func (a *Agent) composePoll() (*apiv1.PollRequest, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	req := &apiv1.PollRequest{Upstream: a.cfg.Name, Incarnation: a.cfg.Incarnation, Sequence: a.sequence, Term: proto.Uint64(a.term),
		Leaving: a.leaving, Tasks: a.reports()}
	return req, a.clock.Now()
}

// applyPollResponse executes the response to the latest poll. It ignores responses to older
// polls and from older terms. reannounce is set if the worker has to announce itself again.
func (a *Agent) applyPollResponse(req *apiv1.PollRequest, resp *apiv1.PollResponse, sent time.Duration) (reannounce bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if resp.GetSequence() != a.sequence || req.GetSequence() != a.sequence || resp.GetTerm() < a.term {
		return false
	}
	a.term = resp.GetTerm()
	if resp.GetAnnounceAgain() {
		return true
	}
	a.leavingReported = req.GetLeaving()
	a.leaseEnd = sent + time.Duration(resp.GetLeaseMs())*time.Millisecond
	for _, ref := range resp.GetAcknowledged() {
		if r := a.tasks[keyOf(ref)]; r != nil && r.cancel == nil {
			delete(a.tasks, keyOf(ref))
		}
	}
	window := time.Duration(resp.GetStartWindowMs()) * time.Millisecond
	mayStart := a.clock.Now()-sent <= window && a.clock.Now() < a.leaseEnd
	for _, cmd := range resp.GetCommands() {
		a.execute(cmd, mayStart)
	}
	return false
}

func (a *Agent) execute(cmd *apiv1.Command, mayStart bool) {
	key := keyOf(cmd.GetTask())
	known := a.tasks[key]
	switch cmd.GetKind() {
	case apiv1.CommandKind_COMMAND_KIND_START:
		if known == nil && mayStart {
			a.start(a.registerAttempt(cmd))
		}
	case apiv1.CommandKind_COMMAND_KIND_PREPARE:
		if known == nil && mayStart {
			a.registerAttempt(cmd).report.State = apiv1.ReportState_REPORT_STATE_PREPARED
			a.wake()
		}
	case apiv1.CommandKind_COMMAND_KIND_RELEASE:
		if known != nil && mayStart && known.report.State == apiv1.ReportState_REPORT_STATE_PREPARED {
			a.start(known)
		}
	case apiv1.CommandKind_COMMAND_KIND_STOP:
		a.stop(known, ErrStop)
	case apiv1.CommandKind_COMMAND_KIND_CHECKPOINT:
		a.stop(known, ErrCheckpoint)
	}
}

// registerAttempt registers an attempt, which every poll lists from now on.
func (a *Agent) registerAttempt(cmd *apiv1.Command) *attempt {
	ref := cmd.GetTask()
	r := &attempt{
		task: Task{Job: ref.GetJobId(), Index: ref.GetTask(), Attempt: ref.GetAttempt(), Payload: cmd.GetPayload(),
			Resources: cmd.GetResources(), Checkpoint: cmd.GetCheckpoint(), LeaseHeld: a.leaseHeld},
		report: &apiv1.TaskReport{Task: ref},
	}
	a.tasks[keyOf(ref)] = r
	return r
}

func (a *Agent) start(r *attempt) {
	ctx, cancel := context.WithCancelCause(context.Background())
	r.cancel = cancel
	r.startedAt = a.clock.Now()
	r.report = &apiv1.TaskReport{Task: r.report.Task, State: apiv1.ReportState_REPORT_STATE_RUNNING}
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		if !a.leaseHeld() {
			// The process was paused after it accepted the start.
			a.finish(r, Result{State: apiv1.ReportState_REPORT_STATE_REFUSED, Detail: ErrLeaseEnded.Error()})
			return
		}
		a.finish(r, a.runner.Run(ctx, r.task))
	}()
	a.wake()
}

// finish replaces the attempt's report by its result, which polls list until it is acknowledged.
func (a *Agent) finish(r *attempt, result Result) {
	result = sanitizeResult(result)
	sum := sha256.Sum256(result.Body)
	a.mu.Lock()
	r.cancel(nil)
	r.cancel = nil
	r.report = &apiv1.TaskReport{Task: r.report.Task, State: result.State, Detail: result.Detail,
		RunMs:  (a.clock.Now() - r.startedAt).Milliseconds(),
		Answer: &apiv1.Answer{Body: result.Body, Length: uint64(len(result.Body)), Sha256: sum[:]}}
	a.mu.Unlock()
	a.wake()
}

// stop stops an attempt: a running one by cancelling its context, a prepared one immediately.
func (a *Agent) stop(r *attempt, cause error) {
	switch {
	case r == nil:
	case r.cancel != nil:
		r.cancel(cause)
	case r.report.State == apiv1.ReportState_REPORT_STATE_PREPARED:
		r.report = &apiv1.TaskReport{Task: r.report.Task, State: apiv1.ReportState_REPORT_STATE_REFUSED}
		a.wake()
	}
}

func (a *Agent) stopAll(cause error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.tasks {
		a.stop(r, cause)
	}
}

// waitTasks waits until no attempt is running.
func (a *Agent) waitTasks(ctx context.Context) error {
	for {
		a.mu.Lock()
		live := 0
		for _, r := range a.tasks {
			if r.cancel != nil {
				live++
			}
		}
		a.mu.Unlock()
		if live == 0 {
			return nil
		}
		select {
		case <-a.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (a *Agent) wake() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// leaseCheckInterval is how often the lease is compared with the clock.
const leaseCheckInterval = 100 * time.Millisecond

// watchLease stops all tasks when the lease ends.
func (a *Agent) watchLease(ctx context.Context) {
	defer a.wg.Done()
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !a.leaseHeld() {
			a.stopAll(ErrLeaseEnded)
		}
	}
}
