package dispatch

import (
	"context"
	"crypto/sha256"
	"regexp"

	"github.com/bulrushwinch/bulrushwinch/control"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/bulrushwinch/bulrushwinch/placement"
	"google.golang.org/protobuf/proto"
)

// jobIdentity matches a valid job identity, of pipeline.IdentityLength digits.
var jobIdentity = regexp.MustCompile(`^[0-9a-f]{16}$`)

// submit validates a job, decides whether it is admitted, and proposes it.
func (e *Engine) submit(ctx context.Context, c *pipelinev1.JobCall, a pipeline.Access, done replyFunc) {
	spec := c.GetSpec()
	if problem := pipeline.CheckSpec(spec); problem != "" {
		e.log.Info().Str("request", a.ID).Str("queue", a.Queue.GetName()).Str("why", problem).Msg("job refused")
		done(verdict(pipelinev1.Verdict_VERDICT_INVALID, problem), nil)
		return
	}
	spec.Id, spec.Queue = a.ID, a.Queue.GetName()
	cmd := &pipelinev1.Submit{KeySha256: c.GetKeySha256(), Spec: spec, Digest: digestOf(spec), Host: c.GetHost(), Path: c.GetPath()}
	if e.admits(cmd) {
		e.proposeSubmit(ctx, cmd, done)
		return
	}
	// Only a leader of now can say that the job is not known and never runs.
	e.host.ConfirmLeadership(func(ok bool) {
		switch {
		case !ok:
			done(nil, control.ErrNothingProposed)
		case e.admits(cmd):
			e.proposeSubmit(ctx, cmd, done)
		default:
			done(e.refuseJob(cmd), nil)
		}
	})
}

// admits reports whether a job is to be proposed: it is admitted, or it is known, or a proposal of it is
// not committed yet. To refuse the latter would say that it never runs.
func (e *Engine) admits(cmd *pipelinev1.Submit) bool {
	id := cmd.GetSpec().GetId()
	return e.state.Job(id) != nil || e.submitting.has(id) || e.decideAdmission(cmd).Reason == ""
}

func (e *Engine) decideAdmission(cmd *pipelinev1.Submit) placement.Refusal {
	config := e.state.Config()
	return e.admission.Decide(config.TeamOfKey(cmd.GetKeySha256()), cmd.GetSpec(), config.Match(cmd.GetHost(), cmd.GetPath()), e.backlog, e.now())
}

// refuseJob returns the reply to a job that is not admitted.
func (e *Engine) refuseJob(cmd *pipelinev1.Submit) *pipelinev1.Reply {
	refusal := e.decideAdmission(cmd)
	retry := e.admission.ReturnAfter(refusal, e.now())
	jobsRefused.Add(string(refusal.Reason), 1)
	line := e.log.Info().Str("request", cmd.GetSpec().GetId()).Str("queue", cmd.GetSpec().GetQueue()).Str("why", refusal.Detail).
		Str("team", e.state.Config().TeamOfKey(cmd.GetKeySha256()).GetName()).Dur("retry_after", retry).Uint64("config_version", e.state.Config().Version())
	if c := refusal.Cost; c.LateBound > 0 {
		line = line.Float64("backlog_core_ms", c.BacklogCoreMS).Float64("rate_core_ms_per_s", c.RateCoreMS).Dur("expected_start", c.Start).
			Dur("expected_end", c.End).Dur("late_bound", c.LateBound)
	}
	line.Msg("job refused")
	reply := verdict(refusalVerdict(refusal), refusal.Detail)
	reply.RetryAfterMs = retry.Milliseconds()
	return reply
}

// proposeSubmit proposes a job and answers with the result, unless the call has ended while it waited.
func (e *Engine) proposeSubmit(ctx context.Context, cmd *pipelinev1.Submit, done replyFunc) {
	if !control.MayPropose(ctx) {
		return
	}
	spec := cmd.GetSpec()
	submitted := e.submitting.begin(spec.GetId())
	e.change(&pipelinev1.Command{Command: &pipelinev1.Command_Submit{Submit: cmd}}, func(r *pipelinev1.Reply, err error) {
		submitted(err)
		e.log.Info().Str("request", spec.GetId()).Str("queue", spec.GetQueue()).Str("host", cmd.GetHost()).Str("path", cmd.GetPath()).Str("verdict", r.GetVerdict().String()).Err(err).
			Uint64("config_version", e.state.Config().Version()).Msg("job submitted")
		done(r, err)
	})
}

// digestOf returns a hash of a job for replicas of older versions; see pipeline.Job.Digest.
func digestOf(spec *pipelinev1.JobSpec) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(spec)
	if err != nil {
		panic("dispatch: job can't be encoded: " + err.Error())
	}
	sum := sha256.Sum256(data)
	return sum[:]
}
