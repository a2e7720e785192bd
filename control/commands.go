package control

import (
	"maps"
	"slices"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	"github.com/bulrushwinch/bulrushwinch/sched"
	"github.com/bulrushwinch/bulrushwinch/state"
)

// maxAnswerBytes limits the payloads and checkpoints in one answer, in bytes; the remaining
// commands follow with the next polls. A single larger command is still sent.
const maxAnswerBytes = 4 << 20

// queueCheck has the next flush check whether a held poll can be answered with an update.
func (c *Controller) queueCheck(s *session) {
	if s.poll != nil && !s.checkQueued {
		s.checkQueued = true
		c.checkQueue = append(c.checkQueue, s)
	}
}

// runCheckQueue answers the held polls of queued sessions that have an update.
func (c *Controller) runCheckQueue() {
	list := c.checkQueue
	c.checkQueue = nil
	for _, s := range list {
		s.checkQueued = false
		if s.poll != nil && c.hasUpdates(s) {
			c.answerPoll(s)
		}
	}
}

// hasUpdates reports whether there is anything to send to the upstream of a session.
func (c *Controller) hasUpdates(s *session) bool {
	if len(s.acknowledged) > 0 || len(s.throttles) > 0 {
		return true
	}
	for _, ref := range s.orphans {
		if !s.attempts[ref].signalled {
			return true
		}
	}
	u := c.state.Upstream(s.upstream)
	for _, t := range u.Tasks {
		if c.commandKind(s, u, t) != apiv1.CommandKind_COMMAND_KIND_UNSPECIFIED {
			return true
		}
	}
	return false
}

// answerPoll answers the held poll once a quorum has confirmed the leadership. Commands are
// selected after the confirmation, so that none is based on older state.
func (c *Controller) answerPoll(s *session) {
	p := s.poll
	s.poll = nil
	c.whenConfirmed(func(ok bool) {
		switch {
		case !ok:
			p.reply(nil, ErrNotLeader)
		case c.sessions[s.upstream] != s || s.highest != p.sequence || s.expiring || s.replacing > 0:
			p.reply(nil, errStalePoll)
		default:
			p.reply(c.buildPollResponse(s, p.sequence), nil)
		}
	})
}

// buildPollResponse returns everything that there is to send to the upstream, and records it as
// sent.
func (c *Controller) buildPollResponse(s *session, sequence uint64) *apiv1.PollResponse {
	r := &apiv1.PollResponse{Sequence: sequence, Term: c.term, LeaseMs: c.cfg.Terms.Duration.Milliseconds(),
		StartWindowMs: c.cfg.Terms.StartWindow.Milliseconds(), Commands: c.commandsFor(s)}
	for _, cmd := range r.Commands {
		c.recordSent(s, sequence, cmd)
	}
	for _, ref := range s.acknowledged {
		r.Acknowledged = append(r.Acknowledged, ref.Proto())
		delete(s.attempts, ref)
	}
	for _, ref := range s.throttles {
		r.Commands = append(r.Commands, &apiv1.Command{Kind: apiv1.CommandKind_COMMAND_KIND_THROTTLE, Task: ref.Proto()})
	}
	s.acknowledged, s.throttles = nil, nil
	return r
}

// recordSent records that a command is sent in the answer to the given poll.
func (c *Controller) recordSent(s *session, sequence uint64, cmd *apiv1.Command) {
	ref := state.RefFromProto(cmd.GetTask())
	switch cmd.GetKind() {
	case apiv1.CommandKind_COMMAND_KIND_START, apiv1.CommandKind_COMMAND_KIND_PREPARE:
		startsSent.Add(1)
		s.update(ref, func(a *attempt) {
			a.sentIn = sequence
			if cmd.GetKind() == apiv1.CommandKind_COMMAND_KIND_START {
				a.startSentAt = c.clock.Now()
			}
		})
	case apiv1.CommandKind_COMMAND_KIND_RELEASE:
		if g := c.gangs[ref.Job]; g != nil {
			g.released = true
		}
		s.update(ref, func(a *attempt) { a.signalled, a.startSentAt = true, c.clock.Now() })
	default:
		s.update(ref, func(a *attempt) { a.signalled = true })
	}
}

// commandsFor returns the commands that the upstream has not carried out yet: those for its
// tasks in the order of their references, then stops for orphans.
func (c *Controller) commandsFor(s *session) []*apiv1.Command {
	u := c.state.Upstream(s.upstream)
	if u == nil {
		return nil
	}
	var out []*apiv1.Command
	bytes := 0
	for _, ref := range slices.SortedFunc(maps.Keys(u.Tasks), state.CompareRefs) {
		t := u.Tasks[ref]
		kind := c.commandKind(s, u, t)
		if kind == apiv1.CommandKind_COMMAND_KIND_UNSPECIFIED {
			continue
		}
		cmd := command(kind, t)
		size := len(cmd.Payload) + len(cmd.Checkpoint)
		if size > 0 && bytes > 0 && bytes+size > maxAnswerBytes {
			continue
		}
		bytes += size
		out = append(out, cmd)
	}
	for _, ref := range s.orphans {
		if !s.attempts[ref].signalled {
			out = append(out, &apiv1.Command{Kind: apiv1.CommandKind_COMMAND_KIND_STOP, Task: ref.Proto()})
		}
	}
	return out
}

// commandKind returns the kind of command to send for one task, or unspecified for none.
func (c *Controller) commandKind(s *session, u *state.Upstream, t *state.Task) apiv1.CommandKind {
	a, listed := s.current(t.Ref())
	switch t.State {
	case lifecycle.TaskPlaced:
		return c.startKind(u, t, a, listed, s.highest)
	case lifecycle.TaskStopping:
		if !listed || state.Ended(a.listed) || a.signalled {
			break
		}
		if t.Checkpointing {
			return apiv1.CommandKind_COMMAND_KIND_CHECKPOINT
		}
		return apiv1.CommandKind_COMMAND_KIND_STOP
	}
	return apiv1.CommandKind_COMMAND_KIND_UNSPECIFIED
}

// startKind returns the command that starts a placed task: batch tasks and services start
// directly; the tasks of a gang are prepared on every upstream first and then released.
func (c *Controller) startKind(u *state.Upstream, t *state.Task, a attempt, listed bool, highest uint64) apiv1.CommandKind {
	switch {
	case !c.mayStart(u):
	case listed:
		if a.listed == apiv1.ReportState_REPORT_STATE_PREPARED && !a.signalled && c.mayRelease(t.Job) {
			return apiv1.CommandKind_COMMAND_KIND_RELEASE
		}
	case a.sentIn >= highest || a.listedIn != 0:
	case t.Job.Gang():
		return apiv1.CommandKind_COMMAND_KIND_PREPARE
	default:
		return apiv1.CommandKind_COMMAND_KIND_START
	}
	return apiv1.CommandKind_COMMAND_KIND_UNSPECIFIED
}

// mayStart reports whether the upstream may be sent new work now.
func (c *Controller) mayStart(u *state.Upstream) bool {
	d := c.state.Domains()[u.Domain]
	s := c.sessions[u.Name]
	return s != nil && !s.leaving && u.State == lifecycle.UpstreamActive && d != nil && !d.Out
}

// command builds a command; those that start or prepare a task carry what it needs to run.
func command(kind apiv1.CommandKind, t *state.Task) *apiv1.Command {
	cmd := &apiv1.Command{Kind: kind, Task: t.Ref().Proto()}
	if kind == apiv1.CommandKind_COMMAND_KIND_START || kind == apiv1.CommandKind_COMMAND_KIND_PREPARE {
		cmd.Payload, cmd.Resources, cmd.Checkpoint = t.Spec.GetPayload(), t.Reserved.Proto(), t.Checkpoint
	}
	return cmd
}

// throttle has upstreams limit tasks to their reserved resources.
func (c *Controller) throttle(list []sched.Throttle) {
	for _, th := range list {
		ref := state.TaskRef{Job: state.JobID(th.Task.Job), Index: th.Task.Index, Attempt: th.Task.Attempt}
		j := c.state.Job(ref.Job)
		if j == nil || j.Tasks[ref.Index].Ref() != ref || j.Tasks[ref.Index].Upstream == nil {
			continue
		}
		if s := c.sessions[j.Tasks[ref.Index].Upstream.Name]; s != nil && !slices.Contains(s.throttles, ref) {
			s.throttles = append(s.throttles, ref)
			c.queueCheck(s)
		}
	}
}
