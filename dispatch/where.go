package dispatch

import (
	"fmt"
	"time"

	"github.com/bulrushwinch/bulrushwinch/control"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/bulrushwinch/bulrushwinch/placement"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// whereInterval is the shortest time between two answers of Where, which take up to two rounds each.
	whereInterval = time.Second
	// whereShare is the share of the control goroutine's time that answers may take. One takes 40 ms in a burst in a
	// cell of 1,100 upstreams with 400 steps that wait and a hundred idle callers.
	whereShare = 0.02
	// maxWhereTasks bounds the tasks of a job that Where is asked about. Users' largest jobs have a hundred.
	maxWhereTasks = 512
	// whereJob is the identity of the job that Where adds to a copy of the cell. No accepted job has it.
	whereJob = "where"
)

// ErrWhereBusy refuses a call of Where because another one waits, or was answered a moment ago.
var ErrWhereBusy = errors.New("dispatch: one question about a job is answered a second, and fewer if the answers take long")

// WhereQuestion asks where a job would go: a known one if Request is set, else one that a team might submit.
type WhereQuestion struct {
	// Request is the identity of a job.
	Request string
	// Team is empty for a job without a key.
	Team string
	Spec *pipelinev1.JobSpec
}

// waitingWhere is a question that waits for the commit of the last round's placements.
type waitingWhere struct {
	WhereQuestion
	done func(*Where, error)
}

// whereDesk bounds how often Where is answered.
type whereDesk struct {
	waiting *waitingWhere
	// next is when the next question is taken.
	next time.Duration
}

// Where answers where a job would go now and why, or why it would wait or be refused. Nothing is submitted, and
// nothing of the leader's state changes. It must be called on the control goroutine; done is called there, now or
// once no placements are uncommitted. It gets control.ErrNotLeader where this replica does not lead, and
// ErrWhereBusy if there are too many questions.
func (e *Engine) Where(q WhereQuestion, done func(*Where, error)) {
	now := e.now()
	switch {
	case !e.leading:
		done(nil, control.ErrNotLeader)
	case e.where.waiting != nil || now < e.where.next:
		done(nil, ErrWhereBusy)
	default:
		e.where.next = now + whereInterval
		e.where.waiting = &waitingWhere{q, done}
		e.answerWhere()
	}
}

// answerWhere answers the question that waits, if there is one and the replicated state holds all placements.
func (e *Engine) answerWhere() {
	q := e.where.waiting
	if q == nil || e.placing {
		return
	}
	e.where.waiting = nil
	began := e.now()
	answer := e.whereOf(q.WhereQuestion)
	took := e.now() - began
	e.where.next = max(e.where.next, began+time.Duration(float64(took)/whereShare))
	line := e.log.Info()
	if answer.Admitted {
		// The names of a refused job are of any length.
		line = line.Str("request", q.Request).Str("queue", answer.Queue).Str("team", answer.Team)
	}
	line.Bool("admitted", answer.Admitted).Str("why", answer.Reason).Dur("took", took).Msg("asked where a job would go")
	q.done(answer, nil)
}

// fail ends the question that waits.
func (d *whereDesk) fail(err error) {
	if d.waiting != nil {
		d.waiting.done(nil, err)
	}
	d.waiting = nil
}

// whereOf answers a question.
func (e *Engine) whereOf(q WhereQuestion) *Where {
	out := &Where{Queue: q.Spec.GetQueue(), Team: q.Team, ConfigVersion: e.state.Config().Version(), Confirmed: e.leadershipConfirmed(e.now())}
	job, steps, refusal := e.whereSteps(q)
	if refusal != nil {
		return out.refuse(refusal)
	}
	out.Admitted = true
	out.describe(e, job)
	cell := e.cellNow()
	now, next := placement.PreviewSteps(cell, steps)
	out.Now, out.Next = stepsOf(cell, now), stepsOf(cell, next)
	return out
}

// whereSteps returns the job of a question and its steps that are ready and have waiting tasks, or a refusal.
func (e *Engine) whereSteps(q WhereQuestion) (job *pipeline.Job, steps []*pipeline.Step, refusal *pipelinev1.Reply) {
	if e.state.Config() == nil {
		return nil, nil, notNow("there is no configuration yet")
	}
	if q.Request == "" {
		spec := proto.CloneOf(q.Spec)
		spec.Id = whereJob
		if job, refusal = e.state.Draft(spec, q.Team, e.host.WallNS()); refusal == nil {
			refusal = e.refusalOf(job)
		}
	} else if job = e.state.Job(q.Request); job == nil {
		refusal = verdict(pipelinev1.Verdict_VERDICT_NO_JOB, "no such job")
	}
	if refusal != nil {
		return nil, nil, refusal
	}
	for _, o := range job.Occurrences {
		for _, st := range o.Steps {
			w := e.cell.Steps[st]
			if q.Request == "" && st.Ready() || w != nil && len(w.Waiting()) > 0 {
				steps = append(steps, st)
			}
		}
	}
	return job, steps, nil
}

// refusalOf returns the reply to the submission of a job that is not admitted, or nil. No caller is counted.
func (e *Engine) refusalOf(j *pipeline.Job) *pipelinev1.Reply {
	if e.host.Voters() < e.cfg.MinVoters {
		return notNow("the group has too few voters yet")
	}
	tasks := 0
	for _, s := range j.Spec.GetSteps() {
		tasks += int(s.GetCount()) * len(j.Occurrences)
	}
	if tasks > maxWhereTasks {
		return verdict(pipelinev1.Verdict_VERDICT_INVALID, fmt.Sprintf("questions are answered about jobs of at most %d tasks; submissions may have more", maxWhereTasks))
	}
	admission := e.admission.Copy()
	r := admission.Decide(e.state.Config().Team(j.Team), j.Spec, e.state.JobQueue(j), e.backlog, e.now())
	if r.Reason == "" {
		return nil
	}
	reply := verdict(refusalVerdict(r), r.Detail)
	reply.RetryAfterMs = admission.ReturnAfter(r, e.now()).Milliseconds()
	return reply
}

// refusalVerdict returns the verdict on a job that is not admitted.
func refusalVerdict(r placement.Refusal) pipelinev1.Verdict {
	if r.Reason == placement.ReasonFull || r.Reason == placement.ReasonTooLate {
		return pipelinev1.Verdict_VERDICT_NOT_NOW
	}
	return pipelinev1.Verdict_VERDICT_OVER_LIMIT
}

// cellNow returns a copy of the cell as a round that begins now would see it.
func (e *Engine) cellNow() *placement.Cell {
	now, cell := e.now(), e.cell.Copy()
	cell.Now, cell.WallNS, cell.Askers = now, e.host.WallNS(), e.permits.askers()
	for id, s := range e.sessions {
		if u := cell.Upstream(id); u != nil {
			u.Usable, u.Answers, u.Silent = s.usable(now), s.answers(), s.silent()
		}
	}
	cell.RecentUse.Sample(e.state, now)
	return cell
}
