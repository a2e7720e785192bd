package sched

import "time"

// roundNote is what the placements of one round have in common.
type roundNote struct {
	at      time.Time
	blocked reasonCounts
}

// note keeps what was weighed for a live placement.
type note struct {
	round *roundNote
	// waited is the time from submission to the decision.
	waited time.Duration
	// position is the team's weighted share before the placement.
	position float32
	// score and secondScore are those of the winner and the runner-up.
	score, secondScore float32
	second             *upstream
	fitting, full      int32
}

func (r *round) note(t *task, k *ranking) *note {
	return &note{round: r.context, waited: r.now.Sub(t.job.Submitted), position: float32(r.cell.position(t.job.team(r.cell))),
		score: float32(k.bestScore), secondScore: float32(k.secondScore), second: k.second,
		fitting: int32(k.fitting), full: int32(k.full)}
}
