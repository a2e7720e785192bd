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

// released reports whether every task of the current attempt is prepared or running.
func (c *Controller) released(j *state.Job) bool {
	g := c.gangs[j.ID]
	if g == nil || g.stopping {
		return false
	}
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.State != lifecycle.TaskRunning && !(t.State == lifecycle.TaskPlaced && g.prepared[t.Ref()]) {
			return false
		}
	}
	return true
}

// releaseFor returns the release of a prepared task once its gang is complete.
func (c *Controller) releaseFor(s *session, t *state.Task, listed apiv1.ReportState) *apiv1.Command {
	prepared := listed == apiv1.ReportState_REPORT_STATE_PREPARED
	if !prepared || s.signalled[t.Ref()] || !c.released(t.Job) || !c.mayStart(t.Upstream) {
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
		var placed []sched.Stop
		running, waiting := 0, 0
		for i := range j.Tasks {
			switch t := &j.Tasks[i]; t.State {
			case lifecycle.TaskPlaced:
				placed = append(placed, sched.Stop{Task: refFact(t.Ref()), Why: sched.StopGangUnable})
			case lifecycle.TaskRunning:
				running++
			case lifecycle.TaskWaiting:
				waiting++
			}
		}
		switch {
		case len(placed) == 0 && running == 0 && waiting > 0:
			delete(c.gangs, id)
		case len(placed) > 0 && !g.stopping && now-g.since > c.cfg.PrepareTimeout:
			g.stopping = true
			c.proposeStops(placed)
		}
	}
}
