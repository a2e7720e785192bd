package sched

import "time"

// roundContext is what the placements of one round have in common.
type roundContext struct {
	// at is the time of the round.
	at time.Time
	// blocked counts the upstreams by the reason why they may not be given work.
	blocked reasonCounts
}

// rationale keeps the reasons for a live placement, for Explain.
type rationale struct {
	round *roundContext
	// waited is the time from submission to the decision.
	waited time.Duration
	// weightedShare is the team's weighted share before the placement.
	weightedShare float32
	// score and secondScore are the scores of the chosen upstream and the runner-up;
	// lower is better.
	score, secondScore float32
	// second is the runner-up; nil if there was none.
	second *upstream
	// fitting and full count the upstreams with and without room for the task.
	fitting, full int32
}

// rationale returns the reasons for placing a task by a ranking.
func (r *round) rationale(t *task, k *ranking) *rationale {
	return &rationale{round: r.context, waited: r.now.Sub(t.job.Submitted), weightedShare: float32(r.cell.weightedShare(t.job.team(r.cell))),
		score: float32(k.bestScore), secondScore: float32(k.secondScore), second: k.second,
		fitting: int32(k.fitting), full: int32(k.full)}
}
