package dispatch

import (
	"context"
	"time"

	"github.com/bulrushwinch/bulrushwinch/control"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/pkg/errors"
)

// retryAfter is the delay after which a caller may retry a call that was refused temporarily.
// Elections and short bursts are over by then.
const retryAfter = time.Second

// replyFunc answers a call. It is called once, possibly after the handler has returned.
type replyFunc = func(*pipelinev1.Reply, error)

// Handle implements control.Engine. It answers calls about the configuration, failure domains,
// jobs, upstreams, permit questions and maintenance waves.
func (e *Engine) Handle(ctx context.Context, c *pipelinev1.Call, done func(*pipelinev1.Reply, error)) {
	switch c := c.GetCall().(type) {
	case *pipelinev1.Call_PutConfig:
		e.putConfig(c.PutConfig.GetConfig(), done)
	case *pipelinev1.Call_GetConfig:
		e.getConfig(done)
	case *pipelinev1.Call_SetDomain:
		e.setDomain(c.SetDomain, done)
	case *pipelinev1.Call_GetDomainRevision:
		e.read(done, func() *pipelinev1.Reply {
			return &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_OK, DomainRevision: e.state.DomainRevision()}
		})
	case *pipelinev1.Call_Job:
		e.handleJob(ctx, c.Job, done)
	case *pipelinev1.Call_Heartbeat:
		e.handleHeartbeat(c.Heartbeat, done)
	case *pipelinev1.Call_Leave:
		e.handleLeave(c.Leave, done)
	case *pipelinev1.Call_PermitPoll:
		e.permits.poll(e, c.PermitPoll, done)
	case *pipelinev1.Call_PutWave:
		e.change(&pipelinev1.Command{Command: &pipelinev1.Command_PutWave{PutWave: c.PutWave}}, done)
	case *pipelinev1.Call_GetWave:
		e.getWave(c.GetWave.GetNumber(), done)
	default:
		done(nil, errors.New("dispatch: unknown call"))
	}
}

// verdict returns a reply with a verdict and a detail.
func verdict(v pipelinev1.Verdict, detail string) *pipelinev1.Reply {
	return &pipelinev1.Reply{Verdict: v, Detail: detail}
}

// notNow returns a reply that asks the caller to retry after retryAfter.
func notNow(detail string) *pipelinev1.Reply {
	return &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_NOT_NOW, Detail: detail, RetryAfterMs: retryAfter.Milliseconds()}
}

// change proposes a command and answers the call with the reply of its application. It refuses
// while the group has fewer than MinVoters voters.
func (e *Engine) change(cmd *pipelinev1.Command, done replyFunc) {
	if n := e.host.Voters(); n < e.cfg.MinVoters {
		done(notNow("the group has too few voters yet"), nil)
		return
	}
	e.host.Propose(cmd, func(r *pipeline.Result, err error) {
		if err != nil {
			done(nil, err)
			return
		}
		done(r.Reply, nil)
	})
}

// whenConfirmed calls f once a quorum has confirmed the leadership, and ends the call if it does not. Nothing must have
// been proposed for the call.
func (e *Engine) whenConfirmed(done replyFunc, f func()) {
	e.host.ConfirmLeadership(func(ok bool) {
		if !ok {
			done(nil, control.ErrNothingProposed)
			return
		}
		f()
	})
}

// read answers a call from the local state once a quorum has confirmed the leadership.
func (e *Engine) read(done replyFunc, answer func() *pipelinev1.Reply) {
	e.whenConfirmed(done, func() { done(answer(), nil) })
}

func (e *Engine) putConfig(c *pipelinev1.Config, done replyFunc) {
	version := c.GetVersion()
	if c != nil {
		c.StableIdentities = true
	}
	e.change(&pipelinev1.Command{Command: &pipelinev1.Command_PutConfig{PutConfig: c}}, func(r *pipelinev1.Reply, err error) {
		e.log.Info().Uint64("version", version).Str("verdict", r.GetVerdict().String()).Str("detail", r.GetDetail()).Err(err).
			Uint64("in_force", e.state.Config().Version()).Msg("configuration submitted")
		done(r, err)
	})
}

func (e *Engine) setDomain(d *pipelinev1.SetDomain, done replyFunc) {
	e.change(&pipelinev1.Command{Command: &pipelinev1.Command_SetDomain{SetDomain: d}}, func(r *pipelinev1.Reply, err error) {
		e.log.Info().Str("failure_domain", d.GetName()).Bool("out", d.GetOut()).Uint64("base_revision", d.GetBaseRevision()).
			Uint64("revision", r.GetDomainRevision()).Str("verdict", r.GetVerdict().String()).Err(err).Msg("order on a failure domain decided")
		done(r, err)
	})
}

func (e *Engine) getConfig(done replyFunc) {
	e.read(done, func() *pipelinev1.Reply {
		if e.state.Config() == nil {
			return notNow("there is no configuration yet")
		}
		return &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_OK, Document: e.state.Config().GetDocument()}
	})
}

// handleJob handles a caller's request to submit, show, cancel or count the jobs of a queue.
func (e *Engine) handleJob(ctx context.Context, c *pipelinev1.JobCall, done replyFunc) {
	if e.state.Config() == nil {
		done(notNow("there is no configuration yet"), nil)
		return
	}
	a, refusal := e.authorize(c)
	if refusal == nil {
		e.handleAuthorized(ctx, c, a, done)
		return
	}
	// The configuration that allows the call may be committed while the leadership is being confirmed.
	e.whenConfirmed(done, func() {
		if a, refusal := e.authorize(c); refusal != nil {
			done(refusal, nil)
		} else {
			e.handleAuthorized(ctx, c, a, done)
		}
	})
}

// authorize returns what a call may access by the active configuration, or the refusal of the call.
func (e *Engine) authorize(c *pipelinev1.JobCall) (pipeline.Access, *pipelinev1.Reply) {
	a, refusal := e.state.Access(c.GetHost(), c.GetPath(), c.GetKeySha256())
	if refusal == nil && c.GetVerb() == pipelinev1.JobVerb_JOB_VERB_SUBMIT && !jobIdentity.MatchString(a.ID) {
		refusal = verdict(pipelinev1.Verdict_VERDICT_INVALID, "a job's identity is 16 hexadecimal digits")
	}
	return a, refusal
}

// handleAuthorized handles a call that the active configuration allows.
func (e *Engine) handleAuthorized(ctx context.Context, c *pipelinev1.JobCall, a pipeline.Access, done replyFunc) {
	switch {
	case c.GetVerb() == pipelinev1.JobVerb_JOB_VERB_SUBMIT:
		e.submit(ctx, c, a, done)
	case c.GetVerb() == pipelinev1.JobVerb_JOB_VERB_CANCEL && jobIdentity.MatchString(a.ID):
		e.cancel(c, a, done)
	default:
		e.readQueue(c, done)
	}
}

// cancel proposes to cancel a job. Whether there is such a job is decided when the command is applied: its
// submission may have been proposed before and not be committed yet.
func (e *Engine) cancel(c *pipelinev1.JobCall, a pipeline.Access, done replyFunc) {
	cmd := &pipelinev1.Cancel{Job: a.ID, Queue: a.Queue.GetName(), KeySha256: c.GetKeySha256(), Host: c.GetHost(), Path: c.GetPath()}
	e.change(&pipelinev1.Command{Command: &pipelinev1.Command_Cancel{Cancel: cmd}}, func(r *pipelinev1.Reply, err error) {
		e.log.Info().Str("request", a.ID).Str("queue", a.Queue.GetName()).Str("host", c.GetHost()).Str("path", c.GetPath()).Str("verdict", r.GetVerdict().String()).
			Str("state", r.GetJobState()).Err(err).Msg("job cancellation decided")
		if r.GetVerdict() == pipelinev1.Verdict_VERDICT_NO_JOB {
			e.logNoJob(c, a)
		}
		done(r, err)
	})
}

// readQueue answers with the state of a job, or with the number of pending jobs if the path names none. The
// call is authorized again when the leadership is confirmed.
func (e *Engine) readQueue(c *pipelinev1.JobCall, done replyFunc) {
	e.read(done, func() *pipelinev1.Reply {
		a, refusal := e.authorize(c)
		if refusal != nil {
			return refusal
		}
		if a.ID == "" && c.GetVerb() == pipelinev1.JobVerb_JOB_VERB_GET {
			return &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_OK, Pending: e.countPending(pipeline.RouteOf(a.Queue))}
		}
		j := e.state.JobOf(a)
		if j == nil {
			e.logNoJob(c, a)
			return verdict(pipelinev1.Verdict_VERDICT_NO_JOB, "no such job")
		}
		return &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_OK, JobState: string(e.shownState(j))}
	})
}

// logNoJob logs what is known of the identity in a call that is answered with "no such job". The caller is not told: the
// job may be another team's.
func (e *Engine) logNoJob(c *pipelinev1.JobCall, a pipeline.Access) {
	line := e.log.Info().Str("request", a.ID).Str("verb", c.GetVerb().String()).Str("host", c.GetHost()).Str("path", c.GetPath()).
		Str("queue", a.Queue.GetName()).Str("team", a.Team.GetName()).Uint64("config_version", e.state.Config().Version())
	j := e.state.Job(a.ID)
	if line = line.Bool("known", j != nil); j != nil {
		q := j.AcceptedQueue
		line = line.Str("known_state", string(j.State)).Str("known_queue", j.Spec.GetQueue()).Str("known_host", q.GetHost()).
			Str("known_prefix", q.GetPathPrefix()).Str("known_team", j.Team)
	}
	line.Msg("call names no job that it may access")
}

// countPending returns the number of jobs that were accepted at a route, have not ended and of which no run is known to
// have started. Repeating jobs are not counted.
func (e *Engine) countPending(r pipeline.Route) int64 {
	n := e.state.Pending(r)
	for j, unstarted := range e.unstarted {
		if unstarted && j.Route() == r && j.Spec.GetRepeatCount() == 0 {
			n++
		}
	}
	return n
}

// shownState returns the state of a job as callers see it: a job that was placed is queued until a run of it is
// known to have started.
func (e *Engine) shownState(j *pipeline.Job) pipeline.JobState {
	if e.unstarted[j] {
		return pipeline.Queued
	}
	return j.State
}
