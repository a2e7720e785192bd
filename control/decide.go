package control

import (
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/sched"
	"github.com/bulrushwinch/bulrushwinch/state"
)

// decide asks the scheduler for decisions when a fact has changed and the last
// placements are applied.
func (c *Controller) decide() {
	if !c.dirty || c.placing {
		return
	}
	c.dirty = false
	c.nextDecide = c.clock.Now() + idleDecideInterval
	d := c.cell.Decide(time.Now(), maxPlacementsPerRound)
	c.proposePlacements(d.Placements)
	c.proposeStops(d.Stops)
	c.throttle(d.Throttles)
	for _, r := range d.Refusals {
		c.proposeRefusal(state.JobID(r.Job), apiv1.Reason_REASON_NEVER_FITS, r.Detail)
	}
	if len(d.Placements) >= maxPlacementsPerRound {
		c.dirty = true
	}
}

func (c *Controller) proposePlacements(list []sched.Placement) {
	if len(list) == 0 {
		return
	}
	cmd := &peerv1.Place{Placements: make([]*peerv1.Placement, len(list))}
	for i, p := range list {
		cmd.Placements[i] = &peerv1.Placement{JobId: uint64(p.Task.Job), Task: p.Task.Index, Attempt: p.Task.Attempt,
			Upstream: p.Upstream, Incarnation: p.Incarnation, Reserved: p.Reserved.Proto()}
	}
	c.placing = true
	term := c.term
	c.propose(&peerv1.Command{Command: &peerv1.Command_Place{Place: cmd}}, func(r state.Result, err error) {
		if c.term != term {
			return
		}
		c.placing = false
		if err == nil {
			placementsTaken.Add(int64(len(r.Place.Taken)))
			placementsRefused.Add(int64(len(r.Place.Refused)))
			for _, refused := range r.Place.Refused {
				placementsRefusedBy.Add(string(refused.Why), 1)
			}
		}
	})
}

func (c *Controller) proposeStops(stops []sched.Stop) {
	for _, s := range stops {
		c.propose(&peerv1.Command{Command: &peerv1.Command_Stop{Stop: &peerv1.Stop{
			Tasks: []*apiv1.TaskRef{refProto(s.Task)}, Checkpoint: s.Checkpoint, Why: string(s.Why)}}}, nil)
	}
}

func (c *Controller) proposeRefusal(id state.JobID, reason apiv1.Reason, detail string) {
	c.propose(&peerv1.Command{Command: &peerv1.Command_Refuse{Refuse: &peerv1.Refuse{JobId: uint64(id),
		Outcome: &apiv1.Outcome{Kind: apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN, Reason: reason, Detail: detail}}}}, nil)
}

func liveJobs(st *state.State) []state.JobID {
	var ids []state.JobID
	for id, j := range st.Jobs() {
		if j.State != lifecycle.JobEnded {
			ids = append(ids, id)
		}
	}
	return ids
}
