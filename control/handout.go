package control

import (
	"maps"
	"slices"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	"github.com/bulrushwinch/bulrushwinch/resource"
	"github.com/bulrushwinch/bulrushwinch/sched"
	"github.com/bulrushwinch/bulrushwinch/state"
)

// answerHeldPolls answers polls that were held long enough.
func (c *Controller) answerHeldPolls(now time.Duration) {
	for _, s := range c.sessions {
		if s.poll != nil && now >= s.poll.until {
			clear(s.signalled)
			c.answerPoll(s)
		}
	}
}

// answerIfUrgent answers a held poll at once if there is something new to tell.
func (c *Controller) answerIfUrgent(s *session) {
	if s.poll == nil {
		return
	}
	if len(s.acknowledged) > 0 || len(s.throttles) > 0 || len(c.commandsFor(s)) > 0 {
		c.answerPoll(s)
	}
}

// answerPoll answers once a quorum has confirmed the leadership. Commands are chosen
// after the confirmation, so that none rests on a view older than it.
func (c *Controller) answerPoll(s *session) {
	p := s.poll
	s.poll = nil
	c.confirmed(func(ok bool) {
		switch {
		case !ok:
			p.reply(nil, errNotLeader)
		case c.sessions[s.upstream] != s || s.highest != p.sequence:
			p.reply(nil, errStalePoll)
		default:
			p.reply(c.composeAnswer(s, p.sequence), nil)
		}
	})
}

func (c *Controller) composeAnswer(s *session, sequence uint64) *apiv1.PollResponse {
	r := &apiv1.PollResponse{Sequence: sequence, Term: c.term, LeaseMs: c.cfg.Terms.Duration.Milliseconds(),
		StartWindowMs: c.cfg.Terms.StartWindow.Milliseconds(), Commands: c.commandsFor(s)}
	for _, cmd := range r.Commands {
		c.noteHanded(s, sequence, cmd)
	}
	for _, ref := range s.acknowledged {
		r.Acknowledged = append(r.Acknowledged, ref.Proto())
		delete(s.handed, ref)
		delete(s.inherited, ref)
		delete(s.signalled, ref)
	}
	for _, ref := range s.throttles {
		r.Commands = append(r.Commands, &apiv1.Command{Kind: apiv1.CommandKind_COMMAND_KIND_THROTTLE, Task: ref.Proto()})
	}
	s.acknowledged, s.throttles = nil, nil
	return r
}

func (c *Controller) noteHanded(s *session, sequence uint64, cmd *apiv1.Command) {
	ref := state.RefFromProto(cmd.GetTask())
	switch cmd.GetKind() {
	case apiv1.CommandKind_COMMAND_KIND_START, apiv1.CommandKind_COMMAND_KIND_PREPARE:
		s.handed[ref] = sequence
	default:
		s.signalled[ref] = true
	}
}

// commandsFor returns the commands that the upstream has yet to carry out, in a fixed order.
func (c *Controller) commandsFor(s *session) []*apiv1.Command {
	u := c.state.Upstream(s.upstream)
	if u == nil {
		return nil
	}
	var out []*apiv1.Command
	for _, ref := range slices.SortedFunc(maps.Keys(u.Tasks), state.CompareRefs) {
		if cmd := c.commandFor(s, u, u.Tasks[ref]); cmd != nil {
			out = append(out, cmd)
		}
	}
	return out
}

// commandFor returns what the upstream has to do for one task, or nil.
func (c *Controller) commandFor(s *session, u *state.Upstream, t *state.Task) *apiv1.Command {
	ref := t.Ref()
	listed, present := s.listed[ref]
	switch t.State {
	case lifecycle.TaskPlaced:
		if present {
			return c.releaseFor(s, t, listed)
		}
		if s.handed[ref] < s.highest && c.mayStart(s, u) {
			return startCommand(t)
		}
	case lifecycle.TaskStopping:
		if present && !state.Ended(listed) && !s.signalled[ref] {
			return stopCommand(t)
		}
	}
	return nil
}

// mayStart reports whether the upstream may get new work now.
func (c *Controller) mayStart(s *session, u *state.Upstream) bool {
	d := c.state.Domains()[u.Domain]
	return !s.leaving && u.State == lifecycle.UpstreamActive && d != nil && !d.Out
}

func startCommand(t *state.Task) *apiv1.Command {
	kind := apiv1.CommandKind_COMMAND_KIND_START
	if t.Job.Gang() {
		kind = apiv1.CommandKind_COMMAND_KIND_PREPARE
	}
	return &apiv1.Command{Kind: kind, Task: t.Ref().Proto(), Payload: t.Spec.GetPayload(),
		Resources: t.Reserved.Proto(), Checkpoint: t.Checkpoint}
}

func stopCommand(t *state.Task) *apiv1.Command {
	kind := apiv1.CommandKind_COMMAND_KIND_STOP
	if t.Checkpointing {
		kind = apiv1.CommandKind_COMMAND_KIND_CHECKPOINT
	}
	return &apiv1.Command{Kind: kind, Task: t.Ref().Proto()}
}

// throttle asks upstreams to hold tasks to their reservation.
func (c *Controller) throttle(list []sched.Throttle) {
	for _, th := range list {
		ref := state.TaskRef{Job: state.JobID(th.Task.Job), Index: th.Task.Index, Attempt: th.Task.Attempt}
		j := c.state.Job(ref.Job)
		if j == nil || j.Tasks[ref.Index].Ref() != ref || j.Tasks[ref.Index].Upstream == nil {
			continue
		}
		if s := c.sessions[j.Tasks[ref.Index].Upstream.Name]; s != nil {
			s.throttles = append(s.throttles, ref)
			c.answerIfUrgent(s)
		}
	}
}

func (c *Controller) observeUsage(t *state.Task, r *apiv1.TaskReport) {
	c.cell.ObserveUsage(sched.Usage{Ref: refFact(t.Ref()), Used: resource.FromProto(r.GetUsage())})
}
