package control

import (
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/sched"
	"github.com/bulrushwinch/bulrushwinch/state"
)

// decide runs one scheduling round when one is due and the last one is applied.
func (c *Controller) decide() {
	if !c.dirty || c.pendingDecisions > 0 {
		return
	}
	c.dirty = false
	c.nextDecide = c.clock.Now() + idleDecideInterval
	d := c.cell.Decide(time.Now(), maxPlacementsPerRound)
	c.proposePlacements(d.Placements)
	c.proposeStops(d.Stops)
	c.throttle(d.Throttles)
	for _, r := range d.Refusals {
		c.proposeRefusal(state.JobID(r.Job), refusalReasons[r.Reason], r.Detail)
	}
	if len(d.Placements) >= maxPlacementsPerRound {
		c.dirty = true
	}
}

// refusalReasons maps the scheduler's refusals to reasons of the API.
var refusalReasons = map[sched.RefusalReason]apiv1.Reason{
	sched.RefusalNeverFits:    apiv1.Reason_REASON_NEVER_FITS,
	sched.RefusalGangTooLarge: apiv1.Reason_REASON_NEVER_FITS,
}

// proposePlacements proposes one Place command and counts which of its placements were accepted.
func (c *Controller) proposePlacements(list []sched.Placement) {
	if len(list) == 0 {
		return
	}
	cmd := &peerv1.Place{Placements: make([]*peerv1.Placement, len(list))}
	for i, p := range list {
		cmd.Placements[i] = &peerv1.Placement{JobId: uint64(p.Task.Job), Task: p.Task.Index, Attempt: p.Task.Attempt,
			Upstream: p.Upstream, Incarnation: p.Incarnation, Reserved: p.Reserved.Proto()}
	}
	c.proposeDecided(&peerv1.Command{Command: &peerv1.Command_Place{Place: cmd}}, func(r state.Result, err error) {
		if err == nil {
			placementsAccepted.Add(int64(len(r.Place.Accepted)))
			placementsRefused.Add(int64(len(r.Place.Refused)))
			for _, refused := range r.Place.Refused {
				placementsRefusedBy.Add(string(refused.Reason), 1)
			}
		}
	})
}

// proposeDecided proposes a command of a scheduling round; the next round waits for its result.
func (c *Controller) proposeDecided(cmd *peerv1.Command, done completion) {
	c.pendingDecisions++
	term := c.term
	c.propose(cmd, func(r state.Result, err error) {
		if c.term != term {
			return
		}
		c.pendingDecisions--
		if done != nil {
			done(r, err)
		}
	})
}

// proposeStops proposes one Stop command for all stops with the same reason and checkpoint flag.
func (c *Controller) proposeStops(stops []sched.Stop) {
	type kind struct {
		checkpoint bool
		reason     sched.StopReason
	}
	commands := make(map[kind]*peerv1.Stop)
	for _, s := range stops {
		k := kind{s.Checkpoint, s.Reason}
		cmd := commands[k]
		if cmd == nil {
			cmd = &peerv1.Stop{Checkpoint: s.Checkpoint, Why: string(s.Reason)}
			commands[k] = cmd
			c.proposeDecided(&peerv1.Command{Command: &peerv1.Command_Stop{Stop: cmd}}, nil)
		}
		cmd.Tasks = append(cmd.Tasks, refProto(s.Task))
	}
}

// proposeRefusal proposes to end a job that is not going to run.
func (c *Controller) proposeRefusal(id state.JobID, reason apiv1.Reason, detail string) {
	c.propose(&peerv1.Command{Command: &peerv1.Command_Refuse{Refuse: &peerv1.Refuse{JobId: uint64(id),
		Outcome: &apiv1.Outcome{Kind: apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN, Reason: reason, Detail: detail}}}}, nil)
}
