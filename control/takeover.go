package control

import (
	"context"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/sched"
	"github.com/bulrushwinch/bulrushwinch/state"
)

const (
	// takeoverSlice limits how long a new leader builds its scheduler cell without a pause for
	// heartbeats.
	takeoverSlice = 20 * time.Millisecond
	// tasksPerClockCheck is the approximate number of tasks added between two checks of the clock.
	tasksPerClockCheck = 256
)

// takeover is a leadership whose scheduler cell is not complete yet. The state can't change
// meanwhile: all entries of earlier terms are applied, and nothing is proposed yet.
type takeover struct {
	term uint64
	cell *sched.Cell
	// remaining are the jobs that are still to be added to cell.
	remaining []*state.Job
}

// Lead implements replica.Owner. A large state is added to the scheduler cell in slices,
// between which the node sends its heartbeats; until the last slice is done, calls are
// answered as by a follower.
func (c *Controller) Lead(term uint64) {
	c.reset()
	t := &takeover{term: term, cell: newCell(c.cfg.Sched, c.state)}
	for _, j := range c.state.Jobs() {
		if j.State != lifecycle.JobEnded {
			t.remaining = append(t.remaining, j)
		}
	}
	c.takeover = t
	c.continueTakeover(t)
}

// continueTakeover adds jobs to the cell for takeoverSlice, and schedules the next slice or
// begins to lead.
func (c *Controller) continueTakeover(t *takeover) {
	if c.takeover != t {
		return
	}
	for until := time.Now().Add(takeoverSlice); len(t.remaining) > 0 && time.Now().Before(until); {
		for tasks := 0; len(t.remaining) > 0 && tasks < tasksPerClockCheck; t.remaining = t.remaining[1:] {
			addJob(t.cell, t.remaining[0])
			c.watchDeadline(t.remaining[0])
			tasks += len(t.remaining[0].Tasks)
		}
	}
	if len(t.remaining) == 0 {
		c.takeover = nil
		c.beginLeading(t)
		return
	}
	// Post may block while the queue is full, which must not block the control goroutine.
	go func() { _ = c.node.Post(context.Background(), func() { c.continueTakeover(t) }) }()
}

// beginLeading starts the work of the leader on a complete cell.
func (c *Controller) beginLeading(t *takeover) {
	c.leading, c.term, c.cell = true, t.term, t.cell
	c.openSessions()
	c.memberTimer.due = c.maintainMembers
	c.timers.set(&c.memberTimer, c.clock.Now()+membershipInterval)
	c.state.Observe((*observer)(c))
	if c.engine != nil {
		c.engine.Lead(t.term)
	}
	c.dirty = true
	c.nextSweep = c.clock.Now() + sweepInterval
	c.event(&apiv1.Event{Kind: "lead", Detail: "leadership begins"})
	if len(c.state.Keys()) == 0 && len(c.cfg.OperatorKey) > 0 {
		c.propose(&peerv1.Command{Command: &peerv1.Command_Bootstrap{
			Bootstrap: &peerv1.Bootstrap{KeySha256: c.cfg.OperatorKey}}}, nil)
	}
}
