package sched

import (
	"container/heap"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

const (
	// minTries is how many entries of a tier may fail to be placed in one round; an
	// eighth of the number of upstreams is added.
	minTries = 1024
	// searchTries is how many tries an unsuccessful search of the index costs in
	// addition.
	searchTries = 8
)

// verdict is the result of trying to place a task or gang.
type verdict uint8

const (
	// placed means that the task, or all tasks of the gang, were placed.
	placed verdict = iota
	// noRoom means that no upstream can take the task now.
	noRoom
	// overLimit means that the task would exceed the team's limit.
	overLimit
	// notTried means that not all tasks of the gang are waiting, or that the round has
	// tried enough gangs.
	notTried
)

// claimant is a team that may still place work in the round.
type claimant struct {
	team          *team
	weightedShare float64
}

// claimants is a heap of teams by weighted share, lowest first.
type claimants []*claimant

// Len implements heap.Interface.
func (h claimants) Len() int { return len(h) }

// Less implements heap.Interface.
func (h claimants) Less(i, j int) bool {
	if h[i].weightedShare != h[j].weightedShare {
		return h[i].weightedShare < h[j].weightedShare
	}
	return h[i].team.number < h[j].team.number
}

// Swap implements heap.Interface.
func (h claimants) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *claimants) Push(x any) { *h = append(*h, x.(*claimant)) }

// Pop implements heap.Interface.
func (h *claimants) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// serve places the waiting work of a tier, each time for the team with the lowest weighted
// share.
func (r *round) serve(tr tier) {
	var h claimants
	for _, tm := range r.cell.teamOrder {
		if len(tm.queues[tr]) > 0 {
			h = append(h, &claimant{team: tm, weightedShare: r.cell.weightedShare(tm)})
		}
	}
	heap.Init(&h)
	r.tries = minTries + len(r.cell.upstreamOrder)/8
	for len(h) > 0 && len(r.journal) < r.limit && r.tries > 0 {
		x := h[0]
		if !r.serveTeam(x.team, tr) {
			heap.Pop(&h)
			continue
		}
		x.weightedShare = r.cell.weightedShare(x.team)
		heap.Fix(&h, 0)
	}
}

// serveTeam places one task or gang of a team and reports whether it could. Entries that
// can't be placed are skipped until the end of the round.
func (r *round) serveTeam(tm *team, tr tier) bool {
	queue := &tm.queues[tr]
	for len(*queue) > 0 && r.tries > 0 {
		e := (*queue)[0]
		if e.booked == len(e.tasks) {
			r.skipFirst(queue)
			continue
		}
		v := r.serveEntry(e)
		if v == placed {
			return true
		}
		r.tries--
		r.hasUnplaced = r.hasUnplaced || v == noRoom
		r.recordStarved(e, v)
		r.recordUnderserved(e, v)
		r.recordShort(e, v)
		r.skipFirst(queue)
	}
	if tr == tierNormal && r.tries <= 0 {
		r.exhausted = true
	}
	return false
}

// skipFirst takes the first entry out of its queue until the end of the round.
func (r *round) skipFirst(queue *entries) { r.skipped = append(r.skipped, heap.Pop(queue).(*entry)) }

// serveEntry tries to place the entry's next task, or its gang.
func (r *round) serveEntry(e *entry) verdict {
	if e.job.Policy == Gang {
		return r.serveGang(e)
	}
	return r.placeTask(e, e.tasks[e.booked])
}

// amountToReserve returns what to reserve for a task: the learned amounts, or the declared
// ones if the learned amounts alone would exceed the team's limit.
func (r *round) amountToReserve(t *task) resource.Vector {
	need := t.need()
	v := r.cell.learnedAmount(t.job.class, need)
	if v != need && !v.Fits(t.job.team(r.cell).Limit) {
		return need
	}
	return v
}

// placeTask tries to place one task that is not part of a gang.
func (r *round) placeTask(e *entry, t *task) verdict {
	need := r.amountToReserve(t)
	if !e.team.used.Add(need).Fits(e.team.Limit) {
		return overLimit
	}
	if u := r.probe(t); u != nil {
		r.book(t, u, need, &ranking{best: u, fitting: 1})
		return placed
	}
	if v := e.job.reservation; v != nil {
		r.suspendHold(v)
		defer r.restoreHold(v)
	} else if r.knownFull(need) {
		return r.backfill(t, need)
	}
	r.spread = r.spreads[t.job.class]
	k := r.rank(&query{task: t, need: need})
	if k.best == nil {
		r.tries -= searchTries
		if len(t.job.failedOn) == 0 && e.job.reservation == nil {
			r.full = append(r.full, need)
		}
		return r.backfill(t, need)
	}
	r.book(t, k.best, need, &k)
	return placed
}

// knownFull reports whether the round has already found no room for need or for less.
func (r *round) knownFull(need resource.Vector) bool {
	for i := range r.full {
		if r.full[i].Fits(need) {
			return true
		}
	}
	return false
}
