package sched

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

// team is an organisation with what it uses and its waiting work.
type team struct {
	Team
	number int
	// used is what live tasks reserve, stopping the part that is about to be freed.
	used     resource.Vector
	stopping resource.Vector
	// queues holds the waiting work of each tier.
	queues [numTiers]entries
	// live lists tasks in order of their placement; entries of tasks that have
	// ended since are dropped when the list is read or has doubled.
	live []liveTask
	// waitingSince is since when the team has waited waitingSince its share.
	waitingSince time.Time
}

// liveTask names an attempt of a task.
type liveTask struct {
	task    *task
	attempt uint32
}

func (l liveTask) current() bool { return l.task.up != nil && l.task.attempt == l.attempt }

func newTeam(number int) *team { return &team{number: number} }

// book adds to what the team uses.
func (tm *team) book(v resource.Vector) { tm.used = tm.used.Add(v) }

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

// weightedShare is the team's dominant share divided by its weight; the lowest goes first.
func (c *Cell) weightedShare(tm *team) float64 {
	return dominantShare(tm.used, c.total) / float64(tm.Share)
}

// checkLimit remembers teams that use more than their limit.
func (c *Cell) checkLimit(tm *team) {
	if !tm.used.Fits(tm.Limit) {
		c.overLimit[tm] = true
	}
}
