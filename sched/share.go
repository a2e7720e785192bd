package sched

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

// team is a Team with its current use and its waiting work.
type team struct {
	Team
	// number is the team's index in Cell.teamOrder.
	number int
	// used is what the team's live tasks reserve; stopping is the part of it that is
	// about to be freed.
	used     resource.Vector
	stopping resource.Vector
	// queues holds the waiting work of each tier.
	queues [numTiers]entries
	// live lists tasks in order of their placement. It may still contain tasks that have
	// ended: readers skip them, and pushLive removes them before the list would grow.
	live []liveTask
	// waitingSince is when the team began to wait for room; zero if it is not waiting.
	waitingSince time.Time
}

// liveTask names an attempt of a task.
type liveTask struct {
	task    *task
	attempt uint32
}

// current reports whether the attempt is still live.
func (l liveTask) current() bool { return l.task.up != nil && l.task.attempt == l.attempt }

// newTeam returns a team with the given number.
func newTeam(number int) *team { return &team{number: number} }

// book adds v to what the team uses.
func (tm *team) book(v resource.Vector) { tm.used = tm.used.Add(v) }

// pushLive appends a task to live. When the list has no free capacity, it first removes
// the tasks that have ended.
func (tm *team) pushLive(t *task) {
	const minCompact = 64
	if len(tm.live) == cap(tm.live) && len(tm.live) > minCompact {
		kept := tm.live[:0]
		for _, l := range tm.live {
			if l.current() {
				kept = append(kept, l)
			}
		}
		clear(tm.live[len(kept):])
		tm.live = kept
	}
	tm.live = append(tm.live, liveTask{t, t.attempt})
}

// dominantShare returns the largest fraction of the total that v takes in any dimension.
func dominantShare(v, total resource.Vector) float64 {
	share := 0.0
	for d, amount := range v {
		if total[d] > 0 {
			share = max(share, float64(amount)/float64(total[d]))
		}
	}
	return share
}

// weightedShare is the team's dominant share of the cell divided by its weight (weighted
// dominant resource fairness). The team with the lowest value is served first.
func (c *Cell) weightedShare(tm *team) float64 {
	return dominantShare(tm.used, c.total) / float64(tm.Share)
}

// checkLimit marks a team that uses more than its limit; stopExcess then stops work of it.
func (c *Cell) checkLimit(tm *team) {
	if !tm.used.Fits(tm.Limit) {
		c.overLimit[tm] = true
	}
}
