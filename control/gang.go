package control

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	"github.com/bulrushwinch/bulrushwinch/sched"
	"github.com/bulrushwinch/bulrushwinch/state"
)

// gang tracks the two-phase start of a job whose tasks have to start together: every task is
// prepared on its upstream, then all are released.
type gang struct {
	// prepared holds the attempts that their upstreams reported as prepared.
	prepared map[state.TaskRef]bool
	// released is set once this leader has sent a release; from then on a late member does not
	// make the gang stop.
	released bool
	// stopping is set once stops for the placed tasks were proposed.
	stopping bool
	// timer fires every PrepareTimeout to check the gang.
	timer timer
}

// recordPrepared records a prepared task. If the gang may be released now, the held polls of its
// upstreams are checked for updates, so that the releases are sent.
func (c *Controller) recordPrepared(t *state.Task) {
	g := c.gangOf(t.Job)
	if g.prepared[t.Ref()] {
		return
	}
	g.prepared[t.Ref()] = true
	if !c.mayRelease(t.Job) {
		return
	}
	for i := range t.Job.Tasks {
		if u := t.Job.Tasks[i].Upstream; u != nil && c.sessions[u.Name] != nil {
			c.queueCheck(c.sessions[u.Name])
		}
	}
}

// gangOf returns the gang of a job, which it creates if there is none.
func (c *Controller) gangOf(j *state.Job) *gang {
	g := c.gangs[j.ID]
	if g == nil {
		g = &gang{prepared: make(map[state.TaskRef]bool)}
		id := j.ID
		g.timer.due = func(now time.Duration) { c.checkGang(id, g, now) }
		c.timers.set(&g.timer, c.clock.Now()+c.cfg.PrepareTimeout)
		c.gangs[j.ID] = g
	}
	return g
}

// dropGang removes the gang of a job and its timer.
func (c *Controller) dropGang(id state.JobID) {
	if g := c.gangs[id]; g != nil {
		c.timers.clear(&g.timer)
		delete(c.gangs, id)
	}
}

// mayRelease reports whether the gang may be released: it is not being stopped, and a release was
// already sent or every task has started or is prepared on an upstream that may start it.
func (c *Controller) mayRelease(j *state.Job) bool {
	g := c.gangs[j.ID]
	if g == nil || g.stopping {
		return false
	}
	if g.released {
		return true
	}
	for i := range j.Tasks {
		t := &j.Tasks[i]
		switch t.State {
		case lifecycle.TaskRunning, lifecycle.TaskEnded:
		case lifecycle.TaskPlaced:
			if !g.prepared[t.Ref()] || !c.mayStart(t.Upstream) {
				return false
			}
		default:
			return false
		}
	}
	return true
}

// checkGang stops a gang that did not become fully prepared within PrepareTimeout. A released
// or partly running gang waits for late members, and is stopped only if a placed member may
// no longer start.
func (c *Controller) checkGang(id state.JobID, g *gang, now time.Duration) {
	j := c.state.Job(id)
	if c.gangs[id] != g || j == nil {
		return
	}
	var placed []sched.Stop
	begun, blocked := g.released, false
	for i := range j.Tasks {
		t := &j.Tasks[i]
		switch t.State {
		case lifecycle.TaskPlaced:
			placed = append(placed, sched.Stop{Task: schedRef(t.Ref()), Reason: sched.StopGangUnable})
			blocked = blocked || !c.mayStart(t.Upstream)
		case lifecycle.TaskRunning, lifecycle.TaskEnded:
			begun = true
		}
	}
	if len(placed) > 0 && !g.stopping && (!begun || blocked) {
		g.stopping = true
		c.proposeStops(placed)
	}
	c.timers.set(&g.timer, now+c.cfg.PrepareTimeout)
}

// gangChanged removes the gang once none of its tasks is on an upstream.
func (c *Controller) gangChanged(t *state.Task) {
	if t.Live() || c.gangs[t.Job.ID] == nil {
		return
	}
	for i := range t.Job.Tasks {
		if t.Job.Tasks[i].Live() {
			return
		}
	}
	c.dropGang(t.Job.ID)
}
