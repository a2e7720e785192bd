package sched

import "time"

// roundContext is what the placements of one round have in common.
type roundContext struct {
	at      time.Time
	blocked reasonCounts
}

// rationale keeps what was weighed for a live placement.
type rationale struct {
	round *roundContext
	// waited is the time from submission to the decision.
	waited time.Duration
	// weightedShare is the team's weighted share before the placement.
	weightedShare float32
	// score and secondScore are those of the winner and the runner-up.
	score, secondScore float32
	second             *upstream
	fitting, full      int32
}

func (r *round) rationale(t *task, k *ranking) *rationale {
	return &rationale{round: r.context, waited: r.now.Sub(t.job.Submitted), weightedShare: float32(r.cell.weightedShare(t.job.team(r.cell))),
		score: float32(k.bestScore), secondScore: float32(k.secondScore), second: k.second,
		fitting: int32(k.fitting), full: int32(k.full)}
}
