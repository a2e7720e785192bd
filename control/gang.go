package control

import (
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	"github.com/bulrushwinch/bulrushwinch/sched"
	"github.com/bulrushwinch/bulrushwinch/state"
)

// gang follows the start of an all-at-once job in two steps: prepared, then released.
type gang struct {
	prepared map[state.TaskRef]bool
	since    time.Duration
	stopping bool
}

// notePrepared counts a prepared task and releases the gang with the last one.
func (c *Controller) notePrepared(t *state.Task) {
	g := c.gangOf(t.Job)
	if g.prepared[t.Ref()] {
		return
	}
	g.prepared[t.Ref()] = true
	if !c.released(t.Job) {
		return
	}
	for i := range t.Job.Tasks {
		if u := t.Job.Tasks[i].Upstream; u != nil && c.sessions[u.Name] != nil {
			c.answerIfUrgent(c.sessions[u.Name])
		}
	}
}

func (c *Controller) gangOf(j *state.Job) *gang {
	g := c.gangs[j.ID]
	if g == nil {
		g = &gang{prepared: make(map[state.TaskRef]bool), since: c.clock.Now()}
		c.gangs[j.ID] = g
	}
	return g
}

// restartGang forgets what was prepared, once a task of the gang waits again.
func (c *Controller) restartGang(t *state.Task) {
	if t.State == lifecycle.TaskWaiting {
		delete(c.gangs, t.Job.ID)
	}
}

// released reports whether every task that has not ended is prepared or running.
func (c *Controller) released(j *state.Job) bool {
	g := c.gangs[j.ID]
	if g == nil || g.stopping {
		return false
	}
	for i := range j.Tasks {
		switch t := &j.Tasks[i]; t.State {
		case lifecycle.TaskRunning, lifecycle.TaskEnded:
		case lifecycle.TaskPlaced:
			if !g.prepared[t.Ref()] {
				return false
			}
		default:
			return false
		}
	}
	return true
}

// releaseFor returns the release of a prepared task once its gang is complete.
func (c *Controller) releaseFor(s *session, t *state.Task, listed apiv1.ReportState) *apiv1.Command {
	prepared := listed == apiv1.ReportState_REPORT_STATE_PREPARED
	if !prepared || s.signalled[t.Ref()] || !c.released(t.Job) || !c.mayStart(s, t.Upstream) {
		return nil
	}
	return &apiv1.Command{Kind: apiv1.CommandKind_COMMAND_KIND_RELEASE, Task: t.Ref().Proto()}
}

// checkGangs stops gangs that stayed prepared in part for too long.
func (c *Controller) checkGangs(now time.Duration) {
	for id, g := range c.gangs {
		j := c.state.Job(id)
		if j == nil {
			delete(c.gangs, id)
			continue
		}
		placed := gangStops(j)
		if len(placed) > 0 && !g.stopping && now-g.since > c.cfg.PrepareTimeout {
			g.stopping = true
			c.proposeStops(placed)
		}
	}
}

// gangStops returns stops for the tasks that have not been released.
func gangStops(j *state.Job) []sched.Stop {
	var out []sched.Stop
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.State == lifecycle.TaskPlaced {
			out = append(out, sched.Stop{Task: refFact(t.Ref()), Why: sched.StopGangUnable})
		}
	}
	return out
}
